/* Parses a completion request, authenticates the group and checks that it may use the model. */
#include "clock.h"
#include "gen.h"
#include "node.h"
#include "hash.h"
#include <string.h>

#define BYTES_PER_TOKEN 4 /* an estimate, corrected by what the engine reports */

static int refuse(struct gen *g, enum refusal why, enum step step, const char *text)
{
	return http_refuse(g->conn, why, step, 0, text);
}

static int authenticate(struct gen *g)
{
	const char *key = http_bearer(g->conn);

	g->table = view_table();
	if (!g->table)
		return http_refuse(g->conn, REF_NO_TABLE, STEP_ADMIT, 1000,
				   "no table is known here yet");
	g->group = key ? tbl_group_by_key(g->table, key) : NULL;
	if (!g->group) return refuse(g, REF_UNAUTHORIZED, STEP_AUTH, "no group has this key");
	g->met = met_group(g->group->name);
	return 0;
}

static int find_service(struct gen *g, const char *name)
{
	uint64_t id = hash_name(name);

	g->service = tbl_service(g->table, id);
	if (!g->service || g->service->kind != TBL_MODEL)
		return refuse(g, REF_UNKNOWN_SERVICE, STEP_ADMIT, "no such model");
	if (!tbl_may_reach(g->group, id))
		return refuse(g, REF_NOT_ALLOWED, STEP_ADMIT,
			      "the group may not reach this model");
	return 0;
}

static uint32_t estimate_tokens(json_object *v)
{
	return (uint32_t)(strlen(json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN)) /
			  BYTES_PER_TOKEN) +
	       1;
}

static int read_prompt(struct gen *g)
{
	json_object *v;

	if (g->chat) {
		if (!json_object_object_get_ex(g->body, "messages", &v) ||
		    !json_object_is_type(v, json_type_array) || !json_object_array_length(v))
			return refuse(g, REF_BAD_REQUEST, STEP_PARSE,
				      "\"messages\" must be a list that is not empty");
	} else if (!json_object_object_get_ex(g->body, "prompt", &v) ||
		   !json_object_is_type(v, json_type_string)) {
		return refuse(g, REF_BAD_REQUEST, STEP_PARSE, "\"prompt\" must be a string");
	}
	g->prompt_tokens = estimate_tokens(v);
	return 0;
}

static int read_fields(struct gen *g)
{
	json_object *v;

	if (!json_object_object_get_ex(g->body, "model", &v) ||
	    !json_object_is_type(v, json_type_string))
		return refuse(g, REF_BAD_REQUEST, STEP_PARSE, "\"model\" must be a string");
	if (find_service(g, json_object_get_string(v))) return -1;
	if (json_object_object_get_ex(g->body, "stream", &v)) {
		if (!json_object_is_type(v, json_type_boolean))
			return refuse(g, REF_BAD_REQUEST, STEP_PARSE,
				      "\"stream\" must be true or false");
		g->stream = json_object_get_boolean(v);
	}
	if (json_object_object_get_ex(g->body, "max_tokens", &v) &&
	    (!json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 1))
		return refuse(g, REF_BAD_REQUEST, STEP_PARSE,
			      "\"max_tokens\" must be a whole number above 0");
	return read_prompt(g);
}

static int read_body(struct gen *g)
{
	enum json_tokener_error parse_error;
	enum refusal why;
	size_t len;
	char *text = http_body(g->conn, (size_t)node.cfg.body_bytes, &len, &why);

	if (!text) return refuse(g, why, STEP_PARSE, "the body is too large or broke off");
	if (memchr(text, 0, len)) len = 0;
	g->body = len ? json_tokener_parse_verbose(text, &parse_error) : NULL;
	g_free(text);
	if (!g->body || !json_object_is_type(g->body, json_type_object))
		return refuse(g, REF_BAD_JSON, STEP_PARSE, "the body is not a JSON object");
	return 0;
}

/* A reader that reconnects sends the id of the last event it received; its generation resumes
 * after that event. */
static int read_resume(struct gen *g, const char *last_event)
{
	struct event_id id;

	if (event_id_read(last_event, g->group->name, &id))
		return refuse(g, REF_BAD_EVENT_ID, STEP_PARSE,
			      "Last-Event-ID is not one that this group was given");
	strcpy(g->engine, id.engine);
	strcpy(g->id, id.gen);
	g->engine_id = hash_name(id.engine);
	g->resume_offset = id.offset + 1;
	g->stream = 1;
	return 0;
}

int gen_read_request(struct gen *g, struct mg_connection *c, int chat)
{
	const char *last_event = mg_get_header(c, "Last-Event-ID");

	g->conn = c;
	g->caller.fd = -1;
	g->chat = chat;
	g->arrived_us = clock_us();
	if (strcmp(mg_get_request_info(c)->request_method, "POST"))
		return refuse(g, REF_METHOD, STEP_PARSE, "only POST is served here");
	if (authenticate(g)) return -1;
	g->deadline_us = g->arrived_us + (int64_t)g->group->deadline_ms * 1000;
	if (read_body(g) || read_fields(g)) return -1;
	return last_event ? read_resume(g, last_event) : 0;
}

/* The caller's body with the fields that saddlehead sets: stream, request_id and priority. */
char *gen_engine_body(struct gen *g)
{
	json_object_object_add(g->body, "stream", json_object_new_boolean(1));
	json_object_object_add(g->body, "request_id", json_object_new_string(g->id));
	json_object_object_add(g->body, "priority",
			       json_object_new_int(g->group->class == TBL_INTERACTIVE ? 1 : 0));
	return g_strdup(json_object_to_json_string_ext(g->body, JSON_C_TO_STRING_PLAIN));
}
