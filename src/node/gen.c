/* Handles a completion request: waits for an engine, runs the generation there, and retries or
 * resumes it after a failure. */
#include "gen.h"
#include "clock.h"
#include "log.h"
#include "node.h"
#include <errno.h>
#include <string.h>

/* Intervals at which the caller's connection is checked: while the request waits, and while an
 * answer that is not streamed is generated. */
#define CALLER_CHECK_US 250000
#define RUNNING_CHECK_US 2000000
#define STREAM_WAKE_US 10000000  /* longest sleep of a running stream's thread */
#define TICKET_RESEND_US 1000000 /* an unanswered ticket is sent again after this time */
#define RETRY_DEFAULT_MS 1000

static void fail_request(struct gen *g, enum refusal why, enum ran ran, uint32_t retry_ms,
			 enum step step, const char *peer, const char *text)
{
	struct http_error e = {.reason = why, .ran = ran, .retry_after_ms = retry_ms};

	err_set(&e.err, -1, step, peer, "%s", text);
	g->state = GEN_DONE;
	gen_fail(g, &e);
}

static void stop_exchange(struct gen *g, int cancel)
{
	if (!g->xfer) return;
	mux_cancel(node.engines, g->xfer);
	mux_xfer_unref(g->xfer);
	g->xfer = NULL;
	if (cancel) eng_cancel(node.engines, g->engine, g->id);
}

static void on_caller_left(struct gen *g)
{
	met_add(MET_CALLER_LEFT, 1);
	log_write(G_LOG_LEVEL_DEBUG, "front", g->group->name, g->id, g->engine,
		  "The caller left.");
	stop_exchange(g, 1);
	gen_release(g);
	g->state = GEN_DONE;
	mg_disable_keep_alive(g->conn);
}

/* Starts the generation at the engine, or with resume set continues the one that runs there. */
static void start_exchange(struct gen *g, int resume)
{
	struct eng_start s = {
		.address = g->engine,
		.gen = g->id,
		.path = g->chat ? "/v1/chat/completions" : "/v1/completions",
		.body = resume ? NULL : gen_engine_body(g),
		.attempt = ++g->attempt,
		.next = gen_next_offset(g),
		.req = g->req,
		.timeouts = {node.cfg.connect_ms, node.cfg.first_byte_ms, node.cfg.stall_ms},
	};

	stop_exchange(g, 0);
	g->state = GEN_RUNNING;
	g->resuming = resume;
	gen_attach_sink(g, g->attempt);
	g->xfer = eng_start(node.engines, &s);
	if (g->xfer) return;
	gen_release(g);
	fail_request(g, REF_RING_FULL, RAN_NO, RETRY_DEFAULT_MS, STEP_SEND, g->engine,
		     "too much at once");
}

static void submit_ticket(struct gen *g, uint64_t avoid)
{
	if (!gen_send_ticket(g, avoid)) return;
	fail_request(g, REF_NO_ENGINE, RAN_NO, RETRY_DEFAULT_MS, STEP_KEEPER, "",
		     "no engine has this model now");
}

static void on_grant(struct gen *g, const struct req_msg *m)
{
	struct wire_msg done = {.type = WIRE_DONE};
	const struct backend *b;
	struct view *v;

	if (g->state != GEN_WAITING || m->u.grant.keeper != g->keeper) {
		if (m->u.grant.keeper == g->keeper) return;
		done.u.done.request = req_handle(g->req);
		ticket_send(m->u.grant.keeper, &done);
		return;
	}
	v = view_get();
	b = view_backend(v, m->u.grant.engine);
	if (b) {
		g->engine_id = b->id;
		strcpy(g->engine, b->address);
	}
	view_unref(v);
	g_snprintf(g->id, sizeof g->id, "%016llx-%llx-%llx-%x",
		   (unsigned long long)node.self.id, (unsigned long long)node.self.incarnation,
		   (unsigned long long)req_handle(g->req), g->attempt + 1);
	if (b) {
		start_exchange(g, 0);
		return;
	}
	gen_release(g);
	submit_ticket(g, m->u.grant.keeper);
}

