/*
 * Running streams leave an engine that goes away. Either a running copy of the memory is kept
 * at another engine already (a backup), or the memory is moved on request: first while the
 * source runs, then the rest with the source stopped. The reader's stream goes on with the
 * event after the last one that it has.
 */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <stddef.h>

#define SETTLE_US 400000    /* a prompt's memory crosses a link in 0.2 to 0.4 s */
#define TURN_MAX_US 1000000 /* engines leave some two seconds after their notice */
#define TURN_LOOK_US 10000  /* between two looks at whose turn it is: a move takes 200 ms */
#define TURN_TIMES 2        /* a move to another data centre takes twice as long */

void move_log(const struct rq *r, const char *event, int status)
{
	const struct move *m = &r->move;
	GString *g = jlog_begin("relay", event);

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "from", m->source ? m->source->id : r->leg->be->id);
	jlog_str(g, "to", m->target ? m->target->id : NULL);
	if (status) jlog_int(g, "status", status);
	jlog_int(g, "tries", m->tries);
	jlog_str(g, "after_event", r->seen.id);
	jlog_end(g);
}

void move_count_inbound(struct move *m, uint32_t tokens)
{
	if (!m->target || m->inbound == tokens) return;
	m->target->own.inbound += tokens - m->inbound;
	m->inbound = tokens;
	mesh_load_changed(m->target);
}

void move_forget_ends(struct move *m)
{
	move_count_inbound(m, 0);
	be_unref(m->source);
	be_unref(m->target);
	m->source = m->target = NULL;
}

void move_stop(struct rq *r)
{
	struct move *m = &r->move;

	ev_stop(&m->timer);
	if (m->hx) hx_cancel(m->hx);
	m->hx = NULL;
	move_drop_copy(m);
	m->stopped = m->silent = 0;
	if (m->body) g_string_free(m->body, TRUE);
	m->body = NULL;
	move_forget_ends(m);
	m->state = MOVE_NONE;
}

void move_later(struct rq *r, int64_t in_us)
{
	r->move.state = MOVE_SETTLE;
	ev_in(&r->move.timer, in_us);
}

/* How long the moves of other instances that come first may take on the engine's link. */
static int64_t turn_most_us(const struct rq *r, uint32_t before)
{
	uint64_t bits = (uint64_t)before * r->service->token_bytes * 8 * TURN_TIMES;
	int64_t us = r->service->link_mbps > 0 ? (int64_t)(bits / r->service->link_mbps) : 0;

	return MIN(us, TURN_MAX_US);
}

/* Copies of one engine queue on its link one after the other: two that run side by side are
 * both whole only when the second is, and the parts that come after wait for both. So one
 * instance moves its streams at a time, and the next begins once those before it have none
 * left, or took longer than they should. */
static int its_turn(struct rq *r)
{
	uint32_t before = mesh_unreplicated_before(r->leg->be);
	int64_t now = clock_us();

	if (!before) return 1;
	if (!r->move.turn_us) r->move.turn_us = now + turn_most_us(r, before);
	return now >= r->move.turn_us;
}

void move_go_on(struct rq *r)
{
	struct move *m = &r->move;
	int64_t whole_us;

	if (m->state != MOVE_SETTLE || m->timer.armed) return;
	if (!r->leg || !r->leg->hx) return;
	if (!m->silent && (!r->seen.count || !r->leg->first_us)) return;
	if (move_has_backup(r)) {
		whole_us = r->leg->first_us + SETTLE_US;
		if (clock_us() >= whole_us)
			move_to_backup(r);
		else
			ev_at(&m->timer, whole_us);
		return;
	}
	if (!r->service->moves) return;
	if (m->silent || its_turn(r))
		move_copy_begin(r);
	else
		move_later(r, TURN_LOOK_US);
}

static void on_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, move.timer));

	switch (r->move.state) {
	case MOVE_SETTLE: move_go_on(r); return;
	case MOVE_LAST:
		if (r->move.stopped)
			move_use_handle(r);
		else
			move_order(r, 1);
		return;
	case MOVE_NEXT:
		if (r->next)
			move_not_answered(r);
		else
			move_use_again(r);
		return;
	case MOVE_COPY:
		if (!r->move.hx) move_order(r, 0);
		return;
	case MOVE_NONE: return;
	}
}

void move_init(struct rq *r)
{
	r->move.timer.fire = on_timer;
}

void move_begin(struct rq *r)
{
	if (!r->service->engine || r->route->resumable) return;
	if (r->route->kind != CONF_STREAM || r->move.state != MOVE_NONE) return;
	if (!r->service->moves && !r->service->backups) return;
	r->move.state = MOVE_SETTLE;
	r->move.tries = 0;
	r->move.turn_us = 0;
	r->move.silent = 0;
	move_go_on(r);
}

void move_from_silent(struct rq *r)
{
	if (!r->service->moves || !r->leg->hx) return;
	r->move.tries = 0;
	r->move.silent = 1; /* others that have work there may not move it */
	move_copy_begin(r);
}

void move_lost(struct rq *r, const char *why)
{
	move_stop(r);
	if (r->leg->hx) return; /* the source still runs: nothing is lost yet */
	r->runs++;
	rq_fail(r, REF_STREAM_LOST, why);
}

int move_stops_source(const struct rq *r)
{
	const struct move *m = &r->move;

	return m->state == MOVE_LAST || (m->state == MOVE_NEXT && m->stopped);
}

int move_source_ended(struct rq *r)
{
	struct move *m = &r->move;

	switch (m->state) {
	case MOVE_NEXT: return 1;
	case MOVE_LAST:
		if (m->hx) return 1;
		if (!m->stopped) break;
		ev_stop(&m->timer);
		move_use_handle(r);
		return 1;
	case MOVE_NONE:
	case MOVE_SETTLE:
	case MOVE_COPY: break;
	}
	move_stop(r);
	return 0;
}
