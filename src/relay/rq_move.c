/* Moves running streams away from an engine that leaves. Either a replica of the memory is
 * already kept at another engine, or the memory is copied on order: first while the source
 * runs, then the rest with the source stopped. The reader's stream continues after the last
 * event that it has received. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <stddef.h>

#define SETTLE_US 400000         /* a prompt's memory takes 0.2 to 0.4 s on a link */
#define LINK_WAIT_MAX_US 1000000 /* engines stop some two seconds after their notice */
#define LINK_POLL_US 10000       /* between two checks of the link: a move takes 200 ms */
#define CROSS_DC_FACTOR 2        /* a move to another data centre takes twice as long */

void move_log(const struct rq *r, const char *event, int status)
{
	const struct move *m = &r->move;
	GString *g = jlog_begin("relay", event);

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "from", m->source ? m->source->id : r->attempt->be->id);
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

void move_clear_servers(struct move *m)
{
	move_count_inbound(m, 0);
	be_unref(m->source);
	be_unref(m->target);
	m->source = m->target = NULL;
}

void move_reset(struct rq *r)
{
	struct move *m = &r->move;

	ev_stop(&m->timer);
	if (m->hx) hx_cancel(m->hx);
	m->hx = NULL;
	move_drop_copy(m);
	m->source_stopped = m->from_silent = 0;
	if (m->body) g_string_free(m->body, TRUE);
	m->body = NULL;
	move_clear_servers(m);
	m->state = MOVE_NONE;
}

void move_postpone(struct rq *r, int64_t in_us)
{
	r->move.state = MOVE_PENDING;
	ev_in(&r->move.timer, in_us);
}

/* Time that the moves of instances earlier in the order may take on the engine's link. before:
 * their tokens. */
static int64_t link_wait_us(const struct rq *r, uint32_t before)
{
	uint64_t bits = (uint64_t)before * r->service->token_bytes * 8 * CROSS_DC_FACTOR;
	int64_t us = r->service->link_mbps > 0 ? (int64_t)(bits / r->service->link_mbps) : 0;

	return MIN(us, LINK_WAIT_MAX_US);
}

/* Copies from one engine queue on its link: two that run side by side both complete only when
 * the second does, and the parts that follow wait for both. So one instance moves its streams
 * at a time; the next starts once those before it have none left, or have taken longer than
 * they should. */
static int may_use_link(struct rq *r)
{
	uint32_t before = mesh_unreplicated_before(r->attempt->be);
	int64_t now = clock_us();

	if (!before) return 1;
	if (!r->move.start_by_us) r->move.start_by_us = now + link_wait_us(r, before);
	return now >= r->move.start_by_us;
}

void move_continue(struct rq *r)
{
	struct move *m = &r->move;
	int64_t whole_us;

	if (m->state != MOVE_PENDING || m->timer.armed) return;
	if (!r->attempt || !r->attempt->hx || !rq_can_continue(r)) return;
	if (!m->from_silent && (!r->seen.count || !r->attempt->first_us)) return;
	if (move_has_replica(r)) {
		whole_us = r->attempt->first_us + SETTLE_US;
		if (clock_us() >= whole_us)
			move_to_replica(r);
		else
			ev_at(&m->timer, whole_us);
		return;
	}
	if (!r->service->moves) return;
	if (m->from_silent || may_use_link(r))
		move_copy_begin(r);
	else
		move_postpone(r, LINK_POLL_US);
}

static void on_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, move.timer));

	switch (r->move.state) {
	case MOVE_PENDING: move_continue(r); return;
	case MOVE_FINAL_COPY:
		if (r->move.source_stopped)
			move_resume_at_target(r);
		else
			move_order_copy(r, 1);
		return;
	case MOVE_SWITCHING:
		if (r->next)
			move_next_timed_out(r);
		else
			move_resume_again(r);
		return;
	case MOVE_COPYING:
		if (!r->move.hx) move_order_copy(r, 0);
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
	if (!r->service->moves && !r->service->replicas) return;
	r->move.state = MOVE_PENDING;
	if (!r->move.returned) r->move.tries = 0;
	r->move.start_by_us = 0;
	r->move.from_silent = 0;
	move_continue(r);
}

void move_from_silent(struct rq *r)
{
	if (!r->service->moves || !r->attempt->hx || !rq_can_continue(r)) return;
	r->move.tries = 0;
	r->move.from_silent =
		1; /* its engine runs on: no waiting for streams of others that move */
	move_copy_begin(r);
}

void move_fail(struct rq *r, const char *why)
{
	move_reset(r);
	if (r->attempt->hx) return; /* the source still runs: nothing is lost yet */
	r->runs++;
	rq_fail(r, REF_STREAM_LOST, why);
}

int move_stops_source(const struct rq *r)
{
	const struct move *m = &r->move;

	return m->state == MOVE_FINAL_COPY || (m->state == MOVE_SWITCHING && m->source_stopped);
}

int move_source_ended(struct rq *r)
{
	struct move *m = &r->move;

	switch (m->state) {
	case MOVE_SWITCHING: return 1;
	case MOVE_FINAL_COPY:
		if (m->hx) return 1;
		if (!m->source_stopped) break;
		ev_stop(&m->timer);
		move_resume_at_target(r);
		return 1;
	case MOVE_NONE:
	case MOVE_PENDING:
	case MOVE_COPYING: break;
	}
	move_reset(r);
	return 0;
}
