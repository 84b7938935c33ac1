/* How instances get the platform's lists from the store and from each other. */
#include "check.h"
#include "pw.h"
#include <string.h>

#define ABSENT_HOST 199 /* no instance has this address */
/* All have received each other and the ones that must watch do; no list was checked yet. */
#define SETTLE_MS 400
#define SLOW_MS 20    /* makes the removed server the fastest */
#define LISTED_MS 150 /* the instance has listed, and awaits others before it watches */

/* Instances started from now on have this seed and a link of link_mbps Mbit/s. */
static void set_seed(const char *ip, int link_mbps)
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

/* Two servers and an instance that has listed both; then the first is removed from the list. */
static struct pw_entry *lists_before_one_goes(struct pw_server **gone, int link_mbps)
{
	struct pw_entry *e;

	pw_init();
	*gone = pw_server_add("app", 0);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	set_seed(pw_ip(ABSENT_HOST), link_mbps);
	e = pw_entry_start();
	pw_run(LISTED_MS);
	pw_server_unlist(*gone);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	return e;
}

/* An instance that listed before a change must not start its watch after it, from the revision
 * of another instance's listing. */
static void the_listing_of_another_hides_no_change(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 1000);

	set_seed(e->ip, 1000);
	pw_entry_start();
	pw_run(SETTLE_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

/* The instances that watch for it started after the removal and never had the removed key. */
static void one_that_never_watches_hears_of_what_went_before_others_started(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 10);
	int i;

	set_seed(e->ip, 1000);
	for (i = 0; i < 3; i++) pw_entry_start();
	pw_run(SETTLE_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

#define CUT_CALLS 45 /* two lists and a question, each again after 100 ms at the earliest */

/* Without a length, the close of the connection ends an answer, wherever it comes: one without
 * a body was read as an empty list, and the next call followed at once, thousands a second. */
static void an_answer_of_the_store_that_is_cut_short_is_no_list(void)
{
	static const int cuts[] = {0, 1, 30};
	struct pw_server *s;
	struct pw_entry *e = pw_init_with(&s, 1);
	int calls;
	size_t i;

	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	for (i = 0; i < G_N_ELEMENTS(cuts); i++) {
		pw_store.cut_bytes = cuts[i];
		pw_store.mode = PW_STORE_CUT;
		pw_store_compact(); /* watches begin with a listing again */
		calls = pw_store.calls;
		pw_run(1500);
		CU_ASSERT(pw_store.calls - calls < CUT_CALLS);
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
		pw_store.mode = PW_STORE_OK;
		pw_run(1500);
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	}
	CU_ASSERT(!pw_log_has(e, "\"list_read\",\"list\":\"servers/\",\"era\":0"));
	CU_ASSERT(!pw_log_has(e, "\"gone\""));
	CU_ASSERT(!pw_log_has(e, "backend_lapsed"));
	pw_end();
}

#define PAGE 50
/* One confirms the configuration, two list a page each and one polls for changes, at most once
 * in 0.9 s. */
#define CALLS_PER_TURN 4
#define TURN_MS 900

static void what_checks_cost_does_not_grow_with_the_list(void)
{
	int pages;

	for (pages = 1; pages <= 16; pages *= 4) {
		pw_init();
		pw_store.page = PAGE;
		pw_servers_list_idle(PAGE * pages);
		pw_server_add("app", 0);
		pw_entry_ready();
		pw_run(1000);
		pw_store.calls = 0;
		pw_run(4 * TURN_MS);
		CU_ASSERT(pw_store.calls <= 5 * CALLS_PER_TURN);
		pw_end();
	}
}

/* Watches and polls are silent; the page with the removed server is listed again. */
static void silent_watches_hide_nothing_of_a_long_list_for_long(void)
{
	struct pw_server *gone;
	struct pw_entry *e;

	pw_init();
	pw_store.page = PAGE;
	pw_servers_list_idle(PAGE * 3);
	gone = pw_server_add("app", 0);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	e = pw_entry_ready();
	pw_run(1000);
	pw_store.watches_silent = 1;
	pw_server_unlist(gone);
	pw_run(5000); /* two turns of at most 1.8 s each, with a margin */
	no_call_goes_to(e, gone);
	pw_end();
}

/* Starts an instance in data centre b, which finds the earlier ones through the seed. */
static struct pw_entry *start_in_b(const struct pw_entry *seed)
{
	static char lines[128];

	g_snprintf(lines, sizeof lines, "zone=b\nseedNodes=%s:1\nfirstStart=false\n", seed->ip);
	pw_settings(lines);
	return pw_entry_ready();
}

/* Whether e fetched a list from the other instance, by its log. */
static int fetched_from(struct pw_entry *e, const struct pw_entry *other)
{
	char text[64];

	g_snprintf(text, sizeof text, "\"lists_fetched\",\"from\":\"e%s\"",
		   strrchr(other->ip, '.') + 1);
	return pw_log_has(e, text);
}

/* The same within some seconds. */
static int fetches_from(struct pw_entry *e, const struct pw_entry *other)
{
	int i;

	for (i = 0; i < 12; i++)
		if (fetched_from(e, other)) return 1;
	return 0;
}

/* An instance of each data centre has the list: a starting one fetches it from the one in its
 * own data centre, and lists only the first page from the store. */
static void a_long_list_is_had_from_the_own_data_centre(void)
{
	struct pw_entry *e[3];

	pw_init();
	pw_store.page = PAGE;
	pw_servers_list_idle(PAGE * 8);
	pw_server_add("app", 0);
	e[0] = pw_entry_ready();
	pw_run(500);
	e[1] = start_in_b(e[0]);
	CU_ASSERT(fetches_from(e[1], e[0]));
	pw_store.listings = 0;
	e[2] = start_in_b(e[0]);
	pw_run(600);
	/* One for each of both lists, one for members, and two turns of two pages. */
	CU_ASSERT(pw_store.listings <= 7);
	CU_ASSERT(fetches_from(e[2], e[1]));
	CU_ASSERT(!fetched_from(e[2], e[0]));
	CU_ASSERT_EQUAL(pw_status_of_key(e[2], "k1"), 200);
	pw_end();
}

/* No instance has it: those that watch list it completely. */
static void a_long_list_that_nobody_has_is_read_from_the_store(void)
{
	struct pw_entry *e[2];
	int i;

	pw_init();
	pw_store.page = PAGE;
	pw_servers_list_idle(PAGE * 8);
	pw_server_add("zzz", 0); /* on the last page, by its key */
	pw_settings("firstStart=false\n");
	for (i = 0; i < 2; i++) e[i] = pw_entry_start();
	pw_run(2500);
	for (i = 0; i < 2; i++) CU_ASSERT(pw_log_has(e[i], "list_read"));
	pw_end();
}

#define READ_MAX_MS 20000
#define IDLE_MS 3000
#define EXTRA_MAX_S \
	(IDLE_MS / 1000 * .002) /* of a core's time; reading a page takes a thousandth */

static int all_pages_read(void *pages)
{
	return pw_store.listings >= *(int *)pages;
}

/* Processor time of an idle instance, in seconds. */
static double idle_cpu_s(int pages)
{
	static const char name[] = "saddlehead_process_cpu_seconds_total";
	struct pw_entry *e;
	double before, after;

	pw_init();
	pw_store.page = PAGE;
	pw_servers_list_idle(PAGE * pages);
	e = pw_entry_ready();
	CU_ASSERT(pw_until(all_pages_read, &pages, READ_MAX_MS));
	pw_run(1000); /* until the last pages are applied */
	before = pw_metric(e, name);
	pw_run(IDLE_MS);
	after = pw_metric(e, name);
	pw_end();
	return after - before;
}

static void what_stands_still_costs_nothing_however_long_the_list(void)
{
	double extra_s = idle_cpu_s(160) - idle_cpu_s(4);

	fprintf(stderr, "%.1f ms more\n", extra_s * 1e3);
	CU_ASSERT(extra_s < EXTRA_MAX_S);
}

static const struct check list[] = {
	{"an_answer_of_the_store_that_is_cut_short_is_no_list",
	 an_answer_of_the_store_that_is_cut_short_is_no_list},
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
