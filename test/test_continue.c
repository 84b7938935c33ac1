/* Streams that an engine breaks off and a later one is to continue, when the later one answers
 * with something else. Its answer must not reach a caller who has a part of the stream. */
#include "check.h"
#include "continue.h"
#include <string.h>

#define LOG_MS 300    /* until a line is written */
#define CHAT "/chat/" /* not resumable */
#define SUM "/sum/"   /* resumable */

static void check_not_continued(enum pw_mode mode, int resume_status)
{
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) continue_add_failing(mode, resume_status);
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 5000);
	continue_check_broken_off(c, CONTINUE_BROKEN_AFTER);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	pw_run(LOG_MS);
	CU_ASSERT(pw_log_has(e, mode == PW_SILENT ? "server_silent" : "may_have_run"));
	CU_ASSERT(pw_log_has(e, "\"why\":\"not_continued\""));
	CU_ASSERT(pw_log_has(e, "\"outcome\":\"broken_off\""));
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_refused_total{reason=\"stream_lost\"}"), 1);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_repeats_total"), 1);
	pw_end();
}

/* The 500 of the engine that was to continue a stream was written into the stream, where a
 * chunk was due. */
static void an_error_of_a_later_engine_is_not_written_into_a_stream(void)
{
	check_not_continued(PW_BREAK, 500);
	check_not_continued(PW_SILENT, 500);
}

/* So were statuses below 500. */
static void a_refusal_of_a_later_engine_is_not_written_into_a_stream(void)
{
	check_not_continued(PW_BREAK, 404);
	check_not_continued(PW_SILENT, 404);
}

/* The second engine closes its connection after the head. That ends an unframed answer, but a
 * run that has begun makes an event: the stream ended as a complete one. */
static void an_unframed_answer_without_an_event_does_not_end_a_stream(void)
{
	struct pw_server *second;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	continue_add_failing(PW_BREAK, 0)->work_ms = 300;
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 5000);
	CU_ASSERT(pw_until(continue_has_run, c, 1000));
	second = continue_add_failing(PW_BREAK, 0);
	second->framing = PW_UNFRAMED;
	second->break_end = PW_BY_END;
	second->break_between = 1;
	continue_check_broken_off(c, CONTINUE_BROKEN_AFTER);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	pw_end();
}

/* How often the caller got an event. */
static int times_received(const struct pw_call *c, int event)
{
	char *text = g_strdup_printf("data: %s-%d\n", c->id, event);
	const char *at = c->body->str;
	int n = 0;

	while ((at = strstr(at, text))) {
		at += strlen(text);
		n++;
	}
	g_free(text);
	return n;
}

static void check_no_ids(enum pw_mode mode, int no_id_from)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = continue_add_failing(mode, 0);
	for (i = 0; i < 2; i++) s[i]->no_id_from = no_id_from;
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 3000);
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(c->err != 0);
	for (i = 1; i <= CONTINUE_BROKEN_AFTER; i++) CU_ASSERT_EQUAL(times_received(c, i), 1);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	pw_end();
}

/* A later engine can't be told where to continue: it began at the last id, or at the start, and
 * the caller got events twice. */
static void a_stream_whose_last_event_has_no_id_is_not_continued(void)
{
	check_no_ids(PW_BREAK, 1);
	check_no_ids(PW_BREAK, 6);
	check_no_ids(PW_SILENT, 6);
}

/* The same from the replica of a run, which a request without an id asks for from the start. */
static void a_stream_whose_last_event_has_no_id_is_not_taken_to_its_replica(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = continue_add_engine();
	for (i = 0; i < 2; i++) s[i]->no_id_from = 6;
	for (i = 0; i < 2; i++) s[i]->events = 120;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 5000);
	pw_run(600);
	CU_ASSERT(pw_run_of(c->id, 0)->backup[0] != '\0');
	pw_run_of(c->id, 0)->server->mode = PW_BREAK;
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(c->err != 0);
	for (i = 1; i <= 120; i++) CU_ASSERT(times_received(c, i) <= 1);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	pw_end();
}

/* A success that is no event stream was written into the stream as an event, and its end ended
 * the stream as a complete one. */
static void a_success_without_events_does_not_end_a_stream(void)
{
	check_not_continued(PW_BREAK, 200);
	check_not_continued(PW_BREAK, 204);
}

/* The same where the stream was to go on from a replica of its memory. */
static void check_replica(int resume_status)
{
	struct pw_server *s[2], *first;
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = continue_add_engine();
	for (i = 0; i < 2; i++) s[i]->events = 120;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 5000);
	pw_run(600);
	first = pw_run_of(c->id, 0)->server;
	CU_ASSERT(pw_run_of(c->id, 0)->backup[0] != '\0');
	(first == s[0] ? s[1] : s[0])->resume_status = resume_status;
	first->mode = PW_BREAK;
	continue_check_broken_off(c, 120);
	CU_ASSERT(pw_runs_of(c->id) > 1);
	pw_end();
}

static void an_answer_without_events_of_an_engine_with_a_replica_is_not_passed_on(void)
{
	check_replica(200);
	check_replica(204);
	check_replica(404);
	check_replica(500);
}

/* The second engine answers with this status; by then the first one has recovered. */
static void check_third_run(int resume_status)
{
	struct pw_server *first;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_conf.resume_attempts = 3;
	pw_conf.version++;
	pw_conf_write();
	first = continue_add_failing(PW_BREAK, resume_status);
	first->work_ms = 300;
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 5000);
	CU_ASSERT(pw_until(continue_has_run, c, 1000));
	continue_add_failing(PW_BREAK, resume_status)->work_ms = 200;
	CU_ASSERT(pw_until(continue_has_second_run, c, 2000));
	first->mode = PW_OK;
	first->resume_status = 0;
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_stream_complete(c, CONTINUE_EVENTS));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 3);
	pw_end();
}

/* An answer below 500 ended the request at once, even with attempts left. */
static void a_stream_that_a_later_engine_refuses_has_its_other_attempts(void)
{
	check_third_run(500);
	check_third_run(404);
}

static const struct check list[] = {
	{"an_error_of_a_later_engine_is_not_written_into_a_stream",
	 an_error_of_a_later_engine_is_not_written_into_a_stream},
	{"a_refusal_of_a_later_engine_is_not_written_into_a_stream",
	 a_refusal_of_a_later_engine_is_not_written_into_a_stream},
	{"an_unframed_answer_without_an_event_does_not_end_a_stream",
	 an_unframed_answer_without_an_event_does_not_end_a_stream},
	{"a_stream_whose_last_event_has_no_id_is_not_continued",
	 a_stream_whose_last_event_has_no_id_is_not_continued},
	{"a_stream_whose_last_event_has_no_id_is_not_taken_to_its_replica",
	 a_stream_whose_last_event_has_no_id_is_not_taken_to_its_replica},
	{"a_success_without_events_does_not_end_a_stream",
	 a_success_without_events_does_not_end_a_stream},
	{"an_answer_without_events_of_an_engine_with_a_replica_is_not_passed_on",
	 an_answer_without_events_of_an_engine_with_a_replica_is_not_passed_on},
	{"a_stream_that_a_later_engine_refuses_has_its_other_attempts",
	 a_stream_that_a_later_engine_refuses_has_its_other_attempts},
};

CHECK_MAIN(list)
