/* The servers with runs, replicas or inbound memory of this instance: few, whatever the size of
 * the fleet. */
#include "be.h"

static GHashTable *in_use; /* set of struct be */

static void unref(gpointer b)
{
	be_unref(b);
}

static int idle(const struct be *b)
{
	return !b->own.runs && !b->own.replicas && !b->own.inbound;
}

void be_update_use(struct be *b)
{
	if (!in_use) in_use = g_hash_table_new_full(NULL, NULL, unref, NULL);
	if (idle(b))
		g_hash_table_remove(in_use, b);
	else if (!g_hash_table_contains(in_use, b))
		g_hash_table_add(in_use, be_ref(b));
}

GPtrArray *be_in_use(void)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(unref);
	GHashTableIter it;
	gpointer b;

	if (!in_use) return list;
	g_hash_table_iter_init(&it, in_use);
	while (g_hash_table_iter_next(&it, &b, NULL)) g_ptr_array_add(list, be_ref(b));
	return list;
}
