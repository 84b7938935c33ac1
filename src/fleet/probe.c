/*
 * Engines that are taken away while the store is away can't say so in their entries. They say
 * so in their health check, at once but not always truly, and in their report, half a second
 * later. One instance asks for all: of those with work on an engine the first in an order that
 * all work out, and it tells the others.
 */
#include "probe.h"
#include "be.h"
#include "board.h"
#include "bx.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "hx.h"
#include "jlog.h"
#include "leave.h"
#include "mesh.h"
#include "met.h"
#include "pace.h"
#include <errno.h>

/* Lists so old tell nothing any more where the store failed an instance. Asked only at
 * BOARD_OLD_US, more than twice as many streams of engines taken away meanwhile break.
 */
#define DOUBT_OLD_US 1000000
#define TICK_US \
	100000 /* an engine gives some 1.5 s of notice, a move takes 0.2 to 0.4 s of it */
#define REPORT_TICKS 5    /* a report is as old as that anyway */
#define CONNECT_US 250000 /* an engine that is there answers in a few ms */
#define ANSWER_US 500000  /* for its answer: a report needs no place among its requests */
#define HEARD_US 1000000  /* an answer so young tells as much as a report */
#define REPORT_MAX 65536  /* bytes: a row for each of some hundred runs */

void (*probe_on_report)(struct be *b, const struct dl_report *r);

struct probe { /* one answer that was asked for */
	struct be *be;
	GString *body; /* of a report; NULL: a health check */
};

static struct ev_timer timer;
static unsigned ticks;

static void probe_free(struct probe *pr)
{
	pr->be->probed = 0;
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

static void take_check(struct be *b, const struct hp_head *head)
{
	switch (dl_read_check(head, b->id)) {
	case DL_OTHER_INCARNATION:
		leave_said(b, "another incarnation answers at its address");
		return;
	case DL_FAILING: leave_suspected(b, "its health check"); return;
	case DL_HEALTHY:
	case DL_UNKNOWN: return;
	}
}

static void take_report(struct be *b, const GString *body)
{
	struct dl_report r;

	dl_read_report(body->str, body->len, &r);
	if (!be_is_life(b, r.incarnation_ms) && r.incarnation_ms > b->born_ms)
		be_end_life(b, "its own report");
	else if (r.leaving)
		leave_said(b, "its own report");
	else
		probe_on_report(b, &r);
	dl_free_report(&r);
}

static void take_answer(const struct probe *pr, const struct hp_head *head)
{
	if (pr->body)
		take_report(pr->be, pr->body);
	else
		take_check(pr->be, head);
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
		take_answer(pr, &x->hp.head);
	else
		log_failed(pr, err, status);
	if (err == -ECONNREFUSED) be_refused_connection(pr->be);
	probe_free(pr);
}

static struct probe *probe_new(struct be *b, int report)
{
	struct probe *pr = g_new0(struct probe, 1);

	pr->be = be_ref(b);
	if (report) pr->body = g_string_new(NULL);
	b->probed = 1;
	return pr;
}

/* check: the path of its health check, or NULL: its report is asked for. */
static void ask(struct be *b, const char *check)
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
	if (bx_start(x, b, out, CONNECT_US)) probe_free(pr);
}

void probe_ask_report(struct be *b)
{
	const struct conf_service *s = conf_service(board_conf(), b->service);

	if (!b->probed && !pace_wait_us(b, s, clock_us())) ask(b, NULL);
}

/* Requests to a server that names a limit are few, and any answer tells whether it leaves. */
static int is_heard(const struct be *b)
{
	return be_limited(b) && clock_us() - b->limit.to_us < HEARD_US;
}

/* Only streams are moved, and only engines are told to. Those of a drained data centre are
 * left alone: their streams are leaving anyway. */
static int worth_asking(struct be *b, const struct conf_service *s)
{
	if (b->state != BE_READY || b->drained_us || b->probed || !b->own.used) return 0;
	if (is_heard(b) || pace_wait_us(b, s, clock_us())) return 0;
	return s && s->engine && (s->moves || s->backups) && mesh_first_user(b);
}

static int lists_are_old(void)
{
	int64_t age_us = clock_us() - board_confirmed_us();

	return age_us > (mesh_store_in_doubt() ? DOUBT_OLD_US : BOARD_OLD_US);
}

static void on_tick(struct ev_timer *t)
{
	int report = ++ticks % REPORT_TICKS == 0, old;
	GPtrArray *used;
	uint32_t i;

	ev_in(t, TICK_US);
	be_check_lapsed();
	if (!board_conf()) return;
	old = lists_are_old();
	used = be_in_use();
	for (i = 0; i < used->len; i++) {
		struct be *b = g_ptr_array_index(used, i);
		const struct conf_service *s = conf_service(board_conf(), b->service);

		if ((old || b->lapsed_us) && worth_asking(b, s))
			ask(b, report ? NULL : s->check);
	}
	g_ptr_array_unref(used);
}

void probe_start(void)
{
	timer.fire = on_tick;
	ev_in(&timer, TICK_US);
}
