#include "places.h"
#include "node.h"
#include <pthread.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *open_calls; /* backend id -> count */

static guint count(uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(open_calls, &id));
}

static void set(uint64_t id, guint n)
{
	if (n)
		g_hash_table_replace(open_calls, g_memdup2(&id, sizeof id),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(open_calls, &id);
}

static int is_local(const struct backend *b)
{
	return !strcmp(b->dc, node.self.dc);
}

/* Prefers backend servers of this data centre, then those with fewer open calls. */
static int better(const struct backend *a, const struct backend *b)
{
	if (is_local(a) != is_local(b)) return is_local(a);
	return count(a->id) < count(b->id);
}

const struct backend *places_acquire(const struct view *v, uint64_t service, uint32_t limit,
				     uint64_t avoid, int *any)
{
	const GPtrArray *a = view_service(v, service);
	const struct backend *b, *best = NULL;
	guint i;

	*any = 0;
	pthread_mutex_lock(&lock);
	if (!open_calls)
		open_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (i = 0; a && i < a->len; i++) {
		b = a->pdata[i];
		if (b->kind != BACKEND_SERVICE || b->leaving || b->id == avoid) continue;
		*any = 1;
		if (count(b->id) >= limit) continue;
		if (!best || better(b, best)) best = b;
	}
	if (best) set(best->id, count(best->id) + 1);
	pthread_mutex_unlock(&lock);
	return best;
}

void places_release(uint64_t backend)
{
	pthread_mutex_lock(&lock);
	set(backend, count(backend) - 1);
	pthread_mutex_unlock(&lock);
}
