/* Recomputes all counters from the tickets; an abort means a bug in the core. */
#include "core_impl.h"

struct counts {
	uint32_t waiting, running;
};

static void check_group(const struct core *c, const struct cgroup *g)
{
	struct counts s = {0, 0};
	const struct cticket *t;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->tickets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		t = p;
		if (t->group != g) continue;
		if (t->state == CT_WAITING)
			s.waiting++;
		else
			s.running++;
	}
	g_assert_cmpuint(s.waiting, ==, g->waiting);
	g_assert_cmpuint(s.running, ==, g->running);
}

static void check_engine(const struct cengine *e)
{
	const struct cticket *t;
	uint64_t prompts = 0, steps = 0;
	guint i;

	for (i = 0; i < e->tickets->len; i++) {
		t = e->tickets->pdata[i];
		g_assert_true(t->engine == e);
		g_assert_cmpuint(t->at, ==, i);
		prompts += t->info.prompt_tokens + t->info.generated;
		steps += t->steps_at_grant;
	}
	g_assert_cmpuint(prompts, ==, e->prompt_sum);
	g_assert_cmpuint(steps, ==, e->steps_sum);
}

static void check_ready(const struct cservice *s)
{
	const struct cqueue *q;
	uint32_t i;

	for (i = 0; i < s->ready.n; i++) {
		q = s->ready.item[i];
		g_assert_cmpuint(q->pos, ==, i);
		g_assert_cmpuint(q->n, >, 0);
		g_assert_false(cgroup_blocked(q->group));
		if (i) g_assert_false(cqueue_before(q, s->ready.item[(i - 1) / 2]));
	}
}

void core_check(const struct core *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &p)) check_group(c, p);
	g_hash_table_iter_init(&it, c->engines);
	while (g_hash_table_iter_next(&it, NULL, &p)) check_engine(p);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) check_ready(p);
	g_assert_cmpuint(c->waiting + c->running, ==, g_hash_table_size(c->tickets));
	g_assert_cmpuint(c->deadlines.n, ==, c->waiting);
}
