/* The state that an entry on the platform keeps: configuration, backend servers, other
 * instances; its planned stop and its settings. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* ---- the configuration ---- */

static void a_key_that_is_taken_away_runs_nothing(void)
{
	struct pw_entry *e;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_conf.keys = "[\"other\"]";
	pw_conf.version = 5;
	pw_conf_write();
	pw_run(200);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 401);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "other"), 200);
	pw_end();
}

static void without_a_confirmed_configuration_keyed_requests_are_refused(void)
{
	struct pw_server *s;
	struct pw_entry *e;
	int ran;

	pw_init();
	pw_settings("bounds.revokeMs=1500\n");
	s = pw_server_add("app", 0);
	e = pw_entry_ready();
	pw_store.mode = PW_STORE_SILENT;
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_run(1900);
	ran = s->arrivals;
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503);
	CU_ASSERT_EQUAL(s->arrivals, ran);
	CU_ASSERT_EQUAL(pw_get(e->ip, PW_READY, "/-/readiness", NULL), 503);
	pw_store.mode = PW_STORE_OK;
	pw_run(2000);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_end();
}

/* After a suspension its configuration looks fresh by the time of the last update. */
static void a_process_that_was_frozen_runs_nothing_on_old_keys(void)
{
	struct pw_server *s;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_settings("bounds.revokeMs=1500\n");
	s = pw_server_add("app", 0);
	e = pw_entry_ready();
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	kill(e->pid, SIGSTOP);
	pw_store.watches_silent = 1; /* no update is left in its sockets */
	pw_conf.keys = "[\"other\"]";
	pw_conf.version = 2;
	pw_conf_write();
	pw_store.mode = PW_STORE_SILENT;
	pw_run(2000);
	s->arrivals = 0;
	c = pw_request(e, "GET", "/safe/", 3000);
	pw_run(100);
	kill(e->pid, SIGCONT);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT(c->status == 503 || c->status == 401);
	CU_ASSERT_EQUAL(s->arrivals, 0);
	pw_store.watches_silent = 0;
	pw_end();
}

/* The watches deliver nothing while a key is removed. */
static void a_silent_watch_hides_no_key_that_is_taken_away(void)
{
	struct pw_entry *e;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	pw_store.watches_silent = 1;
	pw_conf.keys = "[\"other\"]";
	pw_conf.version = 2;
	pw_conf_write();
	pw_run(2300);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 401);
	pw_store.watches_silent = 0;
	pw_end();
}

static void a_history_that_is_forgotten_loses_no_change(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	int i;

	e = pw_init_with(s, 2);
	pw_store.watches_silent = 1;
	pw_server_unlist(s[0]);
	pw_conf.version = 2;
	pw_conf.extra_routes = 3;
	pw_conf_write();
	pw_store_compact();
	pw_store.watches_silent = 0;
	pw_run(500);
	s[0]->arrivals = 0;
	for (i = 0; i < 6; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_table_version"), 2);
	pw_end();
}

static void a_configuration_never_goes_back(void)
{
	struct pw_entry *e;

	pw_init();
	pw_server_add("app", 0);
	pw_conf.version = 7;
	pw_conf_write();
	e = pw_entry_ready();
	pw_conf.version = 6;
	pw_conf.keys = "[\"old\"]";
	pw_conf_write();
	pw_run(200);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_table_version"), 7);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "old"), 401);
	CU_ASSERT(pw_log_has(e, "an older version under a newer revision"));
	pw_end();
}

static void a_configuration_that_can_t_be_read_changes_nothing(void)
{
	static const char *const bad[] = {"{", "[]",
					  "{\"version\":9,\"routes\":[{\"host\":3}]}",
					  "{\"version\":9,\"routes\":[],\"tenants\":[{}]}",
					  "{\"version\":9,\"x\":\"\xff\xfe\"}"};
	struct pw_entry *e;
	size_t i;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	for (i = 0; i < sizeof bad / sizeof *bad; i++) {
		pw_store_put("op/config", bad[i]);
		pw_store_put("servers/i-odd", bad[i]);
		pw_run(60);
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	}
	CU_ASSERT(pw_log_has(e, "entry_unreadable"));
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_table_version"), 1);
	pw_end();
}

static void many_routes_come_into_force(void)
{
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	pw_conf.version = 2;
	pw_conf.extra_routes = 2000;
	pw_conf_write();
	pw_run(1000);
	c = pw_request(e, "GET", "/extra1999/x", 2000);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	pw_end();
}

/* ---- backend servers ---- */

static void entries_that_lapse_together_are_used_for_a_moment(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	int i;

	e = pw_init_with(s, 2);
	for (i = 0; i < 2; i++) pw_server_unlist(s[i]);
	pw_run(100);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_run(1900);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503);
	for (i = 0; i < 2; i++) pw_server_list(s[i], "ready");
	pw_run(100);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_end();
}

