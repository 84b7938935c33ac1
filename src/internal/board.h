/* The platform's lists as this instance believes them: the configuration and the entries of
 * backend servers, each with its revision, from the store or from peers. */
#ifndef SH_BOARD_H
#define SH_BOARD_H
#include "conf.h"
#include "store.h"
#include <glib.h>

/* What has come, by revision; each only goes up. backends: of servers' entries all changes up
 * to it have, and perhaps some later ones; 0: their list is not whole yet. */
struct board_revs {
	uint64_t conf, backends;
};

void board_init(void);
/* Characters of a key: what is longer was written by somebody else, and is not taken. */
#define BOARD_KEY_MAX 255
/* Takes an item that is newer than what is known. from: "platform" or the peer. 1 if taken. */
int board_apply(const struct st_item *i, const char *from);
/* Keys of the prefix that a complete listing as of revision at did not hold are gone. listed:
 * set of keys. Returns those keys; free with g_ptr_array_unref. */
GPtrArray *board_apply_missing(const char *prefix, GHashTable *listed, uint64_t at);
/* The same of a page of a listing: of keys after one (empty: from the first) up to another
 * (NULL: to the last). */
struct board_page {
	const char *prefix, *after, *upto;
};
GPtrArray *board_apply_missing_of(const struct board_page *p, GHashTable *listed, uint64_t at);
struct board_revs board_revs(void);
/* All changes of backend servers up to that revision have been applied here. An item alone does
 * not tell so: a listing takes several calls, and what changes meanwhile is on none of its
 * pages. */
void board_complete(uint64_t revision);
/* The same of news that tell all changes after one revision up to another. 0: some before them
 * are not known here. */
int board_take_news(uint64_t after, uint64_t upto);
/* Calls f for each item newer than the revisions of its kind, gone ones too; orders apart. Of
 * backend servers those up to where their changes are complete. */
void board_each_newer(struct board_revs after, void (*f)(const struct st_item *i, void *arg),
		      void *arg);

/* Calls f for each key of an operators' order (to drain a data centre, to bring in a version)
 * that ever stood, as far as is known: gone ones too. */
void board_each_order(void (*f)(const struct st_item *i, void *arg), void *arg);
/* Two instances with the same digest know the same orders. */
uint64_t board_orders_digest(void);
/* The revision at which a key stands; 0: it does not, as far as is known. */
uint64_t board_revision_of(const char *key);

/* The newest configuration, or NULL before the first. */
struct conf *board_conf(void);
/* The configuration of that revision was surely the newest at that time (monotonic). */
void board_confirm(uint64_t revision, int64_t at_us);
/* A time so long past that any age worked out from it is too great. */
#define BOARD_NEVER (INT64_MIN / 2)
/* Lists that were confirmed longer ago tell nothing, and the platform is taken to be away: it
 * confirms them every 0.9 to 1.8 s while it answers. Microseconds. */
#define BOARD_OLD_US 2200000
/* When it was last sure, or BOARD_NEVER. */
int64_t board_confirmed_us(void);
/* Called after a new configuration is in force; set once, may be NULL. */
extern void (*board_on_conf)(struct conf *c);
/* Called after news of an order, with whoever told it; set once, may be NULL. */
extern void (*board_on_order)(const char *from);
/* Called with an order to bring in a version, or with its key alone once it is withdrawn. 0, or
 * negative when it can't be read; set once, may be NULL. */
extern int (*board_on_rollout)(const struct st_item *i);
/* Whose word the platform's own is. */
extern const char board_platform[];
#endif
