/* Private to src/fleet/watch*.c. */
#ifndef SH_WATCH_IMPL_H
#define SH_WATCH_IMPL_H
#include "watch.h"
#include <stdint.h>

/* watch_reply.c */
/* Whether the store answered the last call. */
int watch_store_up(void);
/* To be called periodically: counts the store as up again if this instance's last failure is
 * long ago and the store answers other instances. */
void watch_check_down(void);

/* watch.c */
/* Applies a reply of the store and forwards it; listed_us: when a listing was requested, 0 for
 * other calls. */
void watch_apply(const struct st_reply *r, int64_t listed_us);
/* Starts all watches again. A watch on a connection that the store has forgotten stays silent;
 * this is called when another call shows changes that the watch did not, or the store is back.
 */
void watch_restart(void);
/* The same of those that began before the present era was known. */
void watch_leave_lost_era(void);
/* watch_check.c */
/* Lists part of each list again, except the configuration. The instance that confirms the
 * configuration does so for all, which bounds how long a silent watch or the watch of an
 * instance that is cut off can hide a change. */
void watch_check_lists(void);
/* Adds a list to those that are checked. */
void watch_check_add(struct dl_list list);
/* Lists the operators' orders again, when one of them is not as it is cached here. */
void watch_check_orders(void);
/* Whether part of an answer to a listing or watch of the configuration has been received. */
int watch_receives_conf(void);

/* Ends watches that other instances have taken over. */
void watch_release(void);

/* Polls for changes of backend servers, independently of a watch that may be silent. */
void watch_poll(void);

/* watch_confirm.c */
void watch_confirm_start(void);
#endif