static void another_incarnation_at_an_address_is_left_alone(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	int i, before;

	e = pw_init_with(s, 2);
	s[0]->mode = PW_OTHER_INCARNATION;
	s[1]->work_ms = 60; /* so that the wrong incarnation is chosen first */
	for (i = 0; i < 4; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	before = s[0]->arrivals;
	CU_ASSERT_EQUAL(before, 1);
	for (i = 0; i < 4; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, before);
	pw_end();
}

static void a_server_that_fails_is_left_out_for_a_while(void)
{
	struct pw_server *s[3];
	struct pw_entry *e;
	int i, before;

	e = pw_init_with(s, 3);
	s[0]->mode = PW_RESET;
	s[1]->work_ms = s[2]->work_ms = 50;
	for (i = 0; i < 8; i++) pw_status_of_key(e, "k1");
	CU_ASSERT(pw_log_has(e, "backend_ejected"));
	before = s[0]->arrivals;
	for (i = 0; i < 4; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT(s[0]->arrivals - before <= 1);
	pw_end();
}

/* Requests to the route always exceed its time limit, which is no fault of a server. */
static void a_route_that_never_ends_in_time_ejects_no_server(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) {
		s[i] = pw_server_add("app", 0);
		s[i]->work_ms = 300;
	}
	pw_conf.timeout_ms = 100;
	pw_conf.version++;
	pw_conf_write();
	e = pw_entry_ready();
	for (i = 0; i < 8; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 504);
	pw_run(300);
	CU_ASSERT(!pw_log_has(e, "backend_ejected"));
	pw_end();
}

/* ---- planned stop and settings ---- */

static void a_planned_stop_finishes_what_runs(void)
{
	struct pw_entry *e;
	struct pw_call *c, *late;
	int64_t began;
	int status;

	pw_init();
	pw_server_add("llm", 1)->events = 100;
	pw_server_add("app", 0);
	e = pw_entry_ready();
	c = pw_request(e, "POST", "/chat/", 9000);
	pw_run(200);
	began = clock_us();
	pw_entry_kill(e, SIGTERM);
	pw_run(150);
	CU_ASSERT_EQUAL(pw_get(e->ip, PW_READY, "/-/readiness", NULL), 503);
	late = pw_request(e, "POST", "/unsafe/", 2000);
	CU_ASSERT(pw_call_wait(late, 1000));
	CU_ASSERT_EQUAL(late->status, 200);
	CU_ASSERT_STRING_EQUAL(late->connection, "close");
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, 100));
	status = pw_entry_wait(e, 3000);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	CU_ASSERT(clock_us() - began < 3000000);
	pw_end();
}

/* A request that arrives late in a planned stop is accepted only if its final answer is due
 * before the end. */
static void what_may_outlast_a_planned_stop_is_sent_elsewhere(void)
{
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_settings("bounds.graceS=6\nbounds.ttl_max_s=4\n");
	pw_server_add("llm", 1)->events = 400;
	pw_server_add("app", 0);
	e = pw_entry_ready();
	pw_entry_kill(e, SIGTERM);
	pw_run(2500);
	c = pw_request(e, "POST", "/chat/", 9000);
	CU_ASSERT(pw_call_wait(c, 500));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(g_ascii_strtod(c->retry_after, NULL) > 0);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	c = pw_request(e, "POST", "/unsafe/", 600);
	CU_ASSERT(pw_call_wait(c, 500));
	CU_ASSERT_EQUAL(c->status, 200);
	pw_end();
}

/* The measured speed of engines counts: a stream that the end would cut off is not begun. */
static void a_planned_stop_knows_how_slow_engines_are(void)
{
	struct pw_server *s;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	s = pw_server_add("llm", 1);
	s->events = 60;
	s->event_ms = 40;
	e = pw_entry_ready();
	c = pw_request(e, "POST", "/chat/", 9000);
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_stream_complete(c, 60));
	pw_entry_kill(e, SIGTERM);
	pw_run(900);
	c = pw_request(e, "POST", "/chat/", 9000);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	pw_end();
}

