/* HTTP handlers for reading and editing the operators' table. */
#include "admin.h"
#include "clock.h"
#include "digest.h"
#include "docs.h"
#include "http.h"
#include "jsonw.h"
#include "met.h"
#include "node.h"
#include "table_edit.h"
#include "view.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 1000

static int send_table(struct mg_connection *c)
{
	uint64_t version;
	GBytes *b = docs_data(node.doc_table, &version);
	const char *text;
	char etag[64];
	gsize n;

	if (!b)
		return http_refuse(c, REF_NO_TABLE, STEP_ADMIT, RETRY_MS,
				   "no table is known here yet");
	text = g_bytes_get_data(b, &n);
	g_snprintf(etag, sizeof etag, "ETag: \"%llu\"\r\n", (unsigned long long)version);
	http_send(c, 200, "application/json", text, n, etag);
	g_bytes_unref(b);
	return 200;
}

static int send_accepted(struct mg_connection *c, uint64_t version)
{
	char etag[64], json[64];

	g_snprintf(etag, sizeof etag, "ETag: \"%llu\"\r\n", (unsigned long long)version);
	g_snprintf(json, sizeof json, "{\"version\":%llu}", (unsigned long long)version);
	return http_send(c, 200, "application/json", json, strlen(json), etag);
}

static int send_failure(struct mg_connection *c, int rc, const struct err *e)
{
	struct http_error h = {.err = *e, .ran = RAN_NO};

	switch (rc) {
	case -EINVAL: h.reason = REF_BAD_REQUEST; break;
	case -ENOENT: h.reason = REF_NOT_FOUND; break;
	case -ECANCELED: h.reason = REF_CONFLICT; break;
	case -EIO: h.ran = RAN_MAYBE; /* fallthrough */
	default: h.reason = REF_PLATFORM_DOWN; h.retry_after_ms = RETRY_MS;
	}
	return http_error(c, &h);
}

/* Reads If-Match; *version is 0 without it or for "*". -1 if its value is not a version. */
static int if_match(struct mg_connection *c, uint64_t *version)
{
	const char *h = mg_get_header(c, "If-Match");
	char *end;

	*version = 0;
	if (!h || !strcmp(h, "*")) return 0;
	if (*h == '"') h++;
	*version = strtoull(h, &end, 10);
	return *version && end != h && (!*end || *end == '"') ? 0 : -1;
}

static json_object *read_value(struct mg_connection *c)
{
	enum refusal why;
	size_t n;
	char *text = http_body(c, (size_t)1 << 20, &n, &why);
	json_object *v;

	if (!text) {
		http_refuse(c, why, STEP_PARSE, 0, "the body is too large or broke off");
		return NULL;
	}
	v = json_tokener_parse(text);
	g_free(text);
	if (v && json_object_is_type(v, json_type_object)) return v;
	json_object_put(v);
	http_refuse(c, REF_BAD_JSON, STEP_PARSE, 0, "the body is not a JSON object");
	return NULL;
}

static int handle_edit(struct mg_connection *c, enum edit_type type, const char *group)
{
	struct edit ed = {.type = type, .group = group};
	struct err e = {0};
	uint64_t version;
	int rc;

	if (if_match(c, &ed.if_match))
		return http_refuse(c, REF_BAD_REQUEST, STEP_PARSE, 0, "If-Match is no version");
	if (type != EDIT_GROUP_DELETE && !(ed.value = read_value(c))) return 400;
	rc = table_edit(&ed, &version, &e);
	json_object_put(ed.value);
	return rc ? send_failure(c, rc, &e) : send_accepted(c, version);
}

int admin_table(struct mg_connection *c, void *arg)
{
	const char *method = mg_get_request_info(c)->request_method;

	(void)arg;
	if (!admin_allowed(c)) return 401;
	if (!strcmp(method, "GET")) return send_table(c);
	if (!strcmp(method, "PUT")) return handle_edit(c, EDIT_TABLE, NULL);
	return http_refuse(c, REF_METHOD, STEP_PARSE, 0, "only GET and PUT are served here");
}

int admin_group(struct mg_connection *c, void *arg)
{
	const struct mg_request_info *i = mg_get_request_info(c);
	const char *group = i->local_uri + strlen(ADMIN_GROUP_PATH);

	(void)arg;
	if (!admin_allowed(c)) return 401;
	if (!*group)
		return http_refuse(c, REF_NOT_FOUND, STEP_PARSE, 0,
				   "the group's name is missing");
	if (!strcmp(i->request_method, "PUT")) return handle_edit(c, EDIT_GROUP_PUT, group);
	if (!strcmp(i->request_method, "PATCH")) return handle_edit(c, EDIT_GROUP_PATCH, group);
	if (!strcmp(i->request_method, "DELETE"))
		return handle_edit(c, EDIT_GROUP_DELETE, group);
	return http_refuse(c, REF_METHOD, STEP_PARSE, 0,
			   "only PUT, PATCH and DELETE are served here");
}

int admin_status(struct mg_connection *c, void *arg)
{
	struct view *v;
	GString *s;
	int64_t since, now = clock_us();
	uint64_t version;
	uint32_t i;

	(void)arg;
	if (!admin_allowed(c)) return 401;
	v = view_get();
	s = g_string_new(NULL);
	g_string_append_printf(s, "{\"version\":%llu,\"instances\":[",
			       (unsigned long long)docs_version(node.doc_table));
	for (i = 0; v && i < v->nmembers; i++) {
		version = digest_get_table(v->member[i].id, &since);
		g_string_append_printf(s, "%s{\"instance\":", i ? "," : "");
		jsonw_str(s, v->member[i].name);
		g_string_append_printf(s, ",\"version\":%llu,\"for_ms\":%lld}",
				       (unsigned long long)version,
				       since ? (long long)(now - since) / 1000 : 0);
	}
	g_string_append(s, "]}");
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	view_unref(v);
	return 200;
}
