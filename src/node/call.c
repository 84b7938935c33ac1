/* Plain calls: never queued. A call that is not repeatable is sent at most once. */
#include "call.h"
#include "claim.h"
#include "clock.h"
#include "eng.h"
#include "hash.h"
#include "http.h"
#include "met.h"
#include "node.h"
#include "places.h"
#include "tbl.h"
#include <errno.h>
#include <string.h>

#define ANSWER_MAX (4u << 20) /* bytes */
#define BUSY_RETRY_MS 100
#define DOWN_RETRY_MS 1000
#define WAIT_EXTRA_US 1000000 /* waited for the exchange beyond its own time-out */
#define IDEM_KEY_MAX 255

struct call {
	struct mg_connection *conn;
	struct tbl *table;
	const struct tbl_group *group;
	const struct tbl_service *service;
	struct req *req;
	const char *path, *type, *idem_key;
	char *body;
	size_t len;
	uint32_t attempt;
	int claimed;
	struct claim_op claim;
};

static int refuse(struct call *c, enum refusal why, enum step step, uint32_t retry_ms,
		  const char *text)
{
	return http_refuse(c->conn, why, step, retry_ms, text);
}

static int find_service(struct call *c)
{
	const char *uri = mg_get_request_info(c->conn)->local_uri + strlen(CALL_PATH);
	char name[TBL_NAME_MAX + 1];
	size_t n = strcspn(uri, "/");
	uint64_t id;

	if (n == 0 || n >= sizeof name)
		return refuse(c, REF_UNKNOWN_SERVICE, STEP_PARSE, 0, "no such service");
	memcpy(name, uri, n);
	name[n] = 0;
	c->path = uri[n] ? uri + n : "/";
	id = hash_name(name);
	c->service = tbl_service(c->table, id);
	if (!c->service || c->service->kind != TBL_CALL)
		return refuse(c, REF_UNKNOWN_SERVICE, STEP_ADMIT, 0, "no such service");
	if (!tbl_may_reach(c->group, id))
		return refuse(c, REF_NOT_ALLOWED, STEP_ADMIT, 0,
			      "the group may not reach this service");
	return 0;
}

static int read_call(struct call *c)
{
	const char *key = http_bearer(c->conn);
	enum refusal why;

	if (strcmp(mg_get_request_info(c->conn)->request_method, "POST"))
		return refuse(c, REF_METHOD, STEP_PARSE, 0, "only POST is served here");
	c->table = view_table();
	if (!c->table)
		return refuse(c, REF_NO_TABLE, STEP_ADMIT, DOWN_RETRY_MS,
			      "no table is known here yet");
	c->group = key ? tbl_group_by_key(c->table, key) : NULL;
	if (!c->group)
		return refuse(c, REF_UNAUTHORIZED, STEP_AUTH, 0, "no group has this key");
	if (find_service(c)) return -1;
	c->type = mg_get_header(c->conn, "Content-Type");
	c->idem_key = mg_get_header(c->conn, "Idempotency-Key");
	if (c->idem_key && (!*c->idem_key || strlen(c->idem_key) > IDEM_KEY_MAX))
		return refuse(c, REF_BAD_REQUEST, STEP_PARSE, 0,
			      "Idempotency-Key must have 1 to 255 bytes");
	c->body = http_body(c->conn, (size_t)node.cfg.body_bytes, &c->len, &why);
	if (!c->body)
		return refuse(c, why, STEP_PARSE, 0, "the body is too large or broke off");
	return 0;
}

static void answer(struct call *c, int status, const char *type, const char *body, size_t n)
{
	met_add(MET_ANSWERED, 1);
	http_send(c->conn, status, type[0] ? type : "application/octet-stream", body, n, NULL);
}

/* Refuses a call of which an earlier attempt may have run. */
static void refuse_unknown(struct call *c, enum refusal why, uint32_t retry_ms,
			   const char *text)
{
	struct http_error h = {.reason = why, .ran = RAN_MAYBE, .retry_after_ms = retry_ms};

	err_set(&h.err, -1, STEP_ADMIT, "", "%s", text);
	http_error(c->conn, &h);
}

/* Claims the key of a call that must run at most once. Returns 0 when the call may be sent;
 * else the answer has been sent. */
static int acquire_claim(struct call *c)
{
	struct claim_reply r;
	uint64_t hash = hash_bytes(c->body, c->len) ^ hash_name(c->path);

	if (c->service->repeatable || !c->idem_key) return 0;
	claim_op_init(&c->claim, c->group->name, c->service->name, c->idem_key, hash,
		      node.cfg.call_timeout_ms + node.cfg.connect_ms);
	claim_execute(c->req, &c->claim, &r);
	switch (r.result) {
	case CLAIM_ACQUIRED: c->claimed = 1; break;
	case CLAIM_ANSWERED: answer(c, r.status, r.content_type, r.answer, r.answer_len); break;
	case CLAIM_RUNNING:
		refuse_unknown(c, REF_IN_PROGRESS, BUSY_RETRY_MS,
			       "a call with this key is running");
		break;
	case CLAIM_UNKNOWN:
		refuse_unknown(c, REF_MAY_HAVE_RUN, 0,
			       "a call with this key may have run; its answer is lost");
		break;
	case CLAIM_CONFLICT:
		refuse(c, REF_CONFLICT, STEP_ADMIT, 0, "this key was used with another call");
		break;
	case CLAIM_FULL:
		refuse(c, REF_CLAIMS_FULL, STEP_PLATFORM, DOWN_RETRY_MS,
		       "no more claims fit now");
		break;
	case CLAIM_UNAVAILABLE:
		refuse(c, REF_PLATFORM_DOWN, STEP_PLATFORM, DOWN_RETRY_MS,
		       "the claim can't be made now");
	}
	claim_reply_free(&r);
	return c->claimed ? 0 : -1;
}

