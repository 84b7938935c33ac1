/* The keeper's engines, their estimated memory use, and the services that they provide. */
#include "core_impl.h"

static struct cservice *cservice_get(struct core *c, uint64_t id)
{
	struct cservice *s = g_hash_table_lookup(c->services, &id);

	if (s) return s;
	s = g_new0(struct cservice, 1);
	s->id = id;
	s->engines = g_ptr_array_new();
	cagenda_init(&s->agenda);
	cahead_init(&s->ahead);
	heap_init(&s->ready, cqueue_before, offsetof(struct cqueue, pos));
	g_hash_table_insert(c->services, &s->id, s);
	return s;
}

void cservice_free(void *p)
{
	struct cservice *s = p;

	heap_free(&s->ready);
	cagenda_free(&s->agenda);
	cahead_free(&s->ahead);
	g_ptr_array_unref(s->engines);
	g_free(s);
}

static struct cengine *engine_new(struct core *c, uint64_t id)
{
	struct cengine *e = g_new0(struct cengine, 1);

	e->id = id;
	e->services = g_ptr_array_new();
	e->tickets = g_ptr_array_new();
	g_hash_table_insert(c->engines, &e->id, e);
	return e;
}

void cengine_free(void *p)
{
	struct cengine *e = p;

	g_ptr_array_unref(e->services);
	g_ptr_array_unref(e->tickets);
	g_free(e);
}

/* Refuses the tickets that wait for a service whose last engine at this keeper is gone. */
static void refuse_unserved(struct core *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (!((struct cservice *)p)->engines->len) cticket_refuse_all(c, p);
}

static void unlink_services(struct cengine *e)
{
	struct cservice *s;
	guint i;

	for (i = 0; i < e->services->len; i++) {
		s = e->services->pdata[i];
		if (s->reserved == e) s->reserved = NULL;
		g_ptr_array_remove(s->engines, e);
		cadmit_engines_changed(s);
	}
	g_ptr_array_set_size(e->services, 0);
}

void cengine_set(struct core *c, const struct core_event *ev)
{
	struct cengine *e = g_hash_table_lookup(c->engines, &ev->u.engine.id);
	struct cservice *s;
	uint32_t i;

	if (!e) e = engine_new(c, ev->u.engine.id);
	unlink_services(e);
	e->leaving = ev->u.engine.leaving;
	for (i = 0; i < ev->u.engine.nservices && i < CORE_ENGINE_SERVICES_MAX; i++) {
		s = cservice_get(c, ev->u.engine.service[i]);
		g_ptr_array_add(s->engines, e);
		g_ptr_array_add(e->services, s);
		cadmit_engines_changed(s);
	}
	refuse_unserved(c);
}

/* Drops the tickets that ran there. Their entries detect the failure by themselves. */
void cengine_gone(struct core *c, uint64_t id)
{
	struct cengine *e = g_hash_table_lookup(c->engines, &id);
	struct cticket *t;

	if (!e) return;
	while (e->tickets->len) {
		t = e->tickets->pdata[0];
		cticket_end(c, t->ref, 0, 0);
	}
	unlink_services(e);
	g_hash_table_remove(c->engines, &id);
	refuse_unserved(c);
}

/* Each step yields one token per stream: charges the groups for the steps. */
static void charge_steps(struct core *c, struct cengine *e, uint64_t steps)
{
	struct cticket *t;
	guint i;

	for (i = 0; i < e->tickets->len; i++) {
		t = e->tickets->pdata[i];
		cgroup_charge(t->group, (double)steps);
	}
	for (i = 0; i < e->tickets->len; i++) {
		t = e->tickets->pdata[i];
		cgroup_refill(c, t->group);
		cgroup_update_queues(t->group);
	}
}

static void reset_steps(struct cengine *e, const struct core_load *l)
{
	struct cticket *t;
	guint i;

	e->steps_sum = 0;
	for (i = 0; i < e->tickets->len; i++) {
		t = e->tickets->pdata[i];
		t->steps_at_grant = l->steps;
		e->steps_sum += l->steps;
	}
	e->load = *l;
}

void cengine_link_lost(struct core *c, uint64_t id)
{
	struct cengine *e = g_hash_table_lookup(c->engines, &id);

	if (e) e->failed_lately = 1;
}

static int holds_as_much(const struct core_load *a, const struct core_load *b)
{
	return a->capacity_tokens == b->capacity_tokens && a->max_running == b->max_running &&
	       a->usable_in_us == b->usable_in_us;
}

static void tell_services(struct core *c, struct cengine *e, const struct core_load *l)
{
	guint i;

	if (!e->reported || !holds_as_much(&e->load, l))
		for (i = 0; i < e->services->len; i++)
			cadmit_engines_changed(e->services->pdata[i]);
	else
		cadmit_room_changed(c, e);
}

void cengine_load(struct core *c, const struct core_load *l)
{
	struct cengine *e = g_hash_table_lookup(c->engines, &l->engine);
	uint64_t before;

	if (!e) return;
	e->last_seen_us = c->now;
	e->failed_lately = 0;
	if (c->cfg.admission) tell_services(c, e, l);
	if (!e->reported || l->steps < e->load.steps) {
		e->reported = 1;
		reset_steps(e, l);
		return;
	}
	before = e->load.steps;
	e->load = *l;
	/* With admission the whole cost is charged at the grant. */
	if (l->steps > before && !c->cfg.admission) charge_steps(c, e, l->steps - before);
}

static int64_t cengine_used(const struct cengine *e)
{
	uint64_t grown = e->tickets->len * e->load.steps - e->steps_sum;
	int64_t own = (int64_t)(e->prompt_sum + grown);

	return own > e->load.used_tokens ? own : e->load.used_tokens;
}

int64_t cengine_free_tokens(const struct core *c, const struct cengine *e)
{
	int64_t reserve = (int64_t)e->tickets->len * c->cfg.reserve_tokens;

	return (int64_t)e->load.capacity_tokens - cengine_used(e) - reserve;
}

int cengine_serves(const struct core *c, const struct cengine *e)
{
	if (e->leaving || !e->reported) return 0;
	if (c->now - e->last_seen_us > c->cfg.engine_silent_us) return 0;
	return !c->cfg.admission || e->load.usable_in_us == 0;
}

int cengine_accepts(const struct core *c, const struct cengine *e)
{
	if (e->failed_lately || !cengine_serves(c, e)) return 0;
	return c->cfg.admission || e->tickets->len < e->load.max_running;
}

void cengine_add(struct cengine *e, struct cticket *t)
{
	t->engine = e;
	t->at = e->tickets->len;
	t->steps_at_grant = e->load.steps;
	g_ptr_array_add(e->tickets, t);
	e->prompt_sum += t->info.prompt_tokens + t->info.generated;
	e->growth_sum += t->info.growth_tokens;
	e->steps_sum += t->steps_at_grant;
}

void cengine_remove(struct cengine *e, struct cticket *t)
{
	struct cticket *last = e->tickets->pdata[e->tickets->len - 1];

	last->at = t->at;
	e->tickets->pdata[t->at] = last;
	g_ptr_array_set_size(e->tickets, (gint)e->tickets->len - 1);
	e->prompt_sum -= t->info.prompt_tokens + t->info.generated;
	e->growth_sum -= t->info.growth_tokens;
	e->steps_sum -= t->steps_at_grant;
	t->engine = NULL;
}
