/* Deadlines of requests, and how long silence is tolerated. */
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"
#include <stddef.h>

#define REQUEST_TIME_MAX_US 60000000 /* for requests whose route and caller set no deadline */
/* Timeout of an answer in tenths of the latency objective: leaves time for another server's
 * answer within it. */
#define ANSWER_TIMEOUT_TENTHS 6
#define ANSWER_TIMEOUT_MIN_US 50000 /* at least: an answer takes some tens of ms */
#define START_FACTOR 2              /* on the usual time to a first event: some take as long */
#define SILENCE_CHECK_US 250000     /* how often a stream's silence is checked */
#define TIMER_EARLY_US 2000         /* timers fire up to a millisecond early */
/* After a silence of so many of the route's usual pauses an engine is taken for dead. */
#define SILENCE_GAPS 8
#define SILENCE_MIN_US 1000000 /* at least: long prompts of other requests delay a stream */

/* End of the last suspension of this process: silence before it does not count. */
static int64_t resumed_us;

/* A missing answer counts against the server only if it had the route's whole latency
 * objective, and if requests of the route are ever answered. In the second after all instances
 * had restarted, the last retries of callers, with 20 ms left, had three of ten servers ejected
 * by all instances. */
static int is_server_failure(const struct rq *r)
{
	const struct attempt *att = r->attempt;

	if (!att || !att->hx || !rq_length_stats(r)->answers) return 0;
	if (att->answered) return rq_answer_is_late(r);
	return clock_us() - att->sent_us >= r->route->objective_us;
}

/* Otherwise every caller with too little time would be sent to a slow server again as soon as
 * its answer times are out of date. */
static void note_timeout(const struct rq *r)
{
	const struct attempt *att = r->attempt;

	if (!att || !att->hx || att->answered || r->service->engine) return;
	latency_observe_timeout(&att->be->latency, clock_us() - att->sent_us, clock_us());
}

static void on_end_time(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, end_timer));

	if (!r->sends) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "the time ran out before it was sent");
		return;
	}
	note_timeout(r);
	if (is_server_failure(r)) {
		if (r->attempt->answered) giveup_log(r->attempt, AL_LATE);
		att_report_outcome(r->attempt, RO_FAILED);
		path_blame(r->attempt->be, "no answer in time", r->attempt->sent_us);
	}
	rq_fail(r, REF_DEADLINE, "the time ran out");
}

/* Percent of an engine's memory: with more in use it may have preempted a run. */
#define MEMORY_PRESSURE_PERCENT 85

int64_t rq_prefill_us(const struct rq *r)
{
	if (!r->service->engine || !r->attempt) return 0;
	return place_prefill_us(rq_total_load(r->attempt->be).prefill);
}

/* The silence of a busy engine is no sign of a failure: engines that were ejected for it left
 * their work to others, which then fell silent for the same reason. */
int rq_engine_is_busy(const struct rq *r)
{
	struct be_load all = rq_total_load(r->attempt->be);
	uint64_t taken = (uint64_t)all.used + all.inbound;

	if (!r->service->engine) return 0;
	if (all.prefill > (r->attempt->prefill_counted ? r->job.prompt : 0)) return 1;
	return taken * 100 >= (uint64_t)r->service->tokens * MEMORY_PRESSURE_PERCENT;
}

int64_t rq_answer_timeout_us(const struct rq *r)
{
	if (r->route->kind == CONF_STREAM) return r->route->objective_us + rq_prefill_us(r);
	return MAX(r->route->objective_us * ANSWER_TIMEOUT_TENTHS / 10, ANSWER_TIMEOUT_MIN_US);
}

/* A new run loses the prompt that was read, and a sound engine may pause. So a stream stays
 * with a silent engine as long as another one's first event would still reach a caller that
 * waits, unless the engine is known to be lost to this instance. */
static int64_t run_again_after_us(const struct rq *r)
{
	double first_us = rq_length_stats(r)->first_token_us;
	int64_t start_us =
		first_us > 0 ? (int64_t)(first_us * START_FACTOR) : r->route->objective_us;
	const struct be *b = r->attempt->be;

	if (path_is_around(b) || !be_usable(b, clock_us())) return 0;
	return RQ_PAUSE_MAX_US - start_us;
}

int64_t rq_silence_timeout_us(const struct rq *r)
{
	int64_t us = MAX(r->route->gap_us * SILENCE_GAPS, SILENCE_MIN_US) + rq_prefill_us(r);

	return rq_retryable(r) && r->event_us ? MAX(us, run_again_after_us(r)) : us;
}

