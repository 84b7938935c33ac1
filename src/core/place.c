/* Computes the cost of each backend server for a request and selects the cheapest. */
#include <saddlehead/place.h>
#include <stdlib.h>

/* Weights of a generation's cost, in prompt tokens that would delay its first token as much. */
#define RUN_COST 40 /* each concurrent request slows every step a little */
/* Of the prompt, for each running request that its prefill slows down. */
#define PREFILL_DELAY_PERCENT 20
#define PRESSURE_COST 1 /* each token of memory above PRESSURE_PERCENT risks a preemption */
/* Each request beyond the engine's slots waits for another one to end. */
#define QUEUE_COST 1000
#define REGION_COST 300 /* round trip between regions */
#define COST_STEP 64    /* costs are compared in units of this many tokens */

/* Prompt tokens that an engine prefills per millisecond while it also decodes. */
#define PREFILL_PER_MS 7
/* An engine with a longer prefill backlog gets no new generations, as memory elsewhere becomes
 * free sooner: generations end every few ms. */
#define BACKLOG_MAX_US 300000
/* Share (1/3) of the latency objective that may be spent waiting: prefill of the prompt takes
 * about as much again. */
#define WAIT_PART 3

/* Thresholds of memory use, in percent. */
#define PRESSURE_PERCENT 85 /* use above it has a cost: lengths are estimates */
#define FULL_PERCENT 95     /* above it a request would soon preempt another one */
/* Memory use of the whole fleet above which no new replicas are created: more would take memory
 * and slots that requests need, and a stream on an engine that leaves with notice is moved
 * without one. Streams without a replica restart from the prompt if their engine crashes
 * without notice. */
#define REPLICA_USED_MAX_PERCENT 30

/* Moves and replicas. */
#define DC_LINK_FACTOR 2 /* a transfer to another data centre takes this many times as long */
/* The same to another region: a long prompt's memory takes seconds over that link. */
#define REGION_LINK_FACTOR 64
#define USED_STEPS 8 /* granularity of memory use: servers in the same step are drawn among */
/* A replica in another data centre has to find this many steps more of memory free. */
#define OTHER_DC_STEPS 1

/* Plain calls, in microseconds. */
#define OTHER_DC_US 1400      /* extra time of a call to another data centre */
#define OTHER_REGION_US 25000 /* round-trip time to another region */
#define JITTER_US 1000        /* servers whose times differ by less are drawn among */
#define CALL_DEFAULT_US 15000 /* assumed time of a call without a sample */
/* Of the usual time of a call: with less time left it would most likely complete too late. */
#define CALL_MIN_PERCENT 50

/* Linear congruential generator with the factors of Numerical Recipes. It only breaks ties and
 * needs no cryptographic strength. */
static uint32_t next_draw(uint32_t draw)
{
	return draw * 1664525u + 1013904223u;
}

/* Scales draw to 0..n-1 by its high bits, as the low ones have short periods. */
static uint32_t scale_draw(uint32_t draw, uint32_t n)
{
	return (uint32_t)((uint64_t)draw * n >> 32);
}

/* Memory that a generation needs. Others end while it grows: on average half of its growth is
 * in use. */
static uint64_t memory_needed(const struct place_job *j)
{
	return (uint64_t)j->prompt + j->growth / 2;
}

int place_fits(const struct place_server *s, const struct place_job *j)
{
	/* Counts memory in transfer from the beginning: otherwise prompts that are sent there
	 * meanwhile preempt running generations. */
	uint64_t in_use = (uint64_t)s->used + s->inbound;

	if (!s->tokens || !in_use) return 1;
	return (in_use + memory_needed(j)) * 100 <= (uint64_t)s->tokens * FULL_PERCENT;
}

int64_t place_prefill_us(uint32_t tokens)
{
	return (int64_t)tokens * 1000 / PREFILL_PER_MS;
}

int place_should_wait(const struct place_server *s, int64_t waited_us, int64_t objective_us)
{
	if (waited_us >= objective_us / WAIT_PART) return 0;
	return place_prefill_us(s->prefill) > BACKLOG_MAX_US;
}

