/* Runs on the backend servers and their answers, according to the server's mode. */
#include "clock.h"
#include "pw.h"
#include <stdlib.h>
#include <string.h>

GPtrArray *pw_runs;

void pw_field(struct hs *h, const char *name, char *out, size_t max)
{
	const char *v = hp_get(&h->hp.head, name);

	g_strlcpy(out, v ? v : "", max);
}

void pw_run_finish(struct pw_run *r)
{
	ev_stop(&r->timer);
	ev_stop(&r->crash_timer);
	if (r->h) r->h->user = NULL;
	r->h = NULL;
	if (r->ended_us) return;
	r->server->running--;
	r->ended_us = clock_us();
}

static void send_head(struct pw_run *r, int status, const char *more)
{
	GString *g = g_string_new(NULL);
	enum pw_mode m = r->server->mode;

	g_string_printf(g, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%s%s%s\r\n", status,
			m == PW_WRONG_ID ? "another" : r->id,
			m == PW_UNSIGNED ? "" : "X-Response-Signature: sig-of-",
			m == PW_UNSIGNED ? "" : r->server->id, m == PW_UNSIGNED ? "" : "\r\n");
	g_string_truncate(g, g->len - 2);
	if (m == PW_ENCODED) g_string_append(g, "Content-Encoding: gzip\r\n");
	g_string_append(g, r->server->extra_fields ? r->server->extra_fields : "");
	g_string_append_printf(g, "%s\r\n", more);
	hs_write(r->h, g->str, g->len);
	g_string_free(g, TRUE);
}

static void send_chunk(struct hs *h, const char *p, size_t n)
{
	char size[16];

	g_snprintf(size, sizeof size, "%zx\r\n", n);
	hs_write(h, size, strlen(size));
	hs_write(h, p, n);
	hs_write(h, "\r\n", 2);
}

#define TRICKLE_BYTES 16
#define TRICKLE_US 20000
#define FLOOD_BYTES 65536
#define FLOOD_US 3000 /* timers fire up to a millisecond early */
#define CHUNK_BYTES 8192

/* Begins the answer up to the bytes that have no end. */
static void begin_endless(struct pw_run *r)
{
	switch (r->server->mode) {
	case PW_ENDLESS_HEAD: hs_write(r->h, "HTTP/1.1 200 X\r\nX-Filler: ", 26); break;
	case PW_ENDLESS_BODY: send_head(r, 200, "Connection: close\r\n"); break;
	case PW_ENDLESS_CHUNKS: send_head(r, 200, "Transfer-Encoding: chunked\r\n"); break;
	default:
		send_head(r, 200,
			  r->server->trickles ? "Content-Length: 1048576\r\n"
					      : "Content-Length: 1099511627776\r\n");
		break;
	}
}

/* Sends some bytes now and then until the caller closes. */
static void send_endless(struct pw_run *r)
{
	static char filler[FLOOD_BYTES];
	int slow = r->server->trickles;
	size_t n = slow ? TRICKLE_BYTES : FLOOD_BYTES;

	memset(filler, 'x', sizeof filler);
	if (!r->body_sent && r->server->mode != PW_ENDLESS_LINE) begin_endless(r);
	if (cn_pending(&r->h->cn) < FLOOD_BYTES) {
		r->body_sent = 1;
		if (r->server->mode == PW_ENDLESS_CHUNKS ||
		    (r->server->mode == PW_ENDLESS_LINE && r->framing == PW_CHUNKED))
			send_chunk(r->h, filler, n);
		else
			hs_write(r->h, filler, n);
	}
	ev_in(&r->timer, slow ? TRICKLE_US : FLOOD_US);
}

static void end_plain(struct pw_run *r)
{
	struct hs *h = r->h;

	r->finished = 1;
	pw_run_finish(r);
	h->keep = 0;
	hs_finish(h);
}

/* A sound answer that is large, or is sent in parts. */
static void large_answer(struct pw_run *r)
{
	const struct pw_server *s = r->server;
	int n = s->answer_bytes, part = s->answer_parts ? n / s->answer_parts : n, i;
	char more[64], *bytes = g_strnfill((gsize)n, 'y');

	if (s->answer_chunked)
		g_snprintf(more, sizeof more, "Transfer-Encoding: chunked\r\n");
	else
		g_snprintf(more, sizeof more, "Content-Length: %d\r\n", n);
	if (!r->body_sent) send_head(r, 200, more);
	part = MIN(part, n - r->body_sent);
	for (i = 0; s->answer_chunked && i < part; i += CHUNK_BYTES)
		send_chunk(r->h, bytes, (size_t)MIN(CHUNK_BYTES, part - i));
	if (!s->answer_chunked) hs_write(r->h, bytes, (size_t)part);
	g_free(bytes);
	r->body_sent += part;
	if (r->body_sent < n) {
		ev_in(&r->timer, TRICKLE_US);
		return;
	}
	if (s->answer_chunked) hs_write(r->h, "0\r\n\r\n", 5);
	end_plain(r);
}

