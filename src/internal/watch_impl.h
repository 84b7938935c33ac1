/* Private to src/fleet/watch*.c. */
#ifndef SH_WATCH_IMPL_H
#define SH_WATCH_IMPL_H
#include "watch.h"
#include <stdint.h>

/* watch_reply.c */
/* Whether the store answered the last call. */
int watch_store_up(void);
/* To be called now and then: whether what it failed is long ago, and others are answered. */
void watch_check_down(void);

/* watch.c */
/* Takes what the store said and passes it on; listed_us: a listing that was asked for then,
 * else 0. */
void watch_apply(const struct st_reply *r, int64_t listed_us);
/* A watch that waits on a connection which the store has forgotten says nothing: when another
 * call shows changes that it did not tell, or the store comes back, it is made anew. */
void watch_anew(void);
/* watch_check.c */
/* Whoever confirms the configuration for all also lists the rest for all: watches that are
 * silent, or waited for by instances that are cut off, hide nothing for long. */
void watch_check_lists(void);
/* A list that is checked. */
void watch_check_add(struct dl_list list);
/* The same of operators' orders, when one is not as this instance believes. */
void watch_check_orders(void);
/* Whether a listing or a watch is being answered with a configuration. */
int watch_receives_conf(void);

/* Ends watches that others have taken over. */
void watch_leave_to_others(void);

/* Asks, apart from a watch that may be silent, what has changed of backend servers. */
void watch_glance(void);

/* watch_confirm.c */
void watch_confirm_start(void);
#endif
