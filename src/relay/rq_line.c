/* Requests that wait before they are sent: the most urgent first, then the oldest. */
#include "rq_impl.h"
#include <string.h>

#define LOOK_US 10000 /* how often what waits is looked at */

static GPtrArray *line;
static struct ev_timer timer;

static int before(const struct rq *a, const struct rq *b)
{
	int ra = rq_rank(a), rb = rq_rank(b);

	return ra != rb ? ra < rb : a->began_us < b->began_us;
}

void rq_stop_waiting(struct rq *r)
{
	if (r->waiting == RQ_WAITS_NOT) return;
	r->waiting = RQ_WAITS_NOT;
	g_ptr_array_remove(line, r);
	met_set(MET_G_WAITING, line->len);
}

void rq_line_ahead(const struct rq *r, enum rq_waits what,
		   void (*f)(const struct rq *other, void *arg), void *arg)
{
	uint32_t i;

	for (i = 0; line && i < line->len; i++) {
		const struct rq *o = g_ptr_array_index(line, i);

		if (o == r || o->waiting != what || !before(o, r)) continue;
		if (!strcmp(o->service->name, r->service->name)) f(o, arg);
	}
}

/* 1 when it was sent or refused, 0 when it still waits. */
static int try(struct rq *r)
{
	switch (r->waiting) {
	case RQ_WAITS_ROOM: return rq_room_try(r);
	case RQ_WAITS_TURN: return rq_turn_try(r);
	case RQ_WAITS_NOT: break;
	}
	return 0;
}

static void on_timer(struct ev_timer *t)
{
	uint32_t i = 0;

	while (i < line->len)
		if (!try(g_ptr_array_index(line, i))) i++;
	if (line->len) ev_in(t, LOOK_US);
}

void rq_line_join(struct rq *r, enum rq_waits what)
{
	uint32_t i;

	if (!line) line = g_ptr_array_new();
	for (i = line->len; i > 0; i--)
		if (!before(r, g_ptr_array_index(line, i - 1))) break;
	g_ptr_array_insert(line, (int)i, r);
	r->waiting = what;
	met_set(MET_G_WAITING, line->len);
	timer.fire = on_timer;
	if (!timer.armed) ev_in(&timer, LOOK_US);
}