static int plain_status(const struct pw_run *r)
{
	if (r->resume_status) return r->resume_status;
	switch (r->server->mode) {
	case PW_ERROR: return 500;
	case PW_NO_CONTENT: return 204;
	default: return 200;
	}
}

static int answers_plainly(const struct pw_run *r)
{
	return !r->server->engine || plain_status(r) != 200 || r->resume_status;
}

static int is_cut(const struct pw_run *r)
{
	if (r->resume_status) return 0;
	return r->server->mode == PW_CUT_CLOSE || r->server->mode == PW_BREAK;
}

static void plain_answer(struct pw_run *r)
{
	struct hs *h = r->h;
	char text[128], more[64];
	int cut = is_cut(r);

	/* The blank line makes it an event where it is taken for one. */
	g_snprintf(text, sizeof text, "answer to %s%s",
		   r->server->mode == PW_WRONG_ID ? "another" : r->id,
		   r->resume_status ? "\n\n" : "");
	if (plain_status(r) == 204)
		text[0] = more[0] = '\0'; /* it has no body, and states no length */
	else if (r->server->mode == PW_UNTIL_CLOSE || r->server->mode == PW_CUT_CLOSE)
		g_snprintf(more, sizeof more, "Connection: close\r\n");
	else
		g_snprintf(more, sizeof more, "Content-Length: %zu\r\n", strlen(text));
	send_head(r, plain_status(r), more);
	hs_write(h, text, cut ? 6 : strlen(text));
	if (r->server->mode == PW_EXTRA) {
		send_head(r, 200, "Content-Length: 5\r\n");
		hs_write(h, "extra", 5);
	}
	r->finished = 1;
	pw_run_finish(r);
	h->keep = 0;
	if (cut)
		hs_abort(h);
	else
		hs_finish(h);
}

static void reset(struct pw_run *r)
{
	struct hs *h = r->h;

	pw_run_finish(r);
	hs_abort(h);
}

static void send_part(struct pw_run *r, const char *p, size_t n)
{
	if (r->framing == PW_CHUNKED)
		send_chunk(r->h, p, n);
	else
		hs_write(r->h, p, n);
}

static const char part_of_event[] = "id: 99\nda";

static GString *event(const struct pw_run *r, int n)
{
	GString *g = g_string_new(NULL);
	gsize prefix_len;

	if (!r->server->no_id_from || n < r->server->no_id_from)
		g_string_printf(g, "id: %d\n", n);
	g_string_append_printf(g, "data: %s-%d", r->id, n);
	if (r->server->event_bytes) {
		g_string_append_c(g, ' ');
		prefix_len = g->len;
		g_string_set_size(g, prefix_len + r->server->event_bytes);
		memset(g->str + prefix_len, '.', r->server->event_bytes);
	}
	g_string_append(g, "\n\n");
	return g;
}

/* Bytes of the answer that the run is about to send. */
static size_t answer_bytes(const struct pw_run *r)
{
	const struct pw_server *s = r->server;
	int i, breaks = s->mode == PW_BREAK, last = breaks ? s->break_after : s->events;
	size_t n = breaks && !s->break_between ? sizeof part_of_event - 1 : 0;

	for (i = r->events + 1; i <= last; i++) {
		GString *g = event(r, i);

		n += g->len;
		g_string_free(g, TRUE);
	}
	return n;
}

static void send_stream_head(struct pw_run *r)
{
	char fields[128] = "Content-Type: text/event-stream\r\nConnection: close\r\n";

	if (r->framing == PW_CHUNKED)
		g_strlcpy(fields,
			  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
			  sizeof fields);
	if (r->framing == PW_WITH_LENGTH)
		g_snprintf(fields, sizeof fields,
			   "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n",
			   answer_bytes(r));
	send_head(r, 200, fields);
}

/* Ends the answer as a complete one. */
static void end_stream(struct pw_run *r)
{
	struct hs *h = r->h;

	pw_run_finish(r);
	if (r->framing == PW_CHUNKED) hs_write(h, "0\r\n\r\n", 5);
	if (r->framing != PW_CHUNKED) h->keep = 0;
	hs_finish(h);
}

static int is_first_event(const struct pw_run *r)
{
	return !r->events || r->events == atoi(r->after);
}

static void break_off(struct pw_run *r)
{
	if (r->server->break_end == PW_BY_END && is_first_event(r)) send_stream_head(r);
	if (!r->server->break_between) send_part(r, part_of_event, sizeof part_of_event - 1);
	if (r->server->break_end == PW_BY_END)
		end_stream(r);
	else
		reset(r);
}

