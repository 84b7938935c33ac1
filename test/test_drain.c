/* Operators drain data centres: no new work goes there until they are restored. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define PROPAGATION_MS 200 /* a watch returns a change within some ms */
#define CONFIRM_MS 2500    /* with silent watches: until a confirmation, at most 1.8 s later */

static void drain(const char *data_centre)
{
	char key[64];

	g_snprintf(key, sizeof key, "op/evacuate/%s", data_centre);
	pw_store_put(key, "{}");
}

static void restore(const char *data_centre)
{
	char key[64];

	g_snprintf(key, sizeof key, "op/evacuate/%s", data_centre);
	pw_store_remove(key);
}

/* Calls at each entry in turn; how many of them reached s. */
static int arrivals_of_calls(struct pw_server *s, struct pw_entry **e, int n)
{
	int i;

	s->arrivals = 0;
	for (i = 0; i < 12; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % n], "k1"), 200);
	return s->arrivals;
}

static void a_drained_data_centre_gets_nothing_new(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e;

	pw_init();
	near = pw_server_add("app", 0);
	far = pw_server_add_in("app", 0, "b");
	near->work_ms = 40; /* the other one is preferred while it may be used */
	e = pw_entry_ready();
	CU_ASSERT(arrivals_of_calls(far, &e, 1) > 0);
	drain("b");
	pw_run(PROPAGATION_MS);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e, 1), 0);
	restore("b");
	pw_run(PROPAGATION_MS);
	CU_ASSERT(arrivals_of_calls(far, &e, 1) > 0);
	pw_end();
}

/* With every data centre drained a request is refused at once and reaches no server. */
static void all_data_centres_drained_means_refused_at_once(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	s[0] = pw_server_add("app", 0);
	s[1] = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	drain("a");
	drain("b");
	pw_run(PROPAGATION_MS);
	for (i = 0; i < 2; i++) s[i]->arrivals = 0;
	c = pw_request(e, "GET", "/safe/", 4000);
	CU_ASSERT(pw_call_wait(c, 200));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(atof(c->retry_after) > 0);
	CU_ASSERT(strstr(c->body->str, "data_centre_drained") != NULL);
	CU_ASSERT_EQUAL(s[0]->arrivals + s[1]->arrivals, 0);
	pw_end();
}

static void repeats_do_not_go_there(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	near = pw_server_add("app", 0);
	far = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	drain("b");
	pw_run(PROPAGATION_MS);
	near->mode = PW_ERROR;
	c = pw_request(e, "GET", "/safe/", 4000);
	CU_ASSERT(pw_call_wait(c, 1000));
	CU_ASSERT_EQUAL(near->arrivals, 2);
	CU_ASSERT_EQUAL(far->arrivals, 0);
	pw_end();
}

/* Streams are moved elsewhere with their memory, without a noticeable pause for readers. */
static void streams_leave_a_drained_data_centre(void)
{
	struct pw_server *far, *near;
	struct pw_entry *e;
	struct pw_call *c[3];
	int i;

	pw_init();
	far = pw_server_add_in("llm", 1, "b");
	far->events = 400;
	e = pw_entry_ready();
	for (i = 0; i < 3; i++) c[i] = pw_request(e, "POST", "/chat/", 9000);
	pw_run(300);
	near = pw_server_add("llm", 1);
	near->events = 400;
	pw_run(PROPAGATION_MS);
	drain("b");
	pw_run(1500);
	for (i = 0; i < 3; i++) CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 2);
	CU_ASSERT(!pw_log_has(e, "backend_ejected")); /* they stopped on request */
	for (i = 0; i < 3; i++) {
		CU_ASSERT(pw_call_wait(c[i], 6000));
		CU_ASSERT(pw_stream_complete(c[i], 400));
		CU_ASSERT(c[i]->gap_us < 180000);
		CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 2);
		if (pw_runs_of(c[i]->id) != 2) continue;
		CU_ASSERT(strchr(pw_run_of(c[i]->id, 1)->copy, '/') != NULL);
	}
	pw_end();
}

/* A stream loses its engine, and its replica is in the drained data centre. */
static void no_stream_goes_on_from_a_copy_there(void)
{
	struct pw_server *engine, *with_copy;
	struct pw_call *c[6];
	struct pw_entry *e;
	int i;

	pw_init();
	engine = pw_server_add("llm", 1);
	with_copy = pw_server_add_in("llm", 1, "b");
	engine->events = with_copy->events = 300;
	e = pw_entry_ready();
	for (i = 0; i < 6; i++) c[i] = pw_request(e, "POST", "/chat/", 9000);
	pw_run(600);
	CU_ASSERT(engine->arrivals > 0);
	engine->move_ms = 5000; /* runs at the other engine stay there meanwhile */
	drain("b");
	pw_run(50);
	with_copy->copies = 0;
	pw_server_crash(engine);
	pw_run(500);
	CU_ASSERT_EQUAL(with_copy->copies, 0);
	for (i = 0; i < 6; i++) pw_call_cancel(c[i]);
	pw_end();
}

