/* Notices of servers in their answers: that they leave, and that they ask for back-off. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>

#define SERVERS 5
#define DRAIN_MS 2000
#define CALL_EACH_MS 10 /* between two calls */
#define LEAVES "Server-Leaving: 1\r\n"

static struct pw_entry *e[3];
static struct pw_server *s[SERVERS];
static GPtrArray *calls;
static int nservers = SERVERS;
static const char *settings; /* of the instances; NULL: the default */

static void start(int instances)
{
	int i;

	pw_init();
	if (settings) pw_settings(settings);
	calls = g_ptr_array_new();
	for (i = 0; i < nservers; i++) {
		s[i] = pw_server_add("app", 0);
		s[i]->work_ms = 25;
	}
	for (i = 0; i < instances; i++) e[i] = pw_entry_ready();
	pw_run(800);
}

static void finish(void)
{
	g_ptr_array_free(calls, TRUE);
	pw_end();
}

static int deadline_ms = 2000;

static void call_for(int instances, int ms)
{
	int64_t until = clock_us() + ms * 1000LL;

	while (clock_us() < until) {
		g_ptr_array_add(calls, pw_request(e[calls->len % (unsigned)instances], "POST",
						  "/safe/", deadline_ms));
		pw_run(CALL_EACH_MS);
	}
}

static int not_served(void)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < calls->len; i++) {
		struct pw_call *c = g_ptr_array_index(calls, i);

		pw_call_wait(c, 2500);
		if (c->status == 200) continue;
		n++;
		fprintf(stderr, "call %u: status %d after %.0f ms\n", i, c->status,
			(c->ended_us - c->began_us) / 1e3);
	}
	return n;
}

/* Its answers announce that it leaves, but its entry does not. The store is silent for longer
 * than instances may serve keyed requests by default: the last confirmation is up to 1.8 s old.
 */
static void a_server_that_leaves_by_its_answers_gets_nothing_new(void)
{
	settings = "bounds.revokeMs=9000\n";
	start(3);
	pw_store.mode = PW_STORE_SILENT;
	s[0]->extra_fields = LEAVES;
	call_for(3, DRAIN_MS);
	s[0]->arrivals = 0;
	call_for(3, 1500);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT_EQUAL(not_served(), 0);
	settings = NULL;
	finish();
}

/* Its entry shows it as ready all the time, and is written again. */
static void word_that_a_server_leaves_comes_to_instances_that_start(void)
{
	start(3);
	s[0]->extra_fields = LEAVES;
	call_for(2, 500);
	pw_entry_kill(e[2], SIGKILL);
	pw_entry_wait(e[2], 1000);
	pw_server_list(s[0], "ready");
	pw_entry_restart(e[2]);
	CU_ASSERT(pw_entry_until_ready(e[2]));
	s[0]->arrivals = 0;
	call_for(3, 1000);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	finish();
}

static void a_server_that_leaves_is_not_taken_back_when_its_entry_lapsed(void)
{
	start(2);
	s[0]->extra_fields = LEAVES;
	call_for(2, 500);
	pw_server_unlist(s[0]);
	pw_run(300);
	pw_server_list(s[0], "ready");
	pw_run(300);
	s[0]->arrivals = 0;
	call_for(2, 500);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	finish();
}

/* A full server that leaves rejects a request, and its answer announces that it leaves. */
static void what_was_turned_away_is_told_that_a_server_leaves_too(void)
{
	start(1);
	s[0]->mode = PW_FULL;
	s[0]->extra_fields = LEAVES;
	call_for(1, 400);
	s[0]->mode = PW_OK;
	s[0]->arrivals = 0;
	call_for(1, 400);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT_EQUAL(not_served(), 0);
	finish();
}

static void streams_leave_an_engine_whose_answer_says_that_it_leaves(void)
{
	struct pw_server *first;
	struct pw_call *c[4];
	int i;

	pw_init();
	first = pw_server_add("llm", 1);
	first->events = 200;
	e[0] = pw_entry_ready();
	for (i = 0; i < 4; i++) {
		if (i == 3) first->extra_fields = LEAVES;
		c[i] = pw_request(e[0], "POST", "/chat/", 9000);
		pw_run(100);
	}
	pw_server_add("llm", 1)->events = 200;
	for (i = 0; i < 4; i++) {
		CU_ASSERT(pw_call_wait(c[i], 6000));
		CU_ASSERT(pw_stream_complete(c[i], 200));
		CU_ASSERT(pw_runs_of(c[i]->id) > 1);
	}
	pw_end();
}

#define BACKOFF "Retry-After: 1.5\r\n"
#define BACKOFF_MS 1500
#define BACKOFF_FROM_MS 500    /* requests in flight at the start may still arrive */
#define BACKOFF_REQUESTS_MAX 2 /* from one instance in the remaining time */

/* Makes the servers reject all requests and ask each instance for back-off. */
static void ask_for_backoff(int servers)
{
	int i;

	for (i = 0; i < servers; i++) {
		s[i]->mode = PW_FULL;
		s[i]->extra_fields = BACKOFF;
	}
}

