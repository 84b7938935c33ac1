/* Outcomes of exchanges with backend servers, and what becomes of the request then. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "room.h"
#include "rq_impl.h"
#include <errno.h>

void att_log_framing(const struct attempt *att, GString *g)
{
	if (!att->answered) return;
	jlog_str(g, "framing", hp_framing_name(att->framing));
	if (att->evs.partial->len) jlog_int(g, "partial_bytes", att->evs.partial->len);
}

static void log_segments(const struct rq *r, GString *g)
{
	GString *list = g_string_new(NULL);
	char name[FP_SEGMENT];
	int i;

	for (i = 0; i < r->in.nsegments; i++) {
		fp_format_segment(&r->in.segment[i], name);
		g_string_append_printf(list, "%s%s", i ? " " : "", name);
	}
	if (list->len) jlog_str(g, "segments", list->str);
	g_string_free(list, TRUE);
}

static void log_broken(const struct attempt *att, const char *why, int err)
{
	GString *g = jlog_begin("relay", "exchange_broke");
	char print[FP_HEX];

	fp_format(&att->rq->fp, print);
	jlog_str(g, "request", att->rq->in.id);
	if (att->rq->has_fp) jlog_str(g, "fingerprint", print);
	log_segments(att->rq, g);
	jlog_str(g, "backend", att->be->id);
	jlog_str(g, "why", why);
	if (att->answered) jlog_int(g, "status", att->status);
	if (att->helper.sin_port) jlog_str(g, "via", mesh_helper_name(&att->helper));
	jlog_int(g, "error", err);
	jlog_int(g, "after_ms", (clock_us() - att->sent_us) / 1000);
	jlog_int(g, "events", att->rq->seen.count);
	att_log_framing(att, g);
	jlog_end(g);
}

static void place_again(struct rq *r, enum retry why)
{
	met_retried(why);
	rq_place(r);
}

/* Its server was silent, and it waits to be sent elsewhere: what becomes of the exchange that
 * it has left, unless that is an answer, changes nothing. */
static int is_queued(const struct rq *r)
{
	return rq_waits_to_be_sent(r);
}

/* The server did not run it: it may go elsewhere within the retry budget. */
static void on_rejected(struct attempt *att)
{
	struct rq *r = att->rq;

	log_broken(att, "not_run", 0);
	be_rejected_request(att->be);
	room_rejected(att->be);
	att_prompt_read(att);
	if (is_queued(r)) {
		r->runs--; /* counted when it left the server */
		return;
	}
	if (rq_may_retry(r))
		place_again(r, RETRY_ENGINE_STATUS);
	else
		rq_refuse(r, REF_BUSY, RETRY_TRIED_US, "backend servers turned it away");
}

static void not_reached(struct attempt *att, int err)
{
	struct rq *r = att->rq;
	int quick = err == -ECONNREFUSED || att->fault == TN_HELPER;

	log_broken(att, "not_reached", err);
	if (att->fault != TN_HELPER) path_blame_unreached(att->be, err);
	if (is_queued(r)) return;
	r->unreached_count++;
	if (r->sends < (quick ? RQ_CONNECTS_MAX : RQ_SENDS_MAX))
		place_again(r, RETRY_CONNECT);
	else
		rq_refuse(r, REF_NO_ENGINE, RETRY_TRIED_US, "backend servers are not reached");
}

int rq_may_run_again(struct rq *r, int more)
{
	if (r->on_trial || !rq_can_continue(r)) return 0;
	return rq_retryable(r) && r->runs + more < r->route->attempts && rq_may_retry(r);
}

/* The server may have reset the exchange or closed it too early; other errors are its answer's.
 */
static int is_cut(int err)
{
	return err == -EPIPE || err == -ECONNRESET || err == -ETIMEDOUT;
}

static void blame(const struct attempt *att, int err)
{
	if (att->given_up) {
		giveup_blame(att);
		return;
	}
	if (att->fault == TN_HELPER) return;
	att_note_broken(att, err);
	att_report_outcome(att, RO_BROKEN);
	if (is_cut(err))
		path_blame(att->be, "broke off", clock_us());
	else
		be_failed(att->be, "broke off");
}

/* What has arrived of its answer is of no more use. */
static void drop_answer(struct attempt *att)
{
	struct rq *r = att->rq;

	held_set(att, 0);
	if (!r->answer) return;
	g_string_free(r->answer, TRUE);
	r->answer = NULL;
}

static void broken_off(struct attempt *att, int err)
{
	struct rq *r = att->rq;
	int granted = att->retry_granted;

	/* An engine that was ordered to stop its stream has not failed; if that counted as a
	 * failure, healthy engines would get no work. */
	if (!att->stop_ordered && !move_stops_source(r)) blame(att, err);
	log_broken(att, "may_have_run", err);
	drop_answer(att);
	if (move_source_ended(r) || is_queued(r)) return;
	r->runs++;
	if (!move_to_replica(r)) return;
	if (granted || rq_may_run_again(r, 0)) {
		place_again(r, r->seen.count ? RETRY_RESUME : RETRY_ENGINE_LOST);
		return;
	}
	rq_fail(r, r->head_sent ? REF_STREAM_LOST : REF_ENGINE_FAILED,
		"the backend server broke off");
}

