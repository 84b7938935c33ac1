/* What operators see of the requests that wait at this instance. */
#include "clock.h"
#include "jsonw.h"
#include "rq_impl.h"

#define REQUESTS_MAX 100 /* in one answer */

struct waiting_list {
	GString *out;
	int64_t now_us, now_wall_ms;
	int n;
};

static const char *reason_of(const struct rq *r)
{
	switch (r->waiting) {
	case RQ_WAIT_MEMORY: return "memory";
	case RQ_WAIT_RATE: return "rate";
	case RQ_WAIT_ADMISSION: return "admission";
	case RQ_WAIT_NONE: break;
	}
	return "none";
}

static void add_text(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, ",\"%s\":", name);
	if (value)
		jsonw_str(out, value);
	else
		g_string_append(out, "null");
}

static void add_expected(GString *out, const struct rq *r)
{
	if (r->wait_began_us && r->expected_wait_us != INT64_MAX)
		g_string_append_printf(out, ",\"expected_ms\":%" G_GINT64_FORMAT,
				       r->expected_wait_us / 1000);
	else
		g_string_append(out, ",\"expected_ms\":null");
}

static void write_one(const struct rq *r, void *arg)
{
	struct waiting_list *l = arg;
	int64_t began_us = r->wait_began_us ? r->wait_began_us : r->began_us;

	if (l->n++ >= REQUESTS_MAX) return;
	g_string_append(l->out, l->n > 1 ? ",{\"id\":" : "{\"id\":");
	jsonw_str(l->out, r->in.id);
	add_text(l->out, "workspace", r->group ? r->group->name : NULL);
	add_text(l->out, "route", r->route->name);
	add_text(l->out, "service", r->service->name);
	g_string_append_printf(l->out, ",\"rank\":%d,\"since_ms\":%" G_GINT64_FORMAT,
			       rq_rank(r), l->now_wall_ms - (l->now_us - began_us) / 1000);
	add_expected(l->out, r);
	add_text(l->out, "waits_for", reason_of(r));
	add_text(l->out, "keeper",
		 r->waiting == RQ_WAIT_ADMISSION ? r->admission.keeper : NULL);
	g_string_append_c(l->out, '}');
}

int rq_write_waiting(GString *out)
{
	struct waiting_list l = {
		.out = out, .now_us = clock_us(), .now_wall_ms = clock_wall_ms()};

	g_string_append_c(out, '[');
	rq_queue_each(write_one, &l);
	g_string_append_c(out, ']');
	return l.n;
}
