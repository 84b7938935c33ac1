/* Admission of a new request: checks it against the configuration and prepares it. */
#include "clock.h"
#include "quarantine.h"
#include "rq_impl.h"
#include <errno.h>

#define DRAIN_ACCEPT_US 2000000 /* callers learn of a drain within about this time */
#define DRAIN_MARGIN 2 /* lengths are uncertain: one in six is twice as long as expected */
#define RETRY_DRAIN_US 50000 /* another instance may serve it at once */

#define HELD_POLL_US 10000 /* how often held requests are checked */

static GPtrArray *held; /* of struct rq: arrived before the quarantine verdicts */
static struct ev_timer held_timer;
static int64_t drain_began_us, drain_until_us; /* 0: no drain */

int rq_conf_is_confirmed(const struct rq *r)
{
	if ((r->route && r->route->open) || !rq_cfg->fail_closed) return 1;
	return clock_us() - cache_confirmed_us() < rq_cfg->revoke_us;
}

int rq_key_is_valid(const struct rq *r, const struct conf *c)
{
	return r->route->open || !c->keyed || conf_group(c, r->in.key);
}

/* 0, or refuses r. */
static int check_request(struct rq *r)
{
	struct conf *c = cache_conf();

	if (dl_read_request(&r->h->hp.head, &r->in)) {
		rq_refuse(r, REF_BAD_REQUEST, 0, "a field of the head is missing or malformed");
		return -EINVAL;
	}
	if (!c) {
		rq_refuse(r, REF_NO_TABLE, RETRY_SOON_US, "no configuration is known yet");
		return -EAGAIN;
	}
	r->conf = conf_ref(c);
	r->route = conf_route(c, r->in.host, r->in.target);
	/* Also for requests without a route, which a newer configuration may have. */
	if (!rq_conf_is_confirmed(r)) {
		rq_refuse(r, REF_PLATFORM_DOWN, RETRY_SOON_US,
			  "the configuration is not confirmed");
		return -EAGAIN;
	}
	if (!r->route) {
		rq_refuse(r, REF_NOT_FOUND, 0, "no route");
		return -ENOENT;
	}
	if (!r->route->open) r->group = conf_group(c, r->in.key);
	if (!rq_key_is_valid(r, c)) {
		rq_refuse(r, REF_UNAUTHORIZED, 0, "unknown key");
		return -EACCES;
	}
	return 0;
}

const struct fp *rq_fp(struct rq *r)
{
	const GString *body = r->h->body;
	struct fp_parts parts = {.method = http_method_str(r->h->hp.head.method),
				 .host = r->in.host,
				 .target = r->in.target,
				 .key = r->in.key,
				 .body = body->str,
				 .body_len = body->len};

	if (!r->has_fp) fp_make(&r->fp, &parts);
	r->has_fp = 1;
	return &r->fp;
}

static int64_t expected_us(const struct rq *r)
{
	return (int64_t)(r->job.growth * rq_token_us(r));
}

/* A draining instance accepts nothing that would outlast it: at first by expected length, later
 * only requests whose deadline comes before the end of the drain. */
static int outlasts_drain(const struct rq *r)
{
	if (!drain_until_us) return 0;
	if (ev_now() - drain_began_us > DRAIN_ACCEPT_US) return r->end_us > drain_until_us;
	if (r->route->kind != CONF_STREAM) return 0;
	return ev_now() + expected_us(r) * DRAIN_MARGIN > drain_until_us;
}

static struct rq *rq_new(struct hs *h)
{
	struct rq *r = g_new0(struct rq, 1);

	r->h = h;
	h->user = r;
	r->began_us = h->arrived_us;
	move_init(r);
	r->index = rq_all->len;
	g_ptr_array_add(rq_all, r);
	met_add(MET_REQUESTS, 1);
	return r;
}

/* 0, or refuses r. */
static int choose_service(struct rq *r)
{
	const char *name = r->bound == RQ_UNBOUND ? conf_pick(r->route, g_random_double())
						  : rq_bound_service(r);

	r->service = name ? conf_service(r->conf, name) : NULL;
	if (r->service) return 0;
	if (r->bound != RQ_UNBOUND) {
		rq_refuse(r, REF_VERSION_GONE, RETRY_LATER_US,
			  "no engine of the stream's version is known");
		return -ENOENT;
	}
	rq_refuse(r, REF_NO_ENGINE, RETRY_LATER_US, "the route's service is not configured");
	return -ENOENT;
}

void rq_admit_resolved(struct rq *r)
{
	r->job.prompt = r->in.prompt_tokens;
	r->job.growth =
		length_remaining(rq_length_stats(r), r->in.output_hint, r->in.output_max, 0);
	if (choose_service(r)) return;
	rq_start_timers(r);
	if (outlasts_drain(r)) {
		rq_refuse(r, REF_DRAINING, RETRY_DRAIN_US,
			  "this instance stops before it would end");
		return;
	}
	rq_count_request(r);
	rq_place(r);
}

static void admit(struct rq *r)
{
	if (!rq_resolve_origin(r)) rq_admit_resolved(r);
}

static void on_held_timer(struct ev_timer *t)
{
	if (!quarantine_ready()) {
		ev_in(t, HELD_POLL_US);
		return;
	}
	while (held->len) {
		struct rq *r = g_ptr_array_index(held, 0);

		rq_stop_holding(r);
		admit(r);
	}
}

void rq_stop_holding(struct rq *r)
{
	if (!r->held) return;
	r->held = 0;
	g_ptr_array_remove(held, r);
}

/* A starting instance receives the quarantine verdicts within some ms: sooner than a caller
 * that is refused would retry. */
static void hold(struct rq *r)
{
	if (!held) held = g_ptr_array_new();
	r->held = 1;
	g_ptr_array_add(held, r);
	held_timer.fire = on_held_timer;
	if (!held_timer.armed) ev_in(&held_timer, HELD_POLL_US);
}

void rq_on_request(struct hs *h)
{
	struct rq *r = rq_new(h);

	if (check_request(r)) return;
	if (quarantine_ready())
		admit(r);
	else
		hold(r);
}

void rq_drain(int64_t until_us)
{
	drain_began_us = ev_now();
	drain_until_us = until_us;
}
