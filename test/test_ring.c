/* Servers of a large fleet as instances look at them: each at some, all of them at all. */
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
#define LOOKS 128 /* of one instance at one choice */

static int counts[SERVERS];

static void list_servers(void)
{
	char id[16], zone[8], address[32];
	struct be_info info = {
		.id = id, .service = "llm", .zone = zone, .address = address, .slots = 24};
	int i;

	if (be_all()->len) return;
	for (i = 0; i < SERVERS; i++) {
		snprintf(id, sizeof id, "i-%05d", i);
		snprintf(zone, sizeof zone, "z%d", i * DATA_CENTRES / SERVERS);
		snprintf(address, sizeof address, "10.%d.%d.%d:80", i >> 16, i >> 8 & 255,
			 i & 255);
		be_update(&info);
	}
}

static int number_of(const struct be *b)
{
	return atoi(b->id + 2);
}

struct look {
	int n, most, near;
	int (*usable)(const struct be *b);
};

static int see(struct be *b, void *arg)
{
	struct look *l = arg;

	if (l->usable && !l->usable(b)) return 1;
	counts[number_of(b)]++;
	l->near += b->zone[1] == '2';
	return ++l->n < l->most;
}

static uint32_t instance(int i)
{
	char ip[16];

	snprintf(ip, sizeof ip, "10.0.%d.%d", i >> 8, i & 255);
	return g_str_hash(ip) * 2654435761u;
}

static int seen(void)
{
	int i, n = 0;

	for (i = 0; i < SERVERS; i++) n += counts[i] > 0;
	return n;
}

static void look_all(const char *zone, int (*usable)(const struct be *b))
{
	int i;

	memset(counts, 0, sizeof counts);
	for (i = 0; i < INSTANCES; i++) {
		struct look l = {.most = LOOKS, .usable = usable};

		be_walk("llm", zone, instance(i), see, &l);
		CU_ASSERT_EQUAL(l.n, LOOKS);
	}
}

static void each_looks_at_near_ones_first(void)
{
	struct look l = {.most = LOOKS};

	list_servers();
	be_walk("llm", "z2", instance(1), see, &l);
	CU_ASSERT_EQUAL(l.near, LOOKS);
}

/* None is spared for its place in a list, and none is what all look at. */
static void each_server_is_looked_at_by_somebody(void)
{
	char zone[8];
	int d, i, most = 0, n = 0;

	list_servers();
	for (d = 0; d < DATA_CENTRES; d++) {
		snprintf(zone, sizeof zone, "z%d", d);
		look_all(zone, NULL);
		n += seen();
		for (i = 0; i < SERVERS; i++) most = MAX(most, counts[i]);
	}
	CU_ASSERT_EQUAL(n, SERVERS);
	CU_ASSERT(most < INSTANCES / 4);
}

static int beyond_the_first(const struct be *b)
{
	return number_of(b) >= 1024;
}

static int in_another_data_centre(const struct be *b)
{
	return b->zone[1] != '2';
}

static int last_one(const struct be *b)
{
	return number_of(b) == SERVERS - 1;
}

/* Those that come first are away, or full, or a data centre's are: the rest is found. */
static void what_is_away_is_looked_past(void)
{
	struct look l = {.most = LOOKS, .usable = last_one};

	list_servers();
	look_all("z0", beyond_the_first);
	look_all("z2", in_another_data_centre);
	CU_ASSERT(seen() > SERVERS / 2);
	be_walk("llm", "z0", instance(7), see, &l);
	CU_ASSERT_EQUAL(l.n, 1);
}

static void what_is_forgotten_is_not_shown(void)
{
	struct look before = {.most = SERVERS}, after = {.most = SERVERS};
	struct be *b;

	list_servers();
	be_walk("llm", "z0", instance(3), see, &before);
	b = be_find("i-00007");
	be_end_incarnation(b, "a test");
	be_walk("llm", "z0", instance(3), see, &after);
	CU_ASSERT_EQUAL(after.n, before.n - 1);
	be_walk("nothing", "z0", instance(3), see, &after);
	CU_ASSERT_EQUAL(after.n, before.n - 1);
}

/* More servers begin a new life than are remembered: the newest are. */
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
