/* Rollouts: good versions take over in time; bad ones get a bounded share of the requests and
 * are rolled back, also under faults of instances and of the store. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>
#include <string.h>

#define CALL_INTERVAL_MS 6 /* between two calls */
#define DURATION_S 5
#define SHARE 0.1 /* bounds in SETTINGS on the requests to a bad version */
#define SLACK 50
#define SETTINGS "bounds.exposureShare=0.1\nbounds.exposureSlack=50\n"

static struct pw_server *old[3], *new[3];
static GPtrArray *calls;
static int sent;

static struct pw_server *add(const char *service, int engine, const char *version)
{
	struct pw_server *s = pw_server_new(service, engine);

	g_strlcpy(s->version, version, sizeof s->version);
	pw_server_list(s, "ready");
	return s;
}

static void begin(struct pw_entry **e, int n)
{
	int i;

	pw_init();
	pw_settings(SETTINGS);
	calls = g_ptr_array_new();
	sent = 0;
	for (i = 0; i < 3; i++) old[i] = add("app", 0, "v1");
	for (i = 0; i < n; i++) e[i] = pw_entry_ready();
}

static void end(void)
{
	g_ptr_array_free(calls, TRUE);
	pw_end();
}

static void order(const char *service, const char *version)
{
	char key[64], value[128];

	g_snprintf(key, sizeof key, "op/rollout/%s", service);
	g_snprintf(value, sizeof value,
		   "{\"service\":\"%s\",\"targetVersion\":\"%s\",\"durationS\":%d}", service,
		   version, DURATION_S);
	pw_store_put(key, value);
}

static void roll_out(enum pw_mode mode, int work_ms)
{
	int i;

	order("app", "v2");
	for (i = 0; i < 3; i++) {
		new[i] = add("app", 0, "v2");
		new[i]->mode = mode;
		if (work_ms) new[i]->work_ms = work_ms;
	}
}

/* Sends calls to the entries in turn for ms. */
static void load(struct pw_entry **e, int n, int ms)
{
	int64_t until = clock_us() + ms * 1000LL;

	while (clock_us() < until) {
		g_ptr_array_add(calls, pw_request(e[sent++ % n], "GET", "/safe/", 4000));
		pw_run(CALL_INTERVAL_MS);
	}
}

static int failed(void)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < calls->len; i++) {
		struct pw_call *c = g_ptr_array_index(calls, i);

		n += c->ended && c->status != 200;
	}
	return n;
}

static int arrivals(struct pw_server **s)
{
	return s[0]->arrivals + s[1]->arrivals + s[2]->arrivals;
}

static int max_canary_requests(void)
{
	return (int)(SHARE * sent) + SLACK;
}

static int state_is(const char *service, const char *state)
{
	char *key = g_strconcat("status/rollout/", service, NULL);
	char *value = pw_store_value(key);
	int is = value && strstr(value, state) != NULL;

	g_free(value);
	g_free(key);
	return is;
}

static void a_good_version_takes_over_in_time(void)
{
	struct pw_entry *e[1];

	begin(e, 1);
	load(e, 1, 300);
	roll_out(PW_OK, 0);
	load(e, 1, DURATION_S * 1000 / 2);
	CU_ASSERT(state_is("app", "running"));
	CU_ASSERT(arrivals(new) > 0);
	CU_ASSERT(arrivals(new) <= max_canary_requests());
	load(e, 1, DURATION_S * 1000 / 2);
	CU_ASSERT(state_is("app", "completed"));
	old[0]->arrivals = old[1]->arrivals = old[2]->arrivals = 0;
	load(e, 1, 300);
	CU_ASSERT_EQUAL(arrivals(old), 0);
	CU_ASSERT_EQUAL(failed(), 0);
	end();
}

static void check_rolled_back(struct pw_entry **e, int n)
{
	load(e, n, DURATION_S * 1000);
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT(arrivals(new) <= max_canary_requests());
	new[0]->arrivals = new[1]->arrivals = new[2]->arrivals = 0;
	load(e, n, 500);
	CU_ASSERT_EQUAL(arrivals(new), 0);
}

