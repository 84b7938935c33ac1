/* Backend servers: what they answer, rightly or with a fault the test chose. */
#include "clock.h"
#include "hostport.h"
#include "pf_json.h"
#include "pw.h"
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

GPtrArray *pw_runs;
static GPtrArray *servers;
static int serial;

static void field(struct hs *h, const char *name, char *out, size_t max)
{
	const char *v = hp_get(&h->hp.head, name);

	g_strlcpy(out, v ? v : "", max);
}

static void keep_raw(struct pw_server *s, struct hs *h)
{
	GString *g = g_string_new(NULL);
	uint32_t i;

	g_string_printf(g, "%s %s\n", http_method_str(h->hp.head.method),
			hp_target(&h->hp.head));
	for (i = 0; i < hp_count(&h->hp.head); i++)
		g_string_append_printf(g, "%s: %s\n", hp_name(&h->hp.head, i),
				       hp_value(&h->hp.head, i));
	g_strlcpy(s->last_raw, g->str, sizeof s->last_raw);
	g_string_free(g, TRUE);
}

static void run_over(struct pw_run *r)
{
	ev_stop(&r->timer);
	if (r->h) r->h->user = NULL;
	r->h = NULL;
	if (!r->ended_us) r->ended_us = clock_us();
}

static void head(struct pw_run *r, int status, const char *more)
{
	GString *g = g_string_new(NULL);
	enum pw_mode m = r->server->mode;

	g_string_printf(g, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%s%s%s\r\n", status,
			m == PW_WRONG_ID ? "another" : r->id,
			m == PW_UNSIGNED ? "" : "X-Response-Signature: sig-of-",
			m == PW_UNSIGNED ? "" : r->server->id, m == PW_UNSIGNED ? "" : "\r\n");
	g_string_truncate(g, g->len - 2);
	if (m == PW_ENCODED) g_string_append(g, "Content-Encoding: gzip\r\n");
	g_string_append_printf(g, "%s\r\n", more);
	hs_write(r->h, g->str, g->len);
	g_string_free(g, TRUE);
}

static void plain_answer(struct pw_run *r)
{
	struct hs *h = r->h;
	char text[128], more[64];
	int cut = r->server->mode == PW_CUT_CLOSE || r->server->mode == PW_BREAK;

	g_snprintf(text, sizeof text, "answer to %s", r->id);
	if (r->server->mode == PW_UNTIL_CLOSE || r->server->mode == PW_CUT_CLOSE)
		g_snprintf(more, sizeof more, "Connection: close\r\n");
	else
		g_snprintf(more, sizeof more, "Content-Length: %zu\r\n", strlen(text));
	head(r, r->server->mode == PW_ERROR ? 500 : 200, more);
	hs_write(h, text, cut ? 6 : strlen(text));
	if (r->server->mode == PW_EXTRA) {
		head(r, 200, "Content-Length: 5\r\n");
		hs_write(h, "extra", 5);
	}
	r->finished = 1;
	run_over(r);
	h->keep = 0;
	if (cut)
		hs_abort(h);
	else
		hs_finish(h);
}

static void chunk(struct hs *h, const char *p, size_t n)
{
	char size[16];

	g_snprintf(size, sizeof size, "%zx\r\n", n);
	hs_write(h, size, strlen(size));
	hs_write(h, p, n);
	hs_write(h, "\r\n", 2);
}

static void break_off(struct pw_run *r)
{
	struct hs *h = r->h;

	chunk(h, "id: 99\nda", 9);
	run_over(r);
	hs_abort(h);
}

