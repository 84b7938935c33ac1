/* Output of a generation to the reader, as a stream or as one answer. */
#include "clock.h"
#include "gen.h"
#include "jsonw.h"
#include "log.h"
#include "node.h"
#include <errno.h>
#include <poll.h>
#include <string.h>

#define SLOW_READER_US 20000000 /* a reader that accepts nothing for this long is gone */
#define POLL_MS 1000

void gen_create_sink(struct gen *g)
{
	g->sink = sink_new(g->met, g->arrived_us);
	g->sink->next = g->resume_offset;
	if (g->stream) g->sink->fd = caller_fd(&g->caller, g->conn);
	req_set_sink(g->req, g->sink, g->stream);
}

void gen_attach_sink(struct gen *g, uint32_t attempt)
{
	struct sink *s = req_lock_sink(g->req);
	char extra[128];

	s->attempt = attempt;
	if (event_id_write(s->prefix, sizeof s->prefix, g->engine, g->id, g->group->name))
		s->prefix[0] = 0;
	g_snprintf(extra, sizeof extra, "X-Generation-Id: %s\r\n", g->id);
	http_stream_head(s->head, sizeof s->head, extra);
	req_unlock_sink(g->req);
}

void gen_detach_sink(struct gen *g)
{
	req_lock_sink(g->req)->attempt = 0;
	req_unlock_sink(g->req);
}

uint32_t gen_next_offset(struct gen *g)
{
	uint32_t next;

	if (!g->sink) return g->resume_offset;
	next = req_lock_sink(g->req)->next;
	req_unlock_sink(g->req);
	return next;
}

static const char *string_field(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v)) return NULL;
	return json_object_is_type(v, json_type_string) ? json_object_get_string(v) : NULL;
}

/* Appends the text of {"choices":[{"text":..}]} or {"choices":[{"delta":{"content":..}}]}. */
static void append_text(struct gen *g, const char *data)
{
	json_object *root = json_tokener_parse(data), *list, *first, *delta;
	const char *text, *finish_reason;

	if (root && json_object_object_get_ex(root, "choices", &list) &&
	    (first = json_object_array_get_idx(list, 0))) {
		text = string_field(first, "text");
		if (!text && json_object_object_get_ex(first, "delta", &delta))
			text = string_field(delta, "content");
		if (text) g_string_append(g->text, text);
		finish_reason = string_field(first, "finish_reason");
		if (finish_reason)
			g_strlcpy(g->finish_reason, finish_reason, sizeof g->finish_reason);
	}
	json_object_put(root);
}

/* Adds a token that arrived as a message, because the answer is not streamed or the socket of
 * the reader was not found. */
void gen_add_token(struct gen *g, const struct req_msg *m)
{
	struct sink *s = req_lock_sink(g->req);

	sink_count_token(s, m->u.token.offset, m->u.token.at_us);
	if (g->stream) sink_add_event(s, m->u.token.offset, m->data, m->len);
	req_unlock_sink(g->req);
	if (!g->stream) append_text(g, m->data);
}

/* Writes through CivetWeb when the socket of the reader was not found. */
static int flush_via_civetweb(struct gen *g)
{
	struct sink *s = g->sink;
	int n = (int)s->out->len, rc = mg_write(g->conn, s->out->str, s->out->len);

	g_string_truncate(s->out, 0);
	return rc == n ? 0 : -1;
}

int gen_flush(struct gen *g)
{
	struct pollfd p = {.fd = g->sink->fd, .events = POLLOUT};
	int64_t progress_us = clock_us();
	gsize before;
	int rc;

	if (!g->stream || (g->sink->fd < 0 && !g->sink->out->len)) return 0;
	if (g->sink->fd < 0) return flush_via_civetweb(g);
	for (;;) {
		req_lock_sink(g->req);
		before = g->sink->out->len;
		rc = sink_write(g->sink);
		if (g->sink->out->len < before) progress_us = clock_us();
		if (!rc) g->sink->reader_blocked = 0;
		req_unlock_sink(g->req);
		if (rc != -EAGAIN) return rc ? -1 : 0;
		if (clock_us() - progress_us > SLOW_READER_US) return -1;
		poll(&p, 1, POLL_MS);
	}
}

static void format_answer(struct gen *g, GString *s)
{
	uint32_t n = g->sink->received;

	g_string_append(s, "{\"id\":");
	jsonw_str(s, g->id);
	g_string_append_printf(s, ",\"object\":\"%s\",\"model\":",
			       g->chat ? "chat.completion" : "text_completion");
	jsonw_str(s, g->service->name);
	g_string_append(s, ",\"choices\":[{\"index\":0,");
	g_string_append(s, g->chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
				   : "\"text\":");
	jsonw_strn(s, g->text->str, g->text->len);
	g_string_append(s, g->chat ? "}" : "");
	g_string_append(s, ",\"finish_reason\":");
	jsonw_str(s, g->finish_reason[0] ? g->finish_reason : "stop");
	g_string_append_printf(s,
			       "}],\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
			       "\"total_tokens\":%u}}",
			       g->prompt_tokens, n, g->prompt_tokens + n);
}

static void end_stream(struct gen *g, const char *last)
{
	struct sink *s = req_lock_sink(g->req);

	sink_add_chunk(s, last, strlen(last));
	sink_add_last_chunk(s);
	req_unlock_sink(g->req);
}

int gen_finish(struct gen *g)
{
	GString *s;

	met_observe(g->met, MET_H_STALL, g->sink->stall_us);
	met_add(MET_ANSWERED, 1);
	if (g->stream) {
		end_stream(g, "data: [DONE]\n\n");
		return gen_flush(g);
	}
	s = g_string_new(NULL);
	format_answer(g, s);
	http_send(g->conn, 200, "application/json", s->str, s->len, NULL);
	g_string_free(s, TRUE);
	return 0;
}

void gen_fail(struct gen *g, const struct http_error *e)
{
	GString *s;

	log_write(G_LOG_LEVEL_DEBUG, "front", g->group->name, g->id, g->engine,
		  "Request failed: %s.", e->err.text);
	gen_detach_sink(g);
	if (!g->sink->started) {
		http_error(g->conn, e);
		return;
	}
	met_refused(e->reason);
	s = g_string_new("event: error\ndata: ");
	http_error_json(s, e);
	g_string_append(s, "\n\n");
	end_stream(g, s->str);
	gen_flush(g);
	g_string_free(s, TRUE);
	mg_disable_keep_alive(g->conn);
}