/* The store comes back from a copy that has the order, but not what became of it: the bad
 * version was tried again, and its status was missing. */
static void a_rollback_outlives_the_return_of_the_store(void)
{
	struct pw_entry *e[2];

	begin(e, 2);
	roll_out(PW_ERROR, 0);
	pw_store_copy();
	check_rolled_back(e, 2);
	pw_store.mode = PW_STORE_DOWN;
	load(e, 2, 600);
	pw_store_restore();
	pw_store.mode = PW_STORE_OK;
	load(e, 2, 2000);
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT_EQUAL(arrivals(new), 0);
	/* The operator's next order is another try. */
	order("app", "v2");
	load(e, 2, 2000);
	CU_ASSERT(arrivals(new) > 0);
	end();
}

static void the_end_of_a_rollout_is_written_again(void)
{
	struct pw_entry *e[2];

	begin(e, 2);
	load(e, 2, 300);
	roll_out(PW_OK, 0);
	pw_store_copy();
	load(e, 2, DURATION_S * 1000 + 300);
	CU_ASSERT(state_is("app", "completed"));
	pw_store.mode = PW_STORE_DOWN;
	load(e, 2, 600);
	pw_store_restore();
	pw_store.mode = PW_STORE_OK;
	old[0]->arrivals = old[1]->arrivals = old[2]->arrivals = 0;
	load(e, 2, 2000);
	CU_ASSERT(state_is("app", "completed"));
	CU_ASSERT_EQUAL(arrivals(old), 0);
	CU_ASSERT_EQUAL(failed(), 0);
	end();
}

static void a_version_that_fails_is_rolled_back(void)
{
	struct pw_entry *e[2];

	begin(e, 2);
	roll_out(PW_ERROR, 0);
	check_rolled_back(e, 2);
	end();
}

static void a_version_that_is_slow_is_rolled_back(void)
{
	struct pw_entry *e[2];

	begin(e, 2);
	roll_out(PW_OK, 40);
	check_rolled_back(e, 2);
	end();
}

/* Just before the version would be found good. */
static void a_version_that_turns_bad_late_is_rolled_back(void)
{
	struct pw_entry *e[1];
	int i;

	begin(e, 1);
	roll_out(PW_OK, 0);
	load(e, 1, DURATION_S * 1000 / 2);
	for (i = 0; i < 3; i++) new[i]->mode = PW_ERROR;
	load(e, 1, DURATION_S * 1000 / 2);
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT(arrivals(new) <= max_canary_requests());
	end();
}

/* An instance is killed during the rollout; another one continues from the stored status. */
static void the_writer_may_be_killed(void)
{
	struct pw_entry *e[2];

	begin(e, 2);
	roll_out(PW_OK, 0);
	load(e, 2, 1000);
	pw_entry_kill(e[0], SIGKILL);
	pw_entry_wait(e[0], 500);
	load(&e[1], 1, DURATION_S * 1000 - 1500);
	CU_ASSERT(state_is("app", "completed"));
	end();
}

