/* Groups: their accounting, and whether they may get more grants now. */
#include "core_impl.h"

#define RATE_BURST_S 1.0 /* capacity of the rate ceiling's bucket, in seconds at that rate */

struct cgroup *cgroup_get(struct core *c, uint64_t id)
{
	struct cgroup *g = g_hash_table_lookup(c->groups, &id);

	if (g) return g;
	g = g_new0(struct cgroup, 1);
	g->id = id;
	g->row.weight = 1;
	g->vtime = c->vnow;
	g->queues = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(c->groups, &g->id, g);
	return g;
}

void cgroup_free(void *p)
{
	struct cgroup *g = p;

	g_ptr_array_unref(g->queues);
	g_free(g);
}

int cqueue_before(const void *a, const void *b)
{
	const struct cqueue *x = a, *y = b;

	if (x->tier != y->tier) return x->tier < y->tier;
	if (x->below_floor != y->below_floor) return x->below_floor;
	if (x->turn != y->turn) return x->turn < y->turn;
	if (x->kind && x->arrived_us != y->arrived_us) return x->arrived_us < y->arrived_us;
	if (x->group != y->group) return x->group->id < y->group->id;
	return x->arrived_us < y->arrived_us;
}

int cqueue_refresh(struct cqueue *q)
{
	const struct cgroup *g = q->group;
	int below_floor = g->running < g->row.floor_running;
	double turn = q->kind && q->first ? q->first->tag : g->vtime;
	int64_t arrived_us = q->first ? q->first->info.arrived_us : INT64_MAX;
	int changed =
		below_floor != q->below_floor || turn != q->turn || arrived_us != q->arrived_us;

	q->below_floor = below_floor;
	q->turn = turn;
	q->arrived_us = arrived_us;
	return changed;
}

/* like: rank, kind, and whether admitted by an appointment or the floor; all zero without
 * admission. */
struct cqueue *cgroup_queue(struct cgroup *g, struct cservice *s, const struct cqueue *like)
{
	struct cqueue *q;
	guint i;

	for (i = 0; i < g->queues->len; i++) {
		q = g->queues->pdata[i];
		if (q->service != s || q->rank != like->rank) continue;
		if (q->kind != like->kind || q->due != like->due) continue;
		if (q->by_floor == like->by_floor) return q;
	}
	q = g_new0(struct cqueue, 1);
	q->group = g;
	q->service = s;
	q->pos = HEAP_OUT;
	q->rank = like->rank;
	q->kind = like->kind;
	q->due = like->due;
	q->by_floor = like->by_floor;
	g_ptr_array_add(g->queues, q);
	return q;
}

void cgroup_count(struct cgroup *g, double tokens)
{
	g->service += tokens;
	if (g->row.ceil_tokens_per_s) g->bucket -= tokens;
}

void cgroup_charge(struct cgroup *g, double tokens)
{
	cgroup_count(g, tokens);
	g->vtime += tokens / g->row.weight;
}

void cgroup_refill(struct core *c, struct cgroup *g)
{
	double rate = g->row.ceil_tokens_per_s, burst = rate * RATE_BURST_S;

	if (rate == 0) return;
	g->bucket += (double)(c->now - g->bucket_at) / 1e6 * rate;
	if (g->bucket > burst) g->bucket = burst;
	g->bucket_at = c->now;
}

int cgroup_blocked(const struct cgroup *g)
{
	if (!g->listed) return 1;
	if (g->row.ceil_running && g->running >= g->row.limit_running) return 1;
	return g->row.ceil_tokens_per_s && g->bucket < 0;
}

void cgroup_update_queues(struct cgroup *g)
{
	int blocked = cgroup_blocked(g), changed;
	struct cqueue *q;
	guint i;

	for (i = 0; i < g->queues->len; i++) {
		q = g->queues->pdata[i];
		changed = cqueue_refresh(q);
		if (q->pos == HEAP_OUT) {
			if (q->n && !blocked) heap_push(&q->service->ready, q);
		} else if (!q->n || blocked) {
			heap_remove(&q->service->ready, q);
		} else if (changed) {
			heap_move(&q->service->ready, q);
		}
	}
}

void cgroup_activate(struct core *c, struct cgroup *g)
{
	if (g->running || g->waiting) return;
	if (g->vtime < c->vnow) g->vtime = c->vnow;
}

static double span_of(const struct cticket *t)
{
	return cforecast_cost(&t->info) / t->group->row.weight;
}

/* Start-time fair queueing. A ticket that is older than others of its queue takes their tags,
 * so that tags rise along the queue. */
void cgroup_tag(struct core *c, struct cticket *t)
{
	struct cgroup *g = t->group;
	struct cticket *p;
	double tag, last;

	g->vtime = MAX(g->vtime, c->vnow_of[MIN(t->queue->rank, CORE_RANKS)]);
	last = g->vtime;
	g->vtime += span_of(t);
	for (p = t->queue->last; p != t; p = p->prev) {
		tag = p->tag;
		p->tag = last;
		last = tag;
	}
	t->tag = last;
}

/* Its turn passes to those of its group that come later. */
void cgroup_untag(struct cticket *t)
{
	struct cgroup *g = t->group;
	double span = span_of(t);
	struct cticket *p;
	guint i;

	for (i = 0; i < g->queues->len; i++)
		for (p = ((struct cqueue *)g->queues->pdata[i])->last; p; p = p->prev) {
			if (p->tag <= t->tag) break;
			p->tag = MAX(p->tag - span, t->tag);
		}
	g->vtime = MAX(g->vtime - span, t->tag);
}
