/* What comes back from a backend server. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

#define ANSWER_MAX (4u << 20) /* bytes of a plain answer: a thousand times one of today */
#define RECOUNT_EVENTS 32 /* a stream's memory is told anew after so many: a percent of it */
#define READ_PAUSE 131072 /* bytes that a slow reader may leave: some 400 events */

/* These statuses promise that the request has not run. */
static int promises(int status)
{
	return status == 503 || status == 429 || status == 408;
}

static int success(const struct hx *x)
{
	return x->hp.head.status / 100 == 2;
}

static int is_stream(const struct leg *l, const struct hx *x)
{
	return l->rq->route->kind == CONF_STREAM && success(x);
}

static void note_stranger(struct leg *l)
{
	be_leaving(l->be->id, "another incarnation answers at its address");
	mesh_tell_leaving(l->be);
}

int leg_on_head(struct hx *x)
{
	struct leg *l = x->user;
	struct rq *r = l->rq;
	struct dl_answer a;

	dl_read_answer(&x->hp.head, &a);
	if (a.not_run) {
		l->not_run = 1;
		if (x->hp.head.status == 421) note_stranger(l);
		return -ECANCELED;
	}
	if (!a.id || strcmp(a.id, r->in.id)) {
		met_add(MET_ANSWERS_DROPPED, 1);
		return -EBADMSG;
	}
	if (success(x) && !a.sound) return -EBADMSG;
	if (promises(x->hp.head.status)) return -EPROTO;
	l->answered = 1;
	if (l == r->next) {
		if (!is_stream(l, x)) return -EPROTO;
		move_answered(r);
	} else if (!is_stream(l, x)) {
		if (r->answer) g_string_free(r->answer, TRUE);
		r->answer = g_string_new(NULL);
	}
	x->hp.no_body = r->h->hp.head.method == HTTP_HEAD;
	return 0;
}

static void write_chunk(struct rq *r, const char *p, size_t n)
{
	GString *out = g_string_sized_new(n + 32);

	g_string_append_printf(out, "%zx\r\n", n);
	g_string_append_len(out, p, n);
	g_string_append(out, "\r\n");
	hs_write(r->h, out->str, out->len);
	g_string_free(out, TRUE);
}

/* A stream keeps the head of the engine that began it. */
static void write_stream_head(struct rq *r, const struct hp_head *head)
{
	GString *out;

	if (r->head_sent) return;
	out = g_string_new(NULL);
	dl_write_head(out, head, -1, hs_keeps(r->h));
	hs_write(r->h, out->str, out->len);
	g_string_free(out, TRUE);
	r->head_sent = 1;
	r->status = head->status;
	r->first_us = clock_us();
}

static void pass_on(struct leg *l, const struct hp_head *head, const char *p, size_t n)
{
	struct rq *r = l->rq;

	write_stream_head(r, head);
	write_chunk(r, p, n);
	if (l->hx && cn_pending(&r->h->cn) > READ_PAUSE) {
		met_add(MET_PAUSES, 1);
		hx_pause(l->hx, 1);
	}
}

static void note_event(struct rq *r)
{
	int64_t now = clock_us();

	if (r->first_us && now - r->event_us > r->gap_us) {
		r->gap_us = now - r->event_us;
		r->gap_at_us = now;
	}
	r->event_us = now;
}

static int on_events(struct leg *l, struct hx *x, const char *p, size_t n)
{
	struct rq *r = l->rq;
	GString *out = g_string_sized_new(n + 64);
	int rc = evs_feed(&l->evs, &r->seen, p, n, out);

	if (out->len) {
		note_event(r);
		pass_on(l, &x->hp.head, out->str, out->len);
	}
	g_string_free(out, TRUE);
	if (rc || !r->event_us) return rc;
	if (r->seen.count - l->recounted >= RECOUNT_EVENTS) {
		l->recounted = r->seen.count;
		leg_recount(l);
	}
	if (!l->first_us) {
		l->first_us = r->event_us;
		leg_read(l);
		be_succeeded(l->be, 0);
		if (r->leg->be->state != BE_READY) move_begin(r);
	}
	move_go_on(r);
	return 0;
}

int leg_on_body(struct hx *x, const char *p, size_t n)
{
	struct leg *l = x->user;

	if (is_stream(l, x)) return on_events(l, x, p, n);
	if (l->rq->answer->len + n > ANSWER_MAX) return -EMSGSIZE;
	g_string_append_len(l->rq->answer, p, n);
	return 0;
}

static void log_broke(const struct leg *l, const char *why, int err)
{
	GString *g = jlog_begin("relay", "exchange_broke");

	jlog_str(g, "request", l->rq->in.id);
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
static int may_run_again(const struct rq *r)
{
	return rq_repeatable(r) && r->runs < r->route->attempts && rq_may_repeat(r);
}

static void broke(struct leg *l, int err)
{
	struct rq *r = l->rq;

	log_broke(l, "may_have_run", err);
	be_failed(l->be, "broke off");
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

static void stream_done(struct leg *l, const struct hp_head *head)
{
	struct rq *r = l->rq;

	l->copy_freed = 1;
	if (l->evs.part->len) pass_on(l, head, l->evs.part->str, l->evs.part->len);
	write_stream_head(r, head);
	rq_stream_end(r);
}

static void answer_done(struct leg *l, const struct hp_head *head)
{
	struct rq *r = l->rq;

	if (head->status < 500) {
		be_succeeded(l->be, clock_us() - l->sent_us);
		rq_answer(r, head);
		return;
	}
	be_failed(l->be, "answers with failures");
	r->runs++;
	if (may_run_again(r)) {
		again(r, RETRY_ENGINE_STATUS);
		return;
	}
	rq_answer(r, head);
}

void leg_on_end(struct hx *x, int err)
{
	struct leg *l = x->user;
	struct rq *r = l->rq;

	l->hx = NULL;
	if (l == r->next) {
		log_broke(l, "copy_refused", err);
		move_refused(r, l->not_run);
		return;
	}
	if (!err && is_stream(l, x)) {
		stream_done(l, &x->hp.head);
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