/* Memory that is in use or committed. */
static uint64_t committed(const struct place_server *s)
{
	return (uint64_t)s->forecast + s->replicas + s->inbound;
}

static uint64_t pressure_excess(const struct place_server *s, const struct place_job *j)
{
	uint64_t all = committed(s) + memory_needed(j);
	uint64_t mark = (uint64_t)s->tokens * PRESSURE_PERCENT / 100;

	return s->tokens && all > mark ? all - mark : 0;
}

/* A step that includes prefill takes twice as long for all running generations. */
static uint64_t prefill_delay_cost(const struct place_server *s, const struct place_job *j)
{
	return (uint64_t)s->runs * j->prompt * PREFILL_DELAY_PERCENT / 100;
}

static uint64_t generation_cost(const struct place_server *s, const struct place_job *j)
{
	uint64_t cost = s->prefill + (uint64_t)s->runs * RUN_COST + prefill_delay_cost(s, j);

	cost += pressure_excess(s, j) * PRESSURE_COST;
	if (s->other_region) cost += REGION_COST;
	if (s->slots && s->runs >= s->slots)
		cost += (uint64_t)(s->runs - s->slots + 1) * QUEUE_COST;
	return cost;
}

/* Cheapest candidate so far, drawn at random among equal ones, as many instances choose
 * concurrently. */
struct choice {
	uint64_t cost;
	uint32_t draw;
	int index, ties; /* index -1: none yet */
};

static void choose(struct choice *c, int i, uint64_t cost)
{
	if (c->index >= 0 && cost > c->cost) return;
	if (c->index < 0 || cost < c->cost) c->ties = 0;
	c->cost = cost;
	if (scale_draw(c->draw, (uint32_t)++c->ties) == 0) c->index = i;
	c->draw = next_draw(c->draw);
}

static int any_fits(const struct place_server *s, int n, const struct place_job *j)
{
	int i;

	for (i = 0; i < n; i++)
		if (s[i].usable && place_fits(&s[i], j)) return 1;
	return 0;
}

/* Candidates are sorted by cost, those of equal cost in random order. */
struct ranked {
	uint64_t cost;
	uint32_t draw;
	int index;
};

static int by_cost(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	if (x->cost != y->cost) return x->cost < y->cost ? -1 : 1;
	if (x->draw != y->draw) return x->draw < y->draw ? -1 : 1;
	return 0;
}

/*
 * Number of cheapest candidates to draw among. All choosers have nearly the same view, so a
 * rival picks the same server with probability 1/size, and then this prompt waits for the
 * rival's, which is about as long. Drawing among more candidates adds their extra cost.
 * Returns the size for which the sum of both is lowest.
 */
static int pool_size(const struct ranked *r, int n, const struct place_job *j)
{
	double sum = 0, least = 0, collisions = j->rivals * j->prompt / COST_STEP;
	int i, size = 0;

	for (i = 0; i < n; i++) {
		double cost;

		sum += (double)(r[i].cost - r[0].cost);
		cost = (sum + collisions) / (i + 1);
		if (size && cost > least) continue;
		least = cost;
		size = i + 1;
	}
	return size;
}

/* Considers only servers where it fits, if there are any: on others it would wait although
 * memory is free. */
int place_generation(const struct place_server *s, int n, const struct place_job *j,
		     uint32_t draw)
{
	struct ranked r[PLACE_SERVERS_MAX];
	int i, m = 0, must_fit = any_fits(s, n, j);

	for (i = 0; i < n && m < PLACE_SERVERS_MAX; i++) {
		if (!s[i].usable || (must_fit && !place_fits(&s[i], j))) continue;
		draw = next_draw(draw);
		r[m++] = (struct ranked){generation_cost(&s[i], j) / COST_STEP, draw, i};
	}
	if (!m) return -1;
	qsort(r, m, sizeof *r, by_cost);
	return r[scale_draw(next_draw(draw), (uint32_t)pool_size(r, m, j))].index;
}

/* Time until the memory of the generation has arrived there, in tokens over a link within a
 * data centre. Transfers already in progress come first. */
