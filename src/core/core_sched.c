/* Scheduling: selects the next ticket and its engine. */
#include "core_impl.h"

#define GAP_WEIGHT 0.1
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 30000
#define RETRY_UNKNOWN_MS 1000

void csched_order(struct core *c, const struct core_order *o)
{
	if (c->orders_read == c->orders->len) {
		g_array_set_size(c->orders, 0);
		c->orders_read = 0;
	}
	g_array_append_vals(c->orders, o, 1);
}

uint32_t csched_retry_ms(const struct core *c, const struct cservice *s)
{
	double ms = s->grant_gap_us * (s->waiting + 1) / 1000;

	(void)c;
	if (s->grant_gap_us == 0) return RETRY_UNKNOWN_MS;
	if (ms < RETRY_MIN_MS) return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

/* Returns the engine with the most free memory that has need tokens free, or NULL. */
static struct cengine *pick_engine(struct core *c, struct cservice *s, int64_t need)
{
	struct cengine *e, *best = NULL;
	int64_t free_tokens, max_free = need - 1;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		e = s->engines->pdata[i];
		if (!cengine_accepts(c, e)) continue;
		free_tokens = cengine_free_tokens(c, e);
		if (free_tokens <= max_free) continue;
		max_free = free_tokens;
		best = e;
	}
	return best;
}

static void record_grant(struct core *c, struct cservice *s)
{
	double gap = (double)(c->now - s->last_grant_us);

	if (s->last_grant_us) s->grant_gap_us += GAP_WEIGHT * (gap - s->grant_gap_us);
	s->last_grant_us = c->now;
}

void csched_grant(struct core *c, struct cservice *s, struct cticket *t, struct cengine *e)
{
	struct core_order o = {.type = CORE_GRANT, .ref = t->ref, .engine = e->id};

	o.waited_us = c->now - t->info.arrived_us;
	if (t->group->vtime > c->vnow) c->vnow = t->group->vtime;
	cticket_start(c, t, e);
	record_grant(c, s);
	csched_order(c, &o);
}

void csched_service(struct core *c, struct cservice *s)
{
	struct cqueue *q;
	struct cticket *t;
	struct cengine *e;
	int64_t need;

	if (c->cfg.admission) {
		cadmit_schedule(c, s);
		return;
	}
	while ((q = heap_top(&s->ready))) {
		t = q->first;
		need = (int64_t)t->info.prompt_tokens + t->info.generated +
		       c->cfg.reserve_tokens;
		e = pick_engine(c, s, need);
		if (!e) return;
		csched_grant(c, s, t, e);
	}
}

void csched_all(struct core *c)
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &s)) csched_service(c, s);
}
