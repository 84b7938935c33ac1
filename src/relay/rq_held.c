/* Memory of the answers that are held until they are complete: their sum over all requests, and
 * its limit. Single-threaded, as the relay. */
#include "clock.h"
#include "met.h"
#include "rq_impl.h"

static uint64_t sum, max;
static uint32_t stopped; /* attempts that are not read for want of memory */
static struct ev_timer resume_timer;

/* What the current attempt of each request holds, in the order of rq_all. Free with g_free. */
static struct al_answer *measure_all(void)
{
	struct al_answer *held = g_new(struct al_answer, rq_all->len);
	uint32_t i;

	for (i = 0; i < rq_all->len; i++) {
		const struct rq *r = g_ptr_array_index(rq_all, i);

		held[i] = r->attempt && r->attempt->hx ? rq_measure_answer(r->attempt)
						       : (struct al_answer){0};
	}
	return held;
}

static struct attempt *attempt_at(int i)
{
	return i < 0 ? NULL : ((struct rq *)g_ptr_array_index(rq_all, i))->attempt;
}

static struct attempt *next_to_finish(void)
{
	struct al_answer *held = measure_all();
	int i = al_next_to_finish(held, rq_all->len);

	g_free(held);
	return attempt_at(i);
}

static void read_on(struct attempt *att)
{
	if (!att || !att->stopped_us) return;
	stopped--;
	/* The time counts only while it is read. */
	att->part_us += clock_us() - att->stopped_us;
	att->stopped_us = 0;
	if (att->hx) hx_pause(att->hx, 0);
}

/* Above the limit only the one to be finished next is read. */
static void on_resume(struct ev_timer *t)
{
	uint32_t i;

	(void)t;
	if (sum > max) {
		read_on(next_to_finish());
		return;
	}
	for (i = 0; i < rq_all->len; i++) read_on(attempt_at((int)i));
}

void held_start(uint64_t bytes)
{
	max = bytes;
	resume_timer.fire = on_resume;
}

void held_set(struct attempt *att, uint64_t bytes)
{
	if (!bytes) read_on(att);
	if (att->held == bytes) return;
	if (bytes < att->held && stopped) ev_in(&resume_timer, 0);
	sum += bytes - att->held;
	att->held = bytes;
	met_set(MET_G_HELD_BYTES, (int64_t)sum);
}

struct attempt *held_victim(void)
{
	struct al_answer *held;
	int i;

	if (sum <= max || !rq_all->len) return NULL;
	held = measure_all();
	i = al_victim(held, rq_all->len);
	if (!held[i].bytes) i = -1;
	g_free(held);
	return attempt_at(i);
}

void held_stop_reading(struct attempt *att)
{
	if (att == next_to_finish()) return;
	if (!att->stopped_us) {
		stopped++;
		att->stopped_us = clock_us();
	}
	hx_pause(att->hx, 1);
}
