/* Life cycle of tickets: waiting, running, ended. */
#include "core_impl.h"
#include "hash.h"

guint cref_hash(gconstpointer p)
{
	return (guint)hash_bytes(p, sizeof(struct core_ref));
}

gboolean cref_equal(gconstpointer a, gconstpointer b)
{
	const struct core_ref *x = a, *y = b;

	return x->entry == y->entry && x->request == y->request;
}

int cticket_due_before(const void *a, const void *b)
{
	return ((const struct cticket *)a)->info.deadline_us <
	       ((const struct cticket *)b)->info.deadline_us;
}

/* Inserts by arrival time: a ticket moved here from another keeper keeps its position by age.
 */
static void enqueue(struct cqueue *q, struct cticket *t)
{
	struct cticket *after = q->last;

	while (after && after->info.arrived_us > t->info.arrived_us) after = after->prev;
	t->prev = after;
	t->next = after ? after->next : q->first;
	if (t->prev)
		t->prev->next = t;
	else
		q->first = t;
	if (t->next)
		t->next->prev = t;
	else
		q->last = t;
	q->n++;
}

static void dequeue(struct cqueue *q, struct cticket *t)
{
	if (t->prev)
		t->prev->next = t->next;
	else
		q->first = t->next;
	if (t->next)
		t->next->prev = t->prev;
	else
		q->last = t->prev;
	t->prev = t->next = NULL;
	q->n--;
}

static void refuse_ref(struct core *c, struct core_ref ref, enum core_refusal why, uint32_t ms)
{
	struct core_order o = {.type = CORE_REFUSE,
			       .ref = ref,
			       .why = why,
			       .retry_after_ms = ms,
			       .expected_us = INT64_MAX};

	csched_order(c, &o);
}

static struct cticket *ticket_alloc(struct core *c, const struct core_ticket_info *info)
{
	struct cticket *t = g_new0(struct cticket, 1);

	t->ref = info->ref;
	t->info = *info;
	t->last_seen_us = c->now;
	t->group = cgroup_get(c, info->group);
	t->pos = HEAP_OUT;
	if (c->cfg.admission) t->info.deadline_us = MIN(info->deadline_us, info->latest_us);
	g_hash_table_insert(c->tickets, &t->ref, t);
	return t;
}

static int fits_any_engine(const struct core *c, const struct cservice *s, uint32_t tokens)
{
	const struct cengine *e;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		e = s->engines->pdata[i];
		if (!e->reported) return 1;
		if (tokens + c->cfg.reserve_tokens <= e->load.capacity_tokens) return 1;
	}
	return 0;
}

/* Whether the ticket has to be refused without waiting; sets why in that case. */
static int must_refuse(const struct core *c, const struct core_ticket_info *i,
		       const struct cservice *s, const struct cgroup *g, enum core_refusal *why)
{
	if (!g || !g->listed)
		*why = CORE_REF_NOT_ALLOWED;
	else if (!s || !s->engines->len)
		*why = CORE_REF_NO_ENGINE;
	else if (!fits_any_engine(c, s, i->prompt_tokens + i->generated))
		*why = CORE_REF_TOO_LONG;
	else if (g->row.ceil_waiting && g->waiting >= g->row.ceil_waiting)
		*why = CORE_REF_WAITING_CEILING;
	else if (c->waiting >= c->cfg.waiting_max)
		*why = CORE_REF_FULL;
	else
		return 0;
	return 1;
}

/* The entry sent a ticket again, as it may have missed the grant. */
static void resend_grant(struct core *c, const struct cticket *t)
{
	struct core_order o = {.type = CORE_GRANT, .ref = t->ref};

	if (t->state != CT_RUNNING) return;
	o.engine = t->engine->id;
	csched_order(c, &o);
}

void cticket_new(struct core *c, const struct core_ticket_info *info)
{
	struct cservice *s = g_hash_table_lookup(c->services, &info->service);
	struct cgroup *g = g_hash_table_lookup(c->groups, &info->group);
	enum core_refusal why;
	struct cticket *t;

	t = g_hash_table_lookup(c->tickets, &info->ref);
	if (t) {
		resend_grant(c, t);
		return;
	}
	if (must_refuse(c, info, s, g, &why)) {
		refuse_ref(c, info->ref, why, s ? csched_retry_ms(c, s) : 1000);
		return;
	}
	if (c->cfg.admission) {
		if (!cadmit_early(c, s, info)) cadmit_ticket(c, s, ticket_alloc(c, info));
		return;
	}
	cgroup_activate(c, g);
	t = ticket_alloc(c, info);
	t->queue = cgroup_queue(g, s, &(struct cqueue){0});
	cticket_enqueue(c, t);
	cgroup_refill(c, g);
	cgroup_update_queues(g);
	csched_service(c, s);
}

