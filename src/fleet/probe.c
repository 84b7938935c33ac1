/*
 * Engines that are taken away while the store is away can't say so in their entries; they say
 * so in their own reports. One instance asks for all: of those with work on an engine the first
 * in an order that all work out, and it tells the others.
 */
#include "probe.h"
#include "be.h"
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "hx.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include <errno.h>

/* Older lists tell nothing: the store confirms them every 0.9 to 1.8 s while it answers. */
#define LISTS_OLD_US 2200000
#define TICK_US 300000    /* an engine gives some 1.5 s of notice, a move takes 0.5 s of it */
#define CONNECT_US 250000 /* an engine that is there answers in a few ms */
#define ANSWER_US 500000  /* for its answer: a report needs no place among its requests */
#define REPORT_MAX 65536  /* bytes: a row for each of some hundred runs */

struct probe { /* one report that was asked for */
	struct be *be;
	GString *body;
};

static struct ev_timer timer;

static void probe_free(struct probe *pr)
{
	pr->be->probed = 0;
	be_unref(pr->be);
	g_string_free(pr->body, TRUE);
	g_free(pr);
}

static int on_body(struct hx *x, const char *p, size_t n)
{
	struct probe *pr = x->user;

	if (pr->body->len + n > REPORT_MAX) return -EMSGSIZE;
	g_string_append_len(pr->body, p, n);
	return 0;
}

static void take_report(const struct probe *pr)
{
	if (!dl_report_leaving(pr->body->str, pr->body->len)) return;
	be_leaving(pr->be->id, "its own report");
	mesh_tell_leaving(pr->be);
}

static void log_failed(const struct probe *pr, int err, int status)
{
	GString *g = jlog_begin("fleet", "probe_failed");

	jlog_str(g, "backend", pr->be->id);
	jlog_int(g, "error", err);
	jlog_int(g, "status", status);
	jlog_end(g);
}

static void on_end(struct hx *x, int err)
{
	struct probe *pr = x->user;

	if (!err && x->hp.head.status == 200)
		take_report(pr);
	else
		log_failed(pr, err, x->hp.head.status);
	if (err == -ECONNREFUSED) be_refused_connection(pr->be);
	probe_free(pr);
}

static struct probe *probe_new(struct be *b)
{
	struct probe *pr = g_new0(struct probe, 1);

	pr->be = be_ref(b);
	pr->body = g_string_new(NULL);
	b->probed = 1;
	return pr;
}

static void ask(struct be *b)
{
	struct probe *pr = probe_new(b);
	GString *out = g_string_new(NULL);
	struct hx *x = hx_new(pr);

	met_add(MET_PROBES, 1);
	dl_write_report(out, b);
	x->on_body = on_body;
	x->on_end = on_end;
	x->wait_us = ANSWER_US;
	if (hx_start(x, &b->sa, out, CONNECT_US)) probe_free(pr);
}

/* Only streams are moved, and only engines are told to. */
static int worth_asking(const struct be *b)
{
	const struct conf_service *s = conf_service(board_conf(), b->service);

	if (b->state != BE_READY || b->probed || !b->own.used) return 0;
	return s && s->engine && (s->moves || s->backups) && mesh_first_user(b);
}

static void on_tick(struct ev_timer *t)
{
	const GPtrArray *all = be_all();
	uint32_t i;

	ev_in(t, TICK_US);
	if (!board_conf() || clock_us() - board_confirmed_us() < LISTS_OLD_US) return;
	for (i = 0; i < all->len; i++) {
		struct be *b = g_ptr_array_index(all, i);

		if (worth_asking(b)) ask(b);
	}
}

void probe_start(void)
{
	timer.fire = on_tick;
	ev_in(&timer, TICK_US);
}
