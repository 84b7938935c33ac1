/* The common part of all exchanges with backend servers. */
#include "bx.h"
#include "cache.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "leave.h"
#include "limit.h"
#include "mesh.h"
#include "met.h"
#include "pace.h"
#include "path.h"

#define LOG_INTERVAL_US 1000000 /* a server may repeat a notice in each of its answers */

/* The server of an exchange. */
struct target {
	struct be *be;
	int own;                   /* the request is this instance's, not a caller's */
	int after_backoff;         /* counts among the exchanges after a back-off */
	struct tn *tunnel;         /* NULL: none */
	struct sockaddr_in helper; /* that it leads through */
};

static void report_unusable(struct be *b, const char *field)
{
	int64_t now = clock_us();
	GString *g;

	met_add(MET_NOTICES_INVALID, 1);
	if (now - b->unusable_logged_us < LOG_INTERVAL_US) return;
	b->unusable_logged_us = now;
	g = jlog_begin("fleet", "notice_unread");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "field", field);
	jlog_end(g);
}

static void on_any_head(struct hx *x)
{
	struct target *t = x->peer;
	struct dl_notice n;

	if (dl_read_notice(&x->hp.head, t->own, &n)) return;
	if (n.invalid) report_unusable(t->be, n.invalid);
	if (n.leaving) leave_report(t->be, "its own answer");
	if (n.cold_us) be_set_cold(t->be, n.cold_us);
	if (n.backoff_us)
		pace_backoff(t->be, n.backoff_us);
	else if (t->after_backoff)
		pace_succeeded_after_backoff(t->be);
	/* An unusable number does not lift a limit. */
	if (n.limit_per_s >= 0 || !n.has_limit)
		limit_report(t->be, LIMIT_RATE, n.limit_per_s, x->began_us);
	if (n.brittle_per_s >= 0 || !n.has_brittle)
		limit_report(t->be, LIMIT_REJECTIONS, n.brittle_per_s, x->began_us);
}

static void on_any_connected(struct hx *x)
{
	struct target *t = x->peer;

	if (!t->tunnel) {
		path_connected(t->be);
		return;
	}
	met_add(MET_TUNNELS, 1);
	mesh_helper_connected(&t->helper);
}

/* A helper answers within the time to connect, also that it failed. */
enum tn_fault bx_fault(const struct hx *x)
{
	const struct target *t = x->peer;

	if (!t->tunnel) return TN_NONE;
	if (!x->connected && tn_fault(t->tunnel) == TN_NONE) return TN_HELPER;
	return tn_fault(t->tunnel);
}

const struct sockaddr_in *bx_helper(const struct hx *x)
{
	const struct target *t = x->peer;

	return t->tunnel ? &t->helper : NULL;
}

/* Before the request is sent again, by way of another one. */
static void on_any_end(struct hx *x)
{
	struct target *t = x->peer;

	if (bx_fault(x) != TN_HELPER) return;
	met_add(MET_TUNNELS_FAILED, 1);
	mesh_helper_failed(&t->helper);
}

static void on_release(struct hx *x)
{
	struct target *t = x->peer;

	tn_free(t->tunnel);
	if (t->after_backoff) pace_end_after_backoff(t->be);
	be_unref(t->be);
	g_free(t);
}

static int start(struct hx *x, struct target *t, GString *request, int64_t connect_us)
{
	struct be *b = t->be;

	x->peer = t;
	x->on_release = on_release;
	x->on_any_head = on_any_head;
	x->on_any_connected = on_any_connected;
	x->on_any_end = on_any_end;
	pace_sent(b, conf_service(cache_conf(), b->service));
	path_recheck(b);
	if (!path_is_around(b) || mesh_pick_helper(b, NULL, &t->helper))
		return hx_start(x, &b->sa, request, connect_us);
	t->tunnel = tn_new(&x->cn, b);
	return hx_start(x, &t->helper, request, connect_us);
}

static struct target *target_new(struct be *b)
{
	struct target *t = g_new0(struct target, 1);

	t->be = be_ref(b);
	return t;
}

int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us)
{
	struct target *t = target_new(b);

	t->after_backoff = pace_begin_after_backoff(b);
	return start(x, t, request, connect_us);
}

int bx_start_own(struct hx *x, struct be *b, GString *request, int64_t connect_us)
{
	struct target *t = target_new(b);

	t->own = 1;
	x->whole = 1; /* its answer is short: one that trickles would be read for ever */
	return start(x, t, request, connect_us);
}
