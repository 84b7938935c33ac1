/* Measures the cost of placing a generation, and how long prompts wait if many instances decide
 * by loads of a known age. */
#include "be.h"
#include "be_ring.h"
#include "clock.h"
#include "crowding.h"
#include "placing.h"
#include <saddlehead/place.h>
#include <stdio.h>

#define ROUNDS 20000

static void cost(int engines)
{
	static struct place_server s[PLACE_SERVERS_MAX];
	struct place_job j = {3000, 400, 1.0};
	int64_t from;
	int i, sum = 0;

	for (i = 0; i < engines; i++)
		s[i] = (struct place_server){.usable = 1,
					     .slots = 24,
					     .tokens = 33640,
					     .runs = i % 7,
					     .used = 900 * (i % 7),
					     .prefill = 1000 * (i % 3)};
	from = clock_us();
	for (i = 0; i < ROUNDS; i++) {
		s[i % engines].runs = i % 7;
		sum += place_generation(s, engines, &j, (uint32_t)i * 2654435761u);
	}
	printf("place_%d_engines_us %.2f\n", engines,
	       (double)(clock_us() - from) / ROUNDS + (sum < 0));
}

static void table(double per_s)
{
	static const double ages_ms[] = {0, 2, 5, 10, 20, 50, 100, 200, 500};
	static const int instances[] = {6, 16, 60, 300};
	struct placing_load l = {.engines = 122, .per_s = per_s, .seconds = 30, .seed = 5};
	size_t a, k;

	printf("# %.0f generations a second: ms that a prompt waits, mean and p99; "
	       "cheapest | drawn by rivals\n",
	       per_s);
	for (a = 0; a < sizeof ages_ms / sizeof *ages_ms; a++) {
		printf("# age %3.0f ms:", ages_ms[a]);
		for (k = 0; k < sizeof instances / sizeof *instances; k++) {
			struct placing_result plain, drawn;

			l.age_ms = ages_ms[a];
			l.instances = instances[k];
			l.counts_rivals = 0;
			plain = placing_run(&l);
			l.counts_rivals = 1;
			drawn = placing_run(&l);
			printf("  %3d: %4.0f %5.0f | %3.0f %4.0f", instances[k], plain.mean_ms,
			       plain.p99_ms, drawn.mean_ms, drawn.p99_ms);
		}
		printf("\n");
	}
}

static void crowd(int counts_inbound, int waits)
{
	struct crowding_load l = {.engines = 72,
				  .seconds = 30,
				  .long_per_s = 38,
				  .short_per_s = 74,
				  .seed = 1,
				  .counts_inbound = counts_inbound,
				  .waits = waits};
	struct crowding_result r = crowding_run(&l);

	printf("# engines leave, memory binds; moves counted %d, waits %d: of %d long streams "
	       "%d late; %d runs put off, %d refused\n",
	       counts_inbound, waits, r.long_streams, r.late, r.preempted, r.refused);
}

/* ---- selection among the servers of a large fleet ---- */

#define FLEET 10000
#define DATA_CENTRES 6

struct candidates {
	struct place_server s[PLACE_SERVERS_MAX];
	int64_t now;
	int n;
};

static int consider(struct be *b, void *arg)
{
	struct candidates *c = arg;

	c->s[c->n] = (struct place_server){.usable = be_usable(b, c->now),
					   .same_dc = b->dc[1] == '0',
					   .slots = b->slots,
					   .runs = b->own.runs + b->others.runs,
					   .tokens = 33640};
	c->n += c->s[c->n].usable;
	return c->n < PLACE_SERVERS_MAX;
}

static void list_fleet(void)
{
	char id[16], dc[8], address[32];
	struct be_info info = {.id = id,
			       .service = "llm",
			       .dc = dc,
			       .address = address,
			       .version = "v1",
			       .slots = 24};
	int i;

	for (i = 0; i < FLEET; i++) {
		snprintf(id, sizeof id, "i-%d", i);
		snprintf(dc, sizeof dc, "z%d", i % DATA_CENTRES);
		snprintf(address, sizeof address, "10.%d.%d.%d:80", i >> 16, i >> 8 & 255,
			 i & 255);
		be_update(&info);
	}
}

static void choice(void)
{
	static struct candidates c;
	struct place_job j = {3000, 400, 1.0};
	int64_t from;
	int i, sum = 0;

	list_fleet();
	from = clock_us();
	for (i = 0; i < ROUNDS; i++) {
		c.n = 0;
		c.now = from;
		be_walk("llm", "z0", (uint32_t)i * 2654435761u, consider, &c);
		sum += place_generation(c.s, c.n, &j, (uint32_t)i);
	}
	printf("choice_of_%d_servers_us %.2f\n", FLEET,
	       (double)(clock_us() - from) / ROUNDS + (sum < 0));
}

int main(void)
{
	int m;

	cost(125);
	cost(PLACE_SERVERS_MAX);
	choice();
	table(160);
	table(320);
	for (m = 0; m < 4; m++) crowd(m & 1, m >> 1);
	return 0;
}