/* The most requests that one instance sent any server during its back-off. */
static int max_in_a_backoff(void)
{
	int i, most = 0;

	for (i = 0; i < SERVERS; i++)
		if (s[i]->mode == PW_FULL)
			most = MAX(most, pw_server_max_arrivals(s[i], clock_us() - 60000000,
								BACKOFF_MS - BACKOFF_FROM_MS));
	return most;
}

static void a_server_that_asked_for_rest_has_it(void)
{
	start(1);
	ask_for_backoff(1);
	call_for(1, 4500);
	CU_ASSERT(max_in_a_backoff() <= BACKOFF_REQUESTS_MAX);
	CU_ASSERT(s[0]->arrivals >= 2); /* requests are sent again after it */
	CU_ASSERT_EQUAL(not_served(), 0);
	fprintf(stderr, "%d arrivals\n", s[0]->arrivals);
	finish();
}

/* No server may get a request: callers are refused at once, with the time when one may. */
static void where_all_servers_rest_callers_have_their_answer_at_once(void)
{
	uint32_t i, refused = 0, slow = 0, too_soon = 0;

	start(1);
	ask_for_backoff(SERVERS);
	deadline_ms = 600;
	call_for(1, 3000);
	not_served();
	for (i = 0; i < calls->len; i++) {
		const struct pw_call *c = g_ptr_array_index(calls, i);
		double retry_s = g_ascii_strtod(c->retry_after, NULL);
		int k, with_arrivals = 0;

		CU_ASSERT_EQUAL(c->status, 503);
		refused++;
		slow += c->ended_us - c->began_us > 650000;
		for (k = 0; k < SERVERS; k++) with_arrivals += s[k]->arrivals > 0;
		too_soon += with_arrivals == SERVERS && retry_s <= 0;
	}
	CU_ASSERT(refused > 100);
	CU_ASSERT_EQUAL(slow, 0);
	CU_ASSERT_EQUAL(too_soon, 0);
	CU_ASSERT(max_in_a_backoff() <= BACKOFF_REQUESTS_MAX);
	CU_ASSERT(pw_metric(e[0], "saddlehead_refused_total{reason=\"servers_paced\"}") > 50);
	CU_ASSERT(pw_log_has(e[0], "\"why\":\"rest\""));
	deadline_ms = 2000;
	finish();
}

/* Requests that wait for the end of a back-off must not all be sent at once. */
static void what_waited_for_a_rest_comes_back_little_by_little(void)
{
	int64_t from;

	nservers = 1;
	start(1);
	ask_for_backoff(1);
	call_for(1, 200);
	s[0]->mode = PW_OK;
	s[0]->extra_fields = NULL;
	from = clock_us();
	call_for(1, 1300);
	pw_run(700);
	CU_ASSERT(pw_server_max_arrivals(s[0], from, 2000) > 60);
	CU_ASSERT(pw_server_max_arrivals(s[0], from, 15) <= 16);
	nservers = SERVERS;
	finish();
}

/* Negative, infinite, empty or huge values and dates: the server gets requests again soon. */
static void rests_that_are_no_numbers_keep_nobody_out(void)
{
	static const char *const headers[] = {"Retry-After: -3\r\n", "Retry-After: inf\r\n",
					      "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n",
					      "Retry-After: \r\n", "Retry-After: 1e9\r\n"};
	uint32_t i;

	start(1);
	for (i = 0; i < G_N_ELEMENTS(headers); i++) {
		s[0]->mode = PW_FULL;
		s[0]->extra_fields = headers[i];
		call_for(1, 250);
	}
	CU_ASSERT(pw_metric(e[0], "saddlehead_notices_unread_total") >= 5);
	s[0]->mode = PW_OK;
	s[0]->extra_fields = NULL;
	s[0]->arrivals = 0;
	call_for(1, 500);
	CU_ASSERT(s[0]->arrivals > 0);
	CU_ASSERT_EQUAL(not_served(), 0);
	finish();
}

/* Of two values in one head, or in successive answers, the longer one counts. */
static void the_longest_rest_counts(void)
{
	start(1);
	s[0]->mode = PW_FULL;
	s[0]->extra_fields = "Retry-After: 0.1\r\nRetry-After: 2\r\n";
	call_for(1, 1900);
	CU_ASSERT(s[0]->arrivals <= BACKOFF_REQUESTS_MAX);
	CU_ASSERT_EQUAL(not_served(), 0);
	finish();
}

/* Reports and health checks are requests too. */
static void an_engine_that_rests_is_not_asked_how_it_is(void)
{
	struct pw_server *first;
	struct pw_call *c;
	int most;

	pw_init();
	first = pw_server_add("llm", 1);
	first->events = 500;
	e[0] = pw_entry_ready();
	c = pw_request(e[0], "POST", "/chat/", 9000);
	pw_run(300);
	first->mode = PW_FULL;
	first->extra_fields = "Retry-After: 3\r\n";
	first->unhealthy = 1; /* its health check answers 503 too */
	pw_store.mode = PW_STORE_DOWN;
	pw_run(5000);
	most = pw_server_max_arrivals(first, clock_us() - 4000000, 2500);
	CU_ASSERT(first->checks + first->reports > 0);
	CU_ASSERT(most <= BACKOFF_REQUESTS_MAX);
	pw_call_cancel(c);
	pw_end();
}

