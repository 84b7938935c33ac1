/* Cached items that a listing lacks. */
#include "cache_impl.h"
#include <string.h>

static int is_on_page(const struct cache_page *p, const char *key)
{
	if (!g_str_has_prefix(key, p->prefix) || strcmp(key, p->after) <= 0) return 0;
	return !p->upto || strcmp(key, p->upto) <= 0;
}

/* A search for cached items that a listing should contain and does not. */
struct search {
	const struct cache_page *page;
	GHashTable *listed;
	st_rev at;
	GPtrArray *missing;
};

static void check_listed(const struct search *s, struct cached_item *n)
{
	if (!n->value || n->revision > s->at || !is_on_page(s->page, n->key)) return;
	if (g_hash_table_contains(s->listed, n->key)) return;
	if (cache_is_lost_order(n, s->at))
		cache_hold(n, s->at);
	else
		g_ptr_array_add(s->missing, g_strdup(n->key));
}

/* Starts at the page's first key, so that the cost of a page does not grow with the list. */
static void check_items(const struct search *s)
{
	const char *from = s->page->after[0] ? s->page->after : s->page->prefix;
	GTreeNode *at = g_tree_lower_bound(cache.items, from);

	for (; at; at = g_tree_node_next(at)) {
		struct cached_item *n = g_tree_node_value(at);

		if (s->page->upto && strcmp(n->key, s->page->upto) > 0) return;
		if (!g_str_has_prefix(n->key, s->page->prefix)) return;
		check_listed(s, n);
	}
}

static void check_orders(const struct search *s)
{
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, cache.orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) check_listed(s, n);
}

GPtrArray *cache_apply_missing(const char *prefix, GHashTable *listed, st_rev at)
{
	struct cache_page whole = {.prefix = prefix, .after = ""};

	return cache_apply_missing_page(&whole, listed, at);
}

GPtrArray *cache_apply_missing_page(const struct cache_page *p, GHashTable *listed, st_rev at)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	struct search s = {p, listed, at, missing};
	uint32_t i;

	check_items(&s);
	check_orders(&s);
	for (i = 0; i < missing->len; i++) {
		struct st_item gone = {.key = g_ptr_array_index(missing, i), .revision = at};

		cache_apply(&gone, cache_platform);
	}
	return missing;
}
