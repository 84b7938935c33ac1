/* The ways by which a stream that has begun comes to a later engine, each with an answer that
 * does not continue it. */
#include "check.h"
#include "continue.h"
#include "tunneled.h"
#include <string.h>

#define CHAT "/chat/" /* not resumable */
#define SUM "/sum/"   /* resumable */
#define LOG_MS 300    /* until a line is written */
#define START_MS 300  /* of the first engine: others are listed meanwhile */

static const int answers[] = {200, 204, 404, 500};

/* The first engine of a stream, which it loses; later ones are to be added. */
static struct pw_call *begin_at_first(struct pw_entry **e)
{
	struct pw_call *c;

	pw_init();
	continue_add_failing(PW_BREAK, 0)->work_ms = START_MS;
	*e = pw_entry_ready();
	c = pw_request(*e, "POST", SUM, 5000);
	CU_ASSERT(pw_until(continue_has_run, c, 1000));
	return c;
}

static void check_second_mode(enum pw_mode mode, int resume_status)
{
	struct pw_entry *e;
	struct pw_call *c = begin_at_first(&e);

	continue_add_failing(mode, resume_status);
	continue_check_broken_off(c, CONTINUE_BROKEN_AFTER);
	CU_ASSERT(pw_call_wait(pw_request(e, "POST", SUM, 500), 1500));
	pw_end();
}

static void an_answer_that_is_not_valid_is_not_written_into_a_stream(void)
{
	static const enum pw_mode modes[] = {PW_CUT_HEAD,  PW_GARBAGE,  PW_RESET,
					     PW_WRONG_ID,  PW_UNSIGNED, PW_ENCODED,
					     PW_FALSE_503, PW_FULL,     PW_ENDLESS_HEAD};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) check_second_mode(modes[i], 0);
}

static void an_answer_without_a_length_is_not_written_into_a_stream(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++)
		check_second_mode(PW_UNTIL_CLOSE, answers[i]);
}

static void an_answer_by_way_of_another_instance_is_not_written_into_a_stream(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct pw_entry *e[2];
		struct pw_call *c;
		int k;

		pw_init();
		pw_entry_program = "test/entry_jump";
		for (k = 0; k < 2; k++) pw_server_add("app", 0);
		for (k = 0; k < 2; k++) continue_add_failing(PW_BREAK, answers[i]);
		tunneled_start(e);
		c = pw_request(e[0], "POST", SUM, 5000);
		continue_check_broken_off(c, CONTINUE_BROKEN_AFTER);
		CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
		pw_run(LOG_MS);
		CU_ASSERT(pw_log_has(e[0], "\"why\":\"not_continued\""));
		CU_ASSERT(pw_metric(e[0], "saddlehead_tunnels_total") > 0);
		pw_end();
	}
	pw_entry_program = "saddlehead-entry";
}

/* The stream was moved to the engine that does not continue it at each of its events, until no
 * repeat was left; then it was lost, though its source still had its memory. */
static void a_stream_whose_moved_copy_is_not_continued_goes_on_at_its_source(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct pw_server *first;
		struct pw_entry *e;
		struct pw_call *c;

		pw_init();
		pw_conf.no_replicas = 1;
		pw_conf.version++;
		pw_conf_write();
		first = continue_add_engine();
		first->events = 120;
		e = pw_entry_ready();
		c = pw_request(e, "POST", CHAT, 9000);
		pw_run(300);
		continue_add_failing(PW_OK, answers[i])->events = 120;
		pw_run(100);
		pw_server_list(first, "draining");
		CU_ASSERT(pw_call_wait(c, 4000));
		CU_ASSERT(pw_stream_complete(c, 120));
		CU_ASSERT_EQUAL(pw_runs_of(c->id), 3);
		CU_ASSERT(first->moves > 0);
		CU_ASSERT(pw_run_of(c->id, 1) &&
			  pw_run_of(c->id, 1)->resume_status == answers[i]);
		pw_end();
	}
}

/* The only other engine takes a request a second, and has just had one. */
static void check_after_wait(int resume_status)
{
	struct pw_server *first, *second;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	second = continue_add_failing(PW_OK, resume_status);
	second->extra_fields = "Server-Limit: 1\r\n";
	e = pw_entry_ready();
	CU_ASSERT(pw_call_wait(pw_request(e, "POST", SUM, 5000), 2000));
	first = continue_add_failing(PW_BREAK, 0);
	pw_run(100);
	CU_ASSERT(pw_call_wait(pw_request(e, "POST", CHAT, 5000), 2000));
	c = pw_request(e, "POST", SUM, 5000);
	CU_ASSERT(pw_until(continue_has_run, c, 1000));
	CU_ASSERT(pw_run_of(c->id, 0)->server == first);
	pw_server_list(first, "draining");
	continue_check_broken_off(c, CONTINUE_BROKEN_AFTER);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	CU_ASSERT(pw_run_of(c->id, 1) && pw_run_of(c->id, 1)->server == second);
	CU_ASSERT(pw_run_of(c->id, 1)->began_us - pw_run_of(c->id, 0)->ended_us > 100000);
	pw_end();
}

