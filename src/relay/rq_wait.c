/* Requests that wait for an engine's memory: the most urgent first, for a part of their aim. */
#include "rq_impl.h"
#include <string.h>

#define WAIT_PART 4          /* of the aim: a refusal that comes later helps nobody */
#define WAIT_SAFE_US 20000   /* before it: for the refusal to arrive */
#define WAIT_LOOK_US 10000   /* how often what waits is looked at */
#define COME_BACK_US 1200000 /* memory for one more is free again after about so long */

static GPtrArray *waiting; /* the most urgent first, then the oldest */
static struct ev_timer waiting_timer;

static int before(const struct rq *a, const struct rq *b)
{
	int pa = rq_priority(a), pb = rq_priority(b);

	return pa != pb ? pa < pb : a->began_us < b->began_us;
}

void rq_stop_waiting(struct rq *r)
{
	if (!r->waiting) return;
	r->waiting = 0;
	g_ptr_array_remove(waiting, r);
	met_set(MET_G_WAITING, waiting->len);
}

/* Something more urgent, or as urgent and older, waits for the same service. */
static int must_queue(const struct rq *r)
{
	uint32_t i;

	for (i = 0; waiting && i < waiting->len; i++) {
		const struct rq *o = g_ptr_array_index(waiting, i);

		if (!strcmp(o->service->name, r->service->name) && before(o, r)) return 1;
	}
	return 0;
}

/* 1 when it was sent or refused, 0 when it still waits. */
static int try_waiting(struct rq *r)
{
	struct be *b = rq_pick(r, NULL);

	if (b && rq_fits(r, b)) {
		rq_stop_waiting(r);
		rq_place(r);
		return 1;
	}
	if (ev_now() < r->wait_us) return 0;
	rq_stop_waiting(r);
	rq_refuse(r, b ? REF_BUSY : REF_NO_ENGINE, COME_BACK_US,
		  b ? "no engine has memory for it" : "no usable engine is known");
	return 1;
}

static void on_waiting_timer(struct ev_timer *t)
{
	uint32_t i = 0;

	while (i < waiting->len)
		if (!try_waiting(g_ptr_array_index(waiting, i))) i++;
	if (waiting->len) ev_in(t, WAIT_LOOK_US);
}

static int should_wait(struct rq *r, const struct be *b)
{
	if (!r->service->engine || r->sends || r->waiting || r->wait_us) return 0;
	return !b || must_queue(r) || !rq_fits(r, b);
}

static void wait_for_room(struct rq *r)
{
	uint32_t i;

	if (!waiting) waiting = g_ptr_array_new();
	waiting_timer.fire = on_waiting_timer;
	for (i = waiting->len; i > 0; i--)
		if (!before(r, g_ptr_array_index(waiting, i - 1))) break;
	g_ptr_array_insert(waiting, (int)i, r);
	r->waiting = 1;
	r->wait_us = r->began_us + r->route->aim_us / WAIT_PART - WAIT_SAFE_US;
	met_set(MET_G_WAITING, waiting->len);
	if (!waiting_timer.armed) ev_in(&waiting_timer, WAIT_LOOK_US);
}

int rq_wait(struct rq *r, const struct be *b)
{
	if (!should_wait(r, b)) return 0;
	wait_for_room(r);
	return 1;
}
