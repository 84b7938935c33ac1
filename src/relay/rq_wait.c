/* Requests that wait for an engine's memory: the most urgent first, and only while they are
 * expected to begin in time. The rest are told at once when to come back. */
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"

/* Of the usual time to a first token: 86 of 100 come within it. */
#define START_TIMES 1.5
/* Of a wait that is foreseen: one in two takes longer than the mean, and at 1 callers that are
 * refused in the end are held for four times as long. */
#define WAIT_TIMES 2
#define LISTS_US 100000          /* the store answers in some ms, a start asks it at once */
#define COME_BACK_MAX_US 5000000 /* what is foreseen for later may be otherwise by then */

static void add_tokens(const struct rq *o, void *sum)
{
	*(uint64_t *)sum += o->job.prompt + o->job.growth / 2;
}

/* Tokens of memory that wait for the same service and go first. */
static uint64_t tokens_before(const struct rq *r)
{
	uint64_t sum = 0;

	rq_line_ahead(r, RQ_WAITS_ROOM, add_tokens, &sum);
	return sum;
}

/* When there is room for r after so many tokens of others, by what runs. No engine at all is
 * known for a moment after a start: their list is on its way. */
static int64_t work_out(const struct rq *r, uint64_t first)
{
	return board_revs().backends ? rq_room_in(r, first) : LISTS_US;
}

/* Whether its first token still comes within its aim after such a wait. */
static int in_time(const struct rq *r, int64_t wait_us)
{
	int64_t left_us = r->began_us + r->route->aim_us - clock_us();
	double start_us = rq_lengths(r)->start_us * START_TIMES;

	if (wait_us == FORECAST_NEVER) return 0;
	return wait_us * WAIT_TIMES + (int64_t)start_us <= left_us;
}

/* Those that are refused come back spread over as long again, the most urgent first. */
static int64_t come_back_us(const struct rq *r, int64_t wait_us)
{
	int64_t least = MIN(MAX(wait_us, RETRY_LATER_US), COME_BACK_MAX_US);
	int64_t spread = least * (rq_rank(r) + 1) / (RQ_PRIORITY_MAX + 1);

	return least + g_random_int_range(0, (gint32)spread + 1);
}

static void refuse(struct rq *r, int64_t wait_us)
{
	char detail[96];

	if (be_only_drained(r->service->name)) {
		rq_stop_waiting(r);
		rq_refuse_drained(r);
		return;
	}
	if (wait_us == FORECAST_NEVER)
		g_snprintf(detail, sizeof detail,
			   "no engine will have room as far as is known");
	else
		g_snprintf(detail, sizeof detail, "room is foreseen in %d ms, too late",
			   (int)(wait_us / 1000));
	rq_stop_waiting(r);
	rq_refuse(r, wait_us == FORECAST_NEVER ? REF_NO_ENGINE : REF_BUSY,
		  come_back_us(r, wait_us), detail);
}

static void log_waited(const struct rq *r, int64_t waited_us)
{
	GString *g = jlog_begin("relay", "request_waited");

	jlog_str(g, "request", r->in.id);
	jlog_int(g, "waited_ms", waited_us / 1000);
	jlog_int(g, "foreseen_ms", r->foreseen_us / 1000);
	jlog_end(g);
	if (!r->group) return;
	met_observe(met_group(r->group->name), MET_H_WAIT, waited_us);
	met_observe(met_group(r->group->name), MET_H_FORECAST_ERROR,
		    ABS(waited_us - r->foreseen_us));
}

static void learn_wait(const struct rq *r, int64_t waited_us)
{
	length_observe_wait(rq_lengths(r), waited_us, r->worked_out_us);
}

int rq_room_try(struct rq *r)
{
	struct be *b = rq_pick(r, NULL);
	int64_t waited_us = clock_us() - r->waited_from, wait_us;

	if (b && rq_fits(r, b)) {
		if (rq_waits(r, b)) return 0;
		rq_stop_waiting(r);
		learn_wait(r, waited_us);
		log_waited(r, waited_us);
		rq_place(r);
		return 1;
	}
	wait_us = length_wait_us(rq_lengths(r), work_out(r, tokens_before(r)));
	if (in_time(r, wait_us)) return 0;
	if (waited_us > r->worked_out_us) learn_wait(r, waited_us);
	refuse(r, wait_us);
	return 1;
}

static void wait_for_room(struct rq *r, int64_t worked_out_us, int64_t wait_us)
{
	r->waited_from = clock_us();
	r->foreseen_us = wait_us;
	r->worked_out_us = worked_out_us;
	rq_line_join(r, RQ_WAITS_ROOM);
}

int rq_wait(struct rq *r, struct be *b)
{
	uint64_t first;
	int64_t worked_out_us, wait_us;

	if (!r->service->engine || r->sends || r->waiting || r->waited_from) return 0;
	if (!b) rq_note_paced(r);
	first = tokens_before(r);
	if (b && !first && rq_fits(r, b)) {
		if (!rq_waits(r, b)) return 0;
		wait_for_room(r, 0, 0);
		return 1;
	}
	worked_out_us = work_out(r, first);
	wait_us = length_wait_us(rq_lengths(r), worked_out_us);
	if (in_time(r, wait_us))
		wait_for_room(r, worked_out_us, wait_us);
	else
		refuse(r, wait_us);
	return 1;
}
