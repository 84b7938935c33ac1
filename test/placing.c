/* Engines prefill prompts one after the other; the result is how long prompts wait for that. */
#include "placing.h"
#include <math.h>
#include <saddlehead/place.h>
#include <stdlib.h>
#include <string.h>

/* Engines and load of a typical fleet: three fifths of the generations are long. */
#define TOKENS_PER_MS 14.0
#define SLOW_EVERY 3 /* each third engine is slower by SLOW_TIMES */
#define SLOW_TIMES 1.3
#define MEMORY 33640 /* tokens */
#define SLOTS 24
#define PROMPT_MIN 1000
#define PROMPT_SPREAD 4000
#define GROWTH 400
#define LONG_SHARE 0.59
#define LONG_MS 4500.0 /* duration after its first token */
#define SHORT_MS 60.0
#define KEEP_MS 20000.0 /* time after which any generation is over */
#define ENGINES_MAX 1000

struct sent {
	double at_ms, read_ms, end_ms, waited_ms;
	int engine, instance;
	unsigned prompt;
};

struct sim {
	const struct placing_load *l;
	unsigned draw;
	struct sent *sent;
	int n, first; /* generations before first are over */
	double free_ms[ENGINES_MAX];
};

static double draw_unit(struct sim *r)
{
	r->draw = r->draw * 1664525u + 1013904223u;
	return (r->draw >> 8) / 16777216.0;
}

static void add_known(struct place_server *s, const struct sent *g, double at_ms)
{
	if (g->at_ms > at_ms || g->end_ms <= at_ms) return;
	s += g->engine;
	s->runs++;
	s->used += g->prompt;
	s->forecast += g->prompt + GROWTH;
	if (g->read_ms > at_ms) s->prefill += g->prompt;
}

/* Builds the instance's view: its own sends at once, those of others after age_ms. */
static void local_view(const struct sim *r, struct place_server *s, int instance, double now_ms)
{
	int i;

	for (i = 0; i < r->l->engines; i++)
		s[i] = (struct place_server){
			.usable = 1, .same_dc = 1, .slots = SLOTS, .tokens = MEMORY};
	for (i = r->first; i < r->n; i++) {
		const struct sent *g = &r->sent[i];

		add_known(s, g, g->instance == instance ? now_ms : now_ms - r->l->age_ms);
	}
}

static double rivals(const struct placing_load *l)
{
	double others = (double)(l->instances - 1) / l->instances;

	return l->counts_rivals ? l->per_s * others * l->age_ms / 1000 : 0;
}

static void send(struct sim *r, double now_ms)
{
	struct place_server s[ENGINES_MAX];
	struct sent *g = &r->sent[r->n];
	struct place_job j = {.growth = GROWTH, .rivals = rivals(r->l)};
	double begin_ms, read_ms;

	g->instance = (int)(draw_unit(r) * r->l->instances);
	g->prompt = PROMPT_MIN + (unsigned)(draw_unit(r) * PROMPT_SPREAD);
	local_view(r, s, g->instance, now_ms);
	j.prompt = g->prompt;
	g->engine =
		place_generation(s, r->l->engines, &j, (unsigned)(draw_unit(r) * 4294967295.0));
	begin_ms = fmax(now_ms, r->free_ms[g->engine]);
	read_ms = g->prompt / TOKENS_PER_MS * (g->engine % SLOW_EVERY ? 1 : SLOW_TIMES);
	g->at_ms = now_ms;
	g->waited_ms = begin_ms - now_ms;
	g->read_ms = r->free_ms[g->engine] = begin_ms + read_ms;
	g->end_ms = g->read_ms + (draw_unit(r) < LONG_SHARE ? LONG_MS : SHORT_MS);
	r->n++;
	while (r->first < r->n && r->sent[r->first].at_ms < now_ms - KEEP_MS) r->first++;
}

static int by_wait(const void *a, const void *b)
{
	double x = ((const struct sent *)a)->waited_ms, y = ((const struct sent *)b)->waited_ms;

	return x < y ? -1 : x > y;
}

struct placing_result placing_run(const struct placing_load *l)
{
	struct sim r = {.l = l, .draw = l->seed};
	struct placing_result out = {0};
	int most = (int)(l->per_s * l->seconds * 2), i;
	double now_ms = 0;

	r.sent = calloc(most, sizeof *r.sent);
	while (now_ms < l->seconds * 1000.0 && r.n < most) {
		now_ms += -log(1 - draw_unit(&r)) * 1000 / l->per_s;
		send(&r, now_ms);
	}
	for (i = 0; i < r.n; i++) out.mean_ms += r.sent[i].waited_ms / r.n;
	qsort(r.sent, r.n, sizeof *r.sent, by_wait);
	out.p99_ms = r.sent[(int)(r.n * 0.99)].waited_ms;
	free(r.sent);
	return out;
}
