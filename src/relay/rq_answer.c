/* What comes back from a backend server, and is passed on to the caller. */
#include "clock.h"
#include "hs_hold.h"
#include "jlog.h"
#include "leave.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

#define ANSWER_MAX (4u << 20) /* bytes of a plain answer: a thousand times one of today */
#define RECOUNT_EVENTS 32 /* a stream's memory is told anew after so many: a percent of it */

/* These statuses promise that the request has not run. */
static int promises(int status)
{
	return status == 503 || status == 429 || status == 408;
}

static int success(const struct hx *x)
{
	return x->hp.head.status / 100 == 2;
}

int leg_is_stream(const struct leg *l, const struct hx *x)
{
	return l->rq->route->kind == CONF_STREAM && success(x);
}

void leg_on_up(struct hx *x)
{
	struct leg *l = x->user;

	rq_note_reached(l);
	if (l == l->rq->next) move_reached(l->rq);
}

int leg_on_head(struct hx *x)
{
	struct leg *l = x->user;
	struct rq *r = l->rq;
	struct dl_answer a;

	dl_read_answer(&x->hp.head, &a);
	if (a.not_run) {
		l->not_run = 1;
		if (x->hp.head.status == 421)
			leave_said(l->be, "another incarnation answers at its address");
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
		if (!leg_is_stream(l, x)) return -EPROTO;
		move_answered(r);
	} else if (!leg_is_stream(l, x)) {
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
	if (l->hx && !hs_may_hold(r->h)) {
		met_add(MET_READER_PAUSES, 1);
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
	r->stalls = 0;
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
		if (l->reading) length_observe_start(rq_lengths(r), l->first_us - l->sent_us);
		leg_read(l);
		leg_recount(l);
		be_succeeded(l->be, 0);
		leg_tell_version(l,
				 RO_WELL); /* its end may come when it is too late to judge */
		if (be_leaves(r->leg->be)) move_begin(r);
	}
	move_go_on(r);
	return 0;
}

int leg_on_body(struct hx *x, const char *p, size_t n)
{
	struct leg *l = x->user;

	if (leg_is_stream(l, x)) return on_events(l, x, p, n);
	if (l->rq->answer->len + n > ANSWER_MAX) return -EMSGSIZE;
	g_string_append_len(l->rq->answer, p, n);
	return 0;
}

void leg_stream_done(struct leg *l, const struct hp_head *head)
{
	struct rq *r = l->rq;

	l->copy_freed = 1;
	rq_came_through(r);
	if (l->evs.part->len) pass_on(l, head, l->evs.part->str, l->evs.part->len);
	write_stream_head(r, head);
	rq_stream_end(r);
}
