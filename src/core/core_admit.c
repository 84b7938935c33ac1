/* Admission: the verdict on a new ticket, and the order in which those that wait are granted.
 * Answers loads of several times what fits: who can't be served in time learns it at once, and
 * who is admitted is served. */
#include "core_impl.h"

/* Of the queues that may be tried for one engine: smaller requests may pass one that fits
 * nowhere. */
#define TRIES_MAX 8
/* A forecast must leave this much more time than it takes: those who are admitted are to be
 * served nine times in ten. */
#define MARGIN 1.1
/* Standard deviations of the arrivals that will overtake a request, to allow for: nine times in
 * ten there are no more of them. */
#define CAUTION 1.3
/* One that waits is refused when even so many standard deviations less would be too many. With
 * 0 the noise of the forecast refused more than a tenth of those that were admitted. */
#define PATIENCE 1

/* Between examinations of all that wait, which take some hundred microseconds for a thousand
 * queues. */
#define SWEEP_US 50000

static uint32_t rank_of(const struct cqueue *q)
{
	return MIN(q->rank, CORE_RANKS);
}

static void set_queue_tier(struct core *c, struct cqueue *q, uint32_t tier)
{
	struct cservice *s = q->service;

	(void)c;
	s->tier_work[q->tier] -= q->work;
	q->tier = tier;
	s->tier_work[q->tier] += q->work;
}

void cadmit_set_tier(struct core *c, struct cqueue *q)
{
	uint32_t tier = CT_TIER_RANK + rank_of(q);

	if (q->due)
		tier = CT_TIER_DUE;
	else if (q->by_floor || cfloor_is_below(c, q->group, q->kind))
		tier = CT_TIER_FLOOR;
	if (tier != q->tier) set_queue_tier(c, q, tier);
}

static void add(struct cqueue *q, const struct core_ticket_info *i, int sign)
{
	q->work += sign * cforecast_work(i);
	q->cost += sign * cforecast_cost(i);
	q->service->tier_work[q->tier] += sign * cforecast_work(i);
	if (q->n) return;
	/* Sums of floating-point numbers: nothing is left of them in an empty queue. */
	q->service->tier_work[q->tier] -= q->work;
	q->work = q->cost = 0;
}

void cadmit_joined(struct core *c, struct cticket *t)
{
	add(t->queue, &t->info, 1);
	c->stats.waiting[cforecast_class(t->info.rank)]++;
	cfloor_waits(t->queue, 1);
	cgroup_tag(c, t);
	cahead_changed(t->queue);
}

static void end_reservation(struct cservice *s)
{
	s->reserved = NULL;
	s->reserved_for = NULL;
	s->in_vain = 0;
}

void cadmit_left(struct core *c, struct cticket *t)
{
	struct cservice *s = t->queue->service;

	add(t->queue, &t->info, -1);
	c->stats.waiting[cforecast_class(t->info.rank)]--;
	ccaller_left(c, t);
	cfloor_waits(t->queue, -1);
	cahead_changed(t->queue);
	/* Another ticket is now the first of the queue. */
	if (t->queue->n && t->info.arrived_us <= t->queue->first->info.arrived_us)
		s->in_vain = 0;
	if (!s->waiting) cforecast_none_waits(s);
	if (s->reserved_for == t) end_reservation(s);
}

void cadmit_granted(struct core *c, struct cticket *t)
{
	double *vnow = &c->vnow_of[rank_of(t->queue)];

	/* Other tiers are not served in the order of tags. */
	if (t->queue->tier >= CT_TIER_RANK) *vnow = MAX(*vnow, t->tag);
	cgroup_count(t->group, cforecast_cost(&t->info));
	cfloor_served(c, t->queue);
	cforecast_granted(c, t->queue->service, &t->info);
	/* The entry confirms grants: the time that it waited does not count. */
	t->last_seen_us = c->now;
	ccaller_granted(c, t->info.caller);
	if (t->kept_appointment) c->stats.kept++;
}

static void forget_vain_tries(struct cservice *s)
{
	s->least_misfit = 0;
	s->in_vain = 0;
}

