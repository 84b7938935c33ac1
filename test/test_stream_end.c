/* How streams end: an engine may frame its answer by a length, by chunks, or by closing its
 * connection, and break off inside an event all the same. */
#include "check.h"
#include "partition.h"
#include "pw.h"
#include "tunneled.h"
#include <signal.h>
#include <string.h>

#define EVENTS 30
#define EVENT_MS 10
#define LOG_MS 300    /* until a line is written */
#define CHAT "/chat/" /* not resumable */
#define SUM "/sum/"   /* resumable */

static const enum pw_framing framings[] = {PW_CHUNKED, PW_WITH_LENGTH, PW_UNFRAMED};

static struct pw_server *add_engine(enum pw_framing f)
{
	struct pw_server *s = pw_server_add("llm", 1);

	s->framing = f;
	s->break_end = PW_BY_END;
	s->events = EVENTS;
	s->event_ms = EVENT_MS;
	return s;
}

/* Its streams end inside the event after so many. */
static struct pw_server *add_broken_engine(enum pw_framing f, int events)
{
	struct pw_server *s = add_engine(f);

	s->mode = PW_BREAK;
	s->break_after = events;
	return s;
}

static void check_cut(enum pw_framing f, int events)
{
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	add_broken_engine(f, events);
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 5000);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	if (events) {
		CU_ASSERT_EQUAL(c->status, 200);
		CU_ASSERT(c->err != 0);
		CU_ASSERT(pw_has_whole_events(c, events));
	} else {
		CU_ASSERT_EQUAL(c->status, 502);
		CU_ASSERT_PTR_NULL(strstr(c->body->str, "id: 99"));
	}
	pw_run(LOG_MS);
	CU_ASSERT(pw_log_has(e, "\"event\":\"exchange_broke\""));
	pw_end();
}

static void a_stream_that_ends_inside_an_event_is_not_complete(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) check_cut(framings[i], 10);
}

static void a_stream_that_ends_inside_its_first_event_is_not_complete(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) check_cut(framings[i], 0);
}

/* A run that has begun makes an event. */
static void an_unframed_stream_without_an_event_is_not_complete(void)
{
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	add_broken_engine(PW_UNFRAMED, 0)->break_between = 1;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 5000);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT_EQUAL(c->status, 502);
	pw_end();
}

static void check_resumed(enum pw_framing f, int events)
{
	struct pw_server *s;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	s = add_broken_engine(f, events);
	s->work_ms = 300;
	e = pw_entry_ready();
	c = pw_request(e, "POST", SUM, 5000);
	pw_run(50);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	add_engine(f);
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	pw_end();
}

static void a_resumable_stream_that_ends_inside_an_event_goes_on(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) {
		check_resumed(framings[i], 10);
		check_resumed(framings[i], 0);
	}
}

static void check_replica(enum pw_framing f)
{
	struct pw_server *s[2];
	struct pw_run *second;
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = add_engine(f);
	for (i = 0; i < 2; i++) s[i]->events = 120;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 9000);
	pw_run(600);
	CU_ASSERT(pw_run_of(c->id, 0)->backup[0] != '\0');
	pw_run_of(c->id, 0)->server->mode = PW_BREAK;
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_stream_complete(c, 120));
	second = pw_run_of(c->id, 1);
	CU_ASSERT(second && second->copy[0] && !pw_run_of(c->id, 2));
	pw_end();
}

static void a_stream_that_ends_inside_an_event_goes_on_from_its_replica(void)
{
	check_replica(PW_CHUNKED);
	check_replica(PW_UNFRAMED);
}

/* A stream without a usable replica, whose engine leaves. */
static struct pw_call *moved_stream(void)
{
	struct pw_server *s[2], *first;
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = add_engine(PW_UNFRAMED);
	for (i = 0; i < 2; i++) s[i]->events = 120;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 9000);
	pw_run(300);
	first = pw_run_of(c->id, 0)->server;
	first->stop_closes = 1;
	pw_server_list(first == s[0] ? s[1] : s[0], "draining");
	pw_run(100);
	add_engine(PW_UNFRAMED)->events = 120;
	pw_run(300);
	pw_server_list(first, "draining");
	return c;
}

