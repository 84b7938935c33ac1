/* Silent streams. A connection may stop carrying data while its engine keeps writing to it. The
 * engine's report, on a connection of its own, states how far the run is, so a silent
 * connection can be distinguished from a slow engine before the run is over. */
#include "clock.h"
#include "jlog.h"
#include "probe.h"
#include "rq_impl.h"

/* The engine is asked after a silence of so many of the route's usual pauses. */
#define REPORT_GAPS 2
/* Shortest silence after which it is asked: the retransmission of a lost packet takes as long.
 */
#define REPORT_AFTER_MIN_US 200000
#define REPORT_INTERVAL_US 100000 /* reports are some hundred ms old */
#define CHECK_US 250000           /* longest time between two checks of a stream */
/* Timers fire a millisecond early. With no more than that the loop would run this check again
 * and again, and read nothing meanwhile. */
#define CHECK_MIN_US 2000

static int64_t report_after_us(const struct rq *r)
{
	if (!r->event_us) return rq_answer_timeout_us(r);
	return MAX(r->route->gap_us * REPORT_GAPS, REPORT_AFTER_MIN_US) + rq_prefill_us(r);
}

/* An engine that has preempted a run for lack of memory has nothing to hand over for some
 * seconds: it is asked at growing intervals. */
static int64_t silence_limit_us(const struct rq *r)
{
	return rq_silence_timeout_us(r) * (1 + r->silences);
}

static int64_t report_interval_us(const struct rq *r)
{
	if (!r->event_us) return MAX(r->route->objective_us, REPORT_INTERVAL_US);
	return r->silences ? rq_silence_timeout_us(r) : REPORT_INTERVAL_US;
}

/* A stream whose caller has not read its data is not read from either; one that waits for
 * another engine is leaving already. */
static int may_be_silent(const struct rq *r)
{
	if (rq_waits_to_be_sent(r)) return 0;
	return r->attempt && r->attempt->hx && r->move.state == MOVE_NONE &&
	       !cn_pending(&r->h->cn);
}

/* Resumes from the replica; without one asks the engine for its memory. */
void silent_recover(struct rq *r)
{
	if (r->event_us) r->event_us = clock_us();
	r->silences++;
	if (move_to_replica(r)) move_from_silent(r);
}

void silent_request_report(struct rq *r)
{
	if (!may_be_silent(r) || rq_engine_is_busy(r)) return;
	if (rq_silence_us(r) >= report_after_us(r)) probe_ask_report(r->attempt->be);
}

void silent_check(struct rq *r)
{
	if (!may_be_silent(r)) return;
	if (!r->event_us || rq_silence_us(r) < silence_limit_us(r)) {
		silent_request_report(r);
		return;
	}
	if (!rq_engine_is_busy(r)) path_blame(r->attempt->be, "silent", r->event_us);
	silent_recover(r);
}

int64_t silent_next_check_us(const struct rq *r)
{
	int64_t silent_us, left_us;

	if (!may_be_silent(r)) return CHECK_US;
	silent_us = rq_silence_us(r);
	left_us = report_after_us(r) - silent_us;
	if (left_us > 0) return MIN(left_us, CHECK_US);
	left_us = r->event_us ? MAX(silence_limit_us(r) - silent_us, CHECK_MIN_US) : INT64_MAX;
	return MIN(left_us, report_interval_us(r));
}

static void log_silent(const struct rq *r, uint32_t made)
{
	GString *g = jlog_begin("relay", "connection_silent");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", r->attempt->be->id);
	jlog_int(g, "silent_ms", rq_silence_us(r) / 1000);
	jlog_int(g, "events", r->seen.count);
	jlog_int(g, "made", made);
	jlog_end(g);
}

/* Whether the report shows more events of the run than have arrived here. */
static int is_behind(const struct rq *r, const struct be *b, const struct dl_report *p,
		     uint32_t *made)
{
	if (!r->route || r->route->kind != CONF_STREAM) return 0;
	if (rq_retryable(r) && !r->event_us) return 0; /* a new run loses nothing */
	if (!r->attempt || r->attempt->be != b) return 0;
	if (!may_be_silent(r) || rq_silence_us(r) < report_after_us(r)) return 0;
	return dl_report_events(p, r->in.id, made) && *made > r->seen.count;
}

void rq_on_report(struct be *b, const struct dl_report *p)
{
	uint32_t i, made;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (r->confirm.be == b) {
			confirm_on_report(r, b);
			continue;
		}
		if (!is_behind(r, b, p, &made)) continue;
		log_silent(r, made);
		met_add(MET_SILENT_CONNECTIONS, 1);
		if (!rq_retryable(r) || !rq_retry_elsewhere(r, 0)) silent_recover(r);
	}
}

static int leads_through(const struct rq *r, const struct sockaddr_in *at)
{
	const struct attempt *att = r->attempt;

	return att && att->hx && att->helper.sin_port &&
	       att->helper.sin_addr.s_addr == at->sin_addr.s_addr;
}

void rq_on_helper_leaving(const struct sockaddr_in *at)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (leads_through(r, at) && r->event_us && r->move.state == MOVE_NONE)
			silent_recover(r);
	}
}
