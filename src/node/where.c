/* GET /v1/where: addresses of instances that a caller may connect to. */
#include "call.h"
#include "hash.h"
#include "http.h"
#include "met.h"
#include "node.h"
#include "tbl.h"
#include "view.h"
#include <string.h>

#define ADDRESSES_MAX 3

static int query_param(struct mg_connection *c, const char *name, char *out, size_t max)
{
	const char *q = mg_get_request_info(c)->query_string;

	return q && mg_get_var(q, strlen(q), name, out, max) > 0;
}

/* 0, or the HTTP status of the refusal that was sent. */
static int check_access(struct mg_connection *c, struct tbl *t, const char *group,
			const char *service)
{
	const struct tbl_group *g;

	if (!t)
		return http_refuse(c, REF_NO_TABLE, STEP_ADMIT, 1000,
				   "no table is known here yet");
	g = tbl_group(t, hash_name(group));
	if (!g) return http_refuse(c, REF_UNAUTHORIZED, STEP_AUTH, 0, "no such group");
	if (!*service) return 0;
	if (!tbl_service(t, hash_name(service)))
		return http_refuse(c, REF_UNKNOWN_SERVICE, STEP_ADMIT, 0, "no such service");
	if (!tbl_may_reach(g, hash_name(service)))
		return http_refuse(c, REF_NOT_ALLOWED, STEP_ADMIT, 0,
				   "the group may not reach this service");
	return 0;
}

/* Picks up to ADDRESSES_MAX live members at random, those of this data centre first. */
static uint32_t choose_instances(const struct view *v, const struct mbr_info **out)
{
	uint64_t seed = (uint64_t)g_random_int() << 32 | g_random_int(), best, score;
	const struct mbr_info *m, *pick;
	uint32_t i, k, n;

	for (n = 0; n < ADDRESSES_MAX; n++) {
		for (pick = NULL, best = 0, i = 0; i < v->nmembers; i++) {
			m = &v->member[i];
			if (m->state != MBR_ALIVE) continue;
			for (k = 0; k < n && out[k] != m; k++)
				;
			if (k < n) continue;
			score = hash_score(seed, m->id) >> 1;
			if (!strcmp(m->dc, node.self.dc)) score |= 1ull << 63;
			if (pick && score <= best) continue;
			pick = m;
			best = score;
		}
		if (!pick) break;
		out[n] = pick;
	}
	return n;
}

int where_serve(struct mg_connection *c)
{
	const struct mbr_info *chosen[ADDRESSES_MAX];
	char group[TBL_NAME_MAX + 1] = "", service[TBL_NAME_MAX + 1] = "";
	struct tbl *t;
	struct view *v;
	GString *s;
	uint32_t i, n;
	int status;

	if (!query_param(c, "group", group, sizeof group))
		return http_refuse(c, REF_BAD_REQUEST, STEP_PARSE, 0, "\"group\" is missing");
	query_param(c, "service", service, sizeof service);
	t = view_table();
	status = check_access(c, t, group, service);
	tbl_unref(t);
	if (status) return status;
	v = view_get();
	n = v ? choose_instances(v, chosen) : 0;
	if (!n) {
		view_unref(v);
		return http_refuse(c, REF_DRAINING, STEP_ADMIT, 1000,
				   "no instance takes requests now");
	}
	s = g_string_new("{\"addresses\":[");
	for (i = 0; i < n; i++)
		g_string_append_printf(s, "%s\"%s:%u\"", i ? "," : "", chosen[i]->ip,
				       chosen[i]->front_port);
	g_string_append_printf(s, "],\"ttl_ms\":%lld}", (long long)node.cfg.where_ttl_ms);
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	view_unref(v);
	return 200;
}