static void send_event(struct pw_run *r)
{
	struct pw_server *s = r->server;
	GString *g;

	if (s->mode == PW_BREAK && r->events >= s->break_after) {
		break_off(r);
		return;
	}
	if (s->mode == PW_SILENT && r->events >= s->break_after) return;
	if (is_first_event(r) && !r->body_sent) send_stream_head(r);
	if (s->mode == PW_ENDLESS_LINE && r->events >= s->break_after) {
		send_endless(r);
		return;
	}
	g = event(r, ++r->events);
	send_part(r, g->str, g->len);
	g_string_free(g, TRUE);
	if (r->events < s->events) {
		ev_in(&r->timer, s->event_ms * 1000);
		return;
	}
	r->finished = 1;
	end_stream(r);
}

/* Sends these bytes alone, and closes the connection. */
static void answer_bytes_only(struct pw_run *r, const char *bytes)
{
	struct hs *h = r->h;

	pw_run_finish(r);
	hs_write(h, bytes, strlen(bytes));
	h->keep = 0;
	hs_finish(h);
}

static void answer_raw(struct pw_run *r)
{
	char **part = g_strsplit(r->server->raw_answer, "%s", -1);
	char *bytes = g_strjoinv(r->id, part);

	answer_bytes_only(r, bytes);
	g_strfreev(part);
	g_free(bytes);
}

static void answer_false_503(struct pw_run *r)
{
	struct pw_server *s = r->server;
	struct hs *h = r->h;
	char fields[96];

	g_snprintf(fields, sizeof fields, "X-Request-Id: %s\r\n", r->id);
	pw_run_finish(r);
	pw_server_answer(s, h, 503, fields, "");
}

static void on_work(struct ev_timer *t)
{
	struct pw_run *r = (struct pw_run *)((char *)t - offsetof(struct pw_run, timer));

	switch (r->server->mode) {
	case PW_HANG: return;
	case PW_RESET: reset(r); return;
	case PW_GARBAGE: answer_bytes_only(r, "what is this\r\n\r\n"); return;
	case PW_RAW: answer_raw(r); return;
	case PW_CUT_HEAD: answer_bytes_only(r, "HTTP/1.1 200 X\r\nX-Req"); return;
	case PW_FALSE_503: answer_false_503(r); return;
	case PW_ENDLESS_HEAD:
	case PW_ENDLESS_BODY:
	case PW_ENDLESS_CHUNKS:
	case PW_ENDLESS_LENGTH: send_endless(r); return;
	default: break;
	}
	if (!answers_plainly(r))
		send_event(r);
	else if (r->server->answer_bytes)
		large_answer(r);
	else
		plain_answer(r);
}

struct pw_run *pw_run_by_copy(const char *copy)
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

void pw_run_begin(struct pw_server *s, struct hs *h, const char *copy)
{
	struct pw_run *r = g_new0(struct pw_run, 1);
	char deadline[32], prompt[256], resumes[64];

	pw_field(h, "X-Request-Id", r->id, sizeof r->id);
	pw_field(h, "Last-Event-Id", r->after, sizeof r->after);
	pw_field(h, "Resumes", resumes, sizeof resumes);
	pw_field(h, "Kv-Backup", r->backup, sizeof r->backup);
	pw_field(h, "X-Tenant", r->group, sizeof r->group);
	pw_field(h, "X-Target-Instance", r->expect, sizeof r->expect);
	pw_field(h, "X-Deadline-Ms", deadline, sizeof deadline);
	pw_field(h, "X-Prompt-Prefix", prompt, sizeof prompt);
	g_strlcpy(r->copy, copy, sizeof r->copy);
	g_strlcpy(r->target, hp_target(&h->hp.head), sizeof r->target);
	g_strlcpy(r->body_sum, h->body->str, sizeof r->body_sum);
	r->deadline_ms = atoi(deadline);
	r->events = atoi(r->after);
	r->server = s;
	if (r->after[0] && !resumes[0]) r->resume_status = s->resume_status;
	r->framing = s->framing;
	r->h = h;
	r->began_us = clock_us();
	s->running++;
	r->timer.fire = on_work;
	h->user = r;
	g_ptr_array_add(pw_runs, r);
	if (pw_crash_begin(r, h->body->str, prompt)) return;
	ev_in(&r->timer, (*copy ? s->copy_ms : s->work_ms) * 1000);
}

struct pw_run *pw_run_at(struct pw_server *s, const char *id)
{
	uint32_t i;

	for (i = pw_runs->len; i-- > 0;) {
		struct pw_run *r = g_ptr_array_index(pw_runs, i);

		if (r->server == s && !strcmp(r->id, id) && r->h && r->events) return r;
	}
	return NULL;
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
