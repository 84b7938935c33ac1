/* Simulation in steps of ten milliseconds: engines prefill prompts in order of arrival and
 * generate tokens for each run; requests arrive at random and are placed by the product's own
 * functions. */
#include "crowding.h"
#include <math.h>
#include <saddlehead/place.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 10
#define STEP_TOKENS 1.1     /* tokens per run and step */
#define PREFILL_ALONE 140.0 /* prompt tokens that an engine prefills per step ... */
#define PREFILL_BESIDE 70.0 /* ... and while it also decodes */
#define MEMORY 21864        /* tokens */
#define SLOTS 24
#define ENGINES_MAX 128
#define RUNS_MAX 64
#define LONG_PROMPT 3000
#define SHORT_PROMPT 2200
#define LONG_TOKENS 750 /* mean number of generated tokens */
#define SHORT_TOKENS 9
#define LONG_OBJECTIVE_MS 1800
#define SHORT_OBJECTIVE_MS 1500
#define LEAVE_EVERY_MS 3300
#define LEAVE_SHARE 0.14
#define GONE_MS 4000
#define MOVE_MS 400 /* duration of a memory transfer */
#define WAITING_MAX 4096

struct run {
	int is_long, late_counted;
	int arrived_ms, moving_until_ms; /* moving_until_ms: end of its transfer; 0: none */
	double prompt, unread, generated, tokens;
};

struct engine {
	struct run run[RUNS_MAX];
	int n, back_ms; /* back_ms: gone until then */
};

struct sim {
	const struct crowding_load *l;
	struct crowding_result result;
	struct engine engine[ENGINES_MAX];
	struct run waiting[WAITING_MAX];
	int nwaiting, now_ms;
	unsigned draw;
};

static double draw_unit(struct sim *r)
{
	r->draw = r->draw * 1664525u + 1013904223u;
	return ((r->draw >> 8) + 1) / 16777217.0;
}

static int objective_ms(const struct run *g)
{
	return g->is_long ? LONG_OBJECTIVE_MS : SHORT_OBJECTIVE_MS;
}

static void add_to_view(struct place_server *s, const struct run *g, const struct sim *r)
{
	double left = g->tokens - g->generated;

	if (g->moving_until_ms > r->now_ms) {
		s->inbound += (uint32_t)(g->prompt + g->generated);
		return;
	}
	s->runs++;
	s->prefill += (uint32_t)g->unread;
	s->used += (uint32_t)(g->prompt + g->generated);
	s->forecast += (uint32_t)(g->prompt + g->generated + (left > 0 ? left : 0));
}

static void build_view(const struct sim *r, struct place_server *s)
{
	int i, k;

	for (i = 0; i < r->l->engines; i++) {
		const struct engine *e = &r->engine[i];

		s[i] = (struct place_server){.usable = r->now_ms >= e->back_ms,
					     .same_dc = 1,
					     .slots = SLOTS,
					     .tokens = MEMORY};
		for (k = 0; k < e->n; k++) add_to_view(&s[i], &e->run[k], r);
		if (e->n >= RUNS_MAX) s[i].usable = 0;
	}
}

static struct place_job job_of(const struct run *g)
{
	return (struct place_job){.prompt = (uint32_t)(g->prompt + g->generated),
				  .growth = g->is_long ? LONG_TOKENS : SHORT_TOKENS};
}

/* Returns 1 if it was sent. */
static int try_to_send(struct sim *r, const struct run *g)
{
	struct place_server s[ENGINES_MAX], seen;
	struct place_job j = job_of(g);
	int at;

	build_view(r, s);
	at = place_generation(s, r->l->engines, &j, (uint32_t)(draw_unit(r) * 4294967295.0));
	if (at < 0) return 0;
	seen = s[at];
	if (!r->l->counts_inbound) seen.inbound = 0;
	if (!place_fits(&seen, &j)) return 0;
	if (r->l->waits && place_should_wait(&s[at], (r->now_ms - g->arrived_ms) * 1000,
					     objective_ms(g) * 1000))
		return 0;
	r->engine[at].run[r->engine[at].n++] = *g;
	return 1;
}

static void arrive(struct sim *r, int is_long)
{
	struct run g = {.is_long = is_long, .arrived_ms = r->now_ms};
	double mean = is_long ? LONG_TOKENS : SHORT_TOKENS;

	g.prompt = g.unread = (is_long ? LONG_PROMPT : SHORT_PROMPT) * (0.5 + draw_unit(r));
	g.tokens = 1 - mean * log(draw_unit(r));
	if (r->nwaiting < WAITING_MAX) r->waiting[r->nwaiting++] = g;
}

