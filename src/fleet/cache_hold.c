/* Over the return of a store from an older copy of itself: orders that the copy lacks stay in
 * force, and servers that it lists though they are gone stay unused, until those who wrote them
 * have had time to write them again. */
#include "be.h"
#include "cache_impl.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "st_era.h"

/* What operators and servers wrote is written again within some seconds of the return of a
 * store that has lost it. By then the entries of servers that are gone have expired too. */
#define REWRITE_US 10000000
/* The copy is some seconds old: what has changed longer ago is in it as it was. */
#define COPY_AGE_US 60000000

static int any_held; /* some item may have held_us set */

static int is_of_earlier_era(const struct cached_item *n, st_rev than)
{
	return st_rev_era(n->revision) < st_rev_era(than) &&
	       clock_us() - n->applied_us < COPY_AGE_US;
}

int cache_is_back_from_copy(const struct cached_item *old, const struct st_item *i)
{
	const struct be *b;

	if (dl_item_kind(i->key) != DL_BACKEND || old->value || !i->value) return 0;
	b = be_find(dl_backend_id(i->key));
	return b && b->state == BE_GONE && is_of_earlier_era(old, i->revision);
}

int cache_is_lost_order(const struct cached_item *n, st_rev at)
{
	return cache_is_order(n->key) && is_of_earlier_era(n, at);
}

void cache_hold(struct cached_item *n, st_rev at)
{
	GString *g;

	if (n->held_us) return;
	n->held_us = clock_us();
	n->held_at = at;
	any_held = 1;
	g = jlog_begin("fleet", at ? "order_kept" : "backend_kept_gone");
	jlog_str(g, "key", n->key);
	jlog_int(g, "era", st_era());
	jlog_end(g);
}

static int64_t held_until_us(const struct cached_item *n)
{
	return n->held_us ? n->held_us + REWRITE_US : INT64_MAX;
}

/* Orders that nobody has written again are withdrawn. */
static void release_orders(int64_t now)
{
	GPtrArray *lost = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;
	uint32_t i;

	g_hash_table_iter_init(&it, cache.orders);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (now >= held_until_us(p))
			g_ptr_array_add(lost, p);
		else
			any_held |= ((struct cached_item *)p)->held_us != 0;
	}
	for (i = 0; i < lost->len; i++) {
		const struct cached_item *n = g_ptr_array_index(lost, i);
		char *key = g_strdup(n->key);
		struct st_item gone = {.key = key, .revision = n->held_at};

		cache_apply(&gone, cache_platform);
		g_free(key);
	}
	g_ptr_array_free(lost, TRUE);
}

/* Servers that are still listed live. */
static gboolean release_backend(gpointer key, gpointer value, gpointer now)
{
	struct cached_item *n = value;
	struct st_item i = cache_to_st_item(n);

	(void)key;
	if (*(int64_t *)now < held_until_us(n)) {
		any_held |= n->held_us != 0;
		return FALSE;
	}
	n->held_us = 0;
	cache_apply_backend(&i);
	return FALSE;
}

void cache_release_held(void)
{
	int64_t now = clock_us();

	if (!any_held) return;
	any_held = 0;
	release_orders(now);
	g_tree_foreach(cache.items, release_backend, &now);
}
