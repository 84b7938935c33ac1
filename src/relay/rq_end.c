/* How an exchange with a backend server ended, and what becomes of the request then. */
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"
#include <errno.h>

static void log_broke(const struct leg *l, const char *why, int err)
{
	GString *g = jlog_begin("relay", "exchange_broke");
	char print[FP_HEX];

	fp_format(&l->rq->fp, print);
	jlog_str(g, "request", l->rq->in.id);
	if (l->rq->has_fp) jlog_str(g, "fingerprint", print);
	jlog_str(g, "backend", l->be->id);
	jlog_str(g, "why", why);
	jlog_int(g, "error", err);
	jlog_int(g, "after_ms", (clock_us() - l->sent_us) / 1000);
	jlog_int(g, "events", l->rq->seen.count);
	jlog_end(g);
}

static void again(struct rq *r, enum retry why)
{
	met_retried(why);
	rq_place(r);
}

/* Turned away: free to go elsewhere, as far as repeats may be sent. */
static void turned_away(struct leg *l)
{
	struct rq *r = l->rq;

	log_broke(l, "not_run", 0);
	be_turned_away(l->be);
	leg_read(l);
	if (rq_may_repeat(r))
		again(r, RETRY_ENGINE_STATUS);
	else
		rq_refuse(r, REF_BUSY, RETRY_SERVERS_US, "backend servers turned it away");
}

static void not_reached(struct leg *l, int err)
{
	struct rq *r = l->rq;
	int closed = err == -ECONNREFUSED;

	log_broke(l, "not_reached", err);
	if (closed) leg_note_refused(l);
	if (closed)
		be_refused_connection(l->be);
	else
		be_failed(l->be, "not reached");
	r->unreached++;
	if (r->sends < (closed ? RQ_CONNECTS_MAX : RQ_SENDS_MAX))
		again(r, RETRY_CONNECT);
	else
		rq_refuse(r, REF_NO_ENGINE, RETRY_SERVERS_US,
			  "backend servers are not reached");
}

/* It may have run: whether it may once more. Counted as sent anew when it may. */
static int may_run_again(struct rq *r)
{
	if (r->on_trial) return 0;
	return rq_repeatable(r) && r->runs < r->route->attempts && rq_may_repeat(r);
}

static void broke(struct leg *l, int err)
{
	struct rq *r = l->rq;

	/* Engines that did as they were told were taken for failing, and got no work. */
	if (!move_stops_source(r)) {
		leg_note_broken(l, err);
		leg_tell_version(l, RO_BROKE);
		be_failed(l->be, "broke off");
	}
	log_broke(l, "may_have_run", err);
	if (move_source_ended(r)) return;
	r->runs++;
	if (!move_to_backup(r)) return;
	if (may_run_again(r)) {
		again(r, r->seen.count ? RETRY_RESUME : RETRY_ENGINE_LOST);
		return;
	}
	rq_fail(r, r->head_sent ? REF_STREAM_LOST : REF_ENGINE_FAILED,
		"the backend server broke off");
}

static void answer_done(struct leg *l, const struct hp_head *head)
{
	struct rq *r = l->rq;

	rq_came_through(r);
	leg_tell_version(l, head->status < 500 ? RO_WELL : RO_BADLY);
	if (head->status < 500) {
		be_succeeded(l->be, clock_us() - l->sent_us);
		rq_answer(r, head);
		return;
	}
	be_answered_badly(l->be);
	r->runs++;
	if (may_run_again(r)) {
		again(r, RETRY_ENGINE_STATUS);
		return;
	}
	rq_answer(r, head);
}

static void copy_refused(struct leg *l, int err, int up)
{
	log_broke(l, "copy_refused", err);
	if (up) rq_note_copy_refused(l->rq);
	if (err == -ECONNREFUSED) be_refused_connection(l->be);
	move_refused(l->rq, l->not_run);
}

void leg_server_ended(struct leg *l)
{
	int up = l->hx->up;

	hx_cancel(l->hx);
	l->hx = NULL;
	if (l == l->rq->next)
		copy_refused(l, -EPIPE, up);
	else if (up)
		broke(l, -EPIPE);
	else
		not_reached(l, -EHOSTUNREACH);
}

void leg_on_end(struct hx *x, int err)
{
	struct leg *l = x->user;

	l->hx = NULL;
	if (l == l->rq->next) {
		copy_refused(l, err, x->up);
		return;
	}
	if (!err && leg_is_stream(l, x)) {
		leg_stream_done(l, &x->hp.head);
		return;
	}
	if (!err)
		answer_done(l, &x->hp.head);
	else if (l->not_run)
		turned_away(l);
	else if (!x->up)
		not_reached(l, err);
	else
		broke(l, err);
}