/* All instances restart after a rollback and read its status from the store. */
static void what_was_rolled_back_stays_so(void)
{
	struct pw_entry *e[2];
	int i;

	begin(e, 2);
	roll_out(PW_ERROR, 0);
	load(e, 2, 2500);
	CU_ASSERT(state_is("app", "rolled_back"));
	for (i = 0; i < 2; i++) pw_entry_kill(e[i], SIGKILL);
	for (i = 0; i < 2; i++) pw_entry_wait(e[i], 500);
	new[0]->arrivals = new[1]->arrivals = new[2]->arrivals = 0;
	for (i = 0; i < 2; i++) pw_entry_restart(e[i]);
	for (i = 0; i < 2; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	load(e, 2, 1500);
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT_EQUAL(arrivals(new), 0);
	end();
}

/* No request goes to a version whose stage is unknown; the rollout continues when the store is
 * back. */
static void a_store_that_is_away_holds_it_up(void)
{
	struct pw_entry *e[1];

	begin(e, 1);
	load(e, 1, 300);
	roll_out(PW_OK, 0);
	pw_run(50); /* the order has arrived, and mostly no status is written yet */
	pw_store.mode = PW_STORE_DOWN;
	load(e, 1, 1500);
	CU_ASSERT(arrivals(new) <= max_canary_requests());
	pw_store.mode = PW_STORE_OK;
	load(e, 1, DURATION_S * 1000 - 500);
	CU_ASSERT(state_is("app", "completed"));
	CU_ASSERT_EQUAL(failed(), 0);
	end();
}

/* A bad version gets no more requests although the store is down; a surviving instance writes
 * the status later. */
static void a_version_is_rolled_back_while_the_store_is_away(void)
{
	struct pw_entry *e[2];
	int i;

	begin(e, 2);
	roll_out(PW_OK, 0);
	load(e, 2, 700);
	CU_ASSERT(state_is("app", "running"));
	pw_store.mode = PW_STORE_DOWN;
	for (i = 0; i < 3; i++) new[i]->mode = PW_ERROR;
	load(e, 2, 2500);
	CU_ASSERT(arrivals(new) > 0);
	CU_ASSERT(arrivals(new) <= max_canary_requests());
	new[0]->arrivals = new[1]->arrivals = new[2]->arrivals = 0;
	load(e, 2, 500);
	CU_ASSERT_EQUAL(arrivals(new), 0);
	pw_entry_kill(e[0], SIGKILL); /* between the verdict and its write */
	pw_entry_wait(e[0], 500);
	pw_store.mode = PW_STORE_OK;
	load(&e[1], 1, 3000);
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT_EQUAL(arrivals(new), 0);
	end();
}

static void orders_that_cannot_be_read_change_nothing(void)
{
	struct pw_entry *e[1];

	begin(e, 1);
	pw_store_put("op/rollout/app", "no such thing");
	pw_store_put("op/rollout/", "{\"targetVersion\":\"v2\",\"durationS\":5}");
	pw_run(200);
	load(e, 1, 500);
	CU_ASSERT_EQUAL(failed(), 0);
	CU_ASSERT(arrivals(old) >= sent - 2);
	CU_ASSERT(pw_log_has(e[0], "no order to bring in a version"));
	CU_ASSERT(!state_is("app", "running"));
	end();
}

/* Without servers there is no evidence that the version is good. */
static void a_version_without_servers_is_not_completed(void)
{
	struct pw_entry *e[1];

	begin(e, 1);
	order("app", "v9");
	load(e, 1, DURATION_S * 1000);
	CU_ASSERT(state_is("app", "running"));
	CU_ASSERT_EQUAL(failed(), 0);
	end();
}

static void an_order_takes_the_place_of_another(void)
{
	struct pw_server *third;
	struct pw_entry *e[1];
	int before;

	begin(e, 1);
	roll_out(PW_OK, 0);
	load(e, 1, 1000);
	order("app", "v3");
	third = add("app", 0, "v3");
	pw_run(100);
	before = arrivals(new);
	load(e, 1, DURATION_S * 1000);
	CU_ASSERT_EQUAL(arrivals(new), before);
	CU_ASSERT(third->arrivals > 0);
	CU_ASSERT(state_is("app", "completed"));
	CU_ASSERT(state_is("app", "v3"));
	CU_ASSERT_EQUAL(failed(), 0);
	end();
}

/* Starts a stream; the caller disconnects after its first events. */
static struct pw_call *ask_and_run(struct pw_entry *e, int ms)
{
	struct pw_call *c = pw_request(e, "POST", "/sum/", 9000);

	pw_run(ms);
	return c;
}

#define OLD_STREAMS 4

/* Streams that the old version began and that outlast the rollout to a new one. */
static struct pw_server *outlast_a_rollout(struct pw_call **c)
{
	struct pw_server *first;
	struct pw_entry *e;
	int i;

	pw_init();
	pw_settings(SETTINGS);
	pw_conf.timeout_ms = 20000;
	pw_conf_write();
	first = add("llm", 1, "v1");
	first->events = 700; /* of 10 ms each: longer than the rollout */
	e = pw_entry_ready();
	for (i = 0; i < OLD_STREAMS; i++) c[i] = pw_request(e, "POST", "/chat/", 20000);
	pw_run(300);
	order("llm", "v2");
	for (i = 0; i < 2; i++) add("llm", 1, "v2")->events = 700;
	for (i = 0; i < 100; i++) pw_call_cancel(ask_and_run(e, DURATION_S * 10));
	CU_ASSERT(state_is("llm", "completed"));
	return first;
}

/* Streams at the old version go on there as long as its servers serve. */
static void streams_outlive_a_rollout_at_the_old_version(void)
{
	struct pw_call *c[OLD_STREAMS];
	int i;

	outlast_a_rollout(c);
	for (i = 0; i < OLD_STREAMS; i++) {
		CU_ASSERT(pw_call_wait(c[i], 9000));
		CU_ASSERT(pw_stream_complete(c[i], 700));
		CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 1);
	}
	pw_end();
}

