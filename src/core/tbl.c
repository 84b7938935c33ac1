#include "tbl.h"
#include "equal.h"
#include <string.h>

struct tbl *tbl_ref(struct tbl *t)
{
	if (t) t->refs++;
	return t;
}

void tbl_unref(struct tbl *t)
{
	if (!t || --t->refs) return;
	g_hash_table_unref(t->by_id);
	g_hash_table_unref(t->by_key);
	g_hash_table_unref(t->service_by_id);
	g_free(t->group);
	g_free(t->service);
	g_free(t->text);
	g_free(t);
}

const struct tbl_group *tbl_group(const struct tbl *t, uint64_t id)
{
	return g_hash_table_lookup(t->by_id, &id);
}

const struct tbl_service *tbl_service(const struct tbl *t, uint64_t id)
{
	return g_hash_table_lookup(t->service_by_id, &id);
}

const struct tbl_group *tbl_group_by_key(const struct tbl *t, const char *key)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	const struct tbl_group *g = g_hash_table_lookup(t->by_key, hex);

	if (g && !equal_secret(g->key_sha256, hex, TBL_KEY_HEX)) g = NULL;
	g_free(hex);
	return g;
}

int tbl_may_reach(const struct tbl_group *g, uint64_t service)
{
	uint32_t i;

	for (i = 0; i < g->nservices; i++)
		if (g->service[i] == service) return 1;
	return 0;
}