static enum refusal refusal_of(uint32_t why)
{
	switch ((enum core_refusal)why) {
	case CORE_REF_NOT_ALLOWED: return REF_NOT_ALLOWED;
	case CORE_REF_NO_ENGINE: return REF_NO_ENGINE;
	case CORE_REF_TOO_LONG: return REF_TOO_LONG;
	case CORE_REF_WAITING_CEILING: return REF_WAITING_CEILING;
	case CORE_REF_FULL:
	case CORE_REF_APPOINTMENT: /* the rest: of admission only, which is off here */
	case CORE_REF_NO_TIME:
	case CORE_REF_EARLY:
	case CORE_REF_LATE: return REF_BUSY;
	case CORE_REF_DEADLINE: return REF_DEADLINE;
	}
	return REF_INTERNAL;
}

static void on_refuse(struct gen *g, const struct req_msg *m)
{
	enum refusal why = refusal_of(m->u.refuse.why);

	if (g->state != GEN_WAITING || m->u.refuse.keeper != g->keeper) return;
	g->keeper = 0;
	if (why == REF_NO_ENGINE && g->retries++ < node.cfg.retries) {
		met_retried(RETRY_NOT_KEEPER);
		submit_ticket(g, m->u.refuse.keeper);
		return;
	}
	fail_request(g, why, RAN_NO, why == REF_TOO_LONG ? 0 : m->u.refuse.retry_after_ms,
		     STEP_ADMIT, "", "refused before it ran");
}

/* Starts over, possibly at another engine, as no token has reached the reader. */
static void rerun(struct gen *g, const struct req_msg *m)
{
	met_retried(m->u.fail.why);
	if (m->u.fail.sent) eng_cancel(node.engines, g->engine, g->id);
	gen_release_failed(g);
	g->sink->next = 0;
	g->sink->received = 0;
	g_string_truncate(g->text, 0);
	submit_ticket(g, 0);
}

static void fail_on_engine_error(struct gen *g, const struct req_msg *m, int delivered)
{
	const struct err *e = &m->u.fail.err;
	enum ran ran = delivered ? RAN_YES : m->u.fail.sent ? RAN_MAYBE : RAN_NO;

	gen_release_failed(g);
	fail_request(g, delivered ? REF_STREAM_LOST : REF_ENGINE_FAILED, ran, RETRY_DEFAULT_MS,
		     e->step, e->peer, e->text);
}

/* Whether the engine rejects the request as such. Where a generation continues, which it
 * accepted before, the same status says nothing of the request. */
static int engine_rejects(const struct gen *g, long status)
{
	return !g->resuming && (status == 400 || status == 413 || status == 422);
}

/* Whether the engine may still have the generation, so that it is resumed and not run again. */
static int resumable(const struct gen *g, const struct req_msg *m, uint32_t next, int delivered)
{
	if (m->u.fail.status == 404 || m->u.fail.status == 410) return 0;
	if (delivered) return 1;
	return next && !g->resuming && m->u.fail.why != RETRY_CROSSED;
}

static void on_fail(struct gen *g, const struct req_msg *m)
{
	uint32_t next;
	int delivered;

	stop_exchange(g, 0);
	gen_detach_sink(g);
	next = gen_next_offset(g);
	delivered = g->stream && next;
	if (engine_rejects(g, m->u.fail.status)) {
		gen_release(g);
		fail_request(g, REF_BAD_REQUEST, RAN_NO, 0, m->u.fail.err.step,
			     m->u.fail.err.peer, "the engine rejects the request");
		return;
	}
	if (g->retries++ >= node.cfg.retries) {
		fail_on_engine_error(g, m, delivered);
	} else if (resumable(g, m, next, delivered)) {
		met_retried(RETRY_RESUME);
		start_exchange(g, 1);
	} else if (delivered) {
		fail_on_engine_error(g, m, 1);
	} else {
		rerun(g, m);
	}
}

static void on_end(struct gen *g)
{
	stop_exchange(g, 0);
	gen_detach_sink(g);
	gen_release(g);
	g->state = GEN_DONE;
	if (gen_finish(g)) met_add(MET_CALLER_LEFT, 1);
}