/* The store refuses the second of two instances, which receives the drain from the first. */
static void who_the_store_turns_away_hears_of_it(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e[2];
	char settings[64];

	pw_init();
	near = pw_server_add("app", 0);
	near->work_ms = 40;
	far = pw_server_add_in("app", 0, "b");
	e[0] = pw_entry_ready();
	g_snprintf(settings, sizeof settings, PW_SECOND_STORE, pw_second_ip());
	pw_settings(settings);
	e[1] = pw_entry_ready();
	pw_run(800);
	pw_store.second_mode = PW_STORE_DOWN;
	pw_store_cut_second();
	pw_run(300);
	drain("b");
	pw_run(PROPAGATION_MS);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, e, 2), 0);
	restore("b");
	pw_run(PROPAGATION_MS);
	CU_ASSERT(arrivals_of_calls(far, &e[1], 1) > 0);
	pw_end();
}

/* An instance that starts while the store is down receives the drain from peers before it takes
 * requests. */
static void who_starts_hears_of_it_before_it_serves(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e[2];

	pw_init();
	near = pw_server_add("app", 0);
	near->work_ms = 40;
	far = pw_server_add_in("app", 0, "b");
	e[0] = pw_entry_ready();
	e[1] = pw_entry_ready();
	pw_run(800);
	drain("b");
	pw_run(PROPAGATION_MS);
	pw_entry_kill(e[1], SIGKILL);
	pw_entry_wait(e[1], 500);
	pw_store.mode = PW_STORE_DOWN;
	pw_run(100);
	pw_entry_restart(e[1]);
	pw_run(1500);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e[1], 1), 0);
	pw_end();
}

/* Silent watches return neither a drain nor its end; confirmations find both. */
static void silent_watches_hide_no_drain(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e;

	pw_init();
	near = pw_server_add("app", 0);
	near->work_ms = 40;
	far = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	pw_run(800);
	pw_store.watches_silent = 1;
	drain("b");
	pw_run(CONFIRM_MS);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e, 1), 0);
	restore("b");
	pw_run(CONFIRM_MS);
	CU_ASSERT(arrivals_of_calls(far, &e, 1) > 0);
	pw_end();
}

/* The data centre is restored while the store is down, and the store compacts that change. */
static void a_forgotten_history_hides_no_end_of_a_drain(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e;

	pw_init();
	near = pw_server_add("app", 0);
	near->work_ms = 40;
	far = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	drain("b");
	pw_run(PROPAGATION_MS);
	pw_store.mode = PW_STORE_DOWN;
	pw_store.watches_silent = 1;
	pw_run(300);
	restore("b");
	pw_store_compact();
	pw_run(300);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e, 1), 0);
	pw_store.mode = PW_STORE_OK;
	pw_run(CONFIRM_MS);
	CU_ASSERT(arrivals_of_calls(far, &e, 1) > 0);
	pw_end();
}

/* Keys that name no data centre or one without servers, and keys with any value. */
static void what_a_key_holds_does_not_matter(void)
{
	struct pw_server *near, *far;
	struct pw_entry *e;

	pw_init();
	near = pw_server_add("app", 0);
	near->work_ms = 40;
	far = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	drain("");
	drain("nowhere");
	pw_run(PROPAGATION_MS);
	CU_ASSERT(arrivals_of_calls(far, &e, 1) > 0);
	pw_store_put("op/evacuate/b", "no such thing");
	pw_run(PROPAGATION_MS);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e, 1), 0);
	pw_server_add_in("app", 0, "nowhere")->work_ms = 1;
	pw_run(PROPAGATION_MS);
	CU_ASSERT_EQUAL(arrivals_of_calls(far, &e, 1), 0);
	pw_end();
}

/* The lists are stale, so engines are probed, but not those in a drained data centre. */
static void no_health_check_goes_there(void)
{
	struct pw_server *far;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	far = pw_server_add_in("llm", 1, "b");
	far->events = 900;
	e = pw_entry_ready();
	c = pw_request(e, "POST", "/chat/", 9000);
	pw_run(300);
	drain("b");
	pw_run(PROPAGATION_MS);
	pw_store.mode = PW_STORE_DOWN;
	pw_run(3500);
	CU_ASSERT_EQUAL(far->checks + far->reports, 0);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1); /* no other engine: it continues there */
	pw_call_cancel(c);
	pw_store.mode = PW_STORE_OK;
	pw_end();
}

static const struct check list[] = {
	{"a_drained_data_centre_gets_nothing_new", a_drained_data_centre_gets_nothing_new},
	{"all_data_centres_drained_means_refused_at_once",
	 all_data_centres_drained_means_refused_at_once},
	{"repeats_do_not_go_there", repeats_do_not_go_there},
	{"streams_leave_a_drained_data_centre", streams_leave_a_drained_data_centre},
	{"no_stream_goes_on_from_a_copy_there", no_stream_goes_on_from_a_copy_there},
	{"who_the_store_turns_away_hears_of_it", who_the_store_turns_away_hears_of_it},
	{"who_starts_hears_of_it_before_it_serves", who_starts_hears_of_it_before_it_serves},
	{"silent_watches_hide_no_drain", silent_watches_hide_no_drain},
	{"a_forgotten_history_hides_no_end_of_a_drain",
	 a_forgotten_history_hides_no_end_of_a_drain},
	{"what_a_key_holds_does_not_matter", what_a_key_holds_does_not_matter},
	{"no_health_check_goes_there", no_health_check_goes_there},
};

CHECK_MAIN(list)
