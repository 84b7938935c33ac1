/* This instance's local cache of the platform's lists: the configuration, operators' orders and
 * entries of backend servers, each with its revision, from the store or from peers. */
#ifndef SH_CACHE_H
#define SH_CACHE_H
#include "conf.h"
#include "store.h"
#include <glib.h>

/* Revisions held. That of the configuration may decrease when another instance has a newer
 * version than the store; the other never does. backends: all changes of servers' entries up to
 * it have been applied, and perhaps some later ones; 0: their list is not complete yet. */
struct cache_revs {
	st_rev conf, backends;
};

void cache_init(void);
/* Longest key accepted, in characters; longer ones were written by other users of the store. */
#define CACHE_KEY_MAX 255
/* Applies an item if it is newer than the cached one. from: "platform" or the peer. Returns 1
 * if applied. */
int cache_apply(const struct st_item *i, const char *from);
/* Removes keys of the prefix that a complete listing at revision at does not contain. listed:
 * set of keys. Returns the removed keys; free with g_ptr_array_unref. */
GPtrArray *cache_apply_missing(const char *prefix, GHashTable *listed, st_rev at);
/* The same for one page of a listing: keys after one (empty: from the first) up to another
 * (NULL: to the last). */
struct cache_page {
	const char *prefix, *after, *upto;
};
GPtrArray *cache_apply_missing_page(const struct cache_page *p, GHashTable *listed, st_rev at);
struct cache_revs cache_revs(void);
/* All changes of backend servers up to that revision have been applied. A single item does not
 * imply this: a listing takes several calls, and a change made meanwhile may be on none of its
 * pages. */
void cache_set_complete(st_rev revision);
/* The same for updates with all changes after one revision up to another. Returns 0 if changes
 * before them are missing here. */
int cache_take_updates(st_rev after, st_rev upto);
/* Calls f for the configuration and each backend server's entry newer than the revision of its
 * kind, also for removed ones; not for orders. Entries only up to the revision up to which
 * they are complete. */
void cache_each_newer(struct cache_revs after, void (*f)(const struct st_item *i, void *arg),
		      void *arg);

/* Acts on what a store that came back from a copy lacks, or lists though it is gone, once
 * nobody has written it again; to be called about ten times a second. */
void cache_release_held(void);
/* Calls f for each cached operators' order (drain of a data centre, rollout of a version), also
 * for removed ones. */
void cache_each_order(void (*f)(const struct st_item *i, void *arg), void *arg);
/* Instances with the same digest hold the same orders. */
uint64_t cache_orders_digest(void);
/* The revision of a key; 0: the cache holds no such key. */
st_rev cache_revision_of(const char *key);

/* The newest configuration, or NULL before the first. */
struct conf *cache_conf(void);
/* Another instance has that version. An older one is not confirmed here: the store may have
 * lost the newer one. */
void cache_report_version(uint64_t version);
/* Whether another instance reported a newer version than the one in force here. */
int cache_lacks_version(void);
/* The store confirmed at that time (monotonic) that the configuration of that revision is the
 * newest. */
void cache_confirm(st_rev revision, int64_t at_us);
/* A time so far in the past that any age computed from it is too great. */
#define CACHE_NEVER (INT64_MIN / 2)
/* Age in microseconds from which the cache is stale and the store is taken to be down: while it
 * answers it confirms the cache every 0.9 to 1.8 s. */
#define CACHE_STALE_US 2200000
/* Time of the last confirmation, or CACHE_NEVER. */
int64_t cache_confirmed_us(void);
/* Called after a new configuration is in force; set once, may be NULL. */
extern void (*cache_on_conf)(struct conf *c);
/* Called after an order changed, with the source of the change; set once, may be NULL. */
extern void (*cache_on_order)(const char *from);
/* Called with a rollout order, or with its key alone once it is withdrawn. Returns 0, or a
 * negative value if it can't be parsed; set once, may be NULL. */
extern int (*cache_on_rollout)(const struct st_item *i);
/* The source name of items that come from the store itself. */
extern const char cache_platform[];
#endif