static void handle_message(struct gen *g, const struct req_msg *m)
{
	if (g->state == GEN_DONE && m->type != REQ_GRANT) return;
	switch (m->type) {
	case REQ_GRANT: on_grant(g, m); return;
	case REQ_REFUSE: on_refuse(g, m); return;
	case REQ_VIEW_CHANGED: gen_check_keeper(g); return;
	case REQ_READER_BLOCKED:
	case REQ_CLAIM_REPLY: return;
	case REQ_TOKEN:
		if (m->attempt == g->attempt)
			gen_add_token(g, m);
		else
			met_add(MET_ANSWERS_DROPPED, 1);
		return;
	case REQ_END:
		if (m->attempt == g->attempt) on_end(g);
		return;
	case REQ_FAIL:
		if (m->attempt == g->attempt) on_fail(g, m);
		return;
	}
}

static void handle_messages(struct gen *g, struct req_msg *m)
{
	struct req_msg *next;

	for (; m; m = next) {
		next = m->next;
		handle_message(g, m);
		g_free(m);
	}
	if (g->state == GEN_DONE) return;
	if (gen_flush(g)) on_caller_left(g);
}

static void check_caller(struct gen *g, int64_t now)
{
	g->caller_checked_us = now;
	if (caller_left(&g->caller, g->conn)) on_caller_left(g);
}

static void check_times(struct gen *g)
{
	int64_t now = clock_us();

	/* While a stream is written, a failed write shows that the reader has left. */
	if (g->state == GEN_WAITING
		    ? now - g->caller_checked_us >= CALLER_CHECK_US
		    : !g->stream && now - g->caller_checked_us >= RUNNING_CHECK_US)
		check_caller(g, now);
	if (g->state != GEN_WAITING) return;
	if (now >= g->deadline_us) {
		gen_release(g);
		fail_request(g, REF_DEADLINE, RAN_NO, RETRY_DEFAULT_MS, STEP_ADMIT, "",
			     "no engine was free in time");
		return;
	}
	if (now - g->ticket_sent_us >= TICKET_RESEND_US) submit_ticket(g, 0);
}

static int64_t next_wake_us(const struct gen *g)
{
	int64_t now = clock_us();

	if (g->state == GEN_RUNNING)
		return now + (g->stream ? STREAM_WAKE_US : RUNNING_CHECK_US);
	if (g->deadline_us < now + CALLER_CHECK_US) return g->deadline_us;
	return now + CALLER_CHECK_US;
}

static void run(struct gen *g)
{
	g->caller_checked_us = clock_us();
	if (g->id[0]) {
		start_exchange(g, 1);
		gen_adopt(g);
	} else {
		submit_ticket(g, 0);
	}
	while (g->state != GEN_DONE) {
		handle_messages(g, req_wait(g->req, next_wake_us(g)));
		if (g->state != GEN_DONE) check_times(g);
	}
}

static void gen_free(struct gen *g)
{
	struct req_msg *m;

	if (g->req) {
		/* Returns a grant that arrived after the request ended. */
		for (m = req_wait(g->req, 0); m; m = req_wait(g->req, 0)) handle_messages(g, m);
		req_close(g->req);
	}
	if (g->text) g_string_free(g->text, TRUE);
	json_object_put(g->body);
	tbl_unref(g->table);
	g_free(g);
}

int gen_serve(struct mg_connection *c, int chat)
{
	struct gen *g = g_new0(struct gen, 1);

	met_add(MET_REQUESTS, 1);
	if (node_address_lapsed()) {
		g_free(g);
		return http_refuse(c, REF_DRAINING, STEP_ADMIT, 100,
				   "this instance is leaving; ask where again");
	}
	if (gen_read_request(g, c, chat)) {
		gen_free(g);
		return 200;
	}
	g->req = req_new((uint32_t)node.cfg.requests);
	if (g->req) {
		g->text = g_string_new(NULL);
		gen_create_sink(g);
		run(g);
	} else {
		http_refuse(c, REF_BUSY, STEP_ADMIT, RETRY_DEFAULT_MS, "this instance is full");
	}
	gen_free(g);
	return 200;
}
