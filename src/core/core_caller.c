/* Whether the content of a request identifies its caller: not if several send the same. */
#include "core_impl.h"

#define LATELY_US 60000000 /* callers that were refused return within less */
#define CALLERS_MAX 16384  /* beyond, no content identifies a caller */

#define EXPIRE_US 1000000 /* between searches of all callers for those to be forgotten */

struct ccaller {
	uint64_t id;
	uint32_t waiting;
	int64_t granted_us; /* 0: never */
};

void ccaller_init(struct core *c)
{
	c->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void ccaller_free(struct core *c)
{
	g_hash_table_unref(c->callers);
}

static struct ccaller *get(struct core *c, uint64_t id)
{
	struct ccaller *k = g_hash_table_lookup(c->callers, &id);

	if (k || !id || g_hash_table_size(c->callers) >= CALLERS_MAX) return k;
	k = g_new0(struct ccaller, 1);
	k->id = id;
	g_hash_table_insert(c->callers, &k->id, k);
	return k;
}

void ccaller_joined(struct core *c, struct cticket *t)
{
	struct ccaller *k = get(c, t->info.caller);

	if (!k) return;
	k->waiting++;
	t->caller_counted = 1;
}

void ccaller_left(struct core *c, struct cticket *t)
{
	struct ccaller *k;

	if (!t->caller_counted) return;
	k = g_hash_table_lookup(c->callers, &t->info.caller);
	k->waiting--;
	t->caller_counted = 0;
}

void ccaller_granted(struct core *c, uint64_t caller)
{
	struct ccaller *k = get(c, caller);

	if (k) k->granted_us = c->now;
}

int ccaller_is_common(const struct core *c, uint64_t caller)
{
	const struct ccaller *k = g_hash_table_lookup(c->callers, &caller);

	if (!caller || g_hash_table_size(c->callers) >= CALLERS_MAX) return 1;
	if (!k) return 0;
	return k->waiting || (k->granted_us && c->now - k->granted_us < LATELY_US);
}

static gboolean is_over(gpointer key, gpointer p, gpointer c)
{
	const struct ccaller *k = p;

	(void)key;
	if (k->waiting) return 0;
	return !k->granted_us || ((struct core *)c)->now - k->granted_us >= LATELY_US;
}

void ccaller_expire(struct core *c)
{
	if (c->now - c->callers_us < EXPIRE_US) return;
	c->callers_us = c->now;
	g_hash_table_foreach_remove(c->callers, is_over, c);
}

void ccaller_check(const struct core *c)
{
	uint32_t waiting = 0, counted = 0;
	const struct cticket *t;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->tickets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		t = p;
		waiting += t->state == CT_WAITING && t->caller_counted;
	}
	g_hash_table_iter_init(&it, c->callers);
	while (g_hash_table_iter_next(&it, NULL, &p)) counted += ((struct ccaller *)p)->waiting;
	g_assert_cmpuint(g_hash_table_size(c->callers), <=, CALLERS_MAX);
	g_assert_cmpuint(counted, ==, waiting);
}
