/* A request as a whole: created by rq_begin.c, answered, refused or failed here, logged and
 * freed. */
#include "rq_impl.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include <string.h>

#define RETRY_SPREAD_US 200000 /* spreads the retries of callers over time */

const struct entry_cfg *rq_cfg;
GPtrArray *rq_all;

void rq_init(const struct entry_cfg *c)
{
	rq_cfg = c;
	rq_all = g_ptr_array_new();
	held_start(al_held_max((uint64_t)c->memory_mb << 20));
	rq_admission_start();
}

uint32_t rq_open_count(void)
{
	return rq_all->len;
}

static void log_end(const struct rq *r, const char *outcome, const char *detail)
{
	int64_t now = clock_us();
	GString *g = jlog_begin("relay", "request_ended");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "outcome", outcome);
	jlog_str(g, "detail", detail);
	jlog_int(g, "status", r->status);
	jlog_str(g, "route", r->route ? r->route->name : NULL);
	jlog_str(g, "service", r->service ? r->service->name : NULL);
	jlog_str(g, "workspace", r->group ? r->group->name : NULL);
	jlog_str(g, "backend", r->attempt ? r->attempt->be->id : NULL);
	jlog_str(g, "version", r->attempt ? r->attempt->be->version : NULL);
	jlog_str(g, "resumes", r->in.resumes);
	if (r->attempt && r->attempt->helper.sin_port)
		jlog_str(g, "via", mesh_helper_name(&r->attempt->helper));
	jlog_int(g, "sends", r->sends);
	if (r->runs) jlog_int(g, "broken_runs", r->runs);
	jlog_int(g, "took_ms", (now - r->began_us) / 1000);
	if (r->first_us) jlog_int(g, "first_ms", (r->first_us - r->began_us) / 1000);
	if (r->seen.count) jlog_int(g, "events", r->seen.count);
	if (r->attempt) att_log_framing(r->attempt, g);
	if (r->max_pause_us) {
		jlog_int(g, "longest_pause_ms", r->max_pause_us / 1000);
		jlog_int(g, "pause_ended_ms", (r->max_pause_end_us - r->began_us) / 1000);
	}
	if (r->conf) jlog_int(g, "configuration", r->conf->version);
	if (cache_confirmed_us() != CACHE_NEVER)
		jlog_int(g, "configuration_age_ms", (now - cache_confirmed_us()) / 1000);
	jlog_end(g);
}

static void free_request(struct rq *r)
{
	struct rq *last = g_ptr_array_index(rq_all, rq_all->len - 1);

	rq_all->pdata[r->index] = last;
	last->index = r->index;
	g_ptr_array_set_size(rq_all, rq_all->len - 1);
	met_set(MET_G_REQUESTS, rq_all->len);
	rq_queue_leave(r);
	rq_admission_end(r);
	rq_stop_holding(r);
	move_reset(r);
	ev_stop(&r->end_timer);
	ev_stop(&r->silence_timer);
	ev_stop(&r->origin.timer);
	ev_stop(&r->trial_timer);
	confirm_stop(r);
	att_free(r->attempt);
	att_free(r->next);
	if (r->answer) g_string_free(r->answer, TRUE);
	g_free(r->media_type);
	be_unref(r->doubted);
	be_unref(r->refused_copy);
	conf_unref(r->conf);
	ev_free_later(r);
}

/* The connection may start its next request at once, so r must be freed before. */
static struct hs *detach(struct rq *r)
{
	struct hs *h = r->h;

	h->user = NULL;
	free_request(r);
	return h;
}

/* why: a message for the caller, or NULL. */
static void answer_error(struct rq *r, int64_t retry_us, const char *code, const char *why)
{
	char *fields = dl_retry_fields(r->in.id, retry_us);
	char *body = why ? g_strdup_printf("{\"code\":\"%s\",\"message\":\"%s\"}\n", code, why)
			 : g_strdup_printf("{\"code\":\"%s\"}\n", code);
	int status = r->status;
	struct hs *h = detach(r);

	hs_answer(h, status, fields, body, strlen(body));
	g_free(fields);
	g_free(body);
}

/* An appointment is kept at its time. */
static int is_promised(enum refusal why)
{
	return why == REF_APPOINTMENT || why == REF_EARLY || why == REF_LATE;
}

/* Asks the attempt and not its exchange, which may be over: a stream that is moved gives up the
 * connection to the engine that has run it. */
static int att_may_have_run(const struct attempt *att)
{
	return att && att->reached && !att->not_run;
}

static int may_have_run(const struct rq *r)
{
	if (r->runs || r->head_sent) return 1;
	return att_may_have_run(r->attempt) || att_may_have_run(r->next);
}

void rq_refuse(struct rq *r, enum refusal why, int64_t retry_us, const char *detail)
{
	if (may_have_run(r)) {
		rq_fail(r, why, detail);
		return;
	}
	met_refused(why);
	r->status = refusal_info(why)->status;
	log_end(r, refusal_info(why)->code, detail);
	if (retry_us && !is_promised(why)) retry_us += g_random_int_range(0, RETRY_SPREAD_US);
	answer_error(r, retry_us, refusal_info(why)->code, NULL);
}

