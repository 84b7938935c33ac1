/* Costs of backend servers for a request, and the cheapest of them. */
#include <saddlehead/place.h>
#include <stdlib.h>

/* Weights of a generation's cost, in prompt tokens that would delay its first token as much. */
#define RUN_COST 40        /* each request beside it slows every step a little */
#define HOLD_UP_PERCENT 20 /* of a prompt, for each request that its reading holds up */
#define PRESSURE_COST 1    /* each token of memory over the mark risks a preemption */
#define QUEUE_COST 1000    /* each request more than an engine runs at once waits for another */
#define AWAY_COST 300      /* there and back between regions */
#define TIE 64             /* costs closer than this are equal */

/* Tokens that an engine reads in a millisecond between those that it makes. */
#define READ_PER_MS 7
/* Prompts that lie unread for so long keep others from it: memory elsewhere is free again by
 * then, where runs end every few ms. */
#define CROWDED_US 300000
#define HOLD_PART 3 /* of the aim: the prompt itself takes about as much again */

/* Parts of memory, in percent. */
#define PRESSURE_PERCENT 85 /* the mark: lengths are guesses */
#define FULL_PERCENT 95     /* above it a request would soon press another out */
/* Of all memory, beyond which no copies are kept: more take room and places that requests need,
 * and a stream of an engine that leaves is moved in time without one. With none, streams of
 * engines that die without a word start anew.
 */
#define ALL_BACKUP_PERCENT 30

/* Moves and copies. */
#define FAR_TIMES 2 /* memory moves between data centres in so many times the time */
/* The same between regions: a long prompt's memory takes seconds over their link. */
#define AWAY_TIMES 64
#define ROOM_STEPS 8    /* parts of the memory: within one others choose, too */
#define FAR_ROOM_STEP 1 /* a copy in another data centre is worth it from so much more room */

/* Plain calls, in microseconds. */
#define FAR_US 1400   /* a call to another data centre takes about so much longer */
#define AWAY_US 25000 /* the same to another region, there and back */
#define DRAW_US 1000  /* calls whose times are closer than this are drawn among */
#define CALL_US 15000 /* a call's time before any was measured */
/* Of the usual time of a call: with less left it most likely runs for nobody. */
#define CALL_LEAST_PERCENT 50

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
	/* What is on its way takes room from its first part on: prompts that were sent there
	 * meanwhile put off those that ran. */
	uint64_t taken_now = (uint64_t)s->used + s->inbound;

	if (!s->tokens || !taken_now) return 1;
	return (taken_now + need(j)) * 100 <= (uint64_t)s->tokens * FULL_PERCENT;
}

int64_t place_reading_us(uint32_t tokens)
{
	return (int64_t)tokens * 1000 / READ_PER_MS;
}

int place_waits(const struct place_site *s, int64_t waited_us, int64_t aim_us)
{
	if (waited_us >= aim_us / HOLD_PART) return 0;
	return place_reading_us(s->unread) > CROWDED_US;
}

/* Memory that is spoken for. */
static uint64_t taken(const struct place_site *s)
{
	return (uint64_t)s->held + s->backup + s->inbound;
}

static uint64_t over_mark(const struct place_site *s, const struct place_job *j)
{
	uint64_t all = taken(s) + need(j);
	uint64_t mark = (uint64_t)s->tokens * PRESSURE_PERCENT / 100;

	return s->tokens && all > mark ? all - mark : 0;
}

/* A step that reads a piece of a prompt takes twice as long for all that run beside it. */
static uint64_t hold_up_cost(const struct place_site *s, const struct place_job *j)
{
	return (uint64_t)s->runs * j->prompt * HOLD_UP_PERCENT / 100;
}

static uint64_t generation_cost(const struct place_site *s, const struct place_job *j)
{
	uint64_t cost = s->unread + (uint64_t)s->runs * RUN_COST + hold_up_cost(s, j);

	cost += over_mark(s, j) * PRESSURE_COST;
	if (s->away) cost += AWAY_COST;
	if (s->slots && s->runs >= s->slots)
		cost += (uint64_t)(s->runs - s->slots + 1) * QUEUE_COST;
	return cost;
}

/* Cheapest so far, drawn among those that cost the same: many instances choose at once. */
struct choice {
	uint64_t cost;
	uint32_t draw;
	int at, ties; /* at -1: none yet */
};

static void choose(struct choice *c, int i, uint64_t cost)
{
	if (c->at >= 0 && cost > c->cost) return;
	if (c->at < 0 || cost < c->cost) c->ties = 0;
	c->cost = cost;
	if (drawn(c->draw, (uint32_t)++c->ties) == 0) c->at = i;
	c->draw = next_draw(c->draw);
}

static int any_fits(const struct place_site *s, int n, const struct place_job *j)
{
	int i;

	for (i = 0; i < n; i++)
		if (s[i].usable && place_fits(&s[i], j)) return 1;
	return 0;
}

/* A candidate by its cost, those of the same cost in random order. */
struct ranked {
	uint64_t cost;
	uint32_t draw;
	int at;
};