/* Short requests are more urgent. */
static void send_waiting(struct sim *r)
{
	int want, i;

	for (want = 0; want <= 1; want++) {
		for (i = 0; i < r->nwaiting; i++) {
			struct run *g = &r->waiting[i];
			int gone = 0;

			if (g->is_long != want) continue;
			if (r->now_ms - g->arrived_ms > objective_ms(g)) {
				r->result.refused++;
				gone = 1;
			}
			if (!gone && !try_to_send(r, g)) continue;
			memmove(g, g + 1, (r->nwaiting - i - 1) * sizeof *g);
			r->nwaiting--;
			i--;
		}
	}
}

static void prefill(struct engine *e, const struct sim *r)
{
	double budget = PREFILL_ALONE;
	int i;

	for (i = 0; i < e->n; i++)
		if (!e->run[i].unread) budget = PREFILL_BESIDE;
	for (i = 0; i < e->n && budget > 0; i++) {
		struct run *g = &e->run[i];
		double now = g->unread < budget ? g->unread : budget;

		if (g->moving_until_ms > r->now_ms) continue;
		g->unread -= now;
		budget -= now;
	}
}

static void record_first_token(struct sim *r, struct run *g)
{
	if (!g->is_long || g->late_counted) return;
	g->late_counted = 1;
	r->result.long_streams++;
	r->result.late += r->now_ms - g->arrived_ms > LONG_OBJECTIVE_MS;
}

static void make_tokens(struct engine *e, struct sim *r)
{
	int i;

	for (i = e->n - 1; i >= 0; i--) {
		struct run *g = &e->run[i];

		if (g->unread > 0 || g->moving_until_ms > r->now_ms) continue;
		record_first_token(r, g);
		g->generated += STEP_TOKENS;
		if (g->generated >= g->tokens) *g = e->run[--e->n];
	}
}

/* Preempts the last runs that exceed the memory; they are prefilled again. */
static void preempt(struct engine *e, struct sim *r)
{
	double used = 0;
	int i;

	for (i = 0; i < e->n; i++) {
		struct run *g = &e->run[i];

		used += g->prompt + g->generated;
		if (used <= MEMORY || g->unread > 0) continue;
		g->unread = g->prompt + g->generated;
		r->result.preempted++;
	}
}

static void move_run(struct sim *r, struct run *g)
{
	struct place_server s[ENGINES_MAX];
	struct place_job j = {.prompt = (uint32_t)(g->prompt + g->generated)};
	int at;

	build_view(r, s);
	at = place_move(s, r->l->engines, &j, (uint32_t)(draw_unit(r) * 4294967295.0));
	if (at < 0) return;
	if (!g->unread) g->moving_until_ms = r->now_ms + MOVE_MS;
	r->engine[at].run[r->engine[at].n++] = *g;
}

static void engines_leave(struct sim *r)
{
	int n = (int)(r->l->engines * LEAVE_SHARE);

	while (n-- > 0) {
		struct engine *e =
			&r->engine[(int)(draw_unit(r) * r->l->engines) % r->l->engines];

		if (r->now_ms < e->back_ms) continue;
		e->back_ms = r->now_ms + GONE_MS;
		while (e->n) {
			struct run g = e->run[--e->n];

			move_run(r, &g);
		}
	}
}

static int arrivals(struct sim *r, double per_s)
{
	double mean = per_s * STEP_MS / 1000, p = exp(-mean), left = draw_unit(r);
	int n = 0;

	for (; left > p && n < 16; n++) left *= draw_unit(r);
	return n;
}

struct crowding_result crowding_run(const struct crowding_load *l)
{
	struct sim *r = calloc(1, sizeof *r);
	struct crowding_result result;
	int i, n;

	r->l = l;
	r->draw = l->seed;
	for (; r->now_ms < l->seconds * 1000; r->now_ms += STEP_MS) {
		if (r->now_ms % LEAVE_EVERY_MS < STEP_MS) engines_leave(r);
		for (n = arrivals(r, l->long_per_s); n > 0; n--) arrive(r, 1);
		for (n = arrivals(r, l->short_per_s); n > 0; n--) arrive(r, 0);
		send_waiting(r);
		for (i = 0; i < l->engines; i++) {
			prefill(&r->engine[i], r);
			make_tokens(&r->engine[i], r);
			preempt(&r->engine[i], r);
		}
	}
	result = r->result;
	free(r);
	return result;
}
