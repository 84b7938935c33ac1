/* Costs of backend servers for a request, and the cheapest of them. */
#include <saddlehead/place.h>

/* Weights of a generation's cost, in prompt tokens that would delay its first token as much. */
#define RUN_COST 40           /* each request beside it slows every step a little */
#define PRESSURE_COST 4       /* each token of memory over the mark risks a preemption */
#define PRESSURE_PERCENT 85   /* the mark: lengths are guesses */
#define FULL_PERCENT 95       /* above it a request would soon press another out */
#define ALL_BACKUP_PERCENT 60 /* of all memory: beyond, copies would press requests out */
#define TIE 64                /* costs closer than this are equal: draw among them */
#define QUEUE_COST 1000   /* each request more than an engine runs at once waits for another */
#define FAR_BACKUP_PART 8 /* of the memory: it moves between data centres in twice the time */
#define BACKUP_DRAWS 64   /* sites with equal room are drawn among so many places */
#define FAR_US 1400       /* a call to another data centre takes about so much longer */
#define DRAW_US 1000      /* calls whose times are closer than this are drawn among */
#define CALL_US 15000     /* a call's time before any was measured */

/* A linear congruential generator with well-known factors: breaks ties, hides nothing. */
static uint32_t next_draw(uint32_t draw)
{
	return draw * 1664525u + 1013904223u;
}

/* From 0 up to n: by the high bits, as the low ones repeat after a few draws. */
static uint32_t drawn(uint32_t draw, uint32_t n)
{
	return (uint32_t)((uint64_t)draw * n >> 32);
}

/* Others end while it grows: on the mean half of what it will make is in use. */
static uint64_t need(const struct place_job *j)
{
	return (uint64_t)j->prompt + j->growth / 2;
}

int place_fits(const struct place_site *s, const struct place_job *j)
{
	if (!s->tokens || !s->used) return 1;
	return (s->used + need(j)) * 100 <= (uint64_t)s->tokens * FULL_PERCENT;
}

static uint64_t over_mark(const struct place_site *s, const struct place_job *j)
{
	uint64_t all = s->held + s->backup + need(j);
	uint64_t mark = (uint64_t)s->tokens * PRESSURE_PERCENT / 100;

	return s->tokens && all > mark ? all - mark : 0;
}

static uint64_t generation_cost(const struct place_site *s, const struct place_job *j)
{
	uint64_t cost = s->unread + (uint64_t)s->runs * RUN_COST;

	cost += over_mark(s, j) * PRESSURE_COST;
	if (!s->near) cost += s->far_cost;
	if (s->slots && s->runs >= s->slots)
		cost += (uint64_t)(s->runs - s->slots + 1) * QUEUE_COST;
	return cost;
}

int place_generation(const struct place_site *s, int n, const struct place_job *j,
		     uint32_t draw)
{
	uint64_t best_cost = UINT64_MAX;
	int i, ties = 0, best = -1;

	for (i = 0; i < n; i++) {
		uint64_t cost;

		if (!s[i].usable) continue;
		cost = generation_cost(&s[i], j) / TIE;
		if (cost > best_cost) continue;
		if (cost < best_cost) ties = 0;
		best_cost = cost;
		if (drawn(draw, (uint32_t)++ties) == 0) best = i;
		draw = next_draw(draw);
	}
	return best;
}

/* Memory in use on all sites together, in percent. */
static uint64_t percent_used(const struct place_site *s, int n, const struct place_job *j)
{
	uint64_t used = need(j), all = 0;
	int i;

	for (i = 0; i < n; i++) {
		if (!s[i].usable) continue;
		used += s[i].used;
		all += s[i].tokens;
	}
	return all ? used * 100 / all : 100;
}

int place_backup(const struct place_site *s, int n, int main, const struct place_job *j,
		 uint32_t percent, uint32_t draw)
{
	uint64_t best_used = UINT64_MAX;
	int i, best = -1;

	if (percent_used(s, n, j) > ALL_BACKUP_PERCENT) return -1;
	for (i = 0; i < n; i++) {
		uint64_t used = s[i].held + (uint64_t)s[i].backup;

		if (i == main || !s[i].usable || !s[i].tokens) continue;
		if ((used + need(j)) * 100 > (uint64_t)s[i].tokens * percent) continue;
		if (!s[i].near) used += s[i].tokens / FAR_BACKUP_PART;
		used = used * BACKUP_DRAWS + drawn(draw, BACKUP_DRAWS);
		draw = next_draw(draw);
		if (used >= best_used) continue;
		best_used = used;
		best = i;
	}
	return best;
}

int place_call(const struct place_site *s, int n, uint32_t draw)
{
	double best_us = 0;
	int i, best = -1;

	for (i = 0; i < n; i++) {
		double each = s[i].answer_us > 0 ? s[i].answer_us : CALL_US;
		double us = each, jitter = (double)drawn(draw, DRAW_US);

		draw = next_draw(draw);
		if (!s[i].usable) continue;
		if (s[i].slots) us += each * s[i].runs / s[i].slots;
		if (s[i].slots && s[i].runs >= s[i].slots)
			us += each * (s[i].runs - s[i].slots + 1);
		if (!s[i].near) us += FAR_US;
		us += jitter;
		if (best >= 0 && us >= best_us) continue;
		best_us = us;
		best = i;
	}
	return best;
}
