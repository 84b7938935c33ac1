/* Requests that wait for free memory of an engine: the most urgent first, and only while they
 * are expected to start in time. The others are refused at once with a time to retry after. */
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"

/* Factor on the usual time to a first token: 86 of 100 come within it. */
#define START_FACTOR 1.5
/* Factor on the expected wait: one in two takes longer than the mean, and with a factor of 1,
 * callers that are refused in the end were held for four times as long. */
#define WAIT_FACTOR 2
#define LISTS_US \
	100000 /* wait for the list of engines: the store is asked right at the start */
#define RETRY_MAX_US 5000000 /* the forecast for a later time is too uncertain */

static void add_tokens(const struct rq *o, void *sum)
{
	*(uint64_t *)sum += o->job.prompt + o->job.growth / 2;
}

/* Tokens of memory for requests of the same service that precede r. */
static uint64_t tokens_ahead(const struct rq *r)
{
	uint64_t sum = 0;

	rq_queue_ahead(r, RQ_WAIT_MEMORY, add_tokens, &sum);
	return sum;
}

/* Microseconds until there is free memory for r and the tokens of requests ahead of it, by the
 * running generations. Right after a start no engine may be known, as their list has not
 * arrived yet. */
static int64_t memory_forecast_us(const struct rq *r, uint64_t ahead)
{
	return cache_revs().backends ? rq_memory_free_in(r, ahead) : LISTS_US;
}

/* Whether its first token still comes within the latency objective after a wait of wait_us. */
static int in_time(const struct rq *r, int64_t wait_us)
{
	int64_t left_us = r->began_us + r->route->objective_us - clock_us();
	double start_us = rq_length_stats(r)->first_token_us * START_FACTOR;

	if (wait_us == FORECAST_NEVER) return 0;
	return wait_us * WAIT_FACTOR + (int64_t)start_us <= left_us;
}

/* Refused callers retry spread over as much time again, the most urgent first. */
static int64_t retry_us(const struct rq *r, int64_t wait_us)
{
	int64_t least = MIN(MAX(wait_us, RETRY_LATER_US), RETRY_MAX_US);
	int64_t spread = least * (rq_rank(r) + 1) / (RQ_PRIORITY_MAX + 1);

	return least + g_random_int_range(0, (gint32)spread + 1);
}

static void refuse(struct rq *r, int64_t wait_us)
{
	char detail[96];

	if (be_only_drained(r->service->name)) {
		rq_queue_leave(r);
		rq_refuse_drained(r);
		return;
	}
	if (!rq_has_engine_of_version(r)) {
		rq_queue_leave(r);
		rq_refuse_version_gone(r);
		return;
	}
	if (wait_us == FORECAST_NEVER)
		g_snprintf(detail, sizeof detail,
			   "no engine will have room as far as is known");
	else
		g_snprintf(detail, sizeof detail, "room is foreseen in %d ms, too late",
			   (int)(wait_us / 1000));
	rq_queue_leave(r);
	rq_refuse(r, wait_us == FORECAST_NEVER ? REF_NO_ENGINE : REF_BUSY, retry_us(r, wait_us),
		  detail);
}

static void log_waited(const struct rq *r, int64_t waited_us)
{
	GString *g = jlog_begin("relay", "request_waited");

	jlog_str(g, "request", r->in.id);
	jlog_int(g, "waited_ms", waited_us / 1000);
	jlog_int(g, "foreseen_ms", r->expected_wait_us / 1000);
	jlog_end(g);
	met_rank_waited(rq_rank_class(r), waited_us);
	if (!r->group) return;
	met_observe(met_group(r->group->name), MET_H_WAIT, waited_us);
	met_observe(met_group(r->group->name), MET_H_FORECAST_ERROR,
		    ABS(waited_us - r->expected_wait_us));
}

static void observe_wait(const struct rq *r, int64_t waited_us)
{
	length_observe_wait(rq_length_stats(r), waited_us, r->forecast_us);
}

int rq_recheck_memory(struct rq *r)
{
	struct be *b = rq_pick(r, NULL);
	int64_t waited_us = clock_us() - r->wait_began_us, wait_us;

	if (b && rq_admit_changed(r)) {
		rq_queue_leave(r);
		rq_place(r);
		return 1;
	}
	if (b && rq_fits(r, b)) {
		if (rq_should_wait(r, b)) return 0;
		rq_queue_leave(r);
		observe_wait(r, waited_us);
		log_waited(r, waited_us);
		rq_place(r);
		return 1;
	}
	wait_us = length_corrected_wait_us(rq_length_stats(r),
					   memory_forecast_us(r, tokens_ahead(r)));
	if (in_time(r, wait_us)) return 0;
	if (waited_us > r->forecast_us) observe_wait(r, waited_us);
	refuse(r, wait_us);
	return 1;
}

static void join_queue(struct rq *r, int64_t forecast_us, int64_t wait_us)
{
	r->wait_began_us = clock_us();
	r->expected_wait_us = wait_us;
	r->forecast_us = forecast_us;
	rq_queue_join(r, RQ_WAIT_MEMORY);
}

int rq_wait_for_memory(struct rq *r, struct be *b)
{
	uint64_t ahead;
	int64_t forecast_us, wait_us;

	if (!r->service->engine || r->sends || r->waiting || r->wait_began_us) return 0;
	if (!b) rq_log_rate_wait(r);
	ahead = tokens_ahead(r);
	if (b && !ahead && rq_fits(r, b)) {
		if (!rq_should_wait(r, b)) return 0;
		join_queue(r, 0, 0);
		return 1;
	}
	forecast_us = memory_forecast_us(r, ahead);
	wait_us = length_corrected_wait_us(rq_length_stats(r), forecast_us);
	if (in_time(r, wait_us))
		join_queue(r, forecast_us, wait_us);
	else
		refuse(r, wait_us);
	return 1;
}