/* Records how the call ended, for retries with the same key. */
static void settle_claim(struct call *c, enum claim_op_type end, const struct req_msg *m)
{
	struct claim_reply r;

	if (!c->claimed) return;
	c->claim.type = end;
	if (end == CLAIM_OP_ANSWER) {
		c->claim.status = (int)m->u.end.status;
		strcpy(c->claim.content_type, m->u.end.type);
		c->claim.answer = m->data;
		c->claim.answer_len = m->len;
	}
	claim_execute(c->req, &c->claim, &r);
	claim_reply_free(&r);
}

static struct req_msg *exchange(struct call *c, const char *address)
{
	struct eng_call s = {
		.address = address,
		.method = "POST",
		.path = c->path,
		.type = c->type,
		.body = g_memdup2(c->body, c->len + 1),
		.len = c->len,
		.attempt = ++c->attempt,
		.key = c->idem_key,
		.req = c->req,
		.connect_ms = node.cfg.connect_ms,
		.timeout_ms = node.cfg.call_timeout_ms,
		.answer_max = ANSWER_MAX,
	};
	struct mux_xfer *x = eng_call(node.engines, &s);
	int64_t until = clock_us() + node.cfg.call_timeout_ms * 1000 + WAIT_EXTRA_US;
	struct req_msg *m = NULL;

	while (x && clock_us() < until) {
		m = req_wait(c->req, until);
		while (m && (m->attempt != c->attempt || m->type == REQ_VIEW_CHANGED)) {
			struct req_msg *next = m->next;

			if (m->type == REQ_END || m->type == REQ_FAIL)
				met_add(MET_ANSWERS_DROPPED, 1);
			g_free(m);
			m = next;
		}
		if (m) break;
	}
	if (x && !m) mux_cancel(node.engines, x);
	mux_xfer_unref(x);
	return m;
}

static void free_messages(struct req_msg *m)
{
	struct req_msg *next;

	for (; m; m = next) {
		next = m->next;
		g_free(m);
	}
}

static void finish_call(struct call *c, const struct req_msg *m)
{
	settle_claim(c, m->len > CLAIM_ANSWER_MAX ? CLAIM_OP_LOST : CLAIM_OP_ANSWER, m);
	answer(c, (int)m->u.end.status, m->u.end.type, m->data, m->len);
}

static void fail_call(struct call *c, const struct req_msg *m, const char *peer)
{
	struct http_error e = {.reason = REF_ENGINE_FAILED, .retry_after_ms = DOWN_RETRY_MS};
	int sent = !m || m->u.fail.sent;

	e.ran = sent ? RAN_MAYBE : RAN_NO;
	settle_claim(c, sent ? CLAIM_OP_LOST : CLAIM_OP_RELEASE, NULL);
	if (sent && !c->service->repeatable) e.retry_after_ms = 0;
	if (m)
		e.err = m->u.fail.err;
	else
		err_set(&e.err, -ETIMEDOUT, STEP_SEND, peer, "no answer");
	http_error(c->conn, &e);
}

static void refuse_no_instance(struct call *c, int exists)
{
	settle_claim(c, CLAIM_OP_RELEASE, NULL);
	if (exists)
		refuse(c, REF_BUSY, STEP_ADMIT, BUSY_RETRY_MS,
		       "every instance of the service is busy");
	else
		refuse(c, REF_NO_ENGINE, STEP_ADMIT, DOWN_RETRY_MS,
		       "no instance of the service is known");
}

static int may_retry(const struct call *c, const struct req_msg *m, uint32_t tries)
{
	if (!m || m->type != REQ_FAIL || tries >= node.cfg.retries) return 0;
	return !m->u.fail.sent || c->service->repeatable;
}

static void run(struct call *c)
{
	struct view *v = view_get();
	const struct backend *b;
	struct req_msg *m = NULL;
	uint64_t avoid = 0;
	uint32_t tries = 0;
	int exists = 0;

	for (;;) {
		b = v ? places_acquire(v, c->service->id, (uint32_t)node.cfg.call_concurrency,
				       avoid, &exists)
		      : NULL;
		if (!b) break;
		m = exchange(c, b->address);
		places_release(b->id);
		if (!may_retry(c, m, tries++)) break;
		met_retried(m->u.fail.why);
		avoid = b->id;
		free_messages(m);
	}
	if (!b)
		refuse_no_instance(c, exists);
	else if (m && m->type == REQ_END)
		finish_call(c, m);
	else
		fail_call(c, m, b->address);
	if (b) free_messages(m);
	view_unref(v);
}

int call_serve(struct mg_connection *conn)
{
	struct call c = {.conn = conn};

	met_add(MET_CALLS, 1);
	if (node_address_lapsed())
		return refuse(&c, REF_DRAINING, STEP_ADMIT, BUSY_RETRY_MS,
			      "this instance is leaving; ask where again");
	if (!read_call(&c)) {
		c.req = req_new((uint32_t)node.cfg.requests);
		if (!c.req)
			refuse(&c, REF_BUSY, STEP_ADMIT, BUSY_RETRY_MS,
			       "this instance is full");
		else if (!acquire_claim(&c))
			run(&c);
		if (c.req) req_close(c.req);
	}
	g_free(c.body);
	tbl_unref(c.table);
	return 200;
}