int64_t rq_age_us(int64_t from_us)
{
	return clock_us() - MAX(from_us, resumed_us);
}

int64_t rq_silence_us(const struct rq *r)
{
	return rq_age_us(MAX(r->event_us, r->attempt->sent_us));
}

/* Whether nothing has arrived for longer than the timeout of the answer, or of the next event.
 * Checked for running streams too: one stayed on a connection that carried nothing any more
 * until its deadline. */
static int is_silent(const struct rq *r)
{
	const struct attempt *att = r->attempt;
	int64_t now = clock_us();

	if (!att->answered)
		return now - MAX(att->sent_us, resumed_us) >= rq_answer_timeout_us(r);
	if (!att->first_us || cn_pending(&r->h->cn)) return 0;
	return rq_silence_us(r) >= rq_silence_timeout_us(r);
}

static void log_silent_server(const struct rq *r)
{
	GString *g = jlog_begin("relay", "server_silent");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", r->attempt->be->id);
	jlog_int(g, "silent_ms", rq_silence_us(r) / 1000);
	jlog_int(g, "events", r->seen.count);
	jlog_end(g);
}

int rq_retry_elsewhere(struct rq *r, int failed)
{
	struct attempt *att = r->attempt;

	if (!rq_can_continue(r)) return 0;
	/* Its run may still go on where nothing else of its version may. */
	if (r->bound != RQ_UNBOUND && !rq_pick(r, NULL)) return 0;
	if (r->runs + 1 >= r->route->attempts || !rq_may_retry(r)) return 0;
	if (failed) {
		att_report_outcome(att, RO_FAILED);
		path_blame(att->be, "silent", MAX(r->event_us, att->sent_us));
	}
	if (!att->answered && att->hx->hp.head_bytes) {
		att->head_bytes = att->hx->hp.head_bytes;
		giveup_log(att, AL_LATE);
	}
	log_silent_server(r);
	met_retried(att->answered ? RETRY_RESUME : RETRY_FIRST_BYTE);
	if (att->hx->connected)
		r->runs++;
	else
		r->unreached_count++;
	rq_place(r);
	return 1;
}

/* A silent request that may run again is sent elsewhere. A stream whose retry is denied by the
 * retry budget resumes from its engine's memory instead. */
static void check_silence(struct rq *r)
{
	if (!r->attempt || !r->attempt->hx || !is_silent(r)) return;
	if (r->move.state != MOVE_NONE || rq_waits_to_be_sent(r)) return;
	if (rq_retry_elsewhere(r, !rq_engine_is_busy(r))) return;
	if (r->event_us) silent_recover(r);
}

/* Time until the next check: sooner than usual where the timeout of an answer is shorter. */
static int64_t next_check_us(const struct rq *r)
{
	int64_t most_us, left_us;

	if (!r->attempt) return SILENCE_CHECK_US;
	if (r->attempt->answered) {
		left_us = giveup_next_check_us(r) + TIMER_EARLY_US;
		return left_us > 0 ? MIN(left_us, SILENCE_CHECK_US) : SILENCE_CHECK_US;
	}
	most_us = rq_answer_timeout_us(r);
	left_us = MAX(r->attempt->sent_us, resumed_us) + most_us - clock_us();
	return MIN(left_us > 0 ? left_us : most_us, SILENCE_CHECK_US);
}

static void on_silence_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, silence_timer));

	int retryable = rq_retryable(r);

	ev_in(t, retryable && !r->event_us ? next_check_us(r) : silent_next_check_us(r));
	if (giveup_check_time(r)) return;
	if (!retryable) {
		silent_check(r);
		return;
	}
	if (r->event_us) silent_request_report(r);
	check_silence(r); /* may free r */
}

void rq_start_timers(struct rq *r)
{
	int64_t most = r->route->timeout_us ? r->route->timeout_us : REQUEST_TIME_MAX_US;

	if (r->in.deadline_us) most = MIN(most, r->in.deadline_us);
	r->end_timer.fire = on_end_time;
	r->silence_timer.fire = on_silence_timer;
	r->end_us = r->began_us + most;
	ev_at(&r->end_timer, r->end_us);
	if (r->route->kind == CONF_STREAM)
		ev_in(&r->silence_timer, SILENCE_CHECK_US);
	else if (rq_retryable(r))
		ev_in(&r->silence_timer, rq_answer_timeout_us(r));
}

/* Requests that are past their deadline end now, before data that arrived during the suspension
 * is read. */
void rq_on_resumed(void)
{
	uint32_t i;

	resumed_us = clock_us();
	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (r->end_us && r->end_us <= resumed_us) on_end_time(&r->end_timer);
	}
}
