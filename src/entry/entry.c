/* One entry instance: its listeners, readiness, drain and shutdown. */
#include "entry.h"
#include "entry_metrics.h"
#include "adm.h"
#include "be.h"
#include "cache.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "hs.h"
#include "hs_hold.h"
#include "jlog.h"
#include "leave.h"
#include "limit.h"
#include "mesh.h"
#include "met.h"
#include "origins.h"
#include "pace.h"
#include "path.h"
#include "quarantine.h"
#include "probe.h"
#include "ro.h"
#include "roster.h"
#include "rq.h"
#include "store.h"
#include "watch.h"
#include <string.h>

#define ADDRESSES_MAX 64 /* in one answer of the directory */
/* The first so many known addresses are candidates for one answer. */
#define ADDRESSES_CANDIDATES 4096
/* Of the longest time that callers keep an answer: changes are seen soon. */
#define TTL_PART 0.4
#define TTL_OVERRUN 3          /* some callers keep an answer for so many times its TTL */
#define DRAIN_MARGIN_US 400000 /* before the kill: remaining requests are ended properly */
/* After the start of a drain idle connections are closed: callers know of it by then. */
#define DRAIN_CLOSE_IDLE_US 1000000
#define DEFAULT_HEAD_MAX 16384 /* limits of a request until the configuration sets them */
#define DEFAULT_BODY_MAX (4u << 20)
#define DEFAULT_HEAD_US 5000000
#define DEFAULT_IDLE_US 15000000
#define INTERNAL_IDLE_US 10000000 /* connections for readiness, addresses and metrics */
#define LEAVING_PART 0.9 /* of the time after which nothing may reach a leaving server */
/* The same for a drained data centre, which may be announced late. */
#define DRAINED_PART 0.5

static struct entry_cfg *cfg;
static struct hs_listener front, ready, directory, metrics;
static struct ev_timer state_timer;
static int64_t drain_began_us;

#define MEGABYTE (1u << 20)
/* Divides an instance's memory: for data that callers have not read yet. */
#define BUFFER_DIVISOR 4
#define STATE_INTERVAL_US 200000 /* how often readiness is computed for other instances */

static int64_t ttl_us(void)
{
	return cfg->answer_ttl_max_us * TTL_PART;
}

static int conf_is_fresh(void)
{
	return !cfg->fail_closed || clock_us() - cache_confirmed_us() < cfg->revoke_us;
}

static int is_ready(void)
{
	return !drain_began_us && cache_conf() && be_all()->len && conf_is_fresh() &&
	       quarantine_ready();
}

static void on_state_timer(struct ev_timer *t)
{
	ev_in(t, STATE_INTERVAL_US);
	mesh_set_state(is_ready(), drain_began_us != 0);
	if (drain_began_us && clock_us() - drain_began_us > DRAIN_CLOSE_IDLE_US)
		hs_close_idle(&front);
}

static void answer_ready(struct hs *h)
{
	int now = is_ready();

	hs_answer(h, now ? 200 : 503, "Content-Type: text/plain\r\n",
		  now ? "ready\n" : "not ready\n", now ? 6 : 10);
}

static void shuffle(const char **a, int n)
{
	int i, k;

	for (i = n - 1; i > 0; i--) {
		const char *t = a[i];

		k = g_random_int_range(0, i + 1);
		a[i] = a[k];
		a[k] = t;
	}
}

