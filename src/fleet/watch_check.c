/* Lists the watched lists again, a few pages in each turn, so that the cost does not grow with
 * the list. For the other pages a poll shows the changes that a silent watch missed. */
#include "cache.h"
#include "clock.h"
#include "mesh.h"
#include "watch_impl.h"
#include <string.h>

#define CHECKERS_MAX 4
#define PAGES_PER_TURN 2 /* a page holds some hundred items */

struct checker {
	struct dl_list list;
	struct st_call *call;
	char after[CACHE_KEY_MAX + 1]; /* the last key listed; empty: start at the first */
	int pages;                     /* left to request in this turn */
};

static struct checker checkers[CHECKERS_MAX];
/* These list orders only: other keys beside them may hold a megabyte. */
static struct checker drains_checker = {.list = {"", DL_DRAIN}},
		      rollouts_checker = {.list = {"", DL_ROLLOUT}};
static int ncheckers;

/* Orders are few, and are sent to peers when they are applied. */
static int lists_orders(const struct checker *c)
{
	return c->list.kind == DL_DRAIN || c->list.kind == DL_ROLLOUT;
}

static void on_page(const struct st_reply *r, void *user);

static void request_page(struct checker *c)
{
	c->call = st_range(c->list.prefix, c->after[0] ? c->after : NULL, on_page, c);
}

static GHashTable *keys_of(const struct st_reply *r)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < r->n; i++) g_hash_table_add(keys, (gpointer)r->items[i].key);
	return keys;
}

/* Whether the page is in key order, so that a cached key that it lacks was removed. */
static int is_in_order(const struct checker *c, const struct st_reply *r)
{
	const char *before = c->after;
	size_t i;

	for (i = 0; i < r->n; i++) {
		if (strcmp(r->items[i].key, before) <= 0) return 0;
		before = r->items[i].key;
	}
	return 1;
}

static void send_missing(const GPtrArray *keys, st_rev at)
{
	uint32_t i;

	for (i = 0; i < keys->len; i++) {
		struct st_item gone = {.key = g_ptr_array_index(keys, i), .revision = at};

		mesh_publish_items(&gone, 1);
	}
}

/* Applies a page. Items newer than the cache are sent to peers, as the watch that should have
 * returned them may be silent. */
static void apply_page(struct checker *c, const struct st_reply *r)
{
	const char *last = r->more && r->n ? r->items[r->n - 1].key : NULL;
	struct cache_page page = {c->list.prefix, c->after, last};
	GHashTable *listed = keys_of(r);
	GPtrArray *missing;
	size_t i;

	for (i = 0; i < r->n; i++)
		if (cache_apply(&r->items[i], cache_platform) && !lists_orders(c))
			mesh_publish_items(&r->items[i], 1);
	if (is_in_order(c, r)) {
		missing = cache_apply_missing_page(&page, listed, r->revision);
		if (!lists_orders(c)) send_missing(missing, r->revision);
		g_ptr_array_unref(missing);
	}
	g_hash_table_destroy(listed);
	g_strlcpy(c->after, last ? last : "", sizeof c->after);
}

static void on_page(const struct st_reply *r, void *user)
{
	struct checker *c = user;

	c->call = NULL;
	watch_note_reply(r);
	if (r->rc) return;
	apply_page(c, r);
	if (c->after[0] && (lists_orders(c) || --c->pages > 0)) request_page(c);
}

void watch_check_lists(void)
{
	int i;

	for (i = 0; i < ncheckers; i++) {
		struct checker *c = &checkers[i];

		if (c->list.kind == DL_CONF || c->call) continue;
		if (c->after[0]) watch_poll();
		c->pages = PAGES_PER_TURN;
		request_page(c);
	}
}

void watch_check_add(struct dl_list list)
{
	if (ncheckers < CHECKERS_MAX) checkers[ncheckers++] = (struct checker){.list = list};
}

static void check_orders(struct checker *c, const char *prefix)
{
	c->list.prefix = prefix;
	if (!c->call) request_page(c);
}

void watch_check_orders(void)
{
	check_orders(&drains_checker, dl_drains);
	check_orders(&rollouts_checker, dl_rollouts);
}
