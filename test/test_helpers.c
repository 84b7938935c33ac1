/* Which instances help one that has lost its path to servers: data centres, regions, drains,
 * and helpers that lose their own path. */
#include "check.h"
#include "clock.h"
#include "partition.h"
#include "pw.h"
#include <signal.h>

#define CONNECT_MS 900   /* instances connect to each other */
#define FIND_OUT_MS 2000 /* from the loss of the path until requests are counted */
#define CALLS 20         /* at each instance */
#define CALL_EACH_MS 10
#define DEADLINE_MS 1500
#define INSTANCES_MAX 6
/* Data centres a and c are in one region, b in another one. */
#define REGIONS "zones.a=r\nzones.b=q\nzones.c=r\n"
#define IN_A "zone=a\n"
#define IN_B "zone=b\n"
#define IN_C "zone=c\n"

static struct pw_entry *e[INSTANCES_MAX];
static int instances;

/* Starts an instance with each of these settings, up to the first NULL. */
static void start(const char *const *settings)
{
	int i;

	for (i = 0; i < INSTANCES_MAX && settings[i]; i++) {
		pw_settings(settings[i]);
		e[i] = pw_entry_start();
	}
	instances = i;
	for (i = 0; i < instances; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	pw_run(CONNECT_MS);
}

static void begin(void)
{
	pw_init();
	pw_entry_program = "test/entry_jump";
}

static void finish(void)
{
	pw_end();
	pw_entry_program = "saddlehead-entry";
}

static void set_path(struct pw_entry *one, enum partition p)
{
	union sigval v = {.sival_int = PARTITION_VALUE(p, 0)};

	sigqueue(one->pid, SIGUSR1, v);
}

/* Calls at each of the first n instances in turn; how many were not served. */
static int not_served(int n)
{
	struct pw_call *c[CALLS * INSTANCES_MAX];
	int i, failed = 0;

	for (i = 0; i < CALLS * n; i++) {
		c[i] = pw_request(e[i % n], "POST", "/safe/", DEADLINE_MS);
		pw_run(CALL_EACH_MS);
	}
	for (i = 0; i < CALLS * n; i++) {
		pw_call_wait(c[i], 2 * DEADLINE_MS);
		if (c[i]->status == 200) continue;
		failed++;
		fprintf(stderr, "call %d at %s: status %d after %.0f ms\n", i, e[i % n]->ip,
			c[i]->status, (c[i]->ended_us - c[i]->began_us) / 1e3);
	}
	return failed;
}

static double tunnels_served(int i)
{
	return pw_metric(e[i], "saddlehead_tunnels_served_total");
}

static void all_of_a_data_centre_are_served_through_another(void)
{
	static const char *const places[INSTANCES_MAX] = {IN_A, IN_A, IN_A, IN_B, IN_B, IN_B};
	int i;

	begin();
	for (i = 0; i < 2; i++) pw_server_add_in("app", 0, "a");
	pw_server_add_in("app", 0, "b");
	start(places);
	CU_ASSERT_EQUAL(not_served(instances), 0);
	for (i = 0; i < 3; i++) set_path(e[i], PARTITION_SILENT);
	not_served(instances);
	pw_run(FIND_OUT_MS);
	CU_ASSERT_EQUAL(not_served(instances), 0);
	CU_ASSERT(tunnels_served(3) + tunnels_served(4) + tunnels_served(5) > 0);
	finish();
}

static void the_nearest_help(void)
{
	static const char *const places[INSTANCES_MAX] = {IN_A, IN_A, IN_C, IN_C, NULL};

	begin();
	pw_server_add_in("app", 0, "a");
	pw_server_add_in("app", 0, "a");
	start(places);
	set_path(e[0], PARTITION_SILENT);
	not_served(1);
	CU_ASSERT_EQUAL(not_served(1), 0);
	CU_ASSERT(tunnels_served(1) >= CALLS);
	CU_ASSERT(tunnels_served(2) + tunnels_served(3) < tunnels_served(1) / 2);
	finish();
}

static void those_in_a_drained_data_centre_do_not_help(void)
{
	static const char *const places[INSTANCES_MAX] = {IN_A, IN_B, IN_B, IN_C, NULL};

	begin();
	pw_server_add_in("app", 0, "a");
	pw_server_add_in("app", 0, "a");
	start(places);
	pw_store_put("op/evacuate/b", "{}");
	pw_run(FIND_OUT_MS);
	set_path(e[0], PARTITION_SILENT);
	not_served(1);
	CU_ASSERT_EQUAL(not_served(1), 0);
	CU_ASSERT_EQUAL(tunnels_served(1) + tunnels_served(2), 0);
	CU_ASSERT(tunnels_served(3) > 0);
	finish();
}

/* A request may be bound to the region. */
static void those_in_a_third_region_do_not_help(void)
{
	static const char *const places[INSTANCES_MAX] = {
		REGIONS IN_A, REGIONS IN_B "region=q\n", REGIONS IN_B "region=q\n",
		REGIONS IN_C, NULL};

	begin();
	pw_settings(REGIONS);
	pw_server_add_in("app", 0, "a");
	pw_server_add_in("app", 0, "c");
	start(places);
	set_path(e[0], PARTITION_SILENT);
	not_served(1);
	CU_ASSERT_EQUAL(not_served(1), 0);
	CU_ASSERT_EQUAL(tunnels_served(1) + tunnels_served(2), 0);
	CU_ASSERT(tunnels_served(3) > 0);
	set_path(e[3], PARTITION_SILENT);
	pw_run(FIND_OUT_MS);
	CU_ASSERT(not_served(1) > 0); /* rather than by way of the other region */
	CU_ASSERT_EQUAL(tunnels_served(1) + tunnels_served(2), 0);
	finish();
}

/* Streams that lead through it go on from their engines' memory, by another way. */
static void streams_outlive_a_helper_that_loses_its_path(void)
{
	static const char *const places[INSTANCES_MAX] = {IN_A, IN_A, IN_A, IN_A, NULL};
	struct pw_call *c[4];
	int i, cut = 0;

	begin();
	for (i = 0; i < 3; i++) {
		struct pw_server *s = pw_server_add("llm", 1);

		s->events = 300;
		s->event_ms = 10;
	}
	start(places);
	set_path(e[0], PARTITION_SILENT);
	pw_call_wait(pw_request(e[0], "POST", "/chat/", DEADLINE_MS), 2 * DEADLINE_MS);
	pw_run(FIND_OUT_MS);
	for (i = 0; i < 4; i++) c[i] = pw_request(e[0], "POST", "/chat/", 9000);
	pw_run(700);
	for (i = 1; i < instances && !cut; i++) {
		if (!pw_metric(e[i], "saddlehead_tunnels_open")) continue;
		set_path(e[i], PARTITION_SILENT);
		cut = i;
	}
	CU_ASSERT(cut > 0);
	for (i = 0; i < 4; i++) {
		CU_ASSERT(pw_call_wait(c[i], 9000));
		CU_ASSERT(pw_stream_complete(c[i], 300));
	}
	finish();
}

static const struct check list[] = {
	{"all_of_a_data_centre_are_served_through_another",
	 all_of_a_data_centre_are_served_through_another},
	{"the_nearest_help", the_nearest_help},
	{"those_in_a_drained_data_centre_do_not_help",
	 those_in_a_drained_data_centre_do_not_help},
	{"those_in_a_third_region_do_not_help", those_in_a_third_region_do_not_help},
	{"streams_outlive_a_helper_that_loses_its_path",
	 streams_outlive_a_helper_that_loses_its_path},
};
CHECK_MAIN(list)
