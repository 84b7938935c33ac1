/* A generation's way to the reader, streamed or gathered. */
#include "clock.h"
#include "gen.h"
#include "jsonw.h"
#include "log.h"
#include "node.h"
#include <errno.h>
#include <poll.h>
#include <string.h>

#define SLOW_READER_US 20000000 /* one that takes nothing for so long has left */
#define POLL_MS 1000

void gen_sink(struct gen *g)
{
	g->sink = sink_new(g->met, g->arrived_us);
	g->sink->next = g->resume_at;
	if (g->stream) g->sink->fd = caller_fd(&g->caller, g->conn);
	req_set_sink(g->req, g->sink, g->stream);
}

/* From now on the tokens of this attempt are the ones that count. */
void gen_attach(struct gen *g, uint32_t attempt)
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

void gen_detach(struct gen *g)
{
	req_lock_sink(g->req)->attempt = 0;
	req_unlock_sink(g->req);
}

uint32_t gen_next(struct gen *g)
{
	uint32_t next;

	if (!g->sink) return g->resume_at;
	next = req_lock_sink(g->req)->next;
	req_unlock_sink(g->req);
	return next;
}

static const char *member_text(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v)) return NULL;
	return json_object_is_type(v, json_type_string) ? json_object_get_string(v) : NULL;
}

/* Takes the text out of {"choices":[{"text":..}]} or {"choices":[{"delta":{"content":..}}]}. */
static void gather(struct gen *g, const char *data)
{
	json_object *root = json_tokener_parse(data), *list, *first, *delta;
	const char *text, *finish;

	if (root && json_object_object_get_ex(root, "choices", &list) &&
	    (first = json_object_array_get_idx(list, 0))) {
		text = member_text(first, "text");
		if (!text && json_object_object_get_ex(first, "delta", &delta))
			text = member_text(delta, "content");
		if (text) g_string_append(g->text, text);
		finish = member_text(first, "finish_reason");
		if (finish) g_strlcpy(g->finish, finish, sizeof g->finish);
	}
	json_object_put(root);
}

/* A token that came as a message: of a whole answer, or where the socket isn't known. */
void gen_token(struct gen *g, const struct req_msg *m)
{
	struct sink *s = req_lock_sink(g->req);

	sink_count(s, m->u.token.offset, m->u.token.at_us);
	if (g->stream) sink_add(s, m->u.token.offset, m->data, m->len);
	req_unlock_sink(g->req);
	if (!g->stream) gather(g, m->data);
}

/* Without a socket of its own, the sink's bytes go through CivetWeb. */
static int flush_by_server(struct gen *g)
{
	struct sink *s = g->sink;
	int n = (int)s->out->len, rc = mg_write(g->conn, s->out->str, s->out->len);

	g_string_truncate(s->out, 0);
	return rc == n ? 0 : -1;
}

/* Waits until the reader has taken everything. */
int gen_flush(struct gen *g)
{
	struct pollfd p = {.fd = g->sink->fd, .events = POLLOUT};
	int64_t moved = clock_us();
	gsize before;
	int rc;

	if (!g->stream || (g->sink->fd < 0 && !g->sink->out->len)) return 0;
	if (g->sink->fd < 0) return flush_by_server(g);
	for (;;) {
		req_lock_sink(g->req);
		before = g->sink->out->len;
		rc = sink_write(g->sink);
		if (g->sink->out->len < before) moved = clock_us();
		if (!rc) g->sink->called = 0;
		req_unlock_sink(g->req);
		if (rc != -EAGAIN) return rc ? -1 : 0;
		if (clock_us() - moved > SLOW_READER_US) return -1;
		poll(&p, 1, POLL_MS);
	}
}

static void whole_json(struct gen *g, GString *s)
{
	uint32_t n = g->sink->taken;

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
	jsonw_str(s, g->finish[0] ? g->finish : "stop");
	g_string_append_printf(s,
			       "}],\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
			       "\"total_tokens\":%u}}",
			       g->prompt_tokens, n, g->prompt_tokens + n);
}

static void end_stream(struct gen *g, const char *last)
{
	struct sink *s = req_lock_sink(g->req);

	sink_add_text(s, last, strlen(last));
	sink_add_end(s);
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
	whole_json(g, s);
	http_send(g->conn, 200, "application/json", s->str, s->len, NULL);
	g_string_free(s, TRUE);
	return 0;
}

/* The final answer of a request that is given up on, at once. */
void gen_give_up(struct gen *g, const struct http_error *e)
{
	GString *s;

	log_write(G_LOG_LEVEL_DEBUG, "front", g->group->name, g->id, g->engine, "Gives up: %s.",
		  e->err.text);
	gen_detach(g);
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