static void settings_are_checked(void)
{
	struct pw_entry *e;
	int status;

	pw_init();
	pw_settings("platform.address=nowhere\n");
	e = pw_entry_start();
	status = pw_entry_wait(e, 1000);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
	CU_ASSERT(pw_log_has(e, "platform.address is no IP:PORT"));
	pw_settings("bounds.budgetWindowS=0\n");
	e = pw_entry_start();
	status = pw_entry_wait(e, 1000);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
	pw_settings("bounds.revokeMs=inf\n");
	e = pw_entry_start();
	status = pw_entry_wait(e, 1000);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
	pw_settings("bounds.graceS=soon\n");
	e = pw_entry_start();
	status = pw_entry_wait(e, 1000);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
	pw_end();
}

static void settings_are_read_again(void)
{
	struct pw_entry *e;
	FILE *f;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	f = fopen(e->settings, "a");
	fputs("bounds.drainMs=700\n", f);
	fclose(f);
	kill(e->pid, SIGHUP);
	CU_ASSERT(pw_log_has(e, "settings_reloaded"));
	f = fopen(e->settings, "a");
	fputs("bounds.drainMs=many\n", f);
	fclose(f);
	kill(e->pid, SIGHUP);
	CU_ASSERT(pw_log_has(e, "settings_refused"));
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_end();
}

/* A newer configuration may have the route or the key, so that 404 and 401 could be wrong. */
static void an_old_configuration_says_nothing_of_what_it_does_not_know(void)
{
	struct pw_server *s[1];
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_settings("bounds.failClosed=true\nbounds.revokeMs=1000\n");
	s[0] = pw_server_add("app", 0);
	e = pw_entry_ready();
	c = pw_request(e, "GET", "/nowhere/", 1000);
	CU_ASSERT(pw_call_wait(c, 500));
	CU_ASSERT_EQUAL(c->status, 404);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "no such key"), 401);
	pw_store.mode = PW_STORE_DOWN;
	pw_run(1500);
	c = pw_request(e, "GET", "/nowhere/", 1000);
	CU_ASSERT(pw_call_wait(c, 500));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "no such key"), 503);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	pw_end();
}

static const struct check list[] = {
	{"an_old_configuration_says_nothing_of_what_it_does_not_know",
	 an_old_configuration_says_nothing_of_what_it_does_not_know},
	{"a_key_that_is_taken_away_runs_nothing", a_key_that_is_taken_away_runs_nothing},
	{"without_a_confirmed_configuration_keyed_requests_are_refused",
	 without_a_confirmed_configuration_keyed_requests_are_refused},
	{"a_process_that_was_frozen_runs_nothing_on_old_keys",
	 a_process_that_was_frozen_runs_nothing_on_old_keys},
	{"a_silent_watch_hides_no_key_that_is_taken_away",
	 a_silent_watch_hides_no_key_that_is_taken_away},
	{"a_history_that_is_forgotten_loses_no_change",
	 a_history_that_is_forgotten_loses_no_change},
	{"a_configuration_never_goes_back", a_configuration_never_goes_back},
	{"a_configuration_that_can_t_be_read_changes_nothing",
	 a_configuration_that_can_t_be_read_changes_nothing},
	{"many_routes_come_into_force", many_routes_come_into_force},
	{"entries_that_lapse_together_are_used_for_a_moment",
	 entries_that_lapse_together_are_used_for_a_moment},
	{"another_incarnation_at_an_address_is_left_alone",
	 another_incarnation_at_an_address_is_left_alone},
	{"a_server_that_fails_is_left_out_for_a_while",
	 a_server_that_fails_is_left_out_for_a_while},
	{"a_route_that_never_ends_in_time_ejects_no_server",
	 a_route_that_never_ends_in_time_ejects_no_server},
	{"a_planned_stop_finishes_what_runs", a_planned_stop_finishes_what_runs},
	{"what_may_outlast_a_planned_stop_is_sent_elsewhere",
	 what_may_outlast_a_planned_stop_is_sent_elsewhere},
	{"a_planned_stop_knows_how_slow_engines_are",
	 a_planned_stop_knows_how_slow_engines_are},
	{"settings_are_checked", settings_are_checked},
	{"settings_are_read_again", settings_are_read_again},
};

CHECK_MAIN(list)
