/* The HTTP server for operators: state, draining, metrics. */
#include "admin.h"
#include "equal.h"
#include "front.h"
#include "http.h"
#include "jsonw.h"
#include "met.h"
#include "node.h"
#include "req.h"
#include "tbl.h"
#include "view.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define ADMIN_THREADS 8

static struct mg_context *ctx;

int admin_allowed(struct mg_connection *c)
{
	const char *key = http_bearer(c);
	char *hex;
	int equal = 0;

	if (key) {
		hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
		equal = equal_secret(hex, node.cfg.admin_key_sha256, TBL_KEY_HEX);
		g_free(hex);
	}
	if (!equal)
		http_refuse(c, REF_UNAUTHORIZED, STEP_AUTH, 0,
			    "the operators' key is missing or wrong");
	return equal;
}

static const char *member_name(const struct view *v, uint64_t id)
{
	const struct mbr_info *m = id ? view_member(v, id) : NULL;

	return m ? m->name : "";
}

static void backend_json(GString *s, const struct view *v, uint32_t i)
{
	const struct backend *b = &v->backend[i];

	g_string_append(s, "{\"address\":");
	jsonw_str(s, b->address);
	g_string_append(s, ",\"data_centre\":");
	jsonw_str(s, b->dc);
	g_string_append_printf(s, ",\"kind\":\"%s\",\"state\":\"%s\",\"fenced\":%s,\"keeper\":",
			       b->kind == BACKEND_ENGINE ? "engine" : "service",
			       b->leaving ? "leaving" : "live", b->fenced ? "true" : "false");
	jsonw_str(s, b->kind == BACKEND_ENGINE ? member_name(v, b->keeper) : "");
	g_string_append(s, "}");
}

static void member_json(GString *s, const struct view *v, uint32_t i)
{
	static const char *const states[] = {"alive", "leaving", "suspect", "dead"};
	const struct mbr_info *m = &v->member[i];

	g_string_append(s, "{\"instance\":");
	jsonw_str(s, m->name);
	g_string_append(s, ",\"data_centre\":");
	jsonw_str(s, m->dc);
	g_string_append_printf(
		s,
		",\"state\":\"%s\",\"front\":\"%s:%u\",\"admin\":\"%s:%u\",\"peer\":\"%s:%u\","
		"\"incarnation\":%llu}",
		states[m->state], m->ip, m->front_port, m->ip, m->admin_port, m->ip,
		m->peer_port, (unsigned long long)m->incarnation);
}

/* Sends {"name":[...]}, with the entries for 0 to n - 1 written by entry. */
static int send_list(struct mg_connection *c, const char *name, const struct view *v,
		     uint32_t n, void (*entry)(GString *s, const struct view *v, uint32_t i))
{
	GString *s = g_string_new(NULL);
	uint32_t i;

	g_string_append_printf(s, "{\"%s\":[", name);
	for (i = 0; i < n; i++) {
		if (i) g_string_append_c(s, ',');
		entry(s, v, i);
	}
	g_string_append(s, "]}");
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	return 200;
}

static int on_engines(struct mg_connection *c, void *arg)
{
	struct view *v;

	(void)arg;
	if (!admin_allowed(c)) return 401;
	v = view_get();
	send_list(c, "engines", v, v ? v->nbackends : 0, backend_json);
	view_unref(v);
	return 200;
}

static int on_instances(struct mg_connection *c, void *arg)
{
	struct view *v;

	(void)arg;
	if (!admin_allowed(c)) return 401;
	v = view_get();
	send_list(c, "instances", v, v ? v->nmembers : 0, member_json);
	view_unref(v);
	return 200;
}

static int on_drain(struct mg_connection *c, void *arg)
{
	char json[96];

	(void)arg;
	if (!admin_allowed(c)) return 401;
	if (strcmp(mg_get_request_info(c)->request_method, "POST"))
		return http_refuse(c, REF_METHOD, STEP_PARSE, 0, "only POST is served here");
	node_drain();
	snprintf(json, sizeof json, "{\"draining\":true,\"open_requests\":%u}", req_count());
	return http_send_json(c, 202, json);
}

static int on_metrics(struct mg_connection *c, void *arg)
{
	GString *s = g_string_new(NULL);

	(void)arg;
	met_set(MET_G_REQUESTS, req_count());
	met_write(s);
	http_send(c, 200, "text/plain; version=0.0.4", s->str, s->len, NULL);
	g_string_free(s, TRUE);
	return 200;
}

int admin_start(struct err *e)
{
	static const struct http_path paths[] = {{"/admin/v1/table/status$", admin_status},
						 {"/admin/v1/table$", admin_table},
						 {ADMIN_GROUP_PATH, admin_group},
						 {"/admin/v1/engines$", on_engines},
						 {"/admin/v1/instances$", on_instances},
						 {"/admin/v1/drain$", on_drain},
						 {"/metrics$", on_metrics},
						 {NULL, NULL}};
	char listen[160], threads[16];
	const char *opt[] = {"listening_ports",
			     listen,
			     "num_threads",
			     threads,
			     "enable_keep_alive",
			     "no",
			     "request_timeout_ms",
			     "10000",
			     "tcp_nodelay",
			     "1",
			     NULL};

	snprintf(threads, sizeof threads, "%d", ADMIN_THREADS);
	snprintf(listen, sizeof listen, "%s:%d", node.cfg.ip, (int)node.cfg.admin_port);
	ctx = http_serve(opt, ADMIN_THREADS, paths);
	if (!ctx)
		return err_set(e, -EADDRINUSE, STEP_SETTINGS, listen,
			       "can't serve operators there");
	return 0;
}

void admin_stop(void)
{
	if (ctx) mg_stop(ctx);
	ctx = NULL;
}

uint16_t admin_port(void)
{
	return http_port(ctx);
}
