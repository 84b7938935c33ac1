/* Data centres drained by operators: their backend servers get no new work. */
#include "be.h"
#include "clock.h"
#include "jlog.h"
#include "met.h"
#include <string.h>

int64_t be_drain_grace_us;

static GHashTable *drained_dcs; /* names of drained data centres */
static GHashTable *listed_dcs;  /* names of data centres that have or had servers */

int be_dc_is_drained(const char *dc)
{
	return drained_dcs && g_hash_table_contains(drained_dcs, dc);
}

int be_is_any_dc_drained(void)
{
	return drained_dcs && g_hash_table_size(drained_dcs);
}

int be_only_drained(const char *service)
{
	const GPtrArray *list = be_of_service(service);
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

void be_add_dc(const char *name)
{
	if (!listed_dcs)
		listed_dcs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!g_hash_table_contains(listed_dcs, name))
		g_hash_table_add(listed_dcs, g_strdup(name));
}

static void append_names(GPtrArray *names, GHashTable *set, GHashTable *except)
{
	GHashTableIter it;
	gpointer name;

	if (!set) return;
	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!except || !g_hash_table_contains(except, name))
			g_ptr_array_add(names, g_strdup(name));
}

GPtrArray *be_dcs(void)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	append_names(names, listed_dcs, NULL);
	append_names(names, drained_dcs, listed_dcs);
	return names;
}

static void set_drained(const char *dc, int on)
{
	if (!drained_dcs)
		drained_dcs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (on)
		g_hash_table_add(drained_dcs, g_strdup(dc));
	else
		g_hash_table_remove(drained_dcs, dc);
}

static void log_drain(const char *dc, int on)
{
	GString *g = jlog_begin("fleet", on ? "data_centre_drained" : "data_centre_taken_back");

	jlog_str(g, "data_centre", dc);
	jlog_end(g);
}

static void set_server_drained(struct be *b, int on)
{
	int was_leaving = be_is_leaving(b);

	b->drained_us = on ? clock_us() : 0;
	if (!on) b->available_us = clock_us(); /* it may have become cold meanwhile */
	if (on && !was_leaving && be_on_leaving) be_on_leaving(b);
}

int be_may_continue(const struct be *b)
{
	return !b->drained_us || clock_us() - b->drained_us < be_drain_grace_us;
}

void be_drain_dc(const char *dc, int on)
{
	uint32_t i;

	if (be_dc_is_drained(dc) == on) return;
	set_drained(dc, on);
	met_set(MET_G_DRAINED_DATA_CENTRES, g_hash_table_size(drained_dcs));
	log_drain(dc, on);
	for (i = 0; i < be_all()->len; i++) {
		struct be *b = g_ptr_array_index(be_all(), i);

		if (!strcmp(b->dc, dc)) set_server_drained(b, on);
	}
}
