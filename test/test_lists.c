/* What instances know of the platform's lists from the store and from each other. */
#include "check.h"
#include "pw.h"
#include <string.h>

#define NOBODY_HOST 199 /* no instance stands there */
/* All have heard each other, and whoever is to watch does; lists are not yet read once more. */
#define HEARD_MS 400
#define SLOW_MS 20    /* the one that goes is the quickest */
#define LISTED_MS 150 /* it has listed, and waits for others before it watches */

/* Instances that start from now on know of this one, on a link of so many Mbit/s. */
static void next_seed(const char *ip, int link_mbps)
{
	static char lines[128];

	g_snprintf(lines, sizeof lines,
		   "seedNodes=%s:1\nlimits.linkMbps=%d\nfirstStart=false\n", ip, link_mbps);
	pw_settings(lines);
}

static void no_call_goes_to(struct pw_entry *e, struct pw_server *gone)
{
	int i;

	gone->arrivals = 0;
	for (i = 0; i < 10; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(gone->arrivals, 0);
}

/* Two servers, an instance that has listed both, and the first is gone from the list then. */
static struct pw_entry *lists_before_one_goes(struct pw_server **gone, int link_mbps)
{
	struct pw_entry *e;

	pw_init();
	*gone = pw_server_add("app", 0);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	next_seed(pw_ip(NOBODY_HOST), link_mbps);
	e = pw_entry_start();
	pw_run(LISTED_MS);
	pw_server_unlist(*gone);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	return e;
}

/* It had listed before the change, and watched from the other's listing after it. */
static void the_listing_of_another_hides_no_change(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 1000);

	next_seed(e->ip, 1000);
	pw_entry_start();
	pw_run(HEARD_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

/* Those that watch for it had not known what went before they started. */
static void one_that_never_watches_hears_of_what_went_before_others_started(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 10);
	int i;

	next_seed(e->ip, 1000);
	for (i = 0; i < 3; i++) pw_entry_start();
	pw_run(HEARD_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

#define PAGE 50
/* One asks whether the configuration is the newest, two list a page each, one asks what
 * changed: once in 0.9 s at the soonest. */
#define CALLS_A_TURN 4
#define TURN_MS 900

/* Entries of servers that nobody asks, which come before those that are. */
static void list_idle_servers(int n)
{
	char key[32], value[320];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(key, sizeof key, "servers/a-%04d", i);
		g_snprintf(value, sizeof value,
			   "{\"service\":\"idle\",\"address\":\"%s:%d\",\"zone\":\"a\","
			   "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}",
			   pw_server_ip(), 20000 + i);
		pw_store_put(key, value);
	}
}

static void what_checks_cost_does_not_grow_with_the_list(void)
{
	int pages;

	for (pages = 1; pages <= 16; pages *= 4) {
		pw_init();
		pw_store.page = PAGE;
		list_idle_servers(PAGE * pages);
		pw_server_add("app", 0);
		pw_entry_ready();
		pw_run(1000);
		pw_store.calls = 0;
		pw_run(4 * TURN_MS);
		CU_ASSERT(pw_store.calls <= 5 * CALLS_A_TURN);
		pw_end();
	}
}

/* Watches and glances say nothing; the page on which it stood is listed once more. */
static void silent_watches_hide_nothing_of_a_long_list_for_long(void)
{
	struct pw_server *gone;
	struct pw_entry *e;

	pw_init();
	pw_store.page = PAGE;
	list_idle_servers(PAGE * 3);
	gone = pw_server_add("app", 0);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	e = pw_entry_ready();
	pw_run(1000);
	pw_store.watches_silent = 1;
	pw_server_unlist(gone);
	pw_run(5000); /* two turns of 1.8 s at the most, and some way */
	no_call_goes_to(e, gone);
	pw_end();
}

/* An instance of data centre b, which knows those that started before it. */
static struct pw_entry *start_in_b(const struct pw_entry *seed)
{
	static char lines[128];

	g_snprintf(lines, sizeof lines, "zone=b\nseedNodes=%s:1\nfirstStart=false\n", seed->ip);
	pw_settings(lines);
	return pw_entry_ready();
}

/* Whether e took a list from the other one, by its log. */
static int took_from(struct pw_entry *e, const struct pw_entry *other)
{
	char text[64];

	g_snprintf(text, sizeof text, "\"lists_fetched\",\"from\":\"e%s\"",
		   strrchr(other->ip, '.') + 1);
	return pw_log_has(e, text);
}

/* The same within some seconds. */
static int takes_from(struct pw_entry *e, const struct pw_entry *other)
{
	int i;

	for (i = 0; i < 12; i++)
		if (took_from(e, other)) return 1;
	return 0;
}

/* One of each data centre has the list; whoever starts takes it from the near one, and asks the
 * store for no more than its first page. */
static void a_long_list_is_had_from_the_own_data_centre(void)
{
	struct pw_entry *e[3];

	pw_init();
	pw_store.page = PAGE;
	list_idle_servers(PAGE * 8);
	pw_server_add("app", 0);
	e[0] = pw_entry_ready();
	pw_run(500);
	e[1] = start_in_b(e[0]);
	CU_ASSERT(takes_from(e[1], e[0]));
	pw_store.listings = 0;
	e[2] = start_in_b(e[0]);
	pw_run(600);
	/* Its own of both lists, one for instances, and two turns of two pages. */
	CU_ASSERT(pw_store.listings <= 7);
	CU_ASSERT(takes_from(e[2], e[1]));
	CU_ASSERT(!took_from(e[2], e[0]));
	CU_ASSERT_EQUAL(pw_status_of_key(e[2], "k1"), 200);
	pw_end();
}

/* Nobody has it: those that watch list it whole. */
static void a_long_list_that_nobody_has_is_read_from_the_store(void)
{
	struct pw_entry *e[2];
	int i;

	pw_init();
	pw_store.page = PAGE;
	list_idle_servers(PAGE * 8);
	pw_server_add("zzz", 0); /* on the last page, as its key says */
	pw_settings("firstStart=false\n");
	for (i = 0; i < 2; i++) e[i] = pw_entry_start();
	pw_run(2500);
	for (i = 0; i < 2; i++) CU_ASSERT(pw_log_has(e[i], "list_read"));
	pw_end();
}

#define IDLE_MS 3000
#define MORE_MOST_S \
	(IDLE_MS / 1000 * .002) /* of a core's time: a thousandth is a page's reading */

/* Processor time of an instance that does nothing, in seconds. */
static double idle_cpu_s(int pages)
{
	static const char name[] = "saddlehead_process_cpu_seconds_total";
	struct pw_entry *e;
	double before, after;

	pw_init();
	pw_store.page = PAGE;
	list_idle_servers(PAGE * pages);
	e = pw_entry_ready();
	pw_run(3000); /* until all of the list is read */
	before = pw_metric(e, name);
	pw_run(IDLE_MS);
	after = pw_metric(e, name);
	pw_end();
	return after - before;
}

static void what_stands_still_costs_nothing_however_long_the_list(void)
{
	CU_ASSERT(idle_cpu_s(160) - idle_cpu_s(4) < MORE_MOST_S);
}

static const struct check list[] = {
	{"what_stands_still_costs_nothing_however_long_the_list",
	 what_stands_still_costs_nothing_however_long_the_list},
	{"a_long_list_is_had_from_the_own_data_centre",
	 a_long_list_is_had_from_the_own_data_centre},
	{"a_long_list_that_nobody_has_is_read_from_the_store",
	 a_long_list_that_nobody_has_is_read_from_the_store},
	{"what_checks_cost_does_not_grow_with_the_list",
	 what_checks_cost_does_not_grow_with_the_list},
	{"silent_watches_hide_nothing_of_a_long_list_for_long",
	 silent_watches_hide_nothing_of_a_long_list_for_long},
	{"the_listing_of_another_hides_no_change", the_listing_of_another_hides_no_change},
	{"one_that_never_watches_hears_of_what_went_before_others_started",
	 one_that_never_watches_hears_of_what_went_before_others_started},
};

CHECK_MAIN(list)