static uint64_t arrival_cost(const struct place_server *s, const struct place_job *j)
{
	if (s->other_region) return (s->inbound + memory_needed(j)) * REGION_LINK_FACTOR;
	return (s->inbound + memory_needed(j)) * (s->same_dc ? 1 : DC_LINK_FACTOR);
}

int place_move(const struct place_server *s, int n, const struct place_job *j, uint32_t draw)
{
	struct choice c = {.draw = draw, .index = -1};
	int i;

	for (i = 0; i < n; i++) {
		if (!s[i].usable || pressure_excess(&s[i], j)) continue;
		choose(&c, i, arrival_cost(&s[i], j) / COST_STEP);
	}
	return c.index >= 0 ? c.index : place_generation(s, n, j, draw);
}

/* Memory in use on all servers together, in percent. */
static uint64_t percent_used(const struct place_server *s, int n, const struct place_job *j)
{
	uint64_t used = memory_needed(j), all = 0;
	int i;

	for (i = 0; i < n; i++) {
		if (!s[i].usable) continue;
		used += s[i].used;
		all += s[i].tokens;
	}
	return all ? used * 100 / all : 100;
}

/* Memory in use or committed there, in steps. Another data centre counts as OTHER_DC_STEPS
 * more. */
static uint64_t memory_cost(const struct place_server *s)
{
	return committed(s) * USED_STEPS / s->tokens + (s->same_dc ? 0 : OTHER_DC_STEPS);
}

int place_replica(const struct place_server *s, int n, int source, const struct place_job *j,
		  uint32_t percent, uint32_t draw)
{
	struct choice c = {.draw = draw, .index = -1};
	int i;

	if (percent_used(s, n, j) > REPLICA_USED_MAX_PERCENT) return -1;
	for (i = 0; i < n; i++) {
		if (i == source || !s[i].usable || s[i].other_region || !s[i].tokens) continue;
		if ((committed(&s[i]) + memory_needed(j)) * 100 >
		    (uint64_t)s[i].tokens * percent)
			continue;
		choose(&c, i, memory_cost(&s[i]));
	}
	return c.index;
}

static double call_latency_us(const struct place_server *s)
{
	return s->latency_us > 0 ? s->latency_us : CALL_DEFAULT_US;
}

static double least_latency_us(const struct place_server *s, int n)
{
	double least_us = CALL_DEFAULT_US;
	int i, any = 0;

	for (i = 0; i < n; i++) {
		if (!s[i].usable || s[i].latency_us <= 0) continue;
		if (!any || s[i].latency_us < least_us) least_us = s[i].latency_us;
		any = 1;
	}
	return least_us;
}

/* Expected time of a call there in microseconds. Samples with high uncertainty are discounted:
 * otherwise a server whose first answers happened to be slow would get no calls that correct
 * the average. */
static double call_us(const struct place_server *s, double least_us)
{
	double measured_us = call_latency_us(s);
	double answer = measured_us > least_us
				? measured_us - s->uncertainty * (measured_us - least_us)
				: measured_us;
	double us = answer;

	if (s->slots) us += answer * s->runs / s->slots;
	if (s->slots && s->runs >= s->slots) us += answer * (s->runs - s->slots + 1);
	if (s->other_region) return us + OTHER_REGION_US;
	return s->same_dc ? us : us + OTHER_DC_US;
}

int place_call(const struct place_server *s, int n, uint32_t draw)
{
	double us, best_us = 0, least_us = least_latency_us(s, n);
	int i, best = -1;

	for (i = 0; i < n; i++) {
		uint32_t jitter_us = scale_draw(draw, JITTER_US);

		draw = next_draw(draw);
		if (!s[i].usable) continue;
		us = call_us(&s[i], least_us) + jitter_us;
		if (best >= 0 && us >= best_us) continue;
		best_us = us;
		best = i;
	}
	return best;
}

int place_call_in_time(const struct place_server *s, int64_t left_us)
{
	double expected_us = s->latency_us * (1 - s->uncertainty);

	return left_us >= expected_us * CALL_MIN_PERCENT / 100;
}
