/* Data centres that operators drain: nothing new goes to their backend servers. */
#include "be.h"
#include "clock.h"
#include "jlog.h"
#include "met.h"
#include <string.h>

int64_t be_drain_need_us;

static GHashTable *drained; /* names of data centres */
static GHashTable *known;   /* the same of those where servers stand, or stood */

int be_dc_is_drained(const char *dc)
{
	return drained && g_hash_table_contains(drained, dc);
}

int be_only_drained(const char *service)
{
	const GPtrArray *list = be_of(service);
	uint32_t i;
	int any = 0;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->state != BE_READY) continue;
		if (!b->drained_us) return 0;
		any = 1;
	}
	return any;
}

void be_know_dc(const char *name)
{
	if (!known) known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!g_hash_table_contains(known, name)) g_hash_table_add(known, g_strdup(name));
}

static void add_all(GPtrArray *names, GHashTable *of, GHashTable *but)
{
	GHashTableIter it;
	gpointer name;

	if (!of) return;
	g_hash_table_iter_init(&it, of);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!but || !g_hash_table_contains(but, name))
			g_ptr_array_add(names, g_strdup(name));
}

GPtrArray *be_dcs(void)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	add_all(names, known, NULL);
	add_all(names, drained, known);
	return names;
}

static void set(const char *dc, int on)
{
	if (!drained) drained = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (on)
		g_hash_table_add(drained, g_strdup(dc));
	else
		g_hash_table_remove(drained, dc);
}

static void log_drain(const char *dc, int on)
{
	GString *g = jlog_begin("fleet", on ? "data_centre_drained" : "data_centre_taken_back");

	jlog_str(g, "data_centre", dc);
	jlog_end(g);
}

static void drain(struct be *b, int on)
{
	int left = be_leaves(b);

	b->drained_us = on ? clock_us() : 0;
	if (!on) b->back_us = clock_us(); /* it may have turned cold meanwhile */
	if (on && !left && be_on_leaving) be_on_leaving(b);
}

int be_may_go_on(const struct be *b)
{
	return !b->drained_us || clock_us() - b->drained_us < be_drain_need_us;
}

void be_drain_dc(const char *dc, int on)
{
	uint32_t i;

	if (be_dc_is_drained(dc) == on) return;
	set(dc, on);
	met_set(MET_G_DRAINED_DATA_CENTRES, g_hash_table_size(drained));
	log_drain(dc, on);
	for (i = 0; i < be_all()->len; i++) {
		struct be *b = g_ptr_array_index(be_all(), i);

		if (!strcmp(b->zone, dc)) drain(b, on);
	}
}
