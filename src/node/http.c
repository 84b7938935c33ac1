#include "http.h"
#include "jsonw.h"
#include "met.h"
#include <stdatomic.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#define WORKER 1 /* CivetWeb's thread type of connection workers */
#define WORKER_START_MS 10000
#define WORKER_SETTLE_MS 20

static const char *const ran_names[] = {"no", "maybe", "yes"};

void http_error_json(GString *out, const struct http_error *e)
{
	g_string_append_printf(
		out, "{\"error\":{\"code\":\"%s\",\"message\":", refusal_info(e->reason)->code);
	jsonw_str(out, e->err.text[0] ? e->err.text : refusal_info(e->reason)->code);
	g_string_append_printf(out, ",\"step\":\"%s\",\"peer\":", err_step_name(e->err.step));
	jsonw_str(out, e->err.peer);
	g_string_append_printf(out, ",\"ran\":\"%s\",\"retry_after_ms\":", ran_names[e->ran]);
	if (e->retry_after_ms)
		g_string_append_printf(out, "%u}}", e->retry_after_ms);
	else
		g_string_append(out, "null}}");
}

int http_error(struct mg_connection *c, const struct http_error *e)
{
	const struct refusal_info *i = refusal_info(e->reason);
	GString *s = g_string_new(NULL);
	char extra[64] = "";

	met_refused(e->reason);
	http_error_json(s, e);
	if (e->retry_after_ms)
		g_snprintf(extra, sizeof extra, "Retry-After: %u\r\n",
			   (e->retry_after_ms + 999) / 1000);
	else if (i->status == 401)
		g_strlcpy(extra, "WWW-Authenticate: Bearer\r\n", sizeof extra);
	http_send(c, i->status, "application/json", s->str, s->len, extra);
	g_string_free(s, TRUE);
	return i->status;
}

int http_refuse(struct mg_connection *c, enum refusal why, enum step step, uint32_t retry_ms,
		const char *text)
{
	struct http_error e = {.reason = why, .ran = RAN_NO, .retry_after_ms = retry_ms};

	err_set(&e.err, -1, step, "", "%s", text);
	return http_error(c, &e);
}

int http_send(struct mg_connection *c, int status, const char *type, const char *body, size_t n,
	      const char *extra_headers)
{
	GString *s = g_string_sized_new(n + 256);

	g_string_append_printf(
		s, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%s\r\n",
		status, mg_get_response_code_text(c, status), type, n,
		extra_headers ? extra_headers : "");
	g_string_append_len(s, body, (gssize)n);
	mg_write(c, s->str, s->len);
	g_string_free(s, TRUE);
	return status;
}

int http_send_json(struct mg_connection *c, int status, const char *json)
{
	return http_send(c, status, "application/json", json, strlen(json), NULL);
}

char *http_body(struct mg_connection *c, size_t max, size_t *len, enum refusal *why)
{
	long long expected = mg_get_request_info(c)->content_length;
	GString *s;
	char buf[8192];
	int n;

	*why = REF_TOO_LARGE;
	if (expected > (long long)max) {
		mg_disable_keep_alive(c);
		return NULL;
	}
	s = g_string_new(NULL);
	while (s->len <= max && (n = mg_read(c, buf, sizeof buf)) > 0)
		g_string_append_len(s, buf, n);
	if (s->len <= max && (expected < 0 || s->len == (gsize)expected)) {
		*len = s->len;
		return g_string_free(s, FALSE);
	}
	if (s->len <= max) *why = REF_BAD_REQUEST;
	mg_disable_keep_alive(c);
	g_string_free(s, TRUE);
	return NULL;
}

const char *http_bearer(struct mg_connection *c)
{
	const char *h = mg_get_header(c, "Authorization");

	if (!h || g_ascii_strncasecmp(h, "Bearer ", 7)) return NULL;
	return h + 7 + strspn(h + 7, " ");
}

int http_stream_head(char *out, size_t max, const char *extra_headers)
{
	return g_snprintf(out, max,
			  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
			  "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n%s\r\n",
			  extra_headers ? extra_headers : "");
}

int http_stream_start(struct mg_connection *c, const char *extra_headers)
{
	char head[512];
	int n = http_stream_head(head, sizeof head, extra_headers);

	return mg_write(c, head, (size_t)n) == n ? 0 : -1;
}

int http_stream_write(struct mg_connection *c, GString *scratch, const char *p, size_t n)
{
	g_string_printf(scratch, "%zx\r\n", n);
	g_string_append_len(scratch, p, (gssize)n);
	g_string_append_len(scratch, "\r\n", 2);
	return mg_write(c, scratch->str, scratch->len) == (int)scratch->len ? 0 : -1;
}

int http_stream_end(struct mg_connection *c)
{
	return mg_write(c, "0\r\n\r\n", 5) == 5 ? 0 : -1;
}

/* CivetWeb reports oversized headers as malformed too, so the message names both causes. */
int http_on_error(struct mg_connection *c, int status, const char *text)
{
	int large = status == 413 || status == 414 || status == 431;

	(void)text;
	http_refuse(c, large ? REF_TOO_LARGE : REF_BAD_REQUEST, STEP_PARSE, 0,
		    "the request can't be read, or its headers are over 16 KB");
	mg_disable_keep_alive(c);
	return 0;
}

static atomic_int workers;

void *http_thread_start(const struct mg_context *ctx, int type)
{
	(void)ctx;
	rcu_register_thread();
	if (type == WORKER) workers++;
	return NULL;
}

int http_worker_count(void)
{
	return workers;
}

void http_wait_workers(int before, int n)
{
	const struct timespec ms = {0, 1000000};
	int i;

	for (i = 0; i < WORKER_START_MS && workers - before < n; i++) nanosleep(&ms, NULL);
	/* The last threads may not yet wait for connections: the callback runs before that. */
	for (i = 0; i < WORKER_SETTLE_MS; i++) nanosleep(&ms, NULL);
}

void http_thread_stop(const struct mg_context *ctx, int type, void *p)
{
	(void)ctx;
	(void)type;
	(void)p;
	rcu_unregister_thread();
}