void cadmit_room_changed(struct core *c, struct cengine *e)
{
	guint i;

	(void)c;
	for (i = 0; i < e->services->len; i++) forget_vain_tries(e->services->pdata[i]);
}

void cadmit_engines_changed(struct cservice *s)
{
	forget_vain_tries(s);
	s->capacity_us = s->swept_us = 0;
}

int cadmit_early(struct core *c, struct cservice *s, const struct core_ticket_info *i)
{
	int64_t in_us = cagenda_only(c, s, i->caller);
	struct core_order o = {.type = CORE_REFUSE, .ref = i->ref, .why = CORE_REF_EARLY};

	if (!i->caller || !in_us || ccaller_is_common(c, i->caller)) return 0;
	/* It may not wait for so long: another caller with the same content. */
	if (in_us > i->horizon_us) return 0;
	o.retry_after_ms = (uint32_t)(in_us / 1000) + 1;
	o.expected_us = in_us;
	csched_order(c, &o);
	return 1;
}

/* Refuses t, with an appointment if there is one to give. */
static void refuse(struct core *c, struct cticket *t, enum core_refusal why, int64_t wait_us)
{
	int64_t in_us = cagenda_give(c, t->queue->service, t, wait_us);
	struct core_order o = {.type = CORE_REFUSE, .ref = t->ref, .expected_us = wait_us};

	o.why = why == CORE_REF_LATE ? why : in_us ? CORE_REF_APPOINTMENT : CORE_REF_NO_TIME;
	o.retry_after_ms = in_us ? (uint32_t)(in_us / 1000) + 1 : 0;
	o.waited_us = c->now - t->info.arrived_us;
	if (t->kept_appointment) c->stats.missed++;
	cticket_reject(c, t, &o);
}

void cadmit_late(struct core *c, struct cticket *t)
{
	struct cforecast f = cforecast_of(c, t);

	refuse(c, t, CORE_REF_LATE, cforecast_wait_us(c, t, &f, 0));
}

static void wait_order(struct core *c, const struct cticket *t, int64_t wait_us)
{
	struct core_order o = {.type = CORE_WAIT, .ref = t->ref, .expected_us = wait_us};

	csched_order(c, &o);
}

static int in_time(const struct core *c, const struct cticket *t, int64_t wait_us,
		   double margin)
{
	if (wait_us == INT64_MAX) return 0;
	return (double)wait_us * margin <= (double)(t->info.latest_us - c->now);
}

/* Grants the first ticket of a queue if it fits anywhere. */
static int try_queue(struct core *c, struct cservice *s, struct cqueue *q)
{
	struct cticket *t = q->first;
	double need = cfit_need(&t->info);
	struct cengine *e;

	if (s->least_misfit > 0 && need >= s->least_misfit) return 0;
	e = cfit_pick(c, s, t);
	if (!e) {
		/* An engine may be excluded for this one alone. */
		if (!t->info.excluded && !s->reserved) s->least_misfit = need;
		return 0;
	}
	csched_grant(c, s, t, e);
	return 1;
}

/* Keeps an engine for the first ticket once it has been passed for half of its time. */
static void reserve(struct core *c, struct cservice *s, const struct cqueue *q)
{
	const struct core_ticket_info *i = &q->first->info;

	if (s->reserved && !cengine_accepts(c, s->reserved)) end_reservation(s);
	if (s->reserved || c->now - i->arrived_us < (i->latest_us - i->arrived_us) / 2) return;
	s->reserved = cfit_soonest(c, s, q->first);
	if (s->reserved) s->reserved_for = q->first;
}

/* One grant, or 0. The queues that are tried in vain are taken out of the heap meanwhile. */
static int grant_one(struct core *c, struct cservice *s)
{
	struct cqueue *tried[TRIES_MAX], *q;
	int n = 0, granted = 0;

	while (n < TRIES_MAX && !granted && (q = heap_top(&s->ready))) {
		if (!n) reserve(c, s, q);
		granted = try_queue(c, s, q);
		if (granted) break;
		tried[n++] = q;
		heap_remove(&s->ready, q);
	}
	/* A grant may have brought the group of a queue tried before to its ceiling. */
	while (n-- > 0)
		if (tried[n]->pos == HEAP_OUT && !cgroup_blocked(tried[n]->group))
			heap_push(&s->ready, tried[n]);
	return granted;
}

