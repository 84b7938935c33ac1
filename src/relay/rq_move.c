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
#include <errno.h>
#include <stddef.h>

#define SETTLE_US 400000    /* a prompt's memory crosses a link in 0.2 to 0.4 s */
#define TURN_MAX_US 1000000 /* engines leave some two seconds after their notice */
#define COPY_REFUSALS_MAX 3 /* of one copy: an engine that sheds a third takes it by then */

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
	m->stopped = 0;
	if (m->body) g_string_free(m->body, TRUE);
	m->body = NULL;
	move_forget_ends(m);
	m->state = MOVE_NONE;
}

static void go_on_at(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	r->move.state = MOVE_NEXT;
	rq_count_repeat(r);
	r->next = leg_start(r, b, copy_at, copy);
	if (!r->next) move_refused(r, 0);
}

static int backup_usable(const struct rq *r)
{
	const struct be *b = r->leg->backup;

	return b && !r->leg->copy_bad && r->leg->first_us && be_usable(b, clock_us());
}

int move_to_backup(struct rq *r)
{
	struct be *b;

	if (r->move.state == MOVE_NEXT) return 0;
	if (!r->leg || !backup_usable(r)) return -ENOENT;
	move_stop(r);
	b = r->leg->backup;
	r->move.source = be_ref(r->leg->be);
	r->move.target = be_ref(b);
	move_log(r, "stream_to_backup", 0);
	go_on_at(r, b, r->leg->be, r->in.id);
	return 0;
}

void move_later(struct rq *r, int64_t in_us)
{
	r->move.state = MOVE_SETTLE;
	ev_in(&r->move.timer, in_us);
}

void move_go_on(struct rq *r)
{
	struct move *m = &r->move;
	int64_t whole_us;

	if (m->state != MOVE_SETTLE || m->timer.armed || !r->seen.count) return;
	if (!r->leg || !r->leg->hx || !r->leg->first_us) return;
	if (backup_usable(r)) {
		whole_us = r->leg->first_us + SETTLE_US;
		if (clock_us() >= whole_us)
			move_to_backup(r);
		else
			ev_at(&m->timer, whole_us);
		return;
	}
	if (r->service->moves) move_copy_begin(r);
}

/* Once more where a copy was refused a moment ago. */
static void use_copy(struct rq *r)
{
	struct move *m = &r->move;

	if (m->stopped)
		move_use_handle(r);
	else
		go_on_at(r, m->target, m->source, r->in.id);
}

static void on_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, move.timer));

	switch (r->move.state) {
	case MOVE_SETTLE: move_go_on(r); return;
	case MOVE_LAST: move_order(r, 1); return;
	case MOVE_NEXT: use_copy(r); return;
	case MOVE_NONE:
	case MOVE_COPY: return;
	}
}

void move_init(struct rq *r)
{
	r->move.timer.fire = on_timer;
}

/* How long the moves of other instances that come first will take on the engine's link. */
static int64_t turn_us(const struct rq *r)
{
	uint64_t bits = (uint64_t)mesh_bare_before(r->leg->be) * r->service->token_bytes * 8;
	int64_t us = r->service->link_mbps > 0 ? (int64_t)(bits / r->service->link_mbps) : 0;

	return MIN(us, TURN_MAX_US);
}

void move_begin(struct rq *r)
{
	if (!r->service->engine || r->route->resumable) return;
	if (r->route->kind != CONF_STREAM || r->move.state != MOVE_NONE) return;
	if (!r->service->moves && !r->service->backups) return;
	r->move.state = MOVE_SETTLE;
	r->move.tries = 0;
	if (!r->leg->backup || r->leg->copy_bad) ev_in(&r->move.timer, turn_us(r));
	move_go_on(r);
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
	move_use_handle(r);
}

void move_lost(struct rq *r, const char *why)
{
	move_stop(r);
	if (r->leg->hx) return; /* the source still runs: nothing is lost yet */
	r->runs++;
	rq_fail(r, REF_STREAM_LOST, why);
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

void move_answered(struct rq *r)
{
	struct leg *old = r->leg;

	r->leg = r->next;
	r->next = NULL;
	if (old->backup == r->leg->be) old->copy_freed = 1; /* the copy was taken over */
	leg_free(old);
	move_log(r, "stream_went_on", 0);
	r->move.refusals = 0;
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

	leg_free(r->next);
	r->next = NULL;
	move_log(r, "copy_refused", 0);
	again = may_ask_again(m, turned_away);
	if (r->leg->hx && !by_handle) {
		if (!again) give_up_copy(r->leg);
		if (r->leg->be->state == BE_READY)
			move_stop(r);
		else
			move_later(r, MOVE_AGAIN_US);
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
