/*
 * Engines that are shut down while the store is down can't announce it in their entries. Their
 * health check shows it at once but may be wrong, and their report shows it half a second
 * later. Of the instances with work on an engine, the first in an order that all of them
 * compute probes it and sends the result to the others.
 */
#include "probe.h"
#include "be.h"
#include "bx.h"
#include "cache.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "hx.h"
#include "jlog.h"
#include "leave.h"
#include "mesh.h"
#include "met.h"
#include "pace.h"
#include "path.h"
#include <errno.h>

/* The age at which lists count as stale while the store fails some instance. With
 * CACHE_STALE_US, more than twice as many streams of engines shut down meanwhile break. */
#define DEGRADED_STALE_US 1000000
/* Engines give about 1.5 s of notice, of which a move takes 0.2 to 0.4 s. */
#define TICK_US 100000
#define REPORT_TICKS 5    /* reports lag by about as much anyway */
#define CONNECT_US 250000 /* a running engine answers in a few ms */
#define ANSWER_US 500000  /* for the answer: a report needs no request slot */
#define RECENT_US 1000000 /* an answer of this age is as good as a report */
#define REPORT_MAX 65536  /* bytes: a row for each of some hundred runs */

void (*probe_on_report)(struct be *b, const struct dl_report *r);

struct probe { /* one in flight */
	struct be *be;
	GString *body; /* of a report; NULL: a health check */
};

static struct ev_timer timer;
static unsigned ticks;

static void probe_free(struct probe *pr)
{
	pr->be->probing = 0;
	be_unref(pr->be);
	if (pr->body) g_string_free(pr->body, TRUE);
	g_free(pr);
}

static int on_body(struct hx *x, const char *p, size_t n)
{
	struct probe *pr = x->user;

	if (!pr->body) return 0;
	if (pr->body->len + n > REPORT_MAX) return -EMSGSIZE;
	g_string_append_len(pr->body, p, n);
	return 0;
}

static void apply_check(struct be *b, const struct hp_head *head)
{
	switch (dl_read_check(head, b->id)) {
	case DL_OTHER_INCARNATION:
		leave_report(b, "another incarnation answers at its address");
		return;
	case DL_FAILING: leave_report_suspect(b, "its health check"); return;
	case DL_HEALTHY:
	case DL_UNKNOWN: return;
	}
}

static void apply_report(struct be *b, const GString *body)
{
	struct dl_report r;

	dl_read_report(body->str, body->len, &r);
	if (r.incarnation_ms && r.incarnation_ms == b->incarnation_ms)
		b->confirmed_us = clock_us();
	if (!be_is_incarnation(b, r.incarnation_ms) && r.incarnation_ms > b->incarnation_ms)
		be_end_incarnation(b, "its own report");
	else if (r.leaving)
		leave_report(b, "its own report");
	else
		probe_on_report(b, &r);
	dl_free_report(&r);
}

static void apply_answer(const struct probe *pr, const struct hp_head *head)
{
	if (pr->body)
		apply_report(pr->be, pr->body);
	else
		apply_check(pr->be, head);
}

static void log_failed(const struct probe *pr, int err, int status)
{
	GString *g = jlog_begin("fleet", "probe_failed");

	jlog_str(g, "backend", pr->be->id);
	jlog_str(g, "asked", pr->body ? "report" : "health");
	jlog_int(g, "error", err);
	jlog_int(g, "status", status);
	jlog_end(g);
}

static void on_end(struct hx *x, int err)
{
	struct probe *pr = x->user;
	int status = x->hp.head.status;

	if (!err && (!pr->body || status == 200))
		apply_answer(pr, &x->hp.head);
	else
		log_failed(pr, err, status);
	if (err == -ECONNREFUSED)
		path_blame_unreached(pr->be, err);
	else if (err && !x->connected)
		path_check(pr->be);
	probe_free(pr);
}

static struct probe *probe_new(struct be *b, int report)
{
	struct probe *pr = g_new0(struct probe, 1);

	pr->be = be_ref(b);
	if (report) pr->body = g_string_new(NULL);
	b->probing = 1;
	return pr;
}

/* check: the path of its health check, or NULL to request its report. */
static void send_probe(struct be *b, const char *check)
{
	struct probe *pr = probe_new(b, !check);
	GString *out = g_string_new(NULL);
	struct hx *x = hx_new(pr);

	met_add(MET_PROBES, 1);
	if (check)
		dl_write_check(out, b, check);
	else
		dl_write_report(out, b);
	x->on_body = on_body;
	x->on_end = on_end;
	x->wait_us = ANSWER_US;
	if (bx_start_own(x, b, out, CONNECT_US)) probe_free(pr);
}

void probe_ask_report(struct be *b)
{
	const struct conf_service *s = conf_service(cache_conf(), b->service);

	if (!b->probing && !pace_wait_us(b, s, clock_us())) send_probe(b, NULL);
}

/* A server with a rate limit gets few requests, and any answer shows whether it leaves. */
static int answered_recently(const struct be *b)
{
	return be_is_limited(b) && clock_us() - b->limit.report.to_us < RECENT_US;
}

/* Only streams can be moved, so only engines are probed. Those in a drained data centre are
 * not: their streams are moved anyway. */
static int must_probe(struct be *b, const struct conf_service *s)
{
	if (b->state != BE_READY || b->drained_us || b->probing || !b->own.used) return 0;
	if (answered_recently(b) || pace_wait_us(b, s, clock_us())) return 0;
	return s && s->engine && (s->moves || s->replicas) && mesh_is_first_user(b);
}

static int lists_are_stale(void)
{
	int64_t age_us = clock_us() - cache_confirmed_us();

	return age_us > (mesh_store_degraded() ? DEGRADED_STALE_US : CACHE_STALE_US);
}

static void on_tick(struct ev_timer *t)
{
	int report = ++ticks % REPORT_TICKS == 0, stale;
	GPtrArray *used;
	uint32_t i;

	ev_in(t, TICK_US);
	be_check_lapsed();
	cache_release_held();
	if (!cache_conf()) return;
	stale = lists_are_stale();
	used = be_in_use();
	for (i = 0; i < used->len; i++) {
		struct be *b = g_ptr_array_index(used, i);
		const struct conf_service *s = conf_service(cache_conf(), b->service);

		if ((stale || b->lapsed_us) && must_probe(b, s))
			send_probe(b, report ? NULL : s->check);
	}
	g_ptr_array_unref(used);
}

void probe_start(void)
{
	timer.fire = on_tick;
	ev_in(&timer, TICK_US);
}
