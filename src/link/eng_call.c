/* A call of a plain service: sent once; its complete response is posted to the request. */
#include "eng.h"
#include <errno.h>
#include <string.h>
#include <strings.h>

struct call {
	struct req *req;
	char peer[64], type[64];
	uint32_t attempt, max;
	GString *answer;
	int too_long;
};

static int on_data(struct mux_xfer *x, const char *p, size_t n)
{
	struct call *c = x->user;

	if (c->answer->len + n > c->max) {
		c->too_long = 1;
		return -1;
	}
	g_string_append_len(c->answer, p, (gssize)n);
	return 0;
}

static void on_header(struct mux_xfer *x, const char *line, size_t n)
{
	static const char name[] = "content-type:";
	struct call *c = x->user;
	size_t k = sizeof name - 1;

	if (n < k || strncasecmp(line, name, k)) return;
	while (k < n && line[k] == ' ') k++;
	while (n > k && (line[n - 1] == '\r' || line[n - 1] == '\n')) n--;
	if (n - k >= sizeof c->type) return;
	memcpy(c->type, line + k, n - k);
	c->type[n - k] = 0;
}

static void post_failure(struct call *c, CURLcode rc, long status)
{
	struct req_msg *m = req_msg_new(REQ_FAIL, c->attempt, NULL, 0);
	struct err *e = &m->u.fail.err;

	m->u.fail.sent = 1;
	m->u.fail.status = status;
	m->u.fail.why = RETRY_ENGINE_LOST;
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST) {
		m->u.fail.sent = 0;
		m->u.fail.why = RETRY_CONNECT;
		err_set(e, -ECONNREFUSED, STEP_CONNECT, c->peer, "no connection");
	} else if (c->too_long) {
		err_set(e, -EMSGSIZE, STEP_STREAM, c->peer, "the answer is over the limit");
	} else if (!status) {
		m->u.fail.why = RETRY_FIRST_BYTE;
		err_set(e, -ETIMEDOUT, STEP_FIRST_BYTE, c->peer, "no answer");
	} else {
		err_set(e, -EPIPE, STEP_STREAM, c->peer, "the answer broke off");
	}
	req_post(c->req, m);
}

static void on_done(struct mux_xfer *x, CURLcode rc, long status)
{
	struct call *c = x->user;
	struct req_msg *m;

	if (rc != CURLE_OK) {
		post_failure(c, rc, status);
		return;
	}
	m = req_msg_new(REQ_END, c->attempt, c->answer->str, (uint32_t)c->answer->len);
	m->u.end.status = status;
	strcpy(m->u.end.type, c->type);
	req_post(c->req, m);
}

static void on_free(struct mux_xfer *x)
{
	struct call *c = x->user;

	g_string_free(c->answer, TRUE);
	req_unref(c->req);
	g_free(c);
}

static void add_headers(struct mux_xfer *x, const struct eng_call *c)
{
	char *header;

	if (c->type) {
		header = g_strdup_printf("Content-Type: %s", c->type);
		mux_xfer_header(x, header);
		g_free(header);
	}
	if (c->key) {
		header = g_strdup_printf("Idempotency-Key: %s", c->key);
		mux_xfer_header(x, header);
		g_free(header);
	}
}

struct mux_xfer *eng_call(struct mux *m, const struct eng_call *c)
{
	struct call *call = g_new0(struct call, 1);
	char *url = g_strdup_printf("http://%s%s", c->address, c->path);
	struct mux_xfer *x = mux_xfer_new(url);

	g_free(url);
	call->req = c->req;
	req_ref(c->req);
	call->attempt = c->attempt;
	call->max = c->answer_max;
	call->answer = g_string_new(NULL);
	g_strlcpy(call->peer, c->address, sizeof call->peer);
	x->user = call;
	x->on_data = on_data;
	x->on_header = on_header;
	x->on_done = on_done;
	x->on_free = on_free;
	add_headers(x, c);
	if (c->body) mux_xfer_post(x, c->body, c->len);
	curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, c->method);
	/* On a reused connection that went stale, libcurl would send the call again. */
	curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)c->connect_ms);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, (long)c->timeout_ms);
	if (!mux_submit(m, x)) return x;
	mux_xfer_unref(x);
	return NULL;
}
