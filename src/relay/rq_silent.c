/* Streams from which nothing comes. A connection may carry nothing any more while its engine
 * writes on to it: what the engine made is in its report, on a connection of its own, and tells
 * the two apart before the run is over. */
#include "clock.h"
#include "jlog.h"
#include "probe.h"
#include "rq_impl.h"

#define ASK_GAPS 2 /* silence of so many of the route's pauses: its engine is asked */
/* Never sooner: a lost packet is sent again after as long. */
#define ASK_MIN_US 200000
#define ASK_AGAIN_US 100000 /* reports are some hundred ms old */
#define LOOK_US 250000      /* at most, between two looks at a stream */
#define LOOK_MIN_US 1000    /* timers fire a millisecond early */

static int64_t ask_us(const struct rq *r)
{
	if (!r->event_us) return rq_patience_us(r);
	return MAX(r->route->gap_us * ASK_GAPS, ASK_MIN_US) + rq_reading_us(r);
}

/* An engine that has put a run off for lack of memory has nothing to hand on for some seconds:
 * it is asked less and less often. */
static int64_t stall_us(const struct rq *r)
{
	return rq_stall_us(r) * (1 + r->stalls);
}

static int64_t ask_again_us(const struct rq *r)
{
	if (!r->event_us) return MAX(r->route->aim_us, ASK_AGAIN_US);
	return r->stalls ? rq_stall_us(r) : ASK_AGAIN_US;
}

/* One whose caller has not taken what came is not read from; one that waits for another engine
 * is leaving already. */
static int may_be_silent(const struct rq *r)
{
	if (r->waiting != RQ_WAITS_NOT) return 0;
	return r->leg && r->leg->hx && r->move.state == MOVE_NONE && !cn_pending(&r->h->cn);
}

/* It goes on from its running copy. Without one its memory is asked for. */
void silent_leave(struct rq *r)
{
	if (r->event_us) r->event_us = clock_us();
	r->stalls++;
	if (move_to_backup(r)) move_from_silent(r);
}

void silent_ask(struct rq *r)
{
	if (!may_be_silent(r) || rq_is_at_work(r)) return;
	if (rq_silence_us(r) >= ask_us(r)) probe_ask_report(r->leg->be);
}

void silent_look(struct rq *r)
{
	if (!may_be_silent(r)) return;
	if (!r->event_us || rq_silence_us(r) < stall_us(r)) {
		silent_ask(r);
		return;
	}
	if (!rq_is_at_work(r)) be_failed(r->leg->be, "silent");
	silent_leave(r);
}

int64_t silent_next_look_us(const struct rq *r)
{
	int64_t silent_us, left_us;

	if (!may_be_silent(r)) return LOOK_US;
	silent_us = rq_silence_us(r);
	left_us = ask_us(r) - silent_us;
	if (left_us > 0) return MIN(left_us, LOOK_US);
	left_us = r->event_us ? MAX(stall_us(r) - silent_us, LOOK_MIN_US) : INT64_MAX;
	return MIN(left_us, ask_again_us(r));
}

static void log_silent(const struct rq *r, uint32_t made)
{
	GString *g = jlog_begin("relay", "connection_silent");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", r->leg->be->id);
	jlog_int(g, "silent_ms", rq_silence_us(r) / 1000);
	jlog_int(g, "events", r->seen.count);
	jlog_int(g, "made", made);
	jlog_end(g);
}

/* What it made by then has not come since. */
static int is_behind(const struct rq *r, const struct be *b, const struct dl_report *p,
		     uint32_t *made)
{
	if (!r->route || r->route->kind != CONF_STREAM) return 0;
	if (rq_repeatable(r) && !r->event_us) return 0; /* a new run is no loss */
	if (!r->leg || r->leg->be != b) return 0;
	if (!may_be_silent(r) || rq_silence_us(r) < ask_us(r)) return 0;
	return dl_report_events(p, r->in.id, made) && *made > r->seen.count;
}

void rq_on_report(struct be *b, const struct dl_report *p)
{
	uint32_t i, made;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (!is_behind(r, b, p, &made)) continue;
		log_silent(r, made);
		met_add(MET_SILENT_CONNECTIONS, 1);
		if (!rq_repeatable(r) || !rq_repeat_elsewhere(r, 0)) silent_leave(r);
	}
}
