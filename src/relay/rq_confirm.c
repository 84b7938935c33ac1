/* Streams that go on at an engine which may come back under its id. Its entry may be out of
 * date here, and another software version run there, so that the engine's own report is asked
 * which incarnation it is. Where none is stated, a new incarnation has an id of its own. */
#include "clock.h"
#include "jlog.h"
#include "probe.h"
#include "rq_impl.h"
#include <stddef.h>

#define CONFIRMED_FOR_US 500000 /* an engine needs longer to come back */
#define REPORT_US 800000        /* until a report arrives, at the latest */

static int is_unconfirmed(const struct rq *r, const struct be *b)
{
	if (r->bound != RQ_BOUND || !b->incarnation_ms) return 0;
	return !b->confirmed_us || clock_us() - b->confirmed_us > CONFIRMED_FOR_US;
}

static void log_unconfirmed(const struct rq *r, const struct be *b)
{
	GString *g = jlog_begin("relay", "incarnation_unconfirmed");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", b->id);
	jlog_end(g);
}

void confirm_stop(struct rq *r)
{
	ev_stop(&r->confirm.timer);
	be_unref(r->confirm.be);
	r->confirm.be = NULL;
}

static void go_on(struct rq *r)
{
	confirm_stop(r);
	rq_place(r);
}

static void end(struct rq *r)
{
	if (!is_unconfirmed(r, r->confirm.be)) {
		go_on(r);
		return;
	}
	log_unconfirmed(r, r->confirm.be);
	confirm_stop(r);
	rq_refuse(r, REF_ORIGIN_UNANSWERED, RETRY_TRIED_US,
		  "the engine does not tell which incarnation it is");
}

static void on_timer(struct ev_timer *t)
{
	end((struct rq *)((char *)t - offsetof(struct rq, confirm.timer)));
}

int rq_waits_to_be_sent(const struct rq *r)
{
	return r->waiting != RQ_WAIT_NONE || r->confirm.be;
}

int rq_confirm_incarnation(struct rq *r, struct be *b)
{
	if (!is_unconfirmed(r, b)) return 0;
	confirm_stop(r);
	r->confirm.be = be_ref(b);
	r->confirm.timer.fire = on_timer;
	ev_in(&r->confirm.timer, REPORT_US);
	probe_ask_report(b);
	return 1;
}

void confirm_on_report(struct rq *r, const struct be *b)
{
	if (r->confirm.be == b) end(r);
}

void confirm_on_loss(struct rq *r, const struct be *b)
{
	if (r->confirm.be == b) go_on(r);
}
