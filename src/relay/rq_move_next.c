/* A stream goes on at an engine that has its memory: a running copy, or what was moved. */
#include "clock.h"
#include "pace.h"
#include "rq_impl.h"
#include <errno.h>

/*
 * How long the source runs on once the next engine has been sent the request: nine of ten are
 * answered within 43 ms of the decision. On a full link the answer was read after 438 ms, and
 * the source ran for all that time; 400 ms are allowed, and the word to the source and an event
 * loop that is held up (a megabyte of configuration: 36 ms of processor time) need some of
 * them.
 */
#define BOTH_RUN_US 120000
/* Without the source: the connection may have fallen silent for good, another one may not. */
#define SUCCESSOR_US 1000000
#define PAUSE_MAX_US 2000000 /* callers give a stream up that pauses for longer */
#define COPY_REFUSALS_MAX 3  /* of one copy: an engine that sheds a third takes it by then */

/* The engine that has the copy bears only so many requests. 1 when the stream waits for its
 * turn, or is lost. */
static int wait_for_turn(struct rq *r, struct be *b)
{
	int64_t wait_us = pace_wait_us(b, r->service, clock_us());

	if (!wait_us) return 0;
	if (r->leg->hx && !r->move.stopped) {
		move_later(r, MOVE_AGAIN_US); /* the source still runs */
		return 1;
	}
	if (wait_us > PAUSE_MAX_US) {
		move_lost(r, "the engine that has its memory takes no more requests in time");
		return 1;
	}
	r->move.state = MOVE_NEXT;
	ev_in(&r->move.timer, wait_us);
	return 1;
}

static void go_on_at(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	if (!be_may_continue(b)) {
		move_lost(r, "its memory is in a data centre that is drained");
		return;
	}
	if (wait_for_turn(r, b)) return;
	r->move.state = MOVE_NEXT;
	if (!rq_may_go_on(r)) {
		move_refused(r, 1);
		return;
	}
	r->next = leg_start(r, b, copy_at, copy);
	if (!r->next) move_refused(r, 0);
}

int move_has_backup(const struct rq *r)
{
	const struct be *b = r->leg->backup;

	return b && !r->leg->copy_bad && r->leg->first_us && be_usable(b, clock_us());
}

int move_to_backup(struct rq *r)
{
	struct be *b;

	if (r->move.state == MOVE_NEXT) return 0;
	if (!r->leg || !move_has_backup(r)) return -ENOENT;
	move_stop(r);
	b = r->leg->backup;
	r->move.source = be_ref(r->leg->be);
	r->move.target = be_ref(b);
	move_log(r, "stream_to_backup", 0);
	go_on_at(r, b, r->leg->be, r->in.id);
	return 0;
}

void move_use_handle(struct rq *r)
{
	struct move *m = &r->move;

	go_on_at(r, m->target, m->source, m->handle);
}

void move_use_source(struct rq *r)
{
	struct move *m = &r->move;

	move_count_inbound(m, 0);
	be_unref(m->target);
	m->target = be_ref(m->source);
	m->refusals = 0;
	move_use_handle(r);
}

void move_use_again(struct rq *r)
{
	struct move *m = &r->move;

	if (m->stopped)
		move_use_handle(r);
	else
		go_on_at(r, m->target, m->source, r->in.id);
}

void move_reached(struct rq *r)
{
	ev_at(&r->move.timer, clock_us() + (r->leg->hx ? BOTH_RUN_US : SUCCESSOR_US));
}

void move_not_answered(struct rq *r)
{
	if (!r->leg->hx) {
		move_refused(r, 1);
		return;
	}
	ev_in(&r->move.timer, SUCCESSOR_US);
	hx_cancel(r->leg->hx);
	r->leg->hx = NULL;
	move_log(r, "source_let_go", 0);
}

void move_answered(struct rq *r)
{
	struct leg *old = r->leg;

	r->leg = r->next;
	r->next = NULL;
	if (old->backup == r->leg->be) old->copy_freed = 1; /* the copy was taken over */
	leg_free(old);
	move_log(r, "stream_went_on", 0);
	r->move.refusals = 0;
	r->copies_refused = 0;
	r->move.handle[0] = '\0';
	move_stop(r);
}

/* An engine that is full or sheds load says the same as one that has no such copy: it may be
 * had in a moment. */
static int may_ask_again(struct move *m, int turned_away)
{
	return turned_away && ++m->refusals <= COPY_REFUSALS_MAX;
}

static void give_up_copy(struct leg *l)
{
	l->copy_bad = 1;
	leg_recount(l);
}

/* The copy can't be used: the source goes on if it still runs, or is asked again. */
void move_refused(struct rq *r, int turned_away)
{
	struct move *m = &r->move;
	int by_handle = m->stopped, again;

	ev_stop(&m->timer);
	leg_free(r->next);
	r->next = NULL;
	move_log(r, "copy_refused", 0);
	again = may_ask_again(m, turned_away);
	if (r->leg->hx && !by_handle) {
		if (!again) give_up_copy(r->leg);
		if (be_is_leaving(r->leg->be))
			move_later(r, MOVE_AGAIN_US);
		else
			move_stop(r);
		return;
	}
	if (again) {
		ev_in(&m->timer, MOVE_AGAIN_US);
		return;
	}
	if (by_handle && m->target != m->source && ++m->tries <= MOVE_TRIES_MAX) {
		move_use_source(r);
		return;
	}
	move_lost(r, "the copy of its memory could not be used");
}
