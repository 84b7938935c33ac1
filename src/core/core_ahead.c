/* How much waiting and foreseen work of other groups is granted before a ticket of the same
 * tier. Groups are served in the order of virtual time, so a queue's work is granted evenly
 * while virtual time runs through a span whose length is the queue's cost by its weight. The
 * sum over all queues is tabulated: with a thousand queues, adding them up for each decision
 * takes several microseconds. */
#include "core_impl.h"
#include <math.h>
#include <string.h>

/* A table is made anew after changes to a quarter of its queues, or some ms: a change costs the
 * time of a few queues. */
#define CHANGED_PART 4
#define AGE_MAX_US 100000 /* rates of arrivals change within some tenths of a second */
/* A queue without arrivals for so long is not expected to get any: its rate has decayed to less
 * than a hundredth. */
#define FORGOTTEN_US 10000000
/* Queues in which nothing waits are many, and only the sum of their arrivals matters: of more
 * than this many listed queues a part is looked at, which stands for all of them. */
#define SAMPLE 512
#define SLACK 0.25 /* a table reaches this much farther than the queues in it */

void cahead_init(struct cahead *a)
{
	a->queues = g_ptr_array_new();
	a->built = g_ptr_array_new();
	a->build = 1;
}

void cahead_free(struct cahead *a)
{
	int i;

	for (i = 0; i < CT_TIERS; i++) g_free(a->table[i]);
	g_ptr_array_unref(a->queues);
	g_ptr_array_unref(a->built);
}

static double decayed(double rate, int64_t at_us, int64_t now)
{
	return rate > 0 ? rate * exp(-(double)(now - at_us) / CRECENT_US) : 0;
}

static void list(struct cqueue *q)
{
	if (q->listed) return;
	q->listed = 1;
	g_ptr_array_add(q->service->ahead.queues, q);
}

void cahead_changed(struct cqueue *q)
{
	list(q);
	q->service->ahead.changes++;
}

/* Arrivals are counted by group and rank, not by kind: fewer spans to add up. They are kept by
 * the first of its queues. */
static struct cqueue *counting(const struct cqueue *q)
{
	struct cqueue *p;
	guint i;

	for (i = 0;; i++) {
		p = q->group->queues->pdata[i];
		if (p->service == q->service && p->rank == q->rank) return p;
	}
}

void cahead_arrived(const struct core *c, struct cqueue *q, double work, double cost)
{
	q = counting(q);
	q->work_rate = decayed(q->work_rate, q->rate_us, c->now) + work / CRECENT_US;
	q->cost_rate = decayed(q->cost_rate, q->rate_us, c->now) + cost / CRECENT_US;
	q->rate_us = c->now;
	list(q);
}

void cahead_time_allowed(struct cservice *s, int64_t us)
{
	struct cahead *a = &s->ahead;

	if (us <= 0) return;
	a->reach_us += (a->reach_us > 0 ? 0.05 : 1) * ((double)us - a->reach_us);
}

static double span_at(const struct cspan *p, double vtime)
{
	return p->slope * (CLAMP(vtime, p->from, p->to) - p->from);
}

static uint32_t tier_of_rank(const struct cqueue *q)
{
	return CT_TIER_RANK + MIN(q->rank, CORE_RANKS);
}

/* The spans that the queue's work takes: what waits now, and what will have arrived when the
 * time usually allowed is over. */
static void set_spans(const struct core *c, struct cqueue *q, double reach_us)
{
	const struct cgroup *g = q->group;
	double f = q->work_rate > 0 ? reach_us * decayed(1, q->rate_us, c->now) : 0;
	double next = MAX(g->vtime, c->vnow_of[MIN(q->rank, CORE_RANKS)]);

	q->now = (struct cspan){next, next, 0};
	if (q->n) {
		q->now.from = q->first->tag;
		q->now.to = q->last->tag + cforecast_cost(&q->last->info) / g->row.weight;
		q->now.slope = q->work / MAX(q->now.to - q->now.from, 1e-9);
	}
	q->coming = (struct cspan){next, next, 0};
	if (q->cost_rate * f <= 0) return;
	q->coming.to += q->cost_rate * f / g->row.weight;
	q->coming.slope = q->work_rate / q->cost_rate * g->row.weight;
}

static struct cahead_table *table_of(struct cahead *a, uint32_t tier)
{
	struct cahead_table *t = a->table[tier];

	if (!t) t = a->table[tier] = g_new0(struct cahead_table, 1);
	if (t->build == a->build) return t;
	memset(t, 0, sizeof *t);
	t->build = a->build;
	t->origin = INFINITY;
	t->end = -INFINITY;
	return t;
}

/* Nodes lie denser near the origin, where most spans end. */
static double node_at(const struct cahead_table *t, int i)
{
	double part = (double)i / CAHEAD_NODES;

	return t->origin + (t->end - t->origin) * part * part;
}

static double node_of(const struct cahead_table *t, double vtime)
{
	double part = (vtime - t->origin) / (t->end - t->origin);

	return part <= 0 ? 0 : sqrt(part) * CAHEAD_NODES;
}

/* Adds slope x (vtime - from) for the nodes beyond from. */
static void add_line(const struct cahead_table *t, struct cahead_line *line, double from,
		     double slope)
{
	double i = ceil(node_of(t, from));

	if (i > CAHEAD_NODES) return;
	line[(int)i].slope += slope;
	line[(int)i].constant -= slope * (from - t->origin);
}