static int by_cost(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	if (x->cost != y->cost) return x->cost < y->cost ? -1 : 1;
	if (x->draw != y->draw) return x->draw < y->draw ? -1 : 1;
	return 0;
}

/*
 * Of how many of the cheapest one is drawn. All choosers believe about the same, so a rival
 * takes the same one as often as there are few: then this prompt waits for the rival's, which
 * is about as long. Drawing among more costs what they are dearer by. The number for which both
 * together are least.
 */
static int pool_size(const struct ranked *r, int n, const struct place_job *j)
{
	double sum = 0, least = 0, meets = j->rivals * j->prompt / TIE;
	int i, size = 0;

	for (i = 0; i < n; i++) {
		double cost;

		sum += (double)(r[i].cost - r[0].cost);
		cost = (sum + meets) / (i + 1);
		if (size && cost > least) continue;
		least = cost;
		size = i + 1;
	}
	return size;
}

/* Where it fits, if it fits anywhere: elsewhere it would wait with room to be had. */
int place_generation(const struct place_site *s, int n, const struct place_job *j,
		     uint32_t draw)
{
	struct ranked r[PLACE_SITES_MAX];
	int i, m = 0, must_fit = any_fits(s, n, j);

	for (i = 0; i < n && m < PLACE_SITES_MAX; i++) {
		if (!s[i].usable || (must_fit && !place_fits(&s[i], j))) continue;
		draw = next_draw(draw);
		r[m++] = (struct ranked){generation_cost(&s[i], j) / TIE, draw, i};
	}
	if (!m) return -1;
	qsort(r, m, sizeof *r, by_cost);
	return r[drawn(next_draw(draw), (uint32_t)pool_size(r, m, j))].at;
}

/* When its memory has arrived, in tokens of a near link; those before it come first. */
static uint64_t arrival_cost(const struct place_site *s, const struct place_job *j)
{
	if (s->away) return (s->inbound + need(j)) * AWAY_TIMES;
	return (s->inbound + need(j)) * (s->near ? 1 : FAR_TIMES);
}

int place_move(const struct place_site *s, int n, const struct place_job *j, uint32_t draw)
{
	struct choice c = {.draw = draw, .at = -1};
	int i;

	for (i = 0; i < n; i++) {
		if (!s[i].usable || over_mark(&s[i], j)) continue;
		choose(&c, i, arrival_cost(&s[i], j) / TIE);
	}
	return c.at >= 0 ? c.at : place_generation(s, n, j, draw);
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

/* Parts of its memory that are taken; a far one must have a part more of it free. */
static uint64_t room_cost(const struct place_site *s)
{
	return taken(s) * ROOM_STEPS / s->tokens + (s->near ? 0 : FAR_ROOM_STEP);
}

int place_backup(const struct place_site *s, int n, int main, const struct place_job *j,
		 uint32_t percent, uint32_t draw)
{
	struct choice c = {.draw = draw, .at = -1};
	int i;

	if (percent_used(s, n, j) > ALL_BACKUP_PERCENT) return -1;
	for (i = 0; i < n; i++) {
		if (i == main || !s[i].usable || s[i].away || !s[i].tokens) continue;
		if ((taken(&s[i]) + need(j)) * 100 > (uint64_t)s[i].tokens * percent) continue;
		choose(&c, i, room_cost(&s[i]));
	}
	return c.at;
}

static double answer_us(const struct place_site *s)
{
	return s->answer_us > 0 ? s->answer_us : CALL_US;
}

static double least_answer_us(const struct place_site *s, int n)
{
	double least_us = CALL_US;
	int i, any = 0;

	for (i = 0; i < n; i++) {
		if (!s[i].usable || s[i].answer_us <= 0) continue;
		if (!any || s[i].answer_us < least_us) least_us = s[i].answer_us;
		any = 1;
	}
	return least_us;
}

/* How long a call will take there, in microseconds. One that was slow by chance in its first
 * answers would get none that shows it. */
static double call_us(const struct place_site *s, double least_us)
{
	double known_us = answer_us(s);
	double each =
		known_us > least_us ? known_us - s->doubt * (known_us - least_us) : known_us;
	double us = each;

	if (s->slots) us += each * s->runs / s->slots;
	if (s->slots && s->runs >= s->slots) us += each * (s->runs - s->slots + 1);
	if (s->away) return us + AWAY_US;
	return s->near ? us : us + FAR_US;
}

int place_call(const struct place_site *s, int n, uint32_t draw)
{
	double us, best_us = 0, least_us = least_answer_us(s, n);
	int i, best = -1;

	for (i = 0; i < n; i++) {
		uint32_t jitter_us = drawn(draw, DRAW_US);

		draw = next_draw(draw);
		if (!s[i].usable) continue;
		us = call_us(&s[i], least_us) + jitter_us;
		if (best >= 0 && us >= best_us) continue;
		best_us = us;
		best = i;
	}
	return best;
}

int place_call_in_time(const struct place_site *s, int64_t left_us)
{
	return left_us >= s->answer_us * CALL_LEAST_PERCENT / 100;
}
