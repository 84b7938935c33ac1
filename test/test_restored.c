/* The store comes back from a copy: revisions go back and are given out again, and what was
 * written since the copy is written again by the operator and the servers. */
#include "check.h"
#include "pw.h"
#include <signal.h>

#define INSTANCES 4
#define APPLY_MS 2000 /* until a version is in force everywhere */
#define CHURN 40      /* writes of entries between the copy and the loss */
#define AWAY_MS 600
#define SETTLE_MS 1500

static struct pw_entry *e[INSTANCES];
static struct pw_server *s[2];

static void start(void)
{
	int i;

	pw_init();
	pw_conf.keys = "[\"k1\",\"old\"]";
	pw_conf.version = 2;
	pw_conf_write();
	for (i = 0; i < 2; i++) s[i] = pw_server_add("app", 0);
	for (i = 0; i < INSTANCES; i++) e[i] = pw_entry_start();
	for (i = 0; i < INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	pw_run(SETTLE_MS);
}

static void churn(void)
{
	int i;

	for (i = 0; i < CHURN; i++) pw_server_list(s[i % 2], "ready");
	pw_run(300);
}

static int all_in_force(void *version)
{
	int i, n = 0;

	for (i = 0; i < INSTANCES; i++)
		n += pw_metric(e[i], "saddlehead_table_version") == *(int *)version;
	return n == INSTANCES;
}

/* Whether the version is in force everywhere in time. */
static int comes_into_force(int version)
{
	return pw_until(all_in_force, &version, APPLY_MS);
}

static void write_version(int version, const char *keys)
{
	pw_conf.version = version;
	pw_conf.keys = keys;
	pw_conf_write();
}

static int count_status(const char *key, int status)
{
	int i, n = 0;

	for (i = 0; i < INSTANCES; i++) n += pw_status_of_key(e[i], key) == status;
	return n;
}

/* The store loses what was written after pw_store_copy. */
static void lose(void)
{
	pw_store.mode = PW_STORE_DOWN;
	pw_run(AWAY_MS);
	pw_store_restore();
	pw_store.mode = PW_STORE_OK;
}

/* Starts the instances; a version with these keys is in force everywhere, and then lost. */
static void start_and_lose(const char *keys)
{
	start();
	pw_store_copy();
	churn();
	write_version(5, keys);
	CU_ASSERT(comes_into_force(5));
	lose();
}

/* A version that was written again under a lower revision was ignored, and so was each one
 * after it until the revisions had passed those from before. */
static void a_version_after_the_return_comes_into_force(void)
{
	start_and_lose("[\"k1\",\"old\"]");
	pw_run(20);
	pw_conf_write();
	pw_server_list(s[0], "ready");
	pw_run(2000);
	write_version(8, "[\"k1\",\"new\"]");
	CU_ASSERT(comes_into_force(8));
	CU_ASSERT_EQUAL(count_status("old", 401), INSTANCES);
	CU_ASSERT_EQUAL(count_status("new", 200), INSTANCES);
	pw_end();
}

/* The same, written again only after the instances have seen the older version: that one is
 * not taken back, and a key that was removed stays so. */
static void a_version_never_goes_back_while_the_store_shows_an_older_one(void)
{
	int five = 5;

	start_and_lose("[\"k1\"]");
	pw_run(1500);
	CU_ASSERT(all_in_force(&five));
	CU_ASSERT_EQUAL(count_status("old", 200), 0);
	pw_conf_write();
	pw_run(2000);
	CU_ASSERT_EQUAL(count_status("k1", 200), INSTANCES);
	write_version(8, "[\"k1\",\"new\"]");
	CU_ASSERT(comes_into_force(8));
	CU_ASSERT_EQUAL(count_status("new", 200), INSTANCES);
	pw_end();
}

/* An instance that starts finds only the older version in the store. */
static void one_that_starts_then_takes_no_key_that_was_removed(void)
{
	int i;

	start_and_lose("[\"k1\"]");
	pw_run(300);
	pw_entry_kill(e[3], SIGKILL);
	CU_ASSERT(pw_entry_wait(e[3], 1000) >= 0);
	pw_entry_restart(e[3]);
	for (i = 0; i < 60; i++) {
		CU_ASSERT(pw_status_of_key(e[3], "old") != 200);
		pw_run(20);
	}
	pw_conf_write();
	CU_ASSERT(comes_into_force(5));
	pw_run(1500);
	CU_ASSERT_EQUAL(pw_status_of_key(e[3], "k1"), 200);
	pw_end();
}

/* The servers write more than was lost before the instances watch again: a watch from the lost
 * state is not told that its history is gone, and waited for a change for 20 s. Nothing was
 * confirmed meanwhile, and after 5 s all keyed requests were refused. */
static void a_watch_from_the_lost_state_holds_nothing_up(void)
{
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = pw_server_add("app", 0);
	e[0] = pw_entry_ready();
	pw_run(SETTLE_MS);
	pw_store_copy();
	churn();
	pw_store_restore();
	for (i = 0; i < 2 * CHURN; i++) pw_server_list(s[i % 2], "ready");
	for (i = 0; i < 7; i++) {
		pw_run(1000);
		CU_ASSERT_EQUAL(pw_status_of_key(e[0], "k1"), 200);
	}
	pw_end();
}

/* Two drills, the second soon after the first. */
static void a_second_return_soon_after_the_first(void)
{
	start_and_lose("[\"k1\",\"old\"]");
	pw_run(20);
	pw_conf_write();
	churn();
	pw_store_copy();
	churn();
	write_version(6, "[\"k1\",\"old\"]");
	CU_ASSERT(comes_into_force(6));
	lose();
	pw_conf_write();
	pw_run(1000);
	write_version(9, "[\"k1\",\"new\"]");
	CU_ASSERT(comes_into_force(9));
	CU_ASSERT_EQUAL(count_status("new", 200), INSTANCES);
	pw_end();
}

/* Calls to the store did not slow down while it showed an older version. */
static void the_store_is_asked_little_while_it_is_behind(void)
{
	int calls;

	start_and_lose("[\"k1\"]");
	pw_run(SETTLE_MS);
	calls = pw_store.calls;
	pw_run(2000);
	calls = pw_store.calls - calls;
	printf("%d calls in 2 s\n", calls);
	/* Each instance confirms at most every 0.8 s, and lists both lists for it. */
	CU_ASSERT(calls <= INSTANCES * 3 * 4);
	pw_end();
}

/* The members' keys are written again, under new leases. */
static void members_are_written_again(void)
{
	int keys;

	start();
	pw_run(1500);
	keys = pw_store_keys("saddlehead/members/");
	CU_ASSERT(keys > 0);
	pw_store_copy();
	pw_store_remove("x");
	lose();
	pw_store_compact();
	pw_run(200);
	pw_run(4000);
	CU_ASSERT(pw_store_keys("saddlehead/members/") >= keys);
	pw_end();
}

/* The copy lists a server that has left since, and lacks one that came. */
static void servers_that_come_and_go_between_copy_and_loss(void)
{
	struct pw_server *late;
	int i;

	start();
	pw_store_copy();
	churn();
	pw_server_list(s[0], "draining");
	pw_run(300);
	pw_server_unlist(s[0]);
	late = pw_server_add("app", 0);
	pw_run(500);
	lose();
	pw_run(300);
	pw_server_list(late, "ready");
	pw_run(2500);
	s[0]->arrivals = late->arrivals = 0;
	for (i = 0; i < 40; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % INSTANCES], "k1"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT(late->arrivals > 0);
	pw_end();
}

static int arrivals_at(struct pw_server *one)
{
	int i;

	one->arrivals = 0;
	for (i = 0; i < 40; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % INSTANCES], "k1"), 200);
	return one->arrivals;
}

