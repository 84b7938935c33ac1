/* Versions of services whose servers get no work any more, and which servers have the version
 * that is being brought in. */
#include "be.h"
#include "clock.h"
#include <string.h>

static GHashTable *barred; /* "service version" */

static char *name_of(const char *service, const char *version)
{
	return g_strconcat(service, " ", version, NULL);
}

int be_version_is_barred(const char *service, const char *version)
{
	char *name = name_of(service, version);
	int is = barred && g_hash_table_contains(barred, name);

	g_free(name);
	return is;
}

static void set(const char *service, const char *version, int on)
{
	char *name = name_of(service, version);

	if (!barred) barred = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (on) {
		g_hash_table_add(barred, name);
		return;
	}
	g_hash_table_remove(barred, name);
	g_free(name);
}

static void bar(struct be *b, int on)
{
	int left = be_leaves(b);

	b->barred_us = on ? clock_us() : 0;
	if (on && !left && be_on_leaving) be_on_leaving(b);
}

void be_bar_version(const char *service, const char *version, int on)
{
	const GPtrArray *list = be_of(service);
	uint32_t i;

	if (be_version_is_barred(service, version) == on) return;
	set(service, version, on);
	for (i = 0; list && i < list->len; i++) {
		struct be *b = g_ptr_array_index(list, i);

		if (!strcmp(b->version, version)) bar(b, on);
	}
}