/* The source stops between two events and closes its connection: that is how a complete answer
 * without a length ends, too. */
static void a_source_that_stops_for_a_move_does_not_end_the_stream(void)
{
	struct pw_call *c = moved_stream();

	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_stream_complete(c, 120));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	CU_ASSERT(pw_run_of(c->id, 0)->stopped);
	pw_end();
}

/* Whether it stopped is not known. */
static void a_stream_whose_order_to_stop_was_not_answered_is_not_complete(void)
{
	struct pw_call *c = moved_stream();
	struct pw_server *s = pw_run_of(c->id, 0)->server;

	s->stop_unanswered = 1;
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(pw_run_of(c->id, 0)->stopped);
	CU_ASSERT(c->err != 0);
	CU_ASSERT(pw_has_whole_events(c, 120));
	pw_end();
}

static int is_moving(void *arg)
{
	return ((struct pw_server *)arg)->moves > 0;
}

/* The run ends by itself while the order to stop it is on its way. */
static void a_stream_that_is_complete_before_its_source_is_stopped_ends(void)
{
	struct pw_call *c = moved_stream();
	struct pw_server *s = pw_run_of(c->id, 0)->server;

	s->stop_ms = 300;
	CU_ASSERT(pw_until(is_moving, s, 2000));
	s->events = pw_run_of(c->id, 0)->events + 3;
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT(pw_stream_complete(c, s->events));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	pw_run(s->stop_ms); /* the order's timer refers to the server */
	pw_end();
}

#define LARGE 20000    /* bytes of an event */
#define FILLED_MS 8000 /* until the buffers of a caller that does not read are full */

static int has_begun(void *arg)
{
	return ((struct pw_call *)arg)->events > 0;
}

static int reads_no_more(void *arg)
{
	return pw_metric(arg, "saddlehead_reader_pauses_total") > 0;
}

/* A caller reads nothing until its instance has stopped reading the engine's answer, and the
 * engine has then sent the rest of it. */
static struct pw_call *call_of_slow_reader(struct pw_server *s)
{
	struct pw_entry *e;
	struct pw_call *c;

	s->event_bytes = LARGE;
	s->event_ms = 2;
	s->events = 10000;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 20000);
	CU_ASSERT(pw_until(has_begun, c, 1000));
	hx_pause(c->x, 1);
	CU_ASSERT(pw_until(reads_no_more, e, FILLED_MS));
	return c;
}

static void read_on(struct pw_call *c)
{
	pw_run(300);
	CU_ASSERT(c->x != NULL);
	if (c->x) hx_pause(c->x, 0);
	CU_ASSERT(pw_call_wait(c, 5000));
}

static int count_events(const struct pw_call *c)
{
	const char *p = c->body->str;
	int n = 0;

	while ((p = strstr(p, "\n\n"))) {
		n++;
		p += 2;
	}
	return n;
}

/* The engine's end of the connection was seen while its last bytes were not read yet. */
static void a_slow_reader_gets_the_whole_of_a_stream(enum pw_framing f)
{
	struct pw_server *s;
	struct pw_call *c;

	pw_init();
	s = add_engine(f);
	c = call_of_slow_reader(s);
	s->events = pw_run_of(c->id, 0)->events + 1;
	read_on(c);
	CU_ASSERT_EQUAL(c->err, 0);
	CU_ASSERT_EQUAL(count_events(c), s->events);
	pw_end();
}

static void a_slow_reader_gets_the_whole_of_an_unframed_stream(void)
{
	a_slow_reader_gets_the_whole_of_a_stream(PW_UNFRAMED);
}

static void a_slow_reader_gets_the_whole_of_a_chunked_stream(void)
{
	a_slow_reader_gets_the_whole_of_a_stream(PW_CHUNKED);
}

/* Whether the caller got the engine's events, the last one perhaps in part: a reset drops what
 * its connection had not carried yet. */
