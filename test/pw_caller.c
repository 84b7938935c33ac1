/* Callers: requests and raw bytes sent to an entry. */
#include "clock.h"
#include "pw.h"
#include <string.h>

#define CONNECT_US 1000000    /* on loopback, longer means that no process listens or accepts */
#define ASK_CONNECT_US 500000 /* of pw_get, which is called many times in sequence */

static int serial;
static GPtrArray *calls; /* of the current test */

static void free_call(gpointer p);

static void copy_field(struct hx *x, const char *name, char *out, size_t max)
{
	const char *v = hp_get(&x->hp.head, name);

	g_strlcpy(out, v ? v : "", max);
}

static int on_head(struct hx *x)
{
	struct pw_call *c = x->user;

	c->status = x->hp.head.status;
	c->first_us = clock_us();
	copy_field(x, "Retry-After", c->retry_after, sizeof c->retry_after);
	copy_field(x, "X-Response-Signature", c->signature, sizeof c->signature);
	copy_field(x, "Connection", c->connection, sizeof c->connection);
	return 0;
}

static int on_body(struct hx *x, const char *p, size_t n)
{
	struct pw_call *c = x->user;
	int64_t now = clock_us();

	if (c->event_us) c->gap_us = MAX(c->gap_us, now - c->event_us);
	c->event_us = now;
	c->events++;
	g_string_append_len(c->body, p, n);
	return 0;
}

static void on_end(struct hx *x, int err)
{
	struct pw_call *c = x->user;

	c->x = NULL;
	c->err = err;
	c->ended = 1;
	c->ended_us = clock_us();
}

struct pw_call *pw_call(struct pw_entry *e, const char *method, const char *path,
			const char *fields, const char *body)
{
	struct pw_call *c = g_new0(struct pw_call, 1);
	GString *out = g_string_new(NULL);
	struct sockaddr_in at;

	g_string_printf(out, "%s %s HTTP/1.1\r\nHost: test.example\r\n%s", method, path,
			fields ? fields : "");
	if (body) g_string_append_printf(out, "Content-Length: %zu\r\n", strlen(body));
	g_string_append_printf(out, "\r\n%s", body ? body : "");
	pw_address(e, PW_FRONT, &at);
	if (!calls) calls = g_ptr_array_new_with_free_func(free_call);
	g_ptr_array_add(calls, c);
	c->body = g_string_new(NULL);
	c->began_us = clock_us();
	c->x = hx_new(c);
	c->x->on_head = on_head;
	c->x->on_body = on_body;
	c->x->on_end = on_end;
	if (hx_start(c->x, &at, out, CONNECT_US)) {
		c->x = NULL;
		c->ended = 1;
		c->err = -1;
	}
	return c;
}

static struct pw_call *request(struct pw_entry *e, const char *method, const char *path,
			       const char *key, const char *body, int deadline_ms,
			       const char *more)
{
	char id[64], fields[512];
	struct pw_call *c;

	g_snprintf(id, sizeof id, "t%d", ++serial);
	g_snprintf(fields, sizeof fields,
		   "X-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\n"
		   "X-Token-Usage: 1000,400\r\n%sX-Prompt-Prefix: aa:500,bb:500\r\n",
		   id, key, deadline_ms, more);
	c = pw_call(e, method, path, fields, body);
	g_strlcpy(c->id, id, sizeof c->id);
	return c;
}

struct pw_call *pw_request(struct pw_entry *e, const char *method, const char *path,
			   int deadline_ms)
{
	return request(e, method, path, "k1", !strcmp(method, "GET") ? NULL : "a prompt",
		       deadline_ms, "Length-Hint: 200\r\n");
}

struct pw_call *pw_request_as(struct pw_entry *e, const char *path, const char *key,
			      const char *body, int deadline_ms)
{
	return request(e, "POST", path, key, body, deadline_ms, "");
}

int pw_status_of_key(struct pw_entry *e, const char *key)
{
	char fields[128];
	struct pw_call *c;
	static int n;

	g_snprintf(fields, sizeof fields, "X-Request-Id: key%d\r\nX-Credential: %s\r\n", ++n,
		   key);
	c = pw_call(e, "GET", "/safe/", fields, NULL);
	pw_call_wait(c, 2000);
	return c->status;
}

void pw_call_cancel(struct pw_call *c)
{
	if (c->x) hx_cancel(c->x);
	c->x = NULL;
	c->ended = 1;
}

static void free_call(gpointer p)
{
	struct pw_call *c = p;

	pw_call_cancel(c);
	g_string_free(c->body, TRUE);
	g_free(c);
}

