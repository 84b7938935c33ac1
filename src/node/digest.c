#include "digest.h"
#include "wire.h"
#include <pthread.h>
#include <string.h>

#define CANDIDATES_MAX 64

struct member_load {
	uint64_t member;
	struct core_digest d[WIRE_DIGESTS_MAX];
	uint32_t n;
	uint64_t table;
	int64_t table_us;
};

struct candidate {
	uint64_t keeper;
	int same_dc;
	struct core_digest *d; /* NULL: no load reported yet */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *members;

static struct member_load *find(uint64_t member)
{
	if (!members)
		members = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return g_hash_table_lookup(members, &member);
}

static struct member_load *find_or_add(uint64_t member)
{
	struct member_load *e = find(member);

	if (e) return e;
	e = g_new0(struct member_load, 1);
	e->member = member;
	g_hash_table_insert(members, &e->member, e);
	return e;
}

void digest_set_table(uint64_t member, uint64_t version, int64_t now_us)
{
	struct member_load *e;

	pthread_mutex_lock(&lock);
	e = find_or_add(member);
	if (e->table != version) {
		e->table = version;
		e->table_us = now_us;
	}
	pthread_mutex_unlock(&lock);
}

uint64_t digest_get_table(uint64_t member, int64_t *since_us)
{
	struct member_load *e;
	uint64_t version = 0;

	*since_us = 0;
	pthread_mutex_lock(&lock);
	e = find(member);
	if (e) {
		version = e->table;
		*since_us = e->table_us;
	}
	pthread_mutex_unlock(&lock);
	return version;
}

void digest_set(uint64_t member, const struct core_digest *d, uint32_t n)
{
	struct member_load *e;

	if (n > WIRE_DIGESTS_MAX) n = WIRE_DIGESTS_MAX;
	pthread_mutex_lock(&lock);
	e = find_or_add(member);
	memcpy(e->d, d, n * sizeof *d);
	e->n = n;
	pthread_mutex_unlock(&lock);
}

uint32_t digest_get(uint64_t member, struct core_digest *d, uint32_t max)
{
	struct member_load *e;
	uint32_t n = 0;

	pthread_mutex_lock(&lock);
	e = find(member);
	if (e) {
		n = e->n < max ? e->n : max;
		memcpy(d, e->d, n * sizeof *d);
	}
	pthread_mutex_unlock(&lock);
	return n;
}

static gboolean not_in_view(gpointer key, gpointer value, gpointer v)
{
	(void)value;
	return !view_member(v, *(uint64_t *)key);
}

void digest_prune(const struct view *v)
{
	pthread_mutex_lock(&lock);
	find(0);
	g_hash_table_foreach_remove(members, not_in_view, (gpointer)v);
	pthread_mutex_unlock(&lock);
}

static struct core_digest *service_digest(uint64_t member, uint64_t service)
{
	struct member_load *e = find(member);
	uint32_t i;

	for (i = 0; e && i < e->n; i++)
		if (e->d[i].service == service) return &e->d[i];
	return NULL;
}

static uint32_t candidates(const struct view *v, uint64_t service, const char *dc,
			   struct candidate *c)
{
	const GPtrArray *a = view_service(v, service);
	const struct backend *b;
	uint32_t k, n = 0;
	guint i;

	for (i = 0; a && i < a->len && n < CANDIDATES_MAX; i++) {
		b = a->pdata[i];
		if (b->kind != BACKEND_ENGINE || b->leaving || !b->keeper) continue;
		for (k = 0; k < n && c[k].keeper != b->keeper; k++)
			;
		if (k == n) {
			c[n].keeper = b->keeper;
			c[n].same_dc = 0;
			c[n++].d = service_digest(b->keeper, service);
		}
		c[k].same_dc |= !strcmp(b->dc, dc);
	}
	return n;
}

/* Whether a is better than b. Compares, in this order: free capacity for the ticket, engines in
 * the caller's data centre, queue length, free tokens. */
static int better(const struct candidate *a, const struct candidate *b, uint32_t tokens)
{
	int fits_a = a->d && !a->d->waiting && a->d->free_slots && a->d->free_tokens > tokens;
	int fits_b = b->d && !b->d->waiting && b->d->free_slots && b->d->free_tokens > tokens;
	uint32_t queue_a = a->d ? a->d->waiting : 0, queue_b = b->d ? b->d->waiting : 0;

	if (fits_a != fits_b) return fits_a;
	if (a->same_dc != b->same_dc) return a->same_dc;
	if (queue_a != queue_b) return queue_a < queue_b;
	return (a->d ? a->d->free_tokens : 0) > (b->d ? b->d->free_tokens : 0);
}

static void add_expected_load(struct core_digest *d, uint32_t tokens)
{
	if (!d) return;
	if (!d->free_slots || d->free_tokens <= tokens) {
		d->waiting++;
		return;
	}
	d->free_slots--;
	d->free_tokens -= tokens;
}

uint64_t digest_choose(const struct view *v, uint64_t service, const char *dc, uint32_t tokens,
		       uint64_t avoid)
{
	struct candidate c[CANDIDATES_MAX], *best = NULL;
	uint64_t keeper = 0;
	uint32_t i, n;

	pthread_mutex_lock(&lock);
	n = candidates(v, service, dc, c);
	for (i = 0; i < n; i++) {
		if (c[i].keeper == avoid && n > 1) continue;
		if (!best || better(&c[i], best, tokens)) best = &c[i];
	}
	if (best) {
		keeper = best->keeper;
		add_expected_load(best->d, tokens);
	}
	pthread_mutex_unlock(&lock);
	return keeper;
}