static int begins_with_events(const struct pw_call *c)
{
	GString *want = g_string_new(NULL);
	int i, same;

	for (i = 1; want->len < c->body->len; i++) {
		g_string_append_printf(want, "id: %d\ndata: %s-%d ", i, c->id, i);
		g_string_set_size(want, want->len + LARGE);
		memset(want->str + want->len - LARGE, '.', LARGE);
		g_string_append(want, "\n\n");
	}
	same = g_str_has_prefix(want->str, c->body->str);
	g_string_free(want, TRUE);
	return same;
}

static void a_slow_reader_is_not_told_that_a_broken_stream_is_complete(void)
{
	struct pw_server *s;
	struct pw_call *c;

	pw_init();
	s = add_engine(PW_UNFRAMED);
	c = call_of_slow_reader(s);
	s->mode = PW_BREAK;
	read_on(c);
	CU_ASSERT(c->err != 0);
	CU_ASSERT(count_events(c) > 0 && begins_with_events(c));
	pw_end();
}

static void a_complete_stream_is_served_however_it_is_framed(void)
{
	static const char *const paths[] = {CHAT, SUM};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings) * 2; i++) {
		struct pw_entry *e;
		struct pw_call *c;

		pw_init();
		add_engine(framings[i / 2]);
		e = pw_entry_ready();
		c = pw_request(e, "POST", paths[i % 2], 5000);
		CU_ASSERT(pw_call_wait(c, 3000));
		CU_ASSERT(pw_stream_complete(c, EVENTS));
		CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
		pw_end();
	}
}

static struct pw_call *call_through_tunnel(struct pw_entry **e, const char *path,
					   enum pw_framing f, int break_after)
{
	pw_init();
	pw_entry_program = "test/entry_jump";
	pw_server_add("app", 0);
	pw_server_add("app", 0);
	if (break_after)
		add_broken_engine(f, break_after);
	else
		add_engine(f)->events = 400;
	tunneled_start(e);
	return pw_request(e[0], "POST", path, 9000);
}

static void finish_tunnel(struct pw_entry **e)
{
	CU_ASSERT(pw_metric(e[0], "saddlehead_tunnels_total") > 0);
	pw_end();
	pw_entry_program = "saddlehead-entry";
}

static void a_stream_through_another_instance_that_ends_inside_an_event_is_cut(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) {
		struct pw_entry *e[2];
		struct pw_call *c = call_through_tunnel(e, CHAT, framings[i], 10);

		CU_ASSERT(pw_call_wait(c, 3000));
		CU_ASSERT_EQUAL(c->status, 200);
		CU_ASSERT(c->err != 0);
		CU_ASSERT(pw_has_whole_events(c, 10));
		finish_tunnel(e);
	}
}

/* The end of the helper's connection is not the end of the engine's. */
static void an_unframed_stream_whose_helper_is_killed_is_not_complete(void)
{
	struct pw_entry *e[2];
	struct pw_call *c = call_through_tunnel(e, CHAT, PW_UNFRAMED, 0);

	pw_run(500);
	CU_ASSERT(c->events > 5);
	pw_entry_kill(e[1], SIGKILL);
	CU_ASSERT(pw_call_wait(c, 6000));
	CU_ASSERT(c->err != 0 || pw_stream_complete(c, 400));
	CU_ASSERT(pw_has_whole_events(c, 400));
	finish_tunnel(e);
}

static void an_unframed_stream_that_is_reset_is_not_complete(void)
{
	union sigval v = {.sival_int = PARTITION_VALUE(PARTITION_RESET, 0)};
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	pw_entry_program = "test/entry_jump";
	add_engine(PW_UNFRAMED)->events = 400;
	e = pw_entry_ready();
	c = pw_request(e, "POST", CHAT, 9000);
	CU_ASSERT(pw_until(has_begun, c, 1000));
	sigqueue(e->pid, SIGUSR1, v);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(c->err != 0);
	CU_ASSERT(pw_has_whole_events(c, 400));
	pw_end();
	pw_entry_program = "saddlehead-entry";
}