static void an_answer_after_a_wait_is_not_written_into_a_stream(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) check_after_wait(answers[i]);
}

#define LARGE 20000    /* bytes of an event */
#define FILLED_MS 8000 /* until the buffers of a caller that does not read are full */

static int reads_no_more(void *arg)
{
	return pw_metric(arg, "saddlehead_reader_pauses_total") > 0;
}

static int has_begun(void *arg)
{
	return ((struct pw_call *)arg)->events > 0;
}

/* Events that the instance holds for its reader, and then a break. */
static void check_slow_reader(int resume_status)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) {
		s[i] = continue_add_failing(PW_OK, resume_status);
		s[i]->event_bytes = LARGE;
		s[i]->event_ms = 2;
		s[i]->events = 10000;
	}
	pw_conf.timeout_ms = 20000;
	pw_conf.version++;
	pw_conf_write();
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 20000);
	CU_ASSERT(pw_until(has_begun, c, 1000));
	hx_pause(c->x, 1);
	CU_ASSERT(pw_until(reads_no_more, e, FILLED_MS));
	pw_server_crash(pw_run_of(c->id, 0)->server);
	pw_run(500);
	if (c->x) hx_pause(c->x, 0);
	CU_ASSERT(pw_call_wait(c, 5000));
	CU_ASSERT(c->err != 0);
	CU_ASSERT_PTR_NULL(strstr(c->body->str, "HTTP/1.1"));
	CU_ASSERT_PTR_NULL(strstr(c->body->str, "answer to"));
	CU_ASSERT(g_str_has_prefix(c->body->str, "id: 1\n"));
	pw_end();
}

static void a_slow_reader_gets_no_other_answer_in_its_stream(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) check_slow_reader(answers[i]);
}

#define FIRST 3
#define STREAMS 8

/* Engines that leave lose streams, which go to two others, which answer so. */
static int engines_are_ejected(int resume_status)
{
	struct pw_server *first[FIRST];
	struct pw_entry *e;
	int i, ejected;

	pw_init();
	pw_settings("bounds.retryBudgetRatio=1\nbounds.budgetSlack=200\n");
	pw_conf.target_latency_ms = 5000; /* nothing is refused for its wait */
	pw_conf.version++;
	pw_conf_write();
	for (i = 0; i < FIRST; i++) {
		first[i] = continue_add_failing(PW_BREAK, 0);
		first[i]->work_ms = START_MS;
	}
	e = pw_entry_ready();
	for (i = 0; i < STREAMS; i++) pw_request(e, "POST", SUM, 3000);
	pw_run(100);
	for (i = 0; i < 2; i++) continue_add_failing(PW_OK, resume_status);
	for (i = 0; i < FIRST; i++) pw_server_list(first[i], "draining");
	pw_run(1000);
	ejected = pw_log_has(e, "\"why\":\"answers with failures\"");
	CU_ASSERT(pw_log_has(e, "\"why\":\"not_continued\""));
	pw_settings(NULL);
	pw_end();
	return ejected;
}

/* A 404 is a word about the request; it is not charged to its engine. */
static void engines_that_fail_to_continue_streams_are_ejected(void)
{
	CU_ASSERT(engines_are_ejected(500));
	CU_ASSERT(engines_are_ejected(200));
	CU_ASSERT(engines_are_ejected(204));
	CU_ASSERT(!engines_are_ejected(404));
}

static const struct check list[] = {
	{"an_answer_that_is_not_valid_is_not_written_into_a_stream",
	 an_answer_that_is_not_valid_is_not_written_into_a_stream},
	{"an_answer_without_a_length_is_not_written_into_a_stream",
	 an_answer_without_a_length_is_not_written_into_a_stream},
	{"an_answer_by_way_of_another_instance_is_not_written_into_a_stream",
	 an_answer_by_way_of_another_instance_is_not_written_into_a_stream},
	{"a_stream_whose_moved_copy_is_not_continued_goes_on_at_its_source",
	 a_stream_whose_moved_copy_is_not_continued_goes_on_at_its_source},
	{"an_answer_after_a_wait_is_not_written_into_a_stream",
	 an_answer_after_a_wait_is_not_written_into_a_stream},
	{"a_slow_reader_gets_no_other_answer_in_its_stream",
	 a_slow_reader_gets_no_other_answer_in_its_stream},
	{"engines_that_fail_to_continue_streams_are_ejected",
	 engines_that_fail_to_continue_streams_are_ejected},
};

CHECK_MAIN(list)
