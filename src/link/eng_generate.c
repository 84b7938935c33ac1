/* The token stream of one generation, from an engine to the request. */
#include "eng.h"
#include "met.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct gen {
	struct mux *mux;
	struct req *req;
	char id[ENG_GEN_MAX + 1], peer[64];
	size_t id_len;
	uint32_t attempt, next;
	int64_t first_byte_us, stall_us;
	struct sse sse;
	int accepted, ended, reported, paused;
};

static void post_failure(struct gen *g, int code, enum step step, enum retry why, int sent,
			 long status, const char *text)
{
	struct req_msg *m;

	if (g->reported) return;
	g->reported = 1;
	m = req_msg_new(REQ_FAIL, g->attempt, NULL, 0);
	m->u.fail.why = why;
	m->u.fail.sent = sent;
	m->u.fail.status = status;
	err_set(&m->u.fail.err, code, step, g->peer, "%s", text);
	req_post(g->req, m);
}

/* The id is "GENERATION:OFFSET". Events of another generation are dropped and counted. */
static int check_id(struct gen *g, const char *id, uint32_t *offset)
{
	size_t n = g->id_len;

	if (strncmp(id, g->id, n) || id[n] != ':') {
		met_add(MET_ANSWERS_DROPPED, 1);
		post_failure(g, -EPROTO, STEP_STREAM, RETRY_CROSSED, 1, 0,
			     "the answer is another request's");
		return -1;
	}
	*offset = (uint32_t)strtoul(id + n + 1, NULL, 10);
	return 0;
}

static int on_token(struct gen *g, struct sse *s)
{
	uint32_t offset;

	if (check_id(g, s->id, &offset)) return -1;
	if (offset < g->next) {
		met_add(MET_TOKENS_DUP, 1);
		return 0;
	}
	if (offset > g->next) {
		post_failure(g, -EPROTO, STEP_STREAM, RETRY_ENGINE_LOST, 1, 0,
			     "tokens are missing");
		return -1;
	}
	g->next++;
	g->paused |=
		req_add_token(g->req, g->attempt, offset, s->data->str, (uint32_t)s->data->len);
	return 0;
}

static int on_event(struct sse *s, void *arg)
{
	struct gen *g = arg;

	if (s->data->str[0] != '[' || strcmp(s->data->str, "[DONE]")) return on_token(g, s);
	if (s->id[0] && check_id(g, s->id, &(uint32_t){0})) return -1;
	g->ended = 1;
	return 0;
}

static int on_data(struct mux_xfer *x, const char *p, size_t n)
{
	struct gen *g = x->user;
	long status;

	if (!g->accepted) {
		curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
		if (status != 200) return 0;
		g->accepted = 1;
		x->stall_us = g->stall_us;
		mux_delay_acks(x);
	}
	if (sse_feed(&g->sse, p, n, on_event, g)) return -1;
	if (g->paused) {
		g->paused = 0;
		req_set_paused(g->req, g->mux, x);
		mux_pause(x);
	}
	return 0;
}

static void on_batch_end(struct mux_xfer *x)
{
	struct gen *g = x->user;

	req_flush_tokens(g->req, g->attempt);
}

static void on_done(struct mux_xfer *x, CURLcode rc, long status)
{
	struct gen *g = x->user;

	if (g->ended && !g->reported) {
		g->reported = 1;
		req_post(g->req, req_msg_new(REQ_END, g->attempt, NULL, 0));
		return;
	}
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST)
		post_failure(g, -ECONNREFUSED, STEP_CONNECT, RETRY_CONNECT, 0, 0,
			     "no connection");
	else if (status && status != 200)
		post_failure(g, -EBUSY, STEP_FIRST_BYTE, RETRY_ENGINE_STATUS, 0, status,
			     "the engine did not take it");
	else if (!status)
		post_failure(g, -ETIMEDOUT, STEP_FIRST_BYTE, RETRY_FIRST_BYTE, 1, 0,
			     "no answer");
	else
		post_failure(g, -EPIPE, STEP_STREAM, RETRY_ENGINE_LOST, 1, 0,
			     "the stream broke off");
}

static void on_free(struct mux_xfer *x)
{
	struct gen *g = x->user;

	sse_free(&g->sse);
	req_unref(g->req);
	g_free(g);
}

static struct gen *gen_new(struct mux *m, const struct eng_start *s)
{
	struct gen *g = g_new0(struct gen, 1);

	g->mux = m;
	g->req = s->req;
	req_ref(s->req);
	g->id_len = g_strlcpy(g->id, s->gen, sizeof g->id);
	g_strlcpy(g->peer, s->address, sizeof g->peer);
	g->attempt = s->attempt;
	g->next = s->next;
	g->stall_us = s->timeouts.stall_ms * 1000;
	sse_init(&g->sse);
	return g;
}

static struct mux_xfer *open_xfer(const struct eng_start *s)
{
	struct mux_xfer *x;
	char *url, *header;

	if (s->body)
		url = g_strdup_printf("http://%s%s", s->address, s->path);
	else
		url = g_strdup_printf("http://%s/v1/generations/%s?from=%u", s->address, s->gen,
				      s->next);
	x = mux_xfer_new(url);
	g_free(url);
	mux_xfer_header(x, "Content-Type: application/json");
	header = g_strdup_printf("X-Request-Id: %s", s->gen);
	mux_xfer_header(x, header);
	g_free(header);
	if (s->body) mux_xfer_post(x, s->body, strlen(s->body));
	return x;
}

struct mux_xfer *eng_start(struct mux *m, const struct eng_start *s)
{
	struct mux_xfer *x = open_xfer(s);

	x->user = gen_new(m, s);
	x->on_data = on_data;
	x->on_batch_end = on_batch_end;
	x->on_done = on_done;
	x->on_free = on_free;
	x->stall_us = s->timeouts.first_byte_ms * 1000;
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)s->timeouts.connect_ms);
	if (!mux_submit(m, x)) return x;
	mux_xfer_unref(x);
	return NULL;
}

static int drop_data(struct mux_xfer *x, const char *p, size_t n)
{
	(void)x;
	(void)p;
	(void)n;
	return 0;
}

void eng_cancel(struct mux *m, const char *address, const char *gen)
{
	char *url = g_strdup_printf("http://%s/v1/generations/%s", address, gen);
	struct mux_xfer *x = mux_xfer_new(url);

	g_free(url);
	x->on_data = drop_data;
	curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, 2000L);
	mux_submit(m, x);
	mux_xfer_unref(x);
}
