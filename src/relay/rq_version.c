/* The software version that a stream is bound to: that of the engine which brought its first
 * event. What two versions write does not fit together, and engines don't check that. */
#include "jlog.h"
#include "rq_impl.h"

void rq_bind(struct rq *r, const struct be *b)
{
	if (r->bound != RQ_UNBOUND || r->route->kind != CONF_STREAM) return;
	r->bound = b->version_key ? RQ_BOUND : RQ_BOUND_UNKNOWN;
	r->version_key = b->version_key;
}

static int fits(const struct rq *r, const struct be *b)
{
	switch (r->bound) {
	case RQ_UNBOUND: return 1;
	case RQ_BOUND: return b->version_key == r->version_key;
	case RQ_BOUND_UNKNOWN: return 0;
	}
	return 0;
}

/* A stream that began at a canary, or at the old version, goes on there during a rollout. */
static uint32_t roles_of(const struct rq *r, uint32_t roles)
{
	return r->bound == RQ_UNBOUND ? roles : roles | RO_OLD | RO_CANARY;
}

int rq_allows_server(const struct rq *r, const struct be *b, uint32_t roles)
{
	return fits(r, b) && ro_matches(b, roles_of(r, roles)) && rq_region_allowed(r, b);
}

static int has_ready_server(const char *service)
{
	const GPtrArray *list = be_of_service(service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++)
		if (((const struct be *)g_ptr_array_index(list, i))->state == BE_READY)
			return 1;
	return 0;
}

int rq_allows_last_resort(const struct rq *r, const struct be *b)
{
	if (r->bound == RQ_UNBOUND) return 1;
	if (b->state == BE_READY) return !b->refused;
	return !has_ready_server(r->service->name);
}

static void log_refused(const struct rq *r, const struct be *b)
{
	GString *g = jlog_begin("relay", "version_refused");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", b->id);
	jlog_str(g, "version", b->version);
	jlog_end(g);
}

int rq_may_start_at(const struct rq *r, const struct be *b)
{
	/* The incarnation that has run it so far also has its memory. */
	if (fits(r, b) || (r->attempt && r->attempt->be == b)) return 1;
	log_refused(r, b);
	return 0;
}

int rq_has_engine_of_version(const struct rq *r)
{
	const GPtrArray *list = be_of_service(r->service->name);
	uint32_t i;

	if (r->bound == RQ_UNBOUND) return 1;
	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->state == BE_READY && !b->blocked_us && fits(r, b)) return 1;
	}
	return 0;
}