static void answer_where(struct hs *h)
{
	static const char *all[ADDRESSES_CANDIDATES];
	struct dl_resolve w;
	GString *out;
	int n;

	dl_read_resolve(&h->hp.head, &w);
	n = mesh_addresses(all, ADDRESSES_CANDIDATES, w.region[0] ? w.region : NULL,
			   cache_conf() && conf_restricts_regions(cache_conf(), w.host));
	if (!n) {
		hs_answer(h, 503, NULL, "", 0);
		return;
	}
	out = g_string_new(NULL);
	shuffle(all, n);
	dl_write_resolve(out, all, MIN(n, ADDRESSES_MAX), (double)ttl_us() / 1e6);
	hs_answer(h, 200, "Content-Type: application/json\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_internal_request(struct hs *h)
{
	switch (dl_query(&h->hp.head)) {
	case DL_READY: answer_ready(h); return;
	case DL_RESOLVE: answer_where(h); return;
	case DL_NONE: hs_answer(h, 404, NULL, "", 0); return;
	}
}

static void on_bad(struct hs *h, int status)
{
	GString *g = jlog_begin("front", "request_malformed");

	(void)h;
	met_refused(status == 413 ? REF_TOO_LARGE : REF_BAD_REQUEST);
	jlog_int(g, "status", status);
	jlog_end(g);
}

static void on_conf(struct conf *c)
{
	front.limits.head_max = c->head_bytes ? c->head_bytes : DEFAULT_HEAD_MAX;
	front.limits.body_max = c->body_bytes ? c->body_bytes : DEFAULT_BODY_MAX;
	front.limits.head_us = c->head_us ? c->head_us : DEFAULT_HEAD_US;
	front.limits.idle_us = c->idle_us ? c->idle_us : DEFAULT_IDLE_US;
	adm_configure(c);
}

static void init_listeners(void)
{
	struct hs_limits internal = {DEFAULT_HEAD_MAX, DEFAULT_HEAD_MAX, DEFAULT_HEAD_US,
				     INTERNAL_IDLE_US};

	front.limits = (struct hs_limits){DEFAULT_HEAD_MAX, DEFAULT_BODY_MAX, DEFAULT_HEAD_US,
					  DEFAULT_IDLE_US};
	front.on_request = rq_on_request;
	front.on_disconnect = rq_on_caller_left;
	front.on_drain = rq_on_writable;
	front.on_reject = on_bad;
	ready.limits = directory.limits = metrics.limits = internal;
	ready.on_request = directory.on_request = on_internal_request;
	metrics.on_request = metrics_on_request;
	cache_on_conf = on_conf;
}

static int listen_at(struct hs_listener *l, const struct sockaddr_in *at, const char *what,
		     struct err *e)
{
	int rc = hs_listen(l, at);

	if (!rc) return 0;
	return err_set(e, rc, STEP_SETTINGS, what, "can't listen for %s: %s", what,
		       strerror(-rc));
}

static int listen_all(struct err *e)
{
	struct sockaddr_in m = cfg->front;
	int rc = listen_at(&front, &cfg->front, "callers", e);

	if (!rc) rc = listen_at(&ready, &cfg->ready, "readiness", e);
	if (!rc && cfg->has_directory)
		rc = listen_at(&directory, &cfg->directory, "the directory", e);
	m.sin_port = htons(cfg->metrics_port);
	if (!rc && cfg->metrics_port) rc = listen_at(&metrics, &m, "metrics", e);
	return rc;
}

static void on_resumed(void)
{
	jlog_end(jlog_begin("main", "stood_still"));
	rq_on_resumed();
	mesh_resumed();
	adm_resumed();
}

static void set_limits(const struct entry_cfg *c)
{
	be_last_resort_us = c->drain_us * LEAVING_PART;
	be_drain_grace_us = c->drain_dc_us * DRAINED_PART;
	pace_set_cold(c->cold_overshoot, c->cold_slack);
}

int entry_start(struct entry_cfg *c, struct err *e)
{
	int rc, i;

	cfg = c;
	for (i = 0; i < c->ndcs; i++) be_set_region(c->dc[i].name, c->dc[i].region);
	set_limits(c);
	pace_start();
	leave_start();
	limit_start();
	ro_start(c);
	og_start(c, rq_on_origin);
	be_on_leaving = rq_on_leaving;
	be_on_incarnation_end = rq_on_incarnation_end;
	probe_on_report = rq_on_report;
	be_is_instance = mesh_is_instance;
	path_on_verdict = rq_on_path_verdict;
	path_on_refused = rq_on_refused;
	path_on_lost = rq_on_path_lost;
	mesh_on_leaving = rq_on_helper_leaving;
	mesh_on_tunnel_broken = rq_on_tunnel_broken;
	path_start();
	ev_on_resume = on_resumed;
	init_listeners();
	cache_init();
	adm_start(c);
	rq_init(c);
	rq_quarantine_start(c);
	rc = listen_all(e);
	if (!rc)
		hs_hold_start(&front, (size_t)c->memory_mb * MEGABYTE / BUFFER_DIVISOR,
			      rq_on_slow_reader);
	if (rc) return rc;
	rc = mesh_start(c);
	if (rc)
		return err_set(e, rc, STEP_PEER, c->ip, "can't listen for peers: %s",
			       strerror(-rc));
	st_init(&c->platform);
	watch_start(c->first_start);
	roster_start(c);
	probe_start();
	state_timer.fire = on_state_timer;
	ev_in(&state_timer, 0);
	return 0;
}

void entry_reload(const struct entry_cfg *c)
{
	GString *g = jlog_begin("main", "settings_reloaded");

	cfg->fail_closed = c->fail_closed;
	cfg->revoke_us = c->revoke_us;
	cfg->drain_us = c->drain_us;
	cfg->drain_dc_us = c->drain_dc_us;
	cfg->cold_overshoot = c->cold_overshoot;
	cfg->cold_slack = c->cold_slack;
	cfg->exposure_share = c->exposure_share;
	cfg->exposure_slack = c->exposure_slack;
	cfg->grace_us = c->grace_us;
	cfg->answer_ttl_max_us = c->answer_ttl_max_us;
	cfg->retry_ratio = c->retry_ratio;
	cfg->retry_slack = c->retry_slack;
	cfg->retry_window_us = c->retry_window_us;
	cfg->admission = c->admission;
	set_limits(c);
	jlog_end(g);
}

void entry_drain(void)
{
	GString *g;

	if (drain_began_us) return;
	drain_began_us = clock_us();
	front.closing = 1;
	mesh_set_state(0, 1);
	rq_drain(drain_began_us + cfg->grace_us - DRAIN_MARGIN_US);
	og_hand_over();
	met_set(MET_G_DRAINING, 1);
	roster_leave();
	g = jlog_begin("main", "draining");
	jlog_int(g, "open_requests", rq_open_count());
	jlog_end(g);
}

int entry_drained(void)
{
	int64_t now = clock_us(), lapsed, last;

	if (!drain_began_us) return 0;
	lapsed = drain_began_us + ttl_us() * TTL_OVERRUN;
	last = drain_began_us + cfg->grace_us - DRAIN_MARGIN_US;
	if (now >= last) return 1;
	if (rq_open_count() || mesh_count_tunnels() || og_is_telling()) return 0;
	return now >= lapsed;
}

void entry_stop(void)
{
	rq_abort_all();
	hs_stop(&front);
}