/* What the new version would add does not fit to what they hold. */
static void streams_of_an_old_version_that_stopped_are_cut(void)
{
	struct pw_call *c[OLD_STREAMS];
	int i;

	pw_server_crash(outlast_a_rollout(c));
	for (i = 0; i < OLD_STREAMS; i++) {
		CU_ASSERT(pw_call_wait(c[i], 2000));
		CU_ASSERT(c[i]->err != 0);
		CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 1);
	}
	pw_end();
}

/* Only one of the two is bad. */
static void two_services_at_once_are_told_apart(void)
{
	struct pw_entry *e[1];
	struct pw_server *llm[2];
	int64_t until;
	int i;

	begin(e, 1);
	for (i = 0; i < 2; i++) {
		llm[i] = add("llm", 1, i ? "v2" : "v1");
		llm[i]->events = 5;
	}
	pw_run(100);
	order("llm", "v2");
	roll_out(PW_ERROR, 0);
	until = clock_us() + DURATION_S * 1000000LL;
	while (clock_us() < until) {
		load(e, 1, 2 * CALL_INTERVAL_MS);
		pw_request(e[0], "POST", "/sum/", 3000);
	}
	CU_ASSERT(state_is("app", "rolled_back"));
	CU_ASSERT(state_is("llm", "completed"));
	llm[0]->arrivals = 0;
	pw_call_wait(pw_request(e[0], "POST", "/sum/", 3000), 3000);
	CU_ASSERT_EQUAL(llm[0]->arrivals, 0);
	end();
}

static const struct check list[] = {
	{"a_good_version_takes_over_in_time", a_good_version_takes_over_in_time},
	{"a_rollback_outlives_the_return_of_the_store",
	 a_rollback_outlives_the_return_of_the_store},
	{"the_end_of_a_rollout_is_written_again", the_end_of_a_rollout_is_written_again},
	{"a_version_that_fails_is_rolled_back", a_version_that_fails_is_rolled_back},
	{"a_version_that_is_slow_is_rolled_back", a_version_that_is_slow_is_rolled_back},
	{"a_version_that_turns_bad_late_is_rolled_back",
	 a_version_that_turns_bad_late_is_rolled_back},
	{"the_writer_may_be_killed", the_writer_may_be_killed},
	{"what_was_rolled_back_stays_so", what_was_rolled_back_stays_so},
	{"a_store_that_is_away_holds_it_up", a_store_that_is_away_holds_it_up},
	{"a_version_is_rolled_back_while_the_store_is_away",
	 a_version_is_rolled_back_while_the_store_is_away},
	{"orders_that_cannot_be_read_change_nothing",
	 orders_that_cannot_be_read_change_nothing},
	{"a_version_without_servers_is_not_completed",
	 a_version_without_servers_is_not_completed},
	{"an_order_takes_the_place_of_another", an_order_takes_the_place_of_another},
	{"two_services_at_once_are_told_apart", two_services_at_once_are_told_apart},
	{"streams_outlive_a_rollout_at_the_old_version",
	 streams_outlive_a_rollout_at_the_old_version},
	{"streams_of_an_old_version_that_stopped_are_cut",
	 streams_of_an_old_version_that_stopped_are_cut},
};

CHECK_MAIN(list)
