/* Software versions of servers, and the blocked ones: their servers get no new work. */
#include "be.h"
#include "clock.h"
#include "fp.h"
#include <string.h>

static GHashTable *blocked; /* set of "service version" */

static char *make_name(const char *service, const char *version)
{
	return g_strconcat(service, " ", version, NULL);
}

int be_version_is_blocked(const char *service, const char *version)
{
	char *name = make_name(service, version);
	int found = blocked && g_hash_table_contains(blocked, name);

	g_free(name);
	return found;
}

/* The software of an incarnation does not change. Entries that state two versions are of two
 * incarnations that can't be told apart, or by another writer: which one runs is unknown. */
void be_note_version(struct be *b, const char *version)
{
	if (!version || !*version || b->version_disputed || !strcmp(version, b->version))
		return;
	if (*b->version) {
		b->version_disputed = 1;
		b->version_key = 0;
		return;
	}
	g_free(b->version);
	b->version = g_strdup(version);
	b->version_key = fp_short(b->service, version);
}

int be_is_same_version(const struct be *a, const struct be *b)
{
	return a == b || (a->version_key && a->version_key == b->version_key);
}

static const struct be *find_version(const GPtrArray *list, uint64_t key)
{
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->version_key == key) return b;
	}
	return NULL;
}

int be_service_has_version(const char *service, uint64_t key)
{
	return find_version(be_of_service(service), key) != NULL;
}

const char *be_version_name(uint64_t key)
{
	const struct be *b = find_version(be_all(), key);

	return b ? b->version : NULL;
}

static void set_blocked(const char *service, const char *version, int on)
{
	char *name = make_name(service, version);

	if (!blocked) blocked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (on) {
		g_hash_table_add(blocked, name);
		return;
	}
	g_hash_table_remove(blocked, name);
	g_free(name);
}

static void set_server_blocked(struct be *b, int on)
{
	int was_leaving = be_is_leaving(b);

	b->blocked_us = on ? clock_us() : 0;
	if (on && !was_leaving && be_on_leaving) be_on_leaving(b);
}

void be_block_version(const char *service, const char *version, int on)
{
	const GPtrArray *list = be_of_service(service);
	uint32_t i;

	if (be_version_is_blocked(service, version) == on) return;
	set_blocked(service, version, on);
	for (i = 0; list && i < list->len; i++) {
		struct be *b = g_ptr_array_index(list, i);

		if (!strcmp(b->version, version)) set_server_blocked(b, on);
	}
}
