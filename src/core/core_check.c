/* Recomputes all counters from the tickets; an abort means a bug in the core. */
#include "core_impl.h"
#include <math.h>

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
	uint64_t prompts = 0, steps = 0, growth = 0;
	guint i;

	for (i = 0; i < e->tickets->len; i++) {
		t = e->tickets->pdata[i];
		g_assert_true(t->engine == e);
		g_assert_cmpuint(t->at, ==, i);
		prompts += t->info.prompt_tokens + t->info.generated;
		steps += t->steps_at_grant;
		growth += t->info.growth_tokens;
	}
	g_assert_cmpuint(prompts, ==, e->prompt_sum);
	g_assert_cmpuint(steps, ==, e->steps_sum);
	g_assert_cmpuint(growth, ==, e->growth_sum);
}

static void check_ready(const struct cservice *s)
{
	struct cqueue copy;
	const struct cqueue *q;
	uint32_t i;

	for (i = 0; i < s->ready.n; i++) {
		q = s->ready.item[i];
		g_assert_cmpuint(q->pos, ==, i);
		copy = *q;
		g_assert_true(!cqueue_refresh(&copy));
		g_assert_cmpuint(q->n, >, 0);
		g_assert_false(cgroup_blocked(q->group));
		if (i) g_assert_false(cqueue_before(q, s->ready.item[(i - 1) / 2]));
	}
}

/* Sums of floating-point numbers that are added and subtracted many times. */
static void check_sum(double kept, double counted)
{
	g_assert_true(fabs(kept - counted) <= 1e-6 * MAX(fabs(counted), 1));
}

static void check_queue(const struct cqueue *q)
{
	const struct cticket *t, *before = NULL;
	double work = 0, cost = 0;
	uint32_t n = 0;

	for (t = q->first; t; before = t, t = t->next) {
		g_assert_true(t->queue == q && t->prev == before);
		g_assert_true(t->state == CT_WAITING);
		if (before) g_assert_true(before->info.arrived_us <= t->info.arrived_us);
		if (before) g_assert_true(before->tag <= t->tag + 1e-6);
		work += cforecast_work(&t->info);
		cost += cforecast_cost(&t->info);
		n++;
	}
	g_assert_true(q->last == before);
	g_assert_cmpuint(n, ==, q->n);
	check_sum(q->work, work);
	check_sum(q->cost, cost);
}

/* Sums of the queues of one service. */
struct queue_sums {
	double tier_work[CT_TIERS];
	uint32_t waiting, listed, ready;
};

static void add_queue(struct queue_sums *s, const struct cqueue *q)
{
	s->tier_work[q->tier] += q->work;
	s->waiting += q->n;
	s->listed += q->listed ? 1 : 0;
	s->ready += q->pos != HEAP_OUT;
	if (q->n) g_assert_true(q->listed);
	g_assert_true((q->pos != HEAP_OUT) == (q->n && !cgroup_blocked(q->group)));
}

static void check_sums(const struct core *c, const struct cservice *s)
{
	struct queue_sums sums = {.waiting = 0};
	const struct cgroup *g;
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		g = p;
		for (i = 0; i < g->queues->len; i++) {
			const struct cqueue *q = g->queues->pdata[i];

			if (q->service == s) add_queue(&sums, q);
		}
	}
	for (i = 0; i < CT_TIERS; i++) check_sum(s->tier_work[i], sums.tier_work[i]);
	g_assert_cmpuint(s->waiting, ==, sums.waiting);
	g_assert_cmpuint(s->ready.n, ==, sums.ready);
	g_assert_cmpuint(s->ahead.queues->len, ==, sums.listed);
}

static uint32_t count_callers(struct cagenda *a)
{
	const struct cappointment *m;
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, a->by_caller);
	while (g_hash_table_iter_next(&it, NULL, &p))
		for (m = p; m; m = m->next) {
			g_assert_cmpuint(m->caller, ==, ((struct cappointment *)p)->caller);
			n++;
		}
	return n;
}

static void check_agenda(struct cagenda *a)
{
	double promised[CAGENDA_SLOTS] = {0};
	const struct cappointment *m;
	int64_t number;
	uint32_t i;

	for (i = 0; i < a->by_due.n; i++) {
		m = a->by_due.item[i];
		g_assert_cmpuint(m->pos, ==, i);
		number = m->due_us / CAGENDA_SLOT_US;
		if (number >= a->first) promised[number % CAGENDA_SLOTS] += m->work;
	}
	for (i = 0; i < CAGENDA_SLOTS; i++) check_sum(a->promised[i], promised[i]);
	g_assert_cmpuint(a->by_due.n, <=, CAPPOINTMENTS_MAX);
	g_assert_cmpuint(count_callers(a), ==, a->by_due.n);
}

static void check_reservation(const struct core *c, const struct cservice *s)
{
	if (!s->reserved) return;
	g_assert_true(g_hash_table_lookup(c->engines, &s->reserved->id) == s->reserved);
	g_assert_true(g_hash_table_lookup(c->tickets, &s->reserved_for->ref) ==
		      s->reserved_for);
	g_assert_true(s->reserved_for->state == CT_WAITING);
}

static void check_floor_counts(const struct core *c)
{
	uint32_t of_groups = 0, of_kinds = 0, waiting = 0;
	const struct cticket *t;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &p))
		of_groups += ((struct cgroup *)p)->by_floor;
	g_hash_table_iter_init(&it, c->kinds);
	while (g_hash_table_iter_next(&it, NULL, &p)) of_kinds += ((struct ckind *)p)->by_floor;
	g_hash_table_iter_init(&it, c->tickets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		t = p;
		waiting += t->state == CT_WAITING && t->queue->by_floor;
	}
	g_assert_cmpuint(of_groups, ==, waiting);
	g_assert_cmpuint(of_kinds, ==, waiting);
}

static void check_waiting_stats(const struct core *c)
{
	uint32_t waiting[CORE_RANK_CLASSES] = {0}, i;
	const struct cticket *t;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->tickets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		t = p;
		if (t->state == CT_WAITING) waiting[cforecast_class(t->info.rank)]++;
	}
	for (i = 0; i < CORE_RANK_CLASSES; i++)
		g_assert_cmpuint(waiting[i], ==, c->stats.waiting[i]);
}

static void check_admission(const struct core *c)
{
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cgroup *g = p;

		for (i = 0; i < g->queues->len; i++) check_queue(g->queues->pdata[i]);
	}
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cservice *s = p;

		check_sums(c, s);
		check_agenda(&s->agenda);
		check_reservation(c, s);
	}
	check_floor_counts(c);
	check_waiting_stats(c);
	ccaller_check(c);
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
	if (c->cfg.admission) check_admission(c);
}