void pw_calls_end(void)
{
	if (calls) g_ptr_array_set_size(calls, 0);
}

static int has_ended(void *arg)
{
	return ((struct pw_call *)arg)->ended;
}

int pw_call_wait(struct pw_call *c, int ms)
{
	return pw_until(has_ended, c, ms);
}

int pw_stream_complete(const struct pw_call *c, int n)
{
	GString *want = g_string_new(NULL);
	int i, same;

	for (i = 1; i <= n; i++)
		g_string_append_printf(want, "id: %d\ndata: %s-%d\n\n", i, c->id, i);
	same = !strcmp(want->str, c->body->str);
	g_string_free(want, TRUE);
	return same && c->ended && !c->err && c->status == 200;
}

int pw_has_whole_events(const struct pw_call *c, int n)
{
	GString *want = g_string_new(NULL);
	int i, ok;

	for (i = 1; i <= n; i++)
		g_string_append_printf(want, "id: %d\ndata: %s-%d\n\n", i, c->id, i);
	ok = g_str_has_prefix(want->str, c->body->str);
	ok = ok && (!c->body->len || g_str_has_suffix(c->body->str, "\n\n"));
	g_string_free(want, TRUE);
	return ok;
}

struct raw {
	struct cn cn;
	GString *in;
	const char *bytes;
	size_t n;
	int closed;
};

static void raw_up(struct cn *c)
{
	struct raw *r = (struct raw *)c;

	cn_write(c, r->bytes, r->n);
}

static void raw_data(struct cn *c, const char *p, size_t n)
{
	g_string_append_len(((struct raw *)c)->in, p, n);
}

static void raw_end(struct cn *c, int err)
{
	(void)err;
	cn_close(c);
	((struct raw *)c)->closed = 1;
}

static int raw_closed(void *arg)
{
	return ((struct raw *)arg)->closed;
}

char *pw_raw(struct pw_entry *e, const char *bytes, size_t n, int ms, int *closed)
{
	return pw_raw_at(e->ip, PW_FRONT, bytes, n, ms, closed);
}

char *pw_raw_at(const char *ip, int port, const char *bytes, size_t n, int ms, int *closed)
{
	struct raw *r = g_new0(struct raw, 1);
	struct sockaddr_in at;
	char *in;

	pw_address_of(ip, port, &at);
	r->in = g_string_new(NULL);
	r->bytes = bytes;
	r->n = n;
	r->cn.on_connected = raw_up;
	r->cn.on_data = raw_data;
	r->cn.on_end = raw_end;
	cn_connect(&r->cn, &at);
	pw_until(raw_closed, r, ms);
	if (closed) *closed = r->closed;
	cn_close(&r->cn);
	in = g_string_free(r->in, FALSE);
	ev_free_later(r);
	return in;
}

int pw_get(const char *ip, int port, const char *target, GString *out)
{
	struct pw_call *c = g_new0(struct pw_call, 1);
	GString *q = g_string_new(NULL);
	struct sockaddr_in at;
	int status;

	g_string_printf(q, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target);
	pw_address_of(ip, port, &at);
	c->body = out ? out : g_string_new(NULL);
	c->x = hx_new(c);
	c->x->on_head = on_head;
	c->x->on_body = on_body;
	c->x->on_end = on_end;
	if (hx_start(c->x, &at, q, ASK_CONNECT_US))
		c->x = NULL;
	else
		pw_call_wait(c, 1000);
	status = c->ended && !c->err ? c->status : -1;
	pw_call_cancel(c);
	if (!out) g_string_free(c->body, TRUE);
	g_free(c);
	return status;
}

void pw_address(const struct pw_entry *e, int port, struct sockaddr_in *at)
{
	pw_address_of(e->ip, port, at);
}

void pw_ignore_data(struct cn *c, const char *p, size_t n)
{
	(void)c;
	(void)p;
	(void)n;
}

void pw_ignore_end(struct cn *c, int err)
{
	(void)err;
	cn_close(c);
}

int pw_directory_has(struct pw_entry *e, const char *ip)
{
	GString *out = g_string_new(NULL);
	char text[64];
	int named;

	pw_get(e->ip, PW_DIRECTORY, "/-/resolution?name=test.example&region=r&zone=a", out);
	g_snprintf(text, sizeof text, "\"%s:%d\"", ip, PW_FRONT);
	named = strstr(out->str, text) != NULL;
	g_string_free(out, TRUE);
	return named;
}