/* A drain that the copy lacks was lifted until the operator had written it again. */
static void a_drain_outlives_the_return_of_the_store(void)
{
	start();
	pw_server_add_in("app", 0, "b");
	pw_run(300);
	CU_ASSERT(arrivals_at(s[0]) > 0);
	pw_store_copy();
	churn();
	pw_store_put("op/evacuate/a", "{}");
	pw_run(500);
	CU_ASSERT_EQUAL(arrivals_at(s[0]), 0);
	lose();
	pw_run(1500);
	CU_ASSERT_EQUAL(arrivals_at(s[0]), 0);
	pw_store_put("op/evacuate/a", "{}");
	pw_run(500);
	CU_ASSERT_EQUAL(arrivals_at(s[0]), 0);
	pw_store_remove("op/evacuate/a");
	pw_run(1000);
	CU_ASSERT(arrivals_at(s[0]) > 0);
	pw_end();
}

/* The copy lists a server whose entry went without a word: it was used until it refused. */
static void a_server_that_is_gone_is_not_used_again_because_of_a_copy(void)
{
	start();
	pw_store_copy();
	churn();
	pw_server_unlist(s[0]);
	pw_run(500);
	CU_ASSERT_EQUAL(arrivals_at(s[0]), 0);
	lose();
	pw_run(1500);
	CU_ASSERT_EQUAL(arrivals_at(s[0]), 0);
	/* It lives, and says so. */
	churn();
	pw_run(300);
	CU_ASSERT(arrivals_at(s[0]) > 0);
	pw_end();
}

