/* Servers that fall over when they have to reject too many requests in a second, and say how
 * many they bear: all instances together stay below. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <stdlib.h>

#define INSTANCES 6
#define MANY 30        /* more than half of them take part */
#define GOSSIP_MS 4000 /* each of many hears of all others */
#define SERVERS 5
#define ROOM 6     /* runs at once at one server */
#define WORK_MS 50 /* of a run: a server answers 120 requests a second */
#define BEARS 10   /* rejections in a second */
#define BRITTLE "Server-Brittle: 10\r\n"
#define NOTICE_MS 1500 /* from the notice until servers are checked */
#define LOAD_MS 4000
#define DEADLINE_MS 600
#define REFUSED_AT_ONCE_MS 100

static struct pw_entry *e[MANY]; /* of many, those that the directory names */
static int instances;
static struct pw_server *s[SERVERS];
static GPtrArray *calls;

static void start_many(int n)
{
	int i, k;

	pw_init();
	calls = g_ptr_array_new();
	for (i = 0; i < SERVERS; i++) {
		s[i] = pw_server_add("app", 0);
		s[i]->work_ms = WORK_MS;
		s[i]->room = ROOM;
	}
	for (i = 0; i < n; i++) e[i] = pw_entry_start();
	for (i = 0; i < n; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	pw_run(n > INSTANCES ? GOSSIP_MS : 1600);
	for (i = k = 0; i < n; i++)
		if (n == INSTANCES || pw_metric(e[i], "saddlehead_active") > 0) e[k++] = e[i];
	instances = k;
	CU_ASSERT(instances >= n / 2);
}

static void start(void)
{
	start_many(INSTANCES);
}

static void finish(void)
{
	g_ptr_array_free(calls, TRUE);
	pw_end();
}

/* So many calls per 5 ms; returns how many. */
static uint32_t load(int per_step, int ms)
{
	int64_t until = clock_us() + ms * 1000LL;
	int i;

	g_ptr_array_set_size(calls, 0);
	while (clock_us() < until) {
		for (i = 0; i < per_step; i++)
			g_ptr_array_add(calls, pw_request(e[g_random_int_range(0, instances)],
							  "POST", "/safe/", DEADLINE_MS));
		pw_run(5);
	}
	for (i = 0; i < (int)calls->len; i++)
		pw_call_wait(g_ptr_array_index(calls, i), 2 * DEADLINE_MS);
	return calls->len;
}

static uint32_t count_served(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < calls->len; i++)
		n += ((struct pw_call *)g_ptr_array_index(calls, i))->status == 200;
	return n;
}

static void set_brittle(const char *fields)
{
	int i;

	for (i = 0; i < SERVERS; i++) s[i]->extra_fields = fields;
}

static int max_rejections(int64_t from_us)
{
	int i, most = 0;

	for (i = 0; i < SERVERS; i++)
		most = MAX(most, pw_server_max_rejections(s[i], from_us, 1000));
	return most;
}

/* Full servers were asked again ten times a second by each instance. */
static void fill(int entries)
{
	uint32_t n, served;
	int64_t from;
	int most;

	start_many(entries);
	set_brittle(BRITTLE);
	load(1, NOTICE_MS);
	from = clock_us();
	n = load(6, LOAD_MS); /* twice what they can answer */
	served = count_served();
	most = max_rejections(from);
	printf("%d instances: %u of %u served, %d rejections in a second at most\n", instances,
	       served, n, most);
	CU_ASSERT(most <= BEARS);
	/* Four fifths of what the servers could answer in that time. */
	CU_ASSERT(served >= (uint32_t)(SERVERS * ROOM * (LOAD_MS / WORK_MS) * 4 / 5));
	finish();
}

static void full_servers_that_are_brittle_reject_few(void)
{
	fill(INSTANCES);
}

/* Each instance had to be rejected itself before it knew that there was no room. */
static void full_servers_that_are_brittle_reject_few_of_many_instances(void)
{
	fill(MANY);
}

#define FEW_CALLS 150
#define FEW_EACH_MS 20 /* some two or three run at once, of thirty that have room */
#define SOON_MS 250    /* of work and waiting */

/* Instances that have no part of any server's slots use free places, and need not wait long. */
static void where_there_is_room_nobody_waits_long(void)
{
	struct pw_call *c[FEW_CALLS];
	int i, served = 0, late = 0;

	start_many(MANY);
	set_brittle(BRITTLE);
	load(1, NOTICE_MS);
	pw_run(1000);
	for (i = 0; i < FEW_CALLS; i++) {
		c[i] = pw_request(e[i % instances], "POST", "/safe/", DEADLINE_MS);
		pw_run(FEW_EACH_MS);
	}
	for (i = 0; i < FEW_CALLS; i++) {
		pw_call_wait(c[i], 2 * DEADLINE_MS);
		served += c[i]->status == 200;
		late += c[i]->ended_us - c[i]->began_us > SOON_MS * 1000;
	}
	fprintf(stderr, "%d of %d served, %d late\n", served, FEW_CALLS, late);
	CU_ASSERT_EQUAL(served, FEW_CALLS);
	CU_ASSERT(late * 20 <= FEW_CALLS);
	finish();
}

/* What can't be placed is refused soon, with the time to come back. */
static void what_brittle_servers_have_no_room_for_is_refused_at_once(void)
{
	uint32_t i, late = 0, untold = 0;

	start();
	set_brittle(BRITTLE);
	load(1, NOTICE_MS);
	load(6, LOAD_MS);
	for (i = 0; i < calls->len; i++) {
		const struct pw_call *c = g_ptr_array_index(calls, i);

		if (c->status == 200) continue;
		late += c->ended_us - c->began_us > DEADLINE_MS * 1000;
		untold += !c->retry_after[0];
	}
	CU_ASSERT_EQUAL(late, 0);
	CU_ASSERT_EQUAL(untold, 0);
	finish();
}

