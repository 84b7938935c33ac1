/* What watches have told is listed once more, a part at a time: what that costs does not grow
 * with the list. Beyond that part a glance tells what a silent watch has not. */
#include "board.h"
#include "clock.h"
#include "mesh.h"
#include "watch_impl.h"
#include <string.h>

#define CHECKERS_MAX 4
#define PAGES 2 /* of a list in one turn; a page holds some hundred items */

struct checker {
	struct dl_list list;
	struct st_call *call;
	char after[BOARD_KEY_MAX + 1]; /* the last key that was listed; empty: from the first */
	int pages;                     /* that may still be asked for in this turn */
};

static struct checker checkers[CHECKERS_MAX];
/* List orders alone: what else stands beside them may be a megabyte. */
static struct checker of_drains = {.list = {"", DL_DRAIN}},
		      of_rollouts = {.list = {"", DL_ROLLOUT}};
static int ncheckers;

/* Orders are few, and told by whoever applies them. */
static int lists_orders(const struct checker *c)
{
	return c->list.kind == DL_DRAIN || c->list.kind == DL_ROLLOUT;
}

static void on_page(const struct st_reply *r, void *user);

static void ask(struct checker *c)
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

/* Whether what stands between two keys is known: pages come in the order of keys. */
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

static void tell_missing(const GPtrArray *keys, uint64_t at)
{
	uint32_t i;

	for (i = 0; i < keys->len; i++) {
		struct st_item gone = {.key = g_ptr_array_index(keys, i), .revision = at};

		mesh_tell_items(&gone, 1);
	}
}

/* What was told nowhere yet: its watch says so, too, unless it has fallen silent. */
static void take_page(struct checker *c, const struct st_reply *r)
{
	const char *last = r->more && r->n ? r->items[r->n - 1].key : NULL;
	struct board_page page = {c->list.prefix, c->after, last};
	GHashTable *listed = keys_of(r);
	GPtrArray *missing;
	size_t i;

	for (i = 0; i < r->n; i++)
		if (board_apply(&r->items[i], board_platform) && !lists_orders(c))
			mesh_tell_items(&r->items[i], 1);
	if (is_in_order(c, r)) {
		missing = board_apply_missing_of(&page, listed, r->revision);
		if (!lists_orders(c)) tell_missing(missing, r->revision);
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
	take_page(c, r);
	if (c->after[0] && (lists_orders(c) || --c->pages > 0)) ask(c);
}

void watch_check_lists(void)
{
	int i;

	for (i = 0; i < ncheckers; i++) {
		struct checker *c = &checkers[i];

		if (c->list.kind == DL_CONF || c->call) continue;
		if (c->after[0]) watch_glance();
		c->pages = PAGES;
		ask(c);
	}
}

void watch_check_add(struct dl_list list)
{
	if (ncheckers < CHECKERS_MAX) checkers[ncheckers++] = (struct checker){.list = list};
}

static void check_orders(struct checker *c, const char *prefix)
{
	c->list.prefix = prefix;
	if (!c->call) ask(c);
}

void watch_check_orders(void)
{
	check_orders(&of_drains, dl_drains);
	check_orders(&of_rollouts, dl_rollouts);
}