void rq_fail(struct rq *r, enum refusal why, const char *detail)
{
	if (!may_have_run(r)) {
		rq_refuse(r, why, RETRY_LATER_US, detail);
		return;
	}
	met_refused(why);
	if (r->head_sent) {
		log_end(r, "broken_off", detail);
		hs_abort(detach(r));
		return;
	}
	r->status = why == REF_DEADLINE ? 504 : 502;
	log_end(r, refusal_info(why)->code, detail);
	answer_error(r, 0, refusal_info(why)->code, NULL);
}

void rq_refuse_quarantined(struct rq *r, const struct fp *fp)
{
	enum refusal reason = fp_is_segment(fp) ? REF_SEGMENT_CRASHES : REF_CRASHES;
	const struct refusal_info *info = refusal_info(reason);
	char why[160] = "backend servers ended while it ran; it is not run again";
	char name[FP_SEGMENT];

	if (fp_is_segment(fp)) {
		fp_format_segment(fp, name);
		g_snprintf(
			why, sizeof why,
			"backend servers ended under requests with segment %s of its prompt; "
			"it %s",
			name,
			may_have_run(r) ? "may have run, and is not run again" : "was not run");
	}
	met_refused(reason);
	if (r->head_sent) {
		log_end(r, "broken_off", why);
		hs_abort(detach(r));
		return;
	}
	r->status = info->status;
	log_end(r, info->code, why);
	answer_error(r, 0, info->code, why);
}

static void observe_first_token(struct rq *r)
{
	if (!r->first_us || !r->group) return;
	met_observe(met_group(r->group->name), MET_H_FIRST_TOKEN, r->first_us - r->began_us);
}

void rq_answer(struct rq *r, const struct hp_head *head)
{
	GString *out = g_string_sized_new(512 + r->answer->len);
	struct hs *h = r->h;

	r->first_us = clock_us();
	r->status = head->status;
	met_add(MET_ANSWERED, 1);
	rq_length_stats(r)->answers++;
	observe_first_token(r);
	log_end(r, "answered", NULL);
	dl_write_head(out, head, r->answer->len, hs_keeps_alive(h));
	if (h->hp.head.method != HTTP_HEAD)
		g_string_append_len(out, r->answer->str, r->answer->len);
	detach(r);
	hs_write(h, out->str, out->len);
	g_string_free(out, TRUE);
	hs_finish(h);
}

void rq_stream_end(struct rq *r)
{
	struct hs *h;

	met_add(MET_ANSWERED, 1);
	rq_length_stats(r)->answers++;
	observe_first_token(r);
	length_observe(rq_length_stats(r), rq_tokens_made(r), r->in.output_hint);
	length_observe_pace(rq_length_stats(r), rq_tokens_made(r), r->event_us - r->first_us);
	log_end(r, "answered", NULL);
	h = detach(r);
	hs_write(h, "0\r\n\r\n", 5);
	hs_finish(h);
}

int rq_retryable(const struct rq *r)
{
	if (r->route->kind == CONF_STREAM) return r->route->resumable;
	return r->route->kind == CONF_SAFE;
}

int rq_can_continue(const struct rq *r)
{
	return !r->seen.no_id;
}

void rq_on_caller_left(struct hs *h)
{
	struct rq *r = h->user;

	if (!r) return;
	met_add(MET_CALLER_LEFT, 1);
	log_end(r, "caller_left", NULL);
	detach(r);
}

void rq_on_slow_reader(struct hs *h)
{
	struct rq *r = h->user;

	met_refused(REF_SLOW_READER);
	if (r) {
		log_end(r, refusal_info(REF_SLOW_READER)->code, "memory is short");
		detach(r);
	}
	hs_abort(h);
}

void rq_on_writable(struct hs *h)
{
	struct rq *r = h->user;

	if (r && r->attempt && r->attempt->hx) hx_pause(r->attempt->hx, 0);
}

static void restart_move(struct rq *r)
{
	move_reset(r);
	if (r->attempt && be_is_leaving(r->attempt->be)) move_begin(r);
}

void rq_on_leaving(struct be *b)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (r->confirm.be == b) {
			confirm_on_loss(r, b);
			continue;
		}
		if (!r->attempt) continue;
		if (r->attempt->replica == b) att_drop_replica(r->attempt);
		if (r->attempt->be == b)
			move_begin(r);
		else if (r->move.target == b && r->move.state == MOVE_COPYING)
			restart_move(r);
	}
}

/* Handles the loss of b as the server that r's memory is copied or moved to. */
static void abandon_target(struct rq *r, const struct be *b)
{
	if (r->attempt && r->attempt->replica == b) att_drop_replica(r->attempt);
	if (r->next && r->next->be == b) {
		att_server_gone(r->next);
		return;
	}
	if (r->move.target == b && r->move.state != MOVE_NONE) restart_move(r);
}

void rq_on_incarnation_end(struct be *b)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		abandon_target(r, b);
		if (i >= rq_all->len || g_ptr_array_index(rq_all, i) != r) continue;
		if (r->attempt && r->attempt->be == b && r->attempt->hx)
			att_server_gone(r->attempt);
		else
			confirm_on_loss(r, b);
	}
	rq_note_incarnation_end(b);
}

void rq_abort_all(void)
{
	while (rq_all->len)
		rq_fail(g_ptr_array_index(rq_all, rq_all->len - 1), REF_DRAINING,
			"this instance stops");
}
