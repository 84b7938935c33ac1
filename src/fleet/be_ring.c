/* Servers by service and data centre, those of a data centre ordered by hash, so that each
 * instance can start its scan at a place of its own. */
#include "be.h"
#include "be_ring.h"
#include <string.h>

struct ring {
	char *dc;
	GPtrArray *servers; /* struct be, ordered by hash */
};

static GHashTable *rings; /* service -> GPtrArray of struct ring */

static uint32_t hash_of(const struct be *b)
{
	return g_str_hash(b->id) * 2654435761u; /* spreads consecutive ids */
}

static void free_ring(gpointer p)
{
	struct ring *r = p;

	g_free(r->dc);
	g_ptr_array_free(r->servers, TRUE);
	g_free(r);
}

static void free_list(gpointer list)
{
	g_ptr_array_free(list, TRUE);
}

static GPtrArray *rings_of(const char *service)
{
	return rings ? g_hash_table_lookup(rings, service) : NULL;
}

static struct ring *ring_of(const GPtrArray *list, const char *dc)
{
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		struct ring *r = g_ptr_array_index(list, i);

		if (!strcmp(r->dc, dc)) return r;
	}
	return NULL;
}

/* Index of the first server whose hash is not below the given one. */
static uint32_t lower_bound(const struct ring *r, uint32_t hash)
{
	uint32_t from = 0, to = r->servers->len;

	while (from < to) {
		uint32_t mid = (from + to) / 2;

		if (hash_of(g_ptr_array_index(r->servers, mid)) < hash)
			from = mid + 1;
		else
			to = mid;
	}
	return from;
}

void be_ring_add(struct be *b)
{
	GPtrArray *list = rings_of(b->service);
	struct ring *r;

	if (!rings) rings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
	if (!list) {
		list = g_ptr_array_new_with_free_func(free_ring);
		g_hash_table_insert(rings, g_strdup(b->service), list);
	}
	r = ring_of(list, b->dc);
	if (!r) {
		r = g_new0(struct ring, 1);
		r->dc = g_strdup(b->dc);
		r->servers = g_ptr_array_new();
		g_ptr_array_add(list, r);
	}
	g_ptr_array_insert(r->servers, (gint)lower_bound(r, hash_of(b)), b);
}

void be_ring_remove(struct be *b)
{
	struct ring *r = ring_of(rings_of(b->service), b->dc);
	uint32_t i;

	if (!r) return;
	for (i = lower_bound(r, hash_of(b)); i < r->servers->len; i++) {
		if (g_ptr_array_index(r->servers, i) != b) continue;
		g_ptr_array_remove_index(r->servers, i);
		return;
	}
}

/* Returns 0 if f stopped the walk. */
static int walk(const struct ring *r, uint32_t from, be_visit *f, void *arg)
{
	uint32_t n = r->servers->len, first = n ? lower_bound(r, from) : 0, i;

	for (i = 0; i < n; i++)
		if (!f(g_ptr_array_index(r->servers, (first + i) % n), arg)) return 0;
	return 1;
}

void be_walk(const char *service, const char *dc, uint32_t from, be_visit *f, void *arg)
{
	const GPtrArray *list = rings_of(service);
	const struct ring *local = ring_of(list, dc);
	uint32_t i;

	if (!list || (local && !walk(local, from, f, arg))) return;
	for (i = 0; i < list->len; i++) {
		const struct ring *r = g_ptr_array_index(list, (from + i) % list->len);

		if (r != local && !walk(r, from, f, arg)) return;
	}
}