void cadmit_schedule(struct core *c, struct cservice *s)
{
	if (s->in_vain) return;
	while (grant_one(c, s))
		;
	s->in_vain = 1;
}

/* A ticket joined. Those that were tried before it in vain need not be tried again. */
static void schedule_joined(struct core *c, struct cservice *s, struct cticket *t)
{
	if (!s->in_vain)
		cadmit_schedule(c, s);
	else if (!t->prev && t->queue->pos != HEAP_OUT)
		try_queue(c, s, t->queue);
}

void cadmit_ticket(struct core *c, struct cservice *s, struct cticket *t)
{
	struct cqueue like = {.rank = t->info.rank};
	struct cforecast f;
	int64_t wait_us;

	cagenda_expire(c, s);
	t->kept_appointment = t->info.caller && cagenda_take(c, s, t->info.caller);
	like.due = t->kept_appointment;
	like.kind = cfloor_kind(c, t->info.kind);
	cfloor_asked(c, t->group, like.kind);
	like.by_floor = !like.due && cfloor_is_below(c, t->group, like.kind);
	t->queue = cgroup_queue(t->group, s, &like);
	if (!t->kept_appointment) cforecast_arrived(c, t->queue, &t->info);
	cadmit_set_tier(c, t->queue);
	cticket_enqueue(c, t);
	cgroup_refill(c, t->group);
	cgroup_update_queues(t->group);
	schedule_joined(c, s, t);
	if (t->state != CT_WAITING) return;
	cforecast_waiting(c, s);
	f = cforecast_of(c, t);
	wait_us = cforecast_wait_us(c, t, &f, 0);
	if ((like.due && wait_us != INT64_MAX) ||
	    in_time(c, t, cforecast_wait_us(c, t, &f, CAUTION), MARGIN)) {
		ccaller_joined(c, t);
		wait_order(c, t, wait_us);
	} else {
		refuse(c, t, CORE_REF_NO_TIME, wait_us);
	}
}

static void update_tiers(struct core *c, struct cservice *s)
{
	struct cqueue **q = g_memdup2(s->ready.item, s->ready.n * sizeof *q);
	uint32_t i, n = s->ready.n, tier;

	for (i = 0; i < n; i++) {
		tier = q[i]->tier;
		cadmit_set_tier(c, q[i]);
		if (tier != q[i]->tier) heap_move(&s->ready, q[i]);
	}
	g_free(q);
}

/* More urgent requests have arrived than were expected, or engines left: the youngest of a
 * queue are told at once that they will not be served in time. */
static void refuse_hopeless(struct core *c, struct cservice *s)
{
	struct cqueue **q = g_memdup2(s->ready.item, s->ready.n * sizeof *q);
	uint32_t i, n = s->ready.n;
	double supply = cforecast_supply(c, s);
	struct cforecast f;
	int64_t wait_us;

	for (i = 0; i < n; i++) {
		while (q[i]->n && (!q[i]->due || supply <= 0)) {
			f = cforecast_of(c, q[i]->last);
			wait_us = cforecast_wait_us(c, q[i]->last, &f, -PATIENCE);
			if (in_time(c, q[i]->last, wait_us, 1)) break;
			refuse(c, q[i]->last, CORE_REF_NO_TIME, wait_us);
		}
	}
	g_free(q);
}

void cadmit_tick(struct core *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cservice *s = p;

		cagenda_expire(c, s);
		cforecast_observe_use(c, s);
		forget_vain_tries(s);
		if (s->waiting) cforecast_waiting(c, s);
		if (!s->ready.n || (s->swept_us && c->now - s->swept_us < SWEEP_US)) continue;
		s->swept_us = c->now;
		update_tiers(c, s);
		refuse_hopeless(c, s);
	}
	ccaller_expire(c);
}

void core_admission_stats(const struct core *c, struct core_admission_stats *s)
{
	*s = c->stats;
}