static void next_event(struct pw_run *r)
{
	struct pw_server *s = r->server;
	struct hs *h = r->h;
	char text[128];

	if (s->mode == PW_BREAK && r->events >= s->break_after) {
		break_off(r);
		return;
	}
	if (s->mode == PW_SILENT && r->events >= s->break_after) return;
	if (!r->events || r->events == atoi(r->after))
		head(r, 200,
		     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
	r->events++;
	g_snprintf(text, sizeof text, "id: %d\ndata: %s-%d\n\n", r->events, r->id, r->events);
	chunk(h, text, strlen(text));
	if (r->events < s->events) {
		ev_in(&r->timer, s->event_ms * 1000);
		return;
	}
	r->finished = 1;
	run_over(r);
	hs_write(h, "0\r\n\r\n", 5);
	hs_finish(h);
}

static void on_work(struct ev_timer *t)
{
	struct pw_run *r = (struct pw_run *)((char *)t - offsetof(struct pw_run, timer));

	switch (r->server->mode) {
	case PW_HANG: return;
	case PW_RESET: {
		struct hs *h = r->h;

		run_over(r);
		hs_abort(h);
		return;
	}
	case PW_GARBAGE: {
		struct hs *h = r->h;

		run_over(r);
		hs_write(h, "what is this\r\n\r\n", 16);
		h->keep = 0;
		hs_finish(h);
		return;
	}
	case PW_FALSE_503: {
		struct hs *h = r->h;

		char fields[96];

		g_snprintf(fields, sizeof fields, "X-Request-Id: %s\r\n", r->id);
		run_over(r);
		hs_answer(h, 503, fields, "", 0);
		return;
	}
	default: break;
	}
	if (r->server->engine && r->server->mode != PW_ERROR)
		next_event(r);
	else
		plain_answer(r);
}

/* A run that may be gone on with: by its own id (a backup), or by a handle of a move. */
static struct pw_run *copy_of(const char *copy)
{
	const char *name = strrchr(copy, '/');
	uint32_t i;

	for (i = pw_runs->len; name && i-- > 0;) {
		struct pw_run *r = g_ptr_array_index(pw_runs, i);
		char handle[80];

		g_snprintf(handle, sizeof handle, "handle-%s", r->id);
		if (strcmp(name + 1, handle) && strcmp(name + 1, r->id)) continue;
		if (g_str_has_prefix(copy, r->server->address)) return r;
	}
	return NULL;
}

static void begin_run(struct pw_server *s, struct hs *h, const char *copy)
{
	struct pw_run *r = g_new0(struct pw_run, 1);
	char deadline[32];

	field(h, "X-Request-Id", r->id, sizeof r->id);
	field(h, "Last-Event-Id", r->after, sizeof r->after);
	field(h, "Kv-Backup", r->backup, sizeof r->backup);
	field(h, "X-Tenant", r->group, sizeof r->group);
	field(h, "X-Target-Instance", r->expect, sizeof r->expect);
	field(h, "X-Deadline-Ms", deadline, sizeof deadline);
	g_strlcpy(r->copy, copy, sizeof r->copy);
	g_strlcpy(r->target, hp_target(&h->hp.head), sizeof r->target);
	g_strlcpy(r->body_sum, h->body->str, sizeof r->body_sum);
	r->deadline_ms = atoi(deadline);
	r->events = atoi(r->after);
	r->server = s;
	r->h = h;
	r->began_us = clock_us();
	r->timer.fire = on_work;
	h->user = r;
	g_ptr_array_add(pw_runs, r);
	ev_in(&r->timer, (*copy ? 5 : s->work_ms) * 1000);
}

static struct pw_run *running(struct pw_server *s, const char *id)
{
	uint32_t i;

	for (i = pw_runs->len; i-- > 0;) {
		struct pw_run *r = g_ptr_array_index(pw_runs, i);

		if (r->server == s && !strcmp(r->id, id) && r->h && r->events) return r;
	}
	return NULL;
}

static void move(struct pw_server *s, struct hs *h)
{
	struct json_object *o = pf_json(h->body->str, h->body->len);
	struct pw_run *r = o ? running(s, pf_text(o, "id")) : NULL;
	int last = o && pf_bool(o, "last"), status = s->move_status ? s->move_status : 200;
	char body[160] = "{}";

	s->moves++;
	if (!r) status = 404;
	if (r)
		g_snprintf(body, sizeof body, "{\"handle\":\"handle-%s\",\"made\":%d}", r->id,
			   r->events);
	if (r && last && status != 409) {
		struct hs *stream = r->h;

		r->stopped = 1;
		run_over(r);
		hs_abort(stream);
	}
	json_object_put(o);
	hs_answer(h, status, NULL, body, strlen(body));
}

static void generate(struct pw_server *s, struct hs *h)
{
	char copy[96];

	field(h, "Kv-From", copy, sizeof copy);
	if (*copy) {
		s->copies++;
		if (s->copy_status || !copy_of(copy)) {
			hs_answer(h, 503, "X-Not-Executed: 1\r\n", "", 0);
			return;
		}
	}
	begin_run(s, h, copy);
}

static void on_request(struct hs *h)
{
	struct pw_server *s = (struct pw_server *)((char *)h->listener -
						   offsetof(struct pw_server, listener));
	const char *t = hp_target(&h->hp.head);

	if (!strcmp(t, "/-/kv-move")) {
		move(s, h);
		return;
	}
	if (g_str_has_prefix(t, "/-/kv-handle/")) {
		s->drops++;
		hs_answer(h, 200, NULL, "", 0);
		return;
	}
	s->arrivals++;
	keep_raw(s, h);
	if (s->mode == PW_FULL)
		hs_answer(h, 503, "X-Not-Executed: 1\r\n", "", 0);
	else if (s->mode == PW_STRANGER)
		hs_answer(h, 421, "X-Instance-Id: other\r\n", "", 0);
	else
		generate(s, h);
}

static void on_left(struct hs *h)
{
	struct pw_run *r = h->user;

	if (!r) return;
	r->cancelled = 1;
	run_over(r);
}

struct pw_server *pw_server_add(const char *service, int engine)
{
	struct pw_server *s = g_new0(struct pw_server, 1);
	struct sockaddr_in at;

	if (!servers) servers = g_ptr_array_new();
	if (!pw_runs) pw_runs = g_ptr_array_new();
	g_snprintf(s->id, sizeof s->id, "i-%d", ++serial);
	g_strlcpy(s->service, service, sizeof s->service);
	g_snprintf(s->address, sizeof s->address, "%s:%d", pw_server_ip(), PW_SERVER + serial);
	s->engine = engine;
	s->work_ms = 5;
	s->event_ms = 10;
	s->events = 30;
	hostport_parse(s->address, &at);
	s->listener.limits = (struct hs_limits){65536, 1 << 20, 5000000, 60000000};
	s->listener.on_request = on_request;
	s->listener.on_left = on_left;
	if (hs_listen(&s->listener, &at)) abort();
	g_ptr_array_add(servers, s);
	pw_server_list(s, "ready");
	return s;
}

void pw_server_list(struct pw_server *s, const char *state)
{
	char key[96], value[512];

	g_snprintf(key, sizeof key, "servers/%s", s->id);
	g_snprintf(value, sizeof value,
		   "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\",\"version\":\"v1\","
		   "\"slots\":%d,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1}",
		   s->service, s->address, s->engine ? 48 : 6, state);
	pw_store_put(key, value);
}

void pw_server_unlist(struct pw_server *s)
{
	char key[96];

	g_snprintf(key, sizeof key, "servers/%s", s->id);
	pw_store_remove(key);
}

void pw_server_die(struct pw_server *s)
{
	hs_stop(&s->listener);
	while (s->listener.conns->len) {
		struct hs *h = g_ptr_array_index(s->listener.conns, 0);

		if (h->user) run_over(h->user);
		hs_abort(h);
	}
}

void pw_servers_end(void)
{
	uint32_t i;

	for (i = 0; servers && i < servers->len; i++)
		pw_server_die(g_ptr_array_index(servers, i));
	if (servers) g_ptr_array_set_size(servers, 0);
}

int pw_runs_of(const char *id)
{
	uint32_t i;
	int n = 0;

	for (i = 0; pw_runs && i < pw_runs->len; i++)
		n += !strcmp(((struct pw_run *)g_ptr_array_index(pw_runs, i))->id, id);
	return n;
}

struct pw_run *pw_run_of(const char *id, int nth)
{
	uint32_t i;

	for (i = 0; pw_runs && i < pw_runs->len; i++) {
		struct pw_run *r = g_ptr_array_index(pw_runs, i);

		if (!strcmp(r->id, id) && !nth--) return r;
	}
	return NULL;
}