#define PAGE 10
#define PAGES 100
#define PAGES_BEFORE 20 /* read before the store is restored */
#define READ_MAX_MS 10000

static int so_many_pages(void *n)
{
	return pw_store.listings >= *(int *)n;
}

static int is_read_in(struct pw_entry *one, uint64_t era)
{
	char text[80];

	g_snprintf(text, sizeof text,
		   "\"list_read\",\"list\":\"servers/\",\"era\":%" G_GUINT64_FORMAT ",", era);
	return pw_log_has(one, text);
}

static int is_read_in_this_era(void *one)
{
	return is_read_in(one, pw_store.era_number);
}

/* Two states of the store must not make one list, which would be told to others as complete: a
 * server of the first pages that the copy lacks is not in it. */
static void a_list_that_is_read_page_by_page_is_begun_anew(void)
{
	int before = PAGES_BEFORE, i;
	struct pw_server *lost;

	pw_init();
	pw_store.page = PAGE;
	pw_servers_list_idle(PAGE * PAGES);
	s[0] = pw_server_add("app", 0);
	pw_store_copy();
	lost = pw_server_new("app", 0);
	g_strlcpy(lost->id, "0-lost", sizeof lost->id); /* on the first page */
	pw_server_list(lost, "ready");
	e[0] = pw_entry_start();
	CU_ASSERT(pw_until(so_many_pages, &before, READ_MAX_MS));
	pw_store_restore();
	CU_ASSERT(pw_store.listings < PAGES);
	CU_ASSERT(pw_until(is_read_in_this_era, e[0], READ_MAX_MS));
	CU_ASSERT(pw_entry_until_ready(e[0]));
	for (i = 0; i < 20; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[0], "k1"), 200);
	CU_ASSERT_EQUAL(lost->arrivals, 0);
	CU_ASSERT(s[0]->arrivals >= 20);
	CU_ASSERT(!is_read_in(e[0], pw_store.era_number - 1));
	pw_end();
}

/* Without the header, or with one that is no number, all is as before. */
static void an_era_that_is_no_number_changes_nothing(void)
{
	start();
	pw_store.era = "soon";
	write_version(5, "[\"k1\",\"new\"]");
	CU_ASSERT(comes_into_force(5));
	CU_ASSERT_EQUAL(count_status("new", 200), INSTANCES);
	pw_store.era = NULL;
	pw_end();
}

static const struct check list[] = {
	{"a_version_after_the_return_comes_into_force",
	 a_version_after_the_return_comes_into_force},
	{"a_version_never_goes_back_while_the_store_shows_an_older_one",
	 a_version_never_goes_back_while_the_store_shows_an_older_one},
	{"one_that_starts_then_takes_no_key_that_was_removed",
	 one_that_starts_then_takes_no_key_that_was_removed},
	{"a_watch_from_the_lost_state_holds_nothing_up",
	 a_watch_from_the_lost_state_holds_nothing_up},
	{"a_second_return_soon_after_the_first", a_second_return_soon_after_the_first},
	{"the_store_is_asked_little_while_it_is_behind",
	 the_store_is_asked_little_while_it_is_behind},
	{"members_are_written_again", members_are_written_again},
	{"servers_that_come_and_go_between_copy_and_loss",
	 servers_that_come_and_go_between_copy_and_loss},
	{"a_drain_outlives_the_return_of_the_store", a_drain_outlives_the_return_of_the_store},
	{"a_server_that_is_gone_is_not_used_again_because_of_a_copy",
	 a_server_that_is_gone_is_not_used_again_because_of_a_copy},
	{"a_list_that_is_read_page_by_page_is_begun_anew",
	 a_list_that_is_read_page_by_page_is_begun_anew},
	{"an_era_that_is_no_number_changes_nothing", an_era_that_is_no_number_changes_nothing},
};
CHECK_MAIN(list)
