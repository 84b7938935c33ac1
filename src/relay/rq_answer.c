/* Answers of backend servers, forwarded to the caller. */
#include "clock.h"
#include "hs_hold.h"
#include "jlog.h"
#include "leave.h"
#include "room.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

/* Events after which a stream's memory is counted again: about a percent of it. */
#define RECOUNT_INTERVAL 32

/* These statuses promise that the request has not run. */
static int promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408;
}

static int success(const struct hx *x)
{
	return x->hp.head.status / 100 == 2;
}

/* Without its parameters, in lower case; NULL: not stated. Free with g_free. */
static char *media_type(const struct hp_head *h)
{
	const char *type = hp_get(h, "Content-Type");

	return type ? g_ascii_strdown(type, (gssize)strcspn(type, "; \t")) : NULL;
}

/* Whether the answer is a series of events; that to HEAD, and a 204, have none. One that
 * continues a stream must be of the type that the caller was told: another success would stand
 * in the middle of it, or end it too early. */
static int is_stream(const struct rq *r, const struct hx *x)
{
	char *type;
	int same;

	if (r->route->kind != CONF_STREAM || !success(x)) return 0;
	if (r->h->hp.head.method == HTTP_HEAD || x->hp.head.status == 204) return 0;
	if (!r->head_sent) return 1;
	type = media_type(&x->hp.head);
	same = !g_strcmp0(type, r->media_type);
	g_free(type);
	return same;
}

void att_on_up(struct hx *x)
{
	struct attempt *att = x->user;

	att->reached = 1;
	att_note_reached(att);
	if (att == att->rq->next) move_next_reached(att->rq);
}

/* 0, or -EMSGSIZE if its stated length is too large. */
static int begin_plain(struct attempt *att, const struct hx *x)
{
	struct rq *r = att->rq;

	if (r->answer) g_string_free(r->answer, TRUE);
	r->answer = g_string_new(NULL);
	att->part_us = clock_us();
	if (x->hp.no_body || x->hp.framing != HP_BY_LENGTH) return 0;
	att->length = x->hp.parser.content_length;
	return giveup_check_size(att, 0);
}

int att_on_head(struct hx *x)
{
	struct attempt *att = x->user;
	struct rq *r = att->rq;
	struct dl_answer a;

	dl_read_answer(&x->hp.head, &a);
	if (a.not_run) {
		att->not_run = 1;
		if (x->hp.head.status == 421)
			leave_report(att->be, "another incarnation answers at its address");
		return -ECANCELED;
	}
	if (att->beyond_room) room_grew(att->be);
	if (!a.id || strcmp(a.id, r->in.id)) {
		met_add(MET_ANSWERS_DROPPED, 1);
		return -EBADMSG;
	}
	if (success(x) && !a.intact) return -EBADMSG;
	if (promises_not_run(x->hp.head.status)) return -EPROTO;
	att->answered = 1;
	att->status = x->hp.head.status;
	att->is_stream = is_stream(r, x);
	att->framing = x->hp.framing;
	if (att == r->next) {
		if (!att->is_stream) return -EPROTO;
		move_next_answered(r);
	}
	x->hp.no_body = r->h->hp.head.method == HTTP_HEAD;
	return att->is_stream ? 0 : begin_plain(att, x);
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

/* Later engines of a stream add no head: the caller has that of the first one. */
static void write_stream_head(struct rq *r, const struct hp_head *head)
{
	GString *out;

	if (r->head_sent) return;
	out = g_string_new(NULL);
	dl_write_head(out, head, -1, hs_keeps_alive(r->h));
	hs_write(r->h, out->str, out->len);
	g_string_free(out, TRUE);
	r->head_sent = 1;
	r->media_type = media_type(head);
	r->status = head->status;
	r->first_us = clock_us();
}

static void forward(struct attempt *att, const struct hp_head *head, const char *p, size_t n)
{
	struct rq *r = att->rq;

	write_stream_head(r, head);
	write_chunk(r, p, n);
	if (att->hx && !hs_may_hold(r->h)) {
		met_add(MET_READER_PAUSES, 1);
		hx_pause(att->hx, 1);
	}
}

static void note_event(struct rq *r)
{
	int64_t now = clock_us();

	if (r->first_us && now - r->event_us > r->max_pause_us) {
		r->max_pause_us = now - r->event_us;
		r->max_pause_end_us = now;
	}
	r->event_us = now;
	r->silences = 0;
}

static int on_events(struct attempt *att, struct hx *x, const char *p, size_t n)
{
	struct rq *r = att->rq;
	GString *out = g_string_sized_new(n + 64);
	int rc = evs_feed(&att->evs, &r->seen, p, n, out);

	if (out->len || !att->held) att->part_us = clock_us();
	held_set(att, att->evs.partial->len);
	if (!rc) rc = giveup_check_memory(att);
	if (out->len) {
		note_event(r);
		if (!att->first_us) rq_note_origin(r, att->be);
		forward(att, &x->hp.head, out->str, out->len);
	}
	g_string_free(out, TRUE);
	if (rc || !r->event_us) return rc;
	if (r->seen.count - att->recounted >= RECOUNT_INTERVAL) {
		att->recounted = r->seen.count;
		att_recount(att);
	}
	if (!att->first_us) {
		att->first_us = r->event_us;
		if (att->prefill_counted)
			length_observe_first_token(rq_length_stats(r),
						   att->first_us - att->sent_us);
		att_prompt_read(att);
		att_recount(att);
		be_succeeded(att->be, 0);
		/* Reported now, as the end of the stream may come too late for the verdict on
		 * the version. */
		att_report_outcome(att, RO_OK);
		if (be_is_leaving(r->attempt->be)) move_begin(r);
	}
	move_continue(r);
	return 0;
}

int att_on_body(struct hx *x, const char *p, size_t n)
{
	struct attempt *att = x->user;
	int rc;

	if (att->is_stream) return on_events(att, x, p, n);
	rc = giveup_check_size(att, n);
	if (rc) return rc;
	g_string_append_len(att->rq->answer, p, n);
	held_set(att, att->rq->answer->len);
	return giveup_check_memory(att);
}

void att_stream_done(struct attempt *att, const struct hp_head *head)
{
	struct rq *r = att->rq;

	att->replica_freed = 1;
	att_note_success(att, 1);
	write_stream_head(r, head);
	rq_stream_end(r);
}
