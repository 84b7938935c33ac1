/* A request's times: when it must have its answer, and how long silence is borne. */
#include "clock.h"
#include "rq_impl.h"
#include <stddef.h>

#define HELD_MAX_US 60000000  /* a request whose route and caller name no end */
#define PATIENCE_PART 6       /* tenths of the aim: another server still answers within it */
#define PATIENCE_MIN_US 50000 /* never less: an answer takes some tens of ms */
#define STALL_LOOK_US 250000  /* how often a stream's silence is looked at */
#define STALL_GAPS 8         /* silence of so many of the route's pauses is an engine's death */
#define STALL_MIN_US 1000000 /* never less: long prompts of others hold a stream up */

static int64_t
	woke_us; /* until then this instance stood still: silence is counted from there */

/* What is sent with less time left than its route's aim says nothing of a server that does not
 * answer by then: in the second after all came back callers' last tries, with 20 ms left, had
 * three of ten servers left alone by all. Nor does a route whose requests never end in time. */
static int is_servers_fault(const struct rq *r)
{
	const struct leg *l = r->leg;

	if (!l || !l->hx || l->answered || !rq_lengths(r)->answers) return 0;
	return clock_us() - l->sent_us >= r->route->aim_us;
}

static void on_end_time(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, end_timer));

	if (!r->sends) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "the time ran out before it was sent");
		return;
	}
	if (is_servers_fault(r)) {
		leg_tell_version(r->leg, RO_FAILED);
		be_failed(r->leg->be, "no answer in time");
	}
	rq_fail(r, REF_DEADLINE, "the time ran out");
}

/* Of an engine's memory: with more in use it may have put a run off for lack of it. */
#define PRESSED_PERCENT 85

/* What an engine has still to read comes first, or in between. */
int64_t rq_reading_us(const struct rq *r)
{
	if (!r->service->engine || !r->leg) return 0;
	return place_reading_us(rq_load_of(r->leg->be).unread);
}

/* Silence of an engine that is at work says nothing of how sound it is: those that were
 * ejected for it left their work to others, which fell silent for it, too. */
int rq_is_at_work(const struct rq *r)
{
	struct be_load all = rq_load_of(r->leg->be);
	uint64_t taken = (uint64_t)all.used + all.inbound;

	if (!r->service->engine) return 0;
	if (all.unread > (r->leg->reading ? r->job.prompt : 0)) return 1;
	return taken * 100 >= (uint64_t)r->service->tokens * PRESSED_PERCENT;
}

/* How long a server that may be left for another one is waited for. */
int64_t rq_patience_us(const struct rq *r)
{
	if (r->route->kind == CONF_STREAM) return r->route->aim_us + rq_reading_us(r);
	return MAX(r->route->aim_us * PATIENCE_PART / 10, PATIENCE_MIN_US);
}

int64_t rq_stall_us(const struct rq *r)
{
	return MAX(r->route->gap_us * STALL_GAPS, STALL_MIN_US) + rq_reading_us(r);
}

int64_t rq_silence_us(const struct rq *r)
{
	int64_t from_us = MAX(r->event_us, r->leg->sent_us);

	return clock_us() - MAX(from_us, woke_us);
}

/* Nothing came for longer than its server is waited for. A stream that had begun stayed on a
 * connection that carries nothing more until its route's time was over. */
static int is_silent(const struct rq *r)
{
	const struct leg *l = r->leg;
	int64_t now = clock_us();

	if (!l->answered) return now - MAX(l->sent_us, woke_us) >= rq_patience_us(r);
	if (!l->first_us || cn_pending(&r->h->cn)) return 0;
	return rq_silence_us(r) >= rq_stall_us(r);
}

int rq_repeat_elsewhere(struct rq *r, int blame)
{
	struct leg *l = r->leg;

	if (r->runs + 1 >= r->route->attempts || !rq_may_repeat(r)) return 0;
	if (blame) {
		leg_tell_version(l, RO_FAILED);
		be_failed(l->be, "silent");
	}
	met_retried(l->answered ? RETRY_RESUME : RETRY_FIRST_BYTE);
	if (l->hx->connected)
		r->runs++;
	else
		r->unreached++;
	rq_place(r);
	return 1;
}

/* Nothing comes of a request that may run again: another server may be quicker. A stream whose
 * repeat the fleet's allowance holds back goes on from its engine's memory. */
static void look_at_silence(struct rq *r)
{
	if (!r->leg || !r->leg->hx || !is_silent(r)) return;
	if (r->move.state != MOVE_NONE || r->waiting != RQ_WAITS_NOT) return;
	if (rq_repeat_elsewhere(r, !rq_is_at_work(r))) return;
	if (r->event_us) silent_leave(r);
}

/* Sooner than usual where an answer is not waited for so long. */
static int64_t next_look_us(const struct rq *r)
{
	int64_t most_us, left_us;

	if (!r->leg || r->leg->answered) return STALL_LOOK_US;
	most_us = rq_patience_us(r);
	left_us = MAX(r->leg->sent_us, woke_us) + most_us - clock_us();
	return MIN(left_us > 0 ? left_us : most_us, STALL_LOOK_US);
}

static void on_stall_look(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, stall_timer));

	int repeatable = rq_repeatable(r);

	ev_in(t, repeatable && !r->event_us ? next_look_us(r) : silent_next_look_us(r));
	if (!repeatable) {
		silent_look(r);
		return;
	}
	if (r->event_us) silent_ask(r);
	look_at_silence(r); /* r may be gone then */
}

void rq_set_times(struct rq *r)
{
	int64_t most = r->route->timeout_us ? r->route->timeout_us : HELD_MAX_US;

	if (r->in.deadline_us) most = MIN(most, r->in.deadline_us);
	r->end_timer.fire = on_end_time;
	r->stall_timer.fire = on_stall_look;
	r->end_us = r->began_us + most;
	ev_at(&r->end_timer, r->end_us);
	if (r->route->kind == CONF_STREAM)
		ev_in(&r->stall_timer, STALL_LOOK_US);
	else if (rq_repeatable(r))
		ev_in(&r->stall_timer, rq_patience_us(r));
}

/* What came for them meanwhile is not read yet, but whose time is over has it now. */
void rq_on_wake(void)
{
	uint32_t i;

	woke_us = clock_us();
	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (r->end_us && r->end_us <= woke_us) on_end_time(&r->end_timer);
	}
}