void cticket_enqueue(struct core *c, struct cticket *t)
{
	struct cservice *s = t->queue->service;

	enqueue(t->queue, t);
	heap_push(&c->deadlines, t);
	t->group->waiting++;
	s->waiting++;
	c->waiting++;
	if (c->cfg.admission) cadmit_joined(c, t);
}

void cticket_adopt(struct core *c, const struct core_ticket_info *info)
{
	struct cengine *e = g_hash_table_lookup(c->engines, &info->engine);
	struct cticket *t;

	if (!e || g_hash_table_lookup(c->tickets, &info->ref)) return;
	cgroup_activate(c, cgroup_get(c, info->group));
	t = ticket_alloc(c, info);
	t->state = CT_RUNNING;
	cengine_add(e, t);
	t->group->running++;
	c->running++;
	cgroup_update_queues(t->group);
}

static void leave_queue(struct core *c, struct cticket *t)
{
	dequeue(t->queue, t);
	heap_remove(&c->deadlines, t);
	t->group->waiting--;
	t->queue->service->waiting--;
	c->waiting--;
	if (c->cfg.admission) cadmit_left(c, t);
}

void cticket_start(struct core *c, struct cticket *t, struct cengine *e)
{
	leave_queue(c, t);
	t->state = CT_RUNNING;
	cengine_add(e, t);
	t->group->running++;
	c->running++;
	if (c->cfg.admission) {
		t->last_seen_us = c->now;
		cadmit_granted(c, t);
	} else {
		cgroup_charge(t->group,
			      t->info.prompt_tokens * c->cfg.prompt_weight_pc / 100.0);
	}
	cgroup_update_queues(t->group);
}

/* Replaces the charge estimated from steps by the number of tokens that were generated. */
static void settle_charge(struct cticket *t, uint32_t generated)
{
	double charged = (double)(t->engine->load.steps - t->steps_at_grant);

	cgroup_charge(t->group, (double)generated - t->info.generated - charged);
}

static void end(struct core *c, struct cticket *t, int known, uint32_t generated)
{
	if (t->state == CT_WAITING) {
		if (c->cfg.admission) cgroup_untag(t);
		leave_queue(c, t);
	} else {
		if (known && !c->cfg.admission) settle_charge(t, generated);
		if (c->cfg.admission) cadmit_room_changed(c, t->engine);
		cengine_remove(t->engine, t);
		t->group->running--;
		c->running--;
	}
	cgroup_update_queues(t->group);
	g_hash_table_remove(c->tickets, &t->ref);
}

void cticket_end(struct core *c, struct core_ref ref, int known, uint32_t generated)
{
	struct cticket *t = g_hash_table_lookup(c->tickets, &ref);

	if (t) end(c, t, known, generated);
}

void cticket_done(struct core *c, const struct core_event *ev)
{
	struct cticket *t = g_hash_table_lookup(c->tickets, &ev->u.done.ref);

	if (!t) return;
	if (ev->u.done.failed && t->engine) t->engine->failed_lately = 1;
	cticket_end(c, t->ref, 1, ev->u.done.generated);
}

static void cticket_refuse(struct core *c, struct cticket *t, enum core_refusal why)
{
	refuse_ref(c, t->ref, why, csched_retry_ms(c, t->queue->service));
	cticket_end(c, t->ref, 0, 0);
}

void cticket_reject(struct core *c, struct cticket *t, const struct core_order *o)
{
	csched_order(c, o);
	end(c, t, 0, 0);
}

void cticket_expire(struct core *c)
{
	struct cticket *t = heap_top(&c->deadlines);

	while (t && t->info.deadline_us <= c->now) {
		if (c->cfg.admission)
			cadmit_late(c, t);
		else
			cticket_refuse(c, t, CORE_REF_DEADLINE);
		t = heap_top(&c->deadlines);
	}
}

/* Refuses all tickets that wait for the service, which has no engine here any more. Their
 * entries ask other keepers. */
void cticket_refuse_all(struct core *c, struct cservice *s)
{
	struct cqueue *q;
	struct cgroup *g;
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, c->groups);
	while (s->waiting && g_hash_table_iter_next(&it, NULL, &p)) {
		g = p;
		for (i = 0; i < g->queues->len; i++) {
			q = g->queues->pdata[i];
			while (q->service == s && q->first)
				cticket_refuse(c, q->first, CORE_REF_NO_ENGINE);
		}
	}
}

void cticket_entry_gone(struct core *c, uint64_t entry)
{
	GArray *refs = g_array_new(FALSE, FALSE, sizeof(struct core_ref));
	GHashTableIter it;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&it, c->tickets);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (((struct core_ref *)key)->entry == entry) g_array_append_vals(refs, key, 1);
	for (i = 0; i < refs->len; i++)
		cticket_end(c, g_array_index(refs, struct core_ref, i), 0, 0);
	g_array_free(refs, TRUE);
}
