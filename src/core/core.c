/* Public interface of the decision core: applies events and returns orders. */
#include "core_impl.h"
#include <errno.h>

struct core *core_new(const struct core_config *cfg)
{
	struct core *c = g_new0(struct core, 1);

	c->cfg = *cfg;
	c->groups = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, cgroup_free);
	c->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, cservice_free);
	c->engines = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, cengine_free);
	c->tickets = g_hash_table_new_full(cref_hash, cref_equal, NULL, g_free);
	c->orders = g_array_new(FALSE, FALSE, sizeof(struct core_order));
	heap_init(&c->deadlines, cticket_due_before, offsetof(struct cticket, pos));
	cfloor_init(c);
	ccaller_init(c);
	return c;
}

void core_set_config(struct core *c, const struct core_config *cfg)
{
	int admission = c->cfg.admission;

	c->cfg = *cfg;
	c->cfg.admission = admission;
}

void core_free(struct core *c)
{
	heap_free(&c->deadlines);
	cfloor_free(c);
	ccaller_free(c);
	g_hash_table_unref(c->tickets);
	g_hash_table_unref(c->engines);
	g_hash_table_unref(c->services);
	g_hash_table_unref(c->groups);
	g_array_free(c->orders, TRUE);
	g_free(c);
}

static void set_row(struct core *c, const struct core_group_row *row)
{
	struct cgroup *g = cgroup_get(c, row->id);

	cgroup_refill(c, g);
	if (!g->row.ceil_tokens_per_s) {
		g->bucket = row->ceil_tokens_per_s;
		g->bucket_at = c->now;
	}
	g->row = *row;
	g->listed = 1;
}

static void set_table(struct core *c, const struct core_event *ev)
{
	GHashTableIter it;
	gpointer g;
	uint32_t i;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &g)) ((struct cgroup *)g)->listed = 0;
	for (i = 0; i < ev->u.table.n; i++) set_row(c, &ev->u.table.row[i]);
	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &g)) cgroup_update_queues(g);
}

static void set_limit(struct core *c, const struct core_event *ev)
{
	struct cgroup *g = g_hash_table_lookup(c->groups, &ev->u.limit.group);

	if (!g) return;
	g->row.limit_running = ev->u.limit.running;
	cgroup_update_queues(g);
}

/* Groups may get grants again. */
static void retry_all(struct core *c)
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &s)) ((struct cservice *)s)->in_vain = 0;
}

static void tick(struct core *c)
{
	GHashTableIter it;
	gpointer p;
	struct cgroup *g;

	cticket_expire(c);
	if (c->cfg.admission) cadmit_tick(c);
	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		g = p;
		if (!g->waiting || !g->row.ceil_tokens_per_s) continue;
		cgroup_refill(c, g);
		cgroup_update_queues(g);
	}
}

static void set_loads(struct core *c, const struct core_event *ev)
{
	uint32_t i;

	for (i = 0; i < ev->u.loads.n; i++) cengine_load(c, &ev->u.loads.load[i]);
}

static int apply(struct core *c, const struct core_event *ev)
{
	switch (ev->type) {
	case CORE_EV_TABLE: set_table(c, ev); return 0;
	case CORE_EV_LIMIT: set_limit(c, ev); return 0;
	case CORE_EV_ENGINE: cengine_set(c, ev); return 0;
	case CORE_EV_ENGINE_GONE: cengine_gone(c, ev->u.engine_gone); return 0;
	case CORE_EV_LOAD: cengine_load(c, &ev->u.load); return 0;
	case CORE_EV_LOADS: set_loads(c, ev); return 0;
	case CORE_EV_LINK_LOST: cengine_link_lost(c, ev->u.link_lost); return 0;
	case CORE_EV_TICKET: cticket_new(c, &ev->u.ticket); return 0;
	case CORE_EV_ADOPT: cticket_adopt(c, &ev->u.ticket); return 0;
	case CORE_EV_WITHDRAW:
	case CORE_EV_DONE: cticket_done(c, ev); return 0;
	case CORE_EV_FORGET: cticket_end(c, ev->u.done.ref, 0, 0); return 0;
	case CORE_EV_ENTRY_GONE: cticket_entry_gone(c, ev->u.entry_gone); return 0;
	case CORE_EV_TICK: tick(c); return 0;
	}
	return -EINVAL;
}

int core_step(struct core *c, const struct core_event *ev)
{
	int rc;

	if (ev->now_us > c->now) c->now = ev->now_us;
	rc = apply(c, ev);
	if (rc) return rc;
	if (ev->type == CORE_EV_TABLE || ev->type == CORE_EV_LIMIT) retry_all(c);
	if (ev->type != CORE_EV_TICKET) csched_all(c);
	return 0;
}

int core_next(struct core *c, struct core_order *o)
{
	if (c->orders_read == c->orders->len) return 0;
	*o = g_array_index(c->orders, struct core_order, c->orders_read++);
	return 1;
}

static struct core_digest digest(const struct core *c, const struct cservice *s)
{
	struct core_digest d = {.service = s->id, .waiting = s->waiting};
	const struct cengine *e;
	int64_t free_tokens;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		e = s->engines->pdata[i];
		if (!cengine_accepts(c, e)) continue;
		free_tokens = cengine_free_tokens(c, e);
		if (free_tokens > 0) d.free_tokens += (uint32_t)free_tokens;
		d.free_slots += e->load.max_running - e->tickets->len;
	}
	return d;
}

uint32_t core_digests(const struct core *c, int64_t now_us, struct core_digest *d, uint32_t max)
{
	const struct cservice *s;
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	(void)now_us;
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		s = p;
		if (!s->engines->len) continue;
		if (n < max) d[n] = digest(c, s);
		n++;
	}
	return n;
}

uint32_t core_stale_tickets(struct core *c, int64_t before_us, struct core_ref *out,
			    uint32_t max)
{
	struct cticket *t;
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, c->tickets);
	while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
		t = p;
		if (t->state != CT_RUNNING || t->last_seen_us >= before_us) continue;
		t->last_seen_us = c->now;
		out[n++] = t->ref;
	}
	return n;
}

uint32_t core_waiting(const struct core *c)
{
	return c->waiting;
}

uint32_t core_running(const struct core *c)
{
	return c->running;
}

double core_group_service(const struct core *c, uint64_t group)
{
	const struct cgroup *g = g_hash_table_lookup(c->groups, &group);

	return g ? g->service : 0;
}

uint32_t core_group_running(const struct core *c, uint64_t group)
{
	const struct cgroup *g = g_hash_table_lookup(c->groups, &group);

	return g ? g->running : 0;
}

uint32_t core_group_waiting(const struct core *c, uint64_t group)
{
	const struct cgroup *g = g_hash_table_lookup(c->groups, &group);

	return g ? g->waiting : 0;
}