static void add_span(const struct cahead_table *t, struct cahead_line *line,
		     const struct cspan *p)
{
	if (p->slope <= 0 || p->from >= t->end) return;
	add_line(t, line, p->from, p->slope);
	add_line(t, line, p->to, -p->slope);
}

static void sum_up(const struct cahead_table *t, const struct cahead_line *line, double *sum)
{
	double slope = 0, constant = 0;
	int i;

	for (i = 0; i <= CAHEAD_NODES; i++) {
		slope += line[i].slope;
		constant += line[i].constant;
		sum[i] = slope * (node_at(t, i) - t->origin) + constant;
	}
}

static int is_forgotten(const struct core *c, const struct cqueue *q)
{
	return !q->n && c->now - q->rate_us > FORGOTTEN_US;
}

static void reach(struct cahead_table *t, const struct cspan *p, double end)
{
	t->origin = MIN(t->origin, p->from);
	t->end = MAX(t->end, end);
}

/* Sets the spans of all queues, and how far the tables reach. */
static void prepare(const struct core *c, struct cservice *s, double reach_us)
{
	struct cahead *a = &s->ahead;
	struct cahead_table *t;
	guint i, each = 1 + a->queues->len / SAMPLE;

	for (i = 0; i < a->queues->len;) {
		struct cqueue *q = a->queues->pdata[i];

		if (!q->n && (i + a->build) % each) {
			i++;
			continue;
		}
		if (is_forgotten(c, q)) {
			q->listed = 0;
			g_ptr_array_remove_index_fast(a->queues, i);
			continue;
		}
		i++;
		q->build = 0;
		if (cgroup_blocked(q->group)) continue;
		q->build = a->build;
		g_ptr_array_add(a->built, q);
		set_spans(c, q, reach_us);
		if (!q->n) q->coming.slope *= each;
		t = table_of(a, q->tier);
		if (q->n) reach(t, &q->now, q->now.to);
		t = table_of(a, tier_of_rank(q));
		reach(t, &q->coming, q->coming.from);
	}
}

static void build(const struct core *c, struct cservice *s)
{
	struct cahead_line now[CT_TIERS][CAHEAD_NODES + 1] = {0};
	struct cahead_line coming[CT_TIERS][CAHEAD_NODES + 1] = {0};
	struct cahead *a = &s->ahead;
	struct cahead_table *t;
	uint32_t k;
	guint i;

	a->build++;
	a->changes = 0;
	a->built_us = c->now;
	g_ptr_array_set_size(a->built, 0);
	prepare(c, s, a->reach_us / cforecast_observed(c, s));
	for (i = 0; i < CT_TIERS; i++) {
		t = a->table[i];
		if (!t || t->build != a->build || t->origin > t->end) continue;
		t->end += SLACK * (t->end - t->origin) + MAX(s->mean_need, 1);
	}
	for (i = 0; i < a->built->len; i++) {
		struct cqueue *q = a->built->pdata[i];

		k = tier_of_rank(q);
		if (q->n) add_span(a->table[q->tier], now[q->tier], &q->now);
		add_span(a->table[k], coming[k], &q->coming);
	}
	for (i = 0; i < CT_TIERS; i++) {
		t = a->table[i];
		if (!t || t->build != a->build || t->origin > t->end) continue;
		sum_up(t, now[i], t->now);
		sum_up(t, coming[i], t->coming);
	}
}

static double look_up(const struct cahead_table *t, const double *sum, double vtime)
{
	double at = node_of(t, vtime), low;
	int i = at >= CAHEAD_NODES ? CAHEAD_NODES - 1 : (int)at;

	if (at >= CAHEAD_NODES) return sum[CAHEAD_NODES];
	low = node_at(t, i);
	return sum[i] + (sum[i + 1] - sum[i]) * (vtime - low) / (node_at(t, i + 1) - low);
}

static int is_stale(const struct core *c, const struct cahead *a)
{
	return a->changes > a->queues->len / CHANGED_PART || c->now - a->built_us > AGE_MAX_US;
}

struct cahead_work cahead_of(const struct core *c, const struct cticket *t)
{
	const struct cqueue *q = t->queue;
	struct cahead *a = &q->service->ahead;
	double cost = cforecast_cost(&t->info) / t->group->row.weight, vtime, coming;
	struct cahead_work w = {0, 0};
	const struct cahead_table *p;

	if (is_stale(c, a)) build(c, q->service);
	p = a->table[q->tier];
	if (!p || p->build != a->build || p->origin > p->end) return w;
	/* Tickets go by the time at which they start, in whole: those that wait count up to
	 * half a ticket later on average; those that come later with the same time are behind.
	 */
	vtime = t->tag + cost / 2;
	w.waiting = look_up(p, p->now, vtime);
	coming = look_up(p, p->coming, t->tag);
	if (q->build == a->build) w.waiting -= span_at(&q->now, vtime);
	q = counting(q);
	if (q->build == a->build && p == a->table[tier_of_rank(q)])
		coming -= span_at(&q->coming, t->tag);
	w.waiting = MAX(w.waiting, 0);
	if (a->reach_us > 0) w.rate = MAX(coming, 0) / a->reach_us;
	return w;
}