/* Whether the answer ends with its head. */
static int has_no_body(struct pw_entry *e, const char *request, const char *status)
{
	char *in = pw_raw(e, request, strlen(request), 500, NULL);
	const char *end = strstr(in, "\r\n\r\n");
	int ok = g_str_has_prefix(in, status) && end && !end[4];

	g_free(in);
	return ok;
}

#define FIELDS                                                              \
	SUM " HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: raw\r\n"      \
	    "X-Credential: k1\r\nX-Model: m\r\nX-Token-Usage: 1000,400\r\n" \
	    "X-Prompt-Prefix: aa:500,bb:500\r\n\r\n"

/* The last chunk was written after the head, where the next answer begins. */
static void a_head_request_for_a_stream_has_no_body(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framings); i++) {
		pw_init();
		add_engine(framings[i]);
		CU_ASSERT(has_no_body(pw_entry_ready(), "HEAD " FIELDS, "HTTP/1.1 200 "));
		pw_end();
	}
}

/* The same for a status that has no body. */
static void an_engine_without_content_ends_its_answer_with_the_head(void)
{
	pw_init();
	add_engine(PW_CHUNKED)->mode = PW_NO_CONTENT;
	CU_ASSERT(has_no_body(pw_entry_ready(), "GET " FIELDS, "HTTP/1.1 204 "));
	pw_end();
}

static const struct check list[] = {
	{"a_stream_that_ends_inside_an_event_is_not_complete",
	 a_stream_that_ends_inside_an_event_is_not_complete},
	{"a_stream_that_ends_inside_its_first_event_is_not_complete",
	 a_stream_that_ends_inside_its_first_event_is_not_complete},
	{"an_unframed_stream_without_an_event_is_not_complete",
	 an_unframed_stream_without_an_event_is_not_complete},
	{"a_resumable_stream_that_ends_inside_an_event_goes_on",
	 a_resumable_stream_that_ends_inside_an_event_goes_on},
	{"a_stream_that_ends_inside_an_event_goes_on_from_its_replica",
	 a_stream_that_ends_inside_an_event_goes_on_from_its_replica},
	{"a_source_that_stops_for_a_move_does_not_end_the_stream",
	 a_source_that_stops_for_a_move_does_not_end_the_stream},
	{"a_stream_whose_order_to_stop_was_not_answered_is_not_complete",
	 a_stream_whose_order_to_stop_was_not_answered_is_not_complete},
	{"a_stream_that_is_complete_before_its_source_is_stopped_ends",
	 a_stream_that_is_complete_before_its_source_is_stopped_ends},
	{"a_slow_reader_gets_the_whole_of_an_unframed_stream",
	 a_slow_reader_gets_the_whole_of_an_unframed_stream},
	{"a_slow_reader_gets_the_whole_of_a_chunked_stream",
	 a_slow_reader_gets_the_whole_of_a_chunked_stream},
	{"a_slow_reader_is_not_told_that_a_broken_stream_is_complete",
	 a_slow_reader_is_not_told_that_a_broken_stream_is_complete},
	{"a_complete_stream_is_served_however_it_is_framed",
	 a_complete_stream_is_served_however_it_is_framed},
	{"a_stream_through_another_instance_that_ends_inside_an_event_is_cut",
	 a_stream_through_another_instance_that_ends_inside_an_event_is_cut},
	{"an_unframed_stream_that_is_reset_is_not_complete",
	 an_unframed_stream_that_is_reset_is_not_complete},
	{"an_unframed_stream_whose_helper_is_killed_is_not_complete",
	 an_unframed_stream_whose_helper_is_killed_is_not_complete},
	{"a_head_request_for_a_stream_has_no_body", a_head_request_for_a_stream_has_no_body},
	{"an_engine_without_content_ends_its_answer_with_the_head",
	 an_engine_without_content_ends_its_answer_with_the_head},
};

CHECK_MAIN(list)