/* Its answers to orders and reports ask for back-off as well. The run of its stream is over,
 * and the connection to the instance silent. */
static void an_engine_that_rests_gets_no_orders_to_move_streams(void)
{
	struct pw_server *first;
	struct pw_call *c;

	pw_init();
	first = pw_server_add("llm", 1);
	first->events = 500;
	e[0] = pw_entry_ready();
	c = pw_request(e[0], "POST", "/chat/", 9000);
	pw_run(300);
	pw_server_add("llm", 1);
	pw_server_list(first, "draining");
	first->move_status = 404;
	first->extra_fields = BACKOFF;
	pw_run(4000);
	CU_ASSERT(first->moves > 0);
	CU_ASSERT(pw_server_max_arrivals(first, clock_us() - 60000000,
					 BACKOFF_MS - BACKOFF_FROM_MS) <= BACKOFF_REQUESTS_MAX);
	pw_call_cancel(c);
	pw_end();
}

/* An application's answer is for the caller, whatever time it names. */
static void an_application_that_names_a_time_to_callers_keeps_its_server(void)
{
	start(1);
	s[0]->extra_fields = BACKOFF;
	call_for(1, 500);
	s[0]->arrivals = 0;
	call_for(1, 500);
	CU_ASSERT(s[0]->arrivals > 0);
	CU_ASSERT_EQUAL(not_served(), 0);
	finish();
}

#define LATE_MS 400 /* longer than an answer is waited for: 0.6 of the objective */
#define FULL_LATE                                                     \
	"HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n" \
	"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
#define WAVE 8

/* A call whose server is silent was queued for servers at rest, was then turned away, and was
 * queued once more; when it ended, the queue still held it, and the instance crashed. */
static void a_call_that_is_turned_away_while_it_waits_is_queued_once(void)
{
	struct pw_call *c[2 * WAVE];
	struct pw_server *full[2];
	struct pw_entry *at = pw_init_with(full, 2);
	int i, status, served = 0;

	for (i = 0; i < 2; i++) {
		full[i]->mode = PW_RAW;
		full[i]->raw_answer = FULL_LATE;
		full[i]->work_ms = LATE_MS;
	}
	for (i = 0; i < WAVE; i++) c[i] = pw_request(at, "POST", "/unsafe/", 4000);
	pw_run(LATE_MS / 2);
	for (; i < 2 * WAVE; i++) c[i] = pw_request(at, "GET", "/safe/", 4000);
	pw_run(LATE_MS + 200);
	for (i = 0; i < 2; i++) {
		full[i]->mode = PW_OK;
		full[i]->work_ms = 5;
	}
	for (i = 0; i < 2 * WAVE; i++) {
		CU_ASSERT(pw_call_wait(c[i], 4500));
		served += c[i]->status == 200;
	}
	CU_ASSERT(served > 0);
	CU_ASSERT(!pw_entry_ended(at, &status));
	CU_ASSERT_EQUAL(pw_metric(at, "saddlehead_waiting"), 0);
	pw_end();
}

static const struct check list[] = {
	{"an_engine_that_rests_gets_no_orders_to_move_streams",
	 an_engine_that_rests_gets_no_orders_to_move_streams},
	{"an_application_that_names_a_time_to_callers_keeps_its_server",
	 an_application_that_names_a_time_to_callers_keeps_its_server},
	{"where_all_servers_rest_callers_have_their_answer_at_once",
	 where_all_servers_rest_callers_have_their_answer_at_once},
	{"what_waited_for_a_rest_comes_back_little_by_little",
	 what_waited_for_a_rest_comes_back_little_by_little},
	{"rests_that_are_no_numbers_keep_nobody_out",
	 rests_that_are_no_numbers_keep_nobody_out},
	{"the_longest_rest_counts", the_longest_rest_counts},
	{"an_engine_that_rests_is_not_asked_how_it_is",
	 an_engine_that_rests_is_not_asked_how_it_is},
	{"a_server_that_asked_for_rest_has_it", a_server_that_asked_for_rest_has_it},
	{"word_that_a_server_leaves_comes_to_instances_that_start",
	 word_that_a_server_leaves_comes_to_instances_that_start},
	{"a_server_that_leaves_is_not_taken_back_when_its_entry_lapsed",
	 a_server_that_leaves_is_not_taken_back_when_its_entry_lapsed},
	{"what_was_turned_away_is_told_that_a_server_leaves_too",
	 what_was_turned_away_is_told_that_a_server_leaves_too},
	{"streams_leave_an_engine_whose_answer_says_that_it_leaves",
	 streams_leave_an_engine_whose_answer_says_that_it_leaves},
	{"a_server_that_leaves_by_its_answers_gets_nothing_new",
	 a_server_that_leaves_by_its_answers_gets_nothing_new},
	{"a_call_that_is_turned_away_while_it_waits_is_queued_once",
	 a_call_that_is_turned_away_while_it_waits_is_queued_once},
};

CHECK_MAIN(list)