/* Their room may get smaller than their slots, which no instance is told. */
static void shrink(int entries)
{
	int64_t from;
	int i, most;

	start_many(entries);
	set_brittle(BRITTLE);
	load(1, NOTICE_MS);
	from = clock_us();
	for (i = 0; i < SERVERS; i++) s[i]->room = 2;
	load(4, LOAD_MS);
	most = max_rejections(from);
	printf("%d instances: %u served, %d rejections in a second at most\n", instances,
	       count_served(), most);
	CU_ASSERT(most <= BEARS);
	CU_ASSERT(count_served() >= (uint32_t)(SERVERS * 2 * (LOAD_MS / WORK_MS) * 4 / 5));
	finish();
}

static void brittle_servers_whose_room_shrinks_reject_few(void)
{
	shrink(INSTANCES);
}

static void brittle_servers_whose_room_shrinks_reject_few_of_many_instances(void)
{
	shrink(MANY);
}

/* The notice in any answer counts, and ends with an answer without it. */
static void it_lasts_as_long_as_they_say_so(void)
{
	int i, known = 0;

	start();
	set_brittle(BRITTLE);
	load(1, NOTICE_MS);
	for (i = 0; i < INSTANCES; i++) known += pw_log_has(e[i], "backend_brittle");
	CU_ASSERT_EQUAL(known, INSTANCES);
	set_brittle(NULL);
	load(1, NOTICE_MS);
	for (i = 0, known = 0; i < INSTANCES; i++)
		known += pw_log_has(e[i], "\"per_s\":\"any\"");
	CU_ASSERT_EQUAL(known, INSTANCES);
	finish();
}

#define EVENTS 400 /* of a stream, longer than the test */

/* Two instances and one engine, which runs a stream of the first one. */
static struct pw_call *start_stream(void)
{
	struct pw_call *c;
	int i;

	pw_init();
	s[0] = pw_server_add("llm", 1);
	s[0]->events = EVENTS;
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	c = pw_request(e[0], "POST", "/chat/", 9000);
	pw_run(500);
	return c;
}

static void both_know_it(void)
{
	int i;

	for (i = 0; i < 2; i++) CU_ASSERT(pw_log_has(e[i], "backend_brittle"));
}

static void the_head_of_a_stream_says_it(void)
{
	struct pw_call *c = start_stream(), *second;

	s[0]->extra_fields = BRITTLE;
	second = pw_request(e[0], "POST", "/chat/", 9000);
	pw_run(300);
	both_know_it();
	pw_call_cancel(c);
	pw_call_cancel(second);
	pw_end();
}

static void a_rejection_says_it(void)
{
	struct pw_call *c = start_stream(), *second;

	s[0]->extra_fields = BRITTLE;
	s[0]->mode = PW_FULL;
	second = pw_request(e[0], "POST", "/chat/", 500);
	pw_run(300);
	both_know_it();
	pw_call_cancel(c);
	pw_call_wait(second, 1000);
	pw_end();
}

/* Engines are asked for them while the store does not answer. */
static void a_health_check_says_it(void)
{
	struct pw_call *c = start_stream();

	pw_store.mode = PW_STORE_BUSY;
	s[0]->extra_fields = BRITTLE;
	pw_run(2000);
	CU_ASSERT(s[0]->checks > 0);
	both_know_it();
	pw_call_cancel(c);
	pw_end();
}

static void a_report_says_it(void)
{
	struct pw_call *c = start_stream();

	pw_store.mode = PW_STORE_SILENT;
	while (!s[0]->reports) pw_run(5);
	s[0]->extra_fields = BRITTLE;
	pw_run(500);
	both_know_it();
	pw_call_cancel(c);
	pw_end();
}

/* The engine that is told to fetch a stream's memory says it with the order's answer. */
static void the_answer_to_a_copy_order_says_it(void)
{
	struct pw_call *c = start_stream();
	struct pw_server *second;

	second = pw_server_new("llm", 1);
	second->events = EVENTS;
	second->extra_fields = BRITTLE;
	pw_server_list(second, "ready");
	pw_run(100);
	pw_server_list(s[0], "draining");
	pw_run(1000);
	CU_ASSERT(second->copies > 0);
	CU_ASSERT_EQUAL(second->arrivals, second->copies);
	both_know_it();
	pw_call_cancel(c);
	pw_end();
}

static const struct check list[] = {
	{"the_head_of_a_stream_says_it", the_head_of_a_stream_says_it},
	{"a_rejection_says_it", a_rejection_says_it},
	{"a_health_check_says_it", a_health_check_says_it},
	{"a_report_says_it", a_report_says_it},
	{"the_answer_to_a_copy_order_says_it", the_answer_to_a_copy_order_says_it},
	{"where_there_is_room_nobody_waits_long", where_there_is_room_nobody_waits_long},
	{"full_servers_that_are_brittle_reject_few", full_servers_that_are_brittle_reject_few},
	{"full_servers_that_are_brittle_reject_few_of_many_instances",
	 full_servers_that_are_brittle_reject_few_of_many_instances},
	{"brittle_servers_whose_room_shrinks_reject_few_of_many_instances",
	 brittle_servers_whose_room_shrinks_reject_few_of_many_instances},
	{"what_brittle_servers_have_no_room_for_is_refused_at_once",
	 what_brittle_servers_have_no_room_for_is_refused_at_once},
	{"brittle_servers_whose_room_shrinks_reject_few",
	 brittle_servers_whose_room_shrinks_reject_few},
	{"it_lasts_as_long_as_they_say_so", it_lasts_as_long_as_they_say_so},
};
CHECK_MAIN(list)