/* The caller has a part of the stream: any other answer would stand in the middle of it. */
static void not_continued(struct attempt *att)
{
	struct rq *r = att->rq;

	log_broken(att, "not_continued", 0);
	if (rq_may_run_again(r, 0))
		place_again(r, RETRY_ENGINE_STATUS);
	else
		rq_fail(r, REF_STREAM_LOST, "a later backend server did not continue it");
}

static void answer_done(struct attempt *att, const struct hp_head *head)
{
	struct rq *r = att->rq;
	int success = head->status / 100 == 2;
	/* A success that does not continue a stream is the server's failure; a status from 300
	 * to 499 may be a word about the request. */
	int failed = head->status >= 500 || (success && r->head_sent);

	att_note_success(att, success && !failed);
	att_report_outcome(att, failed ? RO_FAILED : RO_OK);
	if (failed)
		be_answered_error(att->be);
	else
		be_succeeded(att->be, clock_us() - att->sent_us);
	if (is_queued(r) && (failed || r->head_sent)) {
		drop_answer(att);
		return;
	}
	if (failed || r->head_sent) r->runs++;
	if (r->head_sent) {
		not_continued(att);
		return;
	}
	if (failed && rq_may_run_again(r, 0)) {
		place_again(r, RETRY_ENGINE_STATUS);
		return;
	}
	if (success) giveup_note_answer(r);
	rq_answer(r, head);
}

/* A stream that is moved to it again would be stopped each time. */
static void note_refused_copy(const struct attempt *att)
{
	be_unref(att->rq->refused_copy);
	att->rq->refused_copy = be_ref(att->be);
}

static void copy_refused(struct attempt *att, int err, int up)
{
	log_broken(att, "copy_refused", err);
	if (att->answered) note_refused_copy(att);
	if (up) rq_note_copy_refused(att->rq);
	if (up && !att->not_run && att->fault != TN_HELPER) att_note_broken(att, err);
	if (!up && att->fault != TN_HELPER) path_blame_unreached(att->be, err);
	move_next_refused(att->rq, att->not_run);
}

void att_server_gone(struct attempt *att)
{
	int up = att->hx->connected;

	hx_cancel(att->hx);
	att->hx = NULL;
	if (att == att->rq->next)
		copy_refused(att, -EPIPE, up);
	else if (up)
		broken_off(att, -EPIPE);
	else
		not_reached(att, -EHOSTUNREACH);
}

void att_give_up(struct attempt *att, enum al_reason why)
{
	att->given_up = why;
	giveup_log(att, why);
	hx_cancel(att->hx);
	att->hx = NULL;
	broken_off(att, -EMSGSIZE);
}

/* A run that has begun makes an event, also one that continues a stream, so that a close before
 * its first one ends no stream. A length or a last chunk states that the answer is empty. */
static int closed_before_first_event(const struct attempt *att)
{
	return att->framing == HP_BY_CLOSE && !att->evs.count;
}

/* What ends the answer may come inside an event: then the engine broke off. A source that stops
 * for a move closes its connection like one whose unframed answer is complete; the reply to the
 * order tells which it was. */
static int stream_error(struct attempt *att)
{
	if (!att->is_stream) return 0;
	if (evs_is_inside_event(&att->evs) || closed_before_first_event(att)) {
		met_add(MET_STREAMS_CUT_SHORT, 1);
		return -EPIPE;
	}
	if (att->framing != HP_BY_CLOSE || !att->stop_ordered) return 0;
	att->may_be_complete = att->rq->head_sent;
	return -EPIPE;
}

void att_on_end(struct hx *x, int err)
{
	struct attempt *att = x->user;

	att->hx = NULL;
	att->fault = bx_fault(x);
	if (!att->answered) att->head_bytes = x->hp.head_bytes;
	if (err == -EMSGSIZE && !att->given_up) att->given_up = AL_TOO_LARGE;
	if (att->given_up) giveup_log(att, att->given_up);
	if (att == att->rq->next) {
		copy_refused(att, err, x->connected);
		return;
	}
	if (!err) err = stream_error(att);
	if (!err && att->is_stream)
		att_stream_done(att, &x->hp.head);
	else if (!err)
		answer_done(att, &x->hp.head);
	else if (att->not_run)
		on_rejected(att);
	else if (!x->connected)
		not_reached(att, err);
	else
		broken_off(att, err);
}

/* Whether it still waits for a connection from here, which a lost path lets hang. */
static int hangs(const struct attempt *att)
{
	if (!att || !att->hx || att->hx->connected || att->helper.sin_port) return 0;
	return path_is_around(att->be);
}

void rq_on_refused(struct be *b)
{
	att_note_refused(b);
}

void rq_on_path_verdict(struct be *b, enum path_verdict v)
{
	if (v != PATH_AROUND) return;
	att_note_alive(b);
	rq_on_path_lost();
}

void rq_on_path_lost(void)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (!hangs(r->attempt)) continue;
		hx_cancel(r->attempt->hx);
		r->attempt->hx = NULL;
		if (is_queued(r)) continue;
		r->unreached_count++;
		place_again(r, RETRY_CONNECT);
	}
}
