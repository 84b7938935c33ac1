/* What the files of the cache share. */
#ifndef SH_CACHE_IMPL_H
#define SH_CACHE_IMPL_H
#include "cache.h"

struct cached_item {
	char *key;
	GBytes *value; /* NULL: removed */
	st_rev revision;
	int64_t applied_us;
	/* Since when it is not acted on that a store back from a copy lacks this order, or
	 * lists this server though it is gone; 0: neither is so. */
	int64_t held_us;
	st_rev held_at; /* of the listing that lacks the order */
};

struct cache_lists {
	GTree *items; /* the configuration and entries of backend servers, by key: thousands */
	GHashTable *orders; /* of the operators, by key: few, and scanned with each heartbeat */
};

extern struct cache_lists cache;

/* cache.c */
int cache_is_order(const char *key);
/* Valid as long as the cached item. */
struct st_item cache_to_st_item(const struct cached_item *n);
/* Acts on a server's entry. */
void cache_apply_backend(const struct st_item *i);

/* cache_hold.c */
/* Whether the entry, which is to replace old, is the first one in a new era of a server of
 * which this instance knows that it was gone: a copy may list it. A live one writes another
 * entry. */
int cache_is_back_from_copy(const struct cached_item *old, const struct st_item *i);
/* Whether the item is an order that a listing at that revision may lack because it is of a
 * copy. */
int cache_is_lost_order(const struct cached_item *n, st_rev at);
/* Does not act on the item until REWRITE_US have passed. at: revision of the listing that lacks
 * the order; 0: the item is a server's entry. */
void cache_hold(struct cached_item *n, st_rev at);
#endif
