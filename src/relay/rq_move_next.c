/* Resumes a stream at an engine that has its memory: a replica, or what was moved. */
#include "clock.h"
#include "pace.h"
#include "rq_impl.h"
#include <errno.h>

/* How long the source runs on once the next engine has been reached: nine of ten streams are
 * answered within 43 ms of the decision. On a full link the answer was read after 438 ms, and
 * the source ran for all that time; 400 ms are allowed, of which the cancellation of the source
 * and a delayed event loop (a megabyte of configuration: 36 ms of processor time) need some. */
#define OVERLAP_MAX_US 120000
/* Timeout of the next engine's answer without a running source: the connection may be silent
 * for good, and a new one may work. */
#define NEXT_TIMEOUT_US 1000000
/* Refusals of one copy that are followed by another try: an engine that sheds a third of its
 * requests accepts by then. */
#define COPY_REFUSALS_MAX 3

/* Waits for a send slot if b limits its rate. 1 when the stream waits, or is lost; 0 when it
 * may be sent now.
 */
static int wait_for_rate(struct rq *r, struct be *b)
{
	int64_t wait_us = pace_wait_us(b, r->service, clock_us());

	if (!wait_us) return 0;
	if (r->attempt->hx && !r->move.source_stopped) {
		move_postpone(r, MOVE_RETRY_US); /* the source still runs */
		return 1;
	}
	if (wait_us > RQ_PAUSE_MAX_US) {
		move_fail(r, "the engine that has its memory takes no more requests in time");
		return 1;
	}
	r->move.state = MOVE_SWITCHING;
	ev_in(&r->move.timer, wait_us);
	return 1;
}

/* Servers crashed while requests like it ran, and it may do the same to the next one: it stays
 * where it runs, or is refused. 1 when it stays, or was freed. */
static int waits_for_suspects(struct rq *r)
{
	if (!r->attempt->hx || r->move.source_stopped) return rq_check_quarantine(r);
	if (!rq_is_held_back(r)) return 0;
	move_postpone(r, MOVE_RETRY_US);
	return 1;
}

static void resume_at(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	if (!rq_can_continue(r)) {
		move_fail(r, "its last event has no id to continue after");
		return;
	}
	if (!be_may_continue(b)) {
		move_fail(r, "its memory is in a data centre that is drained");
		return;
	}
	if (wait_for_rate(r, b)) return;
	if (waits_for_suspects(r)) return;
	r->move.state = MOVE_SWITCHING;
	if (!rq_may_resume_from_copy(r)) {
		move_next_refused(r, 1);
		return;
	}
	r->next = att_start(r, b, copy_at, copy);
	if (!r->next) move_next_refused(r, 0);
}

int move_has_replica(const struct rq *r)
{
	const struct be *b = r->attempt->replica;

	return b && !r->attempt->replica_refused && r->attempt->first_us &&
	       be_usable(b, clock_us());
}

int move_to_replica(struct rq *r)
{
	struct be *b;

	if (r->move.state == MOVE_SWITCHING) return 0;
	if (r->on_trial) return -ENOENT; /* it costs one server at most */
	if (!rq_can_continue(r)) return -ENOENT;
	if (!r->attempt || !move_has_replica(r)) return -ENOENT;
	move_reset(r);
	b = r->attempt->replica;
	r->move.source = be_ref(r->attempt->be);
	r->move.target = be_ref(b);
	move_log(r, "stream_to_backup", 0);
	resume_at(r, b, r->attempt->be, r->in.id);
	return 0;
}

void move_resume_at_target(struct rq *r)
{
	struct move *m = &r->move;

	resume_at(r, m->target, m->source, m->handle);
}

void move_resume_at_source(struct rq *r)
{
	struct move *m = &r->move;

	move_count_inbound(m, 0);
	be_unref(m->target);
	m->target = be_ref(m->source);
	m->refusals = 0;
	move_resume_at_target(r);
}

void move_resume_again(struct rq *r)
{
	struct move *m = &r->move;

	if (m->source_stopped)
		move_resume_at_target(r);
	else
		resume_at(r, m->target, m->source, r->in.id);
}

void move_next_reached(struct rq *r)
{
	ev_at(&r->move.timer, clock_us() + (r->attempt->hx ? OVERLAP_MAX_US : NEXT_TIMEOUT_US));
}

void move_next_timed_out(struct rq *r)
{
	if (!r->attempt->hx) {
		move_next_refused(r, 1);
		return;
	}
	ev_in(&r->move.timer, NEXT_TIMEOUT_US);
	hx_cancel(r->attempt->hx);
	r->attempt->hx = NULL;
	move_log(r, "source_let_go", 0);
}

void move_next_answered(struct rq *r)
{
	struct attempt *old = r->attempt;

	r->move.returned = old->be == r->next->be;
	r->attempt = r->next;
	r->next = NULL;
	if (old->replica == r->attempt->be) old->replica_freed = 1; /* it was taken over */
	att_free(old);
	move_log(r, "stream_went_on", 0);
	r->move.refusals = 0;
	r->copies_refused = 0;
	r->move.handle[0] = '\0';
	move_reset(r);
}

/* Whether to ask for the copy once more. An engine that is full or sheds load answers like one
 * that has no such copy; the copy may be available a moment later. */
static int may_ask_again(struct move *m, int rejected)
{
	return rejected && ++m->refusals <= COPY_REFUSALS_MAX;
}

static void give_up_replica(struct attempt *att)
{
	att->replica_refused = 1;
	att_recount(att);
}

/* The copy can't be used: the stream stays at its source if that still runs, otherwise the copy
 * is asked for again. */
void move_next_refused(struct rq *r, int rejected)
{
	struct move *m = &r->move;
	int by_handle = m->source_stopped, again;

	ev_stop(&m->timer);
	att_free(r->next);
	r->next = NULL;
	move_log(r, "copy_refused", 0);
	again = may_ask_again(m, rejected);
	if (r->attempt->hx && !by_handle) {
		if (!again) give_up_replica(r->attempt);
		if (be_is_leaving(r->attempt->be))
			move_postpone(r, MOVE_RETRY_US);
		else
			move_reset(r);
		return;
	}
	if (again) {
		ev_in(&m->timer, MOVE_RETRY_US);
		return;
	}
	if (by_handle && m->target != m->source && ++m->tries <= MOVE_TRIES_MAX) {
		move_resume_at_source(r);
		return;
	}
	move_fail(r, "the copy of its memory could not be used");
}
