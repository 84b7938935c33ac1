/* The ring order of servers in a large fleet: each instance scans some servers, and all
 * instances together scan all of them. */
#include "be.h"
#include "be_incarnation.h"
#include "be_ring.h"
#include "check.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 10000
#define DATA_CENTRES 6
#define INSTANCES 985
#define VISITS 128 /* by one instance for one choice */

static int counts[SERVERS];

static void list_servers(void)
{
	char id[16], dc[8], address[32];
	struct be_info info = {
		.id = id, .service = "llm", .dc = dc, .address = address, .slots = 24};
	int i;

	if (be_all()->len) return;
	for (i = 0; i < SERVERS; i++) {
		snprintf(id, sizeof id, "i-%05d", i);
		snprintf(dc, sizeof dc, "z%d", i * DATA_CENTRES / SERVERS);
		snprintf(address, sizeof address, "10.%d.%d.%d:80", i >> 16, i >> 8 & 255,
			 i & 255);
		be_update(&info);
	}
}

static int number_of(const struct be *b)
{
	return atoi(b->id + 2);
}

struct walk {
	int n, max, local;
	int (*usable)(const struct be *b);
};

static int visit(struct be *b, void *arg)
{
	struct walk *l = arg;

	if (l->usable && !l->usable(b)) return 1;
	counts[number_of(b)]++;
	l->local += b->dc[1] == '2';
	return ++l->n < l->max;
}

static uint32_t hash_of_instance(int i)
{
	char ip[16];

	snprintf(ip, sizeof ip, "10.0.%d.%d", i >> 8, i & 255);
	return g_str_hash(ip) * 2654435761u;
}

static int count_visited(void)
{
	int i, n = 0;

	for (i = 0; i < SERVERS; i++) n += counts[i] > 0;
	return n;
}

static void walk_all(const char *dc, int (*usable)(const struct be *b))
{
	int i;

	memset(counts, 0, sizeof counts);
	for (i = 0; i < INSTANCES; i++) {
		struct walk l = {.max = VISITS, .usable = usable};

		be_walk("llm", dc, hash_of_instance(i), visit, &l);
		CU_ASSERT_EQUAL(l.n, VISITS);
	}
}

static void each_looks_at_near_ones_first(void)
{
	struct walk l = {.max = VISITS};

	list_servers();
	be_walk("llm", "z2", hash_of_instance(1), visit, &l);
	CU_ASSERT_EQUAL(l.local, VISITS);
}

/* No server is left out because of its position, and none is visited by a quarter of the
 * instances. */
static void each_server_is_looked_at_by_somebody(void)
{
	char dc[8];
	int d, i, max = 0, n = 0;

	list_servers();
	for (d = 0; d < DATA_CENTRES; d++) {
		snprintf(dc, sizeof dc, "z%d", d);
		walk_all(dc, NULL);
		n += count_visited();
		for (i = 0; i < SERVERS; i++) max = MAX(max, counts[i]);
	}
	CU_ASSERT_EQUAL(n, SERVERS);
	CU_ASSERT(max < INSTANCES / 4);
}

static int beyond_the_first(const struct be *b)
{
	return number_of(b) >= 1024;
}

static int in_another_data_centre(const struct be *b)
{
	return b->dc[1] != '2';
}

static int last_one(const struct be *b)
{
	return number_of(b) == SERVERS - 1;
}

/* The servers that come first, or those of a data centre, can't be used: others are found. */
static void what_is_away_is_looked_past(void)
{
	struct walk l = {.max = VISITS, .usable = last_one};

	list_servers();
	walk_all("z0", beyond_the_first);
	walk_all("z2", in_another_data_centre);
	CU_ASSERT(count_visited() > SERVERS / 2);
	be_walk("llm", "z0", hash_of_instance(7), visit, &l);
	CU_ASSERT_EQUAL(l.n, 1);
}

static void what_is_forgotten_is_not_shown(void)
{
	struct walk before = {.max = SERVERS}, after = {.max = SERVERS};
	struct be *b;

	list_servers();
	be_walk("llm", "z0", hash_of_instance(3), visit, &before);
	b = be_find("i-00007");
	be_end_incarnation(b, "a test");
	be_walk("llm", "z0", hash_of_instance(3), visit, &after);
	CU_ASSERT_EQUAL(after.n, before.n - 1);
	be_walk("nothing", "z0", hash_of_instance(3), visit, &after);
	CU_ASSERT_EQUAL(after.n, before.n - 1);
}

/* More incarnations end than there are records: the newest are kept. */
static void late_word_of_many_lives_is_known_for_what_it_is(void)
{
	char id[16];
	int i;

	for (i = 0; i < 3000; i++) {
		snprintf(id, sizeof id, "l-%d", i);
		be_incarnation_end(id, 100);
	}
	CU_ASSERT(be_incarnation_ended("l-2999", 100));
	CU_ASSERT(be_incarnation_ended("l-2500", 100));
	CU_ASSERT(!be_incarnation_ended("l-2999", 101));
}

static const struct check list[] = {
	{"late_word_of_many_lives_is_known_for_what_it_is",
	 late_word_of_many_lives_is_known_for_what_it_is},
	{"each_looks_at_near_ones_first", each_looks_at_near_ones_first},
	{"each_server_is_looked_at_by_somebody", each_server_is_looked_at_by_somebody},
	{"what_is_away_is_looked_past", what_is_away_is_looked_past},
	{"what_is_forgotten_is_not_shown", what_is_forgotten_is_not_shown},
};

CHECK_MAIN(list)
