/* Streams whose connection carries nothing any more while the engine keeps writing to it. */
#include "check.h"
#include "pw.h"
#include "soak_proxy.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES 2
#define ENGINE_PROXY 150 /* host of the proxies, with one port for each engine */
#define EVENTS 80
#define EVENT_MS 15 /* a run lasts 1.2 s */
/* Memory of an engine: two streams of some 1,100 tokens leave no capacity for replicas. */
#define TOKENS 3000

static struct pw_server *engine[ENGINES];
static struct proxy *engine_proxy[ENGINES];

static void add_engine(int i)
{
	struct sockaddr_in at, to;
	struct pw_server *s = pw_server_new("llm", 1);

	s->events = EVENTS;
	s->event_ms = EVENT_MS;
	pw_address_of(pw_server_ip(), atoi(strchr(s->address, ':') + 1), &to);
	pw_address_of(pw_ip(ENGINE_PROXY), PW_SERVER + i, &at);
	engine_proxy[i] = proxy_new(&at, &to);
	g_snprintf(s->address, sizeof s->address, "%s:%d", pw_ip(ENGINE_PROXY), PW_SERVER + i);
	pw_server_list(s, "ready");
	engine[i] = s;
}

static struct pw_entry *begin_with(const char *settings)
{
	int i;

	pw_init();
	pw_settings(settings);
	pw_conf.tokens = TOKENS;
	pw_conf.version++;
	pw_conf_write();
	for (i = 0; i < ENGINES; i++) add_engine(i);
	return pw_entry_ready();
}

static struct pw_entry *begin(void)
{
	return begin_with(NULL);
}

static void end(void)
{
	int i;

	for (i = 0; i < ENGINES; i++) proxy_free(engine_proxy[i]);
	pw_end();
}

static void silence_links(void)
{
	int i;

	for (i = 0; i < ENGINES; i++) proxy_silence(engine_proxy[i]);
}

/* The memory was asked for only after a second of silence: by then the run was over, its end
 * written to the silent connection, and the stream was cut at its deadline. */
static void a_stream_leaves_a_silent_connection_before_its_run_is_over(void)
{
	struct pw_entry *e = begin();
	struct pw_call *c = pw_request(e, "POST", "/chat/", 4000);

	pw_run(500);
	CU_ASSERT_STRING_EQUAL(pw_run_of(c->id, 0)->backup, "");
	silence_links();
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	end();
}

/* The same before the first event: the entry waited until the deadline. */
static void a_stream_without_an_event_leaves_a_silent_connection(void)
{
	struct pw_entry *e = begin();
	struct pw_call *c;
	int i;

	for (i = 0; i < ENGINES; i++) engine[i]->work_ms = 50;
	c = pw_request(e, "POST", "/chat/", 4000);
	pw_run(30);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	silence_links();
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	end();
}

static int open_connections(void)
{
	int i, n = 0;

	for (i = 0; i < ENGINES; i++) n += (int)engine[i]->listener.conns->len;
	return n;
}

/* The report was read for as long as bytes came, and no other one was asked for meanwhile. */
static void a_report_without_end_is_given_up(void)
{
	struct pw_entry *e = begin();
	struct pw_call *c;
	int i;

	for (i = 0; i < ENGINES; i++) engine[i]->report_endless = 1;
	c = pw_request(e, "POST", "/chat/", 4000);
	pw_run(500);
	silence_links();
	pw_run(900);
	for (i = 0; i < ENGINES; i++) engine[i]->report_endless = 0;
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT(engine[0]->reports + engine[1]->reports >= 2);
	pw_run(500);
	CU_ASSERT(open_connections() <=
		  1); /* a silent one, on which the engine wrote to the end */
	end();
}

/* A stream without an event whose connection falls silent, and whose copy is at an engine that
 * does not answer. */
static struct pw_call *begin_with_hanging_copy(struct pw_entry **e)
{
	struct pw_call *c;
	int i;

	*e = begin();
	for (i = 0; i < ENGINES; i++) engine[i]->work_ms = 50;
	c = pw_request(*e, "POST", "/chat/", 3000);
	pw_run(30);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	for (i = 0; i < ENGINES; i++)
		if (engine[i] != pw_run_of(c->id, 0)->server) engine[i]->mode = PW_HANG;
	silence_links();
	return c;
}

static int copy_was_sent(void *unused)
{
	(void)unused;
	return engine[0]->copies + engine[1]->copies > 0;
}

/* Its first engine had run it, and the caller got a 503, which promises that it has not run. */
static void a_moved_stream_that_has_run_is_not_refused_as_not_run(void)
{
	struct pw_entry *e;
	struct pw_call *c = begin_with_hanging_copy(&e);

	CU_ASSERT(pw_until(copy_was_sent, NULL, 2900));
	CU_ASSERT(pw_call_wait(c, 4000));
	pw_run(300);
	CU_ASSERT(pw_log_has(e, "source_let_go"));
	CU_ASSERT_EQUAL(c->status, 504);
	end();
}

/* The same when the first engine's entry tells, while the stream is moved, that it has
 * restarted.
 */
static void a_moved_stream_whose_source_restarted_is_not_refused_as_not_run(void)
{
	struct pw_entry *e;
	struct pw_call *c = begin_with_hanging_copy(&e);
	struct pw_server *source = pw_run_of(c->id, 0)->server;

	source->incarnation_ms = 1000;
	pw_server_list(source, "ready");
	CU_ASSERT(pw_until(copy_was_sent, NULL, 2900));
	source->incarnation_ms++;
	pw_server_list(source, "ready");
	CU_ASSERT(pw_call_wait(c, 4000));
	pw_run(300);
	CU_ASSERT(!pw_log_has(e, "source_let_go"));
	CU_ASSERT_EQUAL(c->status, 504);
	end();
}

/* The same when the instance stops meanwhile. */
static void a_moved_stream_that_has_run_is_not_refused_when_its_instance_stops(void)
{
	struct pw_entry *e;
	struct pw_call *c = begin_with_hanging_copy(&e);

	CU_ASSERT(pw_until(copy_was_sent, NULL, 2900));
	pw_run(200);
	pw_entry_kill(e, SIGTERM);
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT_NOT_EQUAL(c->status, 503);
	end();
}

/* The stream may be resumed by a new run, but an instance that has run for a few seconds has no
 * part of the fleet's retry budget: the stream was cut at its deadline. */
static void a_stream_whose_repeat_is_held_back_leaves_a_silent_connection(void)
{
	struct pw_entry *e = begin_with("bounds.retryBudgetRatio=0\nbounds.budgetSlack=0\n");
	struct pw_call *c = pw_request(e, "POST", "/sum/", 4000);

	pw_run(500);
	silence_links();
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(pw_retries(), 0);
	end();
}

/* An engine that delays a stream reports that it has generated no more than arrived: nothing is
 * moved. */
static void a_stream_that_its_engine_holds_up_stays(void)
{
	struct pw_entry *e = begin();
	struct pw_call *c = pw_request(e, "POST", "/chat/", 4000);
	struct pw_server *s;

	pw_run(500);
	s = pw_run_of(c->id, 0)->server;
	s->event_ms = 800;
	pw_run(700);
	s->event_ms = EVENT_MS;
	CU_ASSERT(s->reports > 0);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(engine[0]->moves + engine[1]->moves, 0);
	end();
}

/* Reports are paid for, so running streams cause none. */
static void a_stream_that_flows_asks_for_no_report(void)
{
	struct pw_entry *e = begin();
	struct pw_call *c = pw_request(e, "POST", "/chat/", 4000);

	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT_EQUAL(engine[0]->reports + engine[1]->reports, 0);
	end();
}

#define PAUSE_MS 1200 /* a second or so: a sound engine that goes on after it */

/* An engine says nothing to anybody for a while, and goes on. */
static void pause_engines(void)
{
	int i;

	for (i = 0; i < ENGINES; i++) proxy_set(engine_proxy[i], PROXY_SILENT);
	pw_run(PAUSE_MS);
	for (i = 0; i < ENGINES; i++) proxy_set(engine_proxy[i], PROXY_OK);
}

static void stream_outlives_a_pause(const char *path)
{
	struct pw_entry *e = begin();
	struct pw_call *c = pw_request(e, "POST", path, 4000);

	pw_run(500);
	pause_engines();
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, EVENTS));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	CU_ASSERT(!pw_log_has(e, "backend_ejected"));
	end();
}

/* A stream was begun anew elsewhere after a second of silence, and what had been read was lost.
 */
static void a_stream_that_may_run_again_stays_with_an_engine_that_pauses(void)
{
	stream_outlives_a_pause("/sum/");
}

static void a_stream_stays_with_an_engine_that_pauses(void)
{
	stream_outlives_a_pause("/chat/");
}

/* A call that may run once is answered after the pause. */
static void a_call_outlives_a_pause_and_blames_nobody(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct proxy *p[2];
	struct sockaddr_in at, to;
	struct pw_call *c[6];
	int i;

	pw_init();
	for (i = 0; i < 2; i++) {
		s[i] = pw_server_new("app", 0);
		s[i]->work_ms = 100;
		pw_address_of(pw_server_ip(), atoi(strchr(s[i]->address, ':') + 1), &to);
		pw_address_of(pw_ip(ENGINE_PROXY), PW_SERVER + 50 + i, &at);
		p[i] = proxy_new(&at, &to);
		g_snprintf(s[i]->address, sizeof s[i]->address, "%s:%d", pw_ip(ENGINE_PROXY),
			   PW_SERVER + 50 + i);
		pw_server_list(s[i], "ready");
	}
	e = pw_entry_ready();
	for (i = 0; i < 6; i++) c[i] = pw_request(e, "POST", "/unsafe/", 4000);
	pw_run(50);
	for (i = 0; i < 2; i++) proxy_set(p[i], PROXY_SILENT);
	pw_run(PAUSE_MS);
	for (i = 0; i < 2; i++) proxy_set(p[i], PROXY_OK);
	for (i = 0; i < 6; i++) {
		CU_ASSERT(pw_call_wait(c[i], 2000));
		CU_ASSERT_EQUAL(c[i]->status, 200);
		CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 1);
	}
	CU_ASSERT(!pw_log_has(e, "backend_ejected"));
	for (i = 0; i < 2; i++) proxy_free(p[i]);
	pw_end();
}

static const struct check list[] = {
	{"a_stream_that_may_run_again_stays_with_an_engine_that_pauses",
	 a_stream_that_may_run_again_stays_with_an_engine_that_pauses},
	{"a_stream_stays_with_an_engine_that_pauses",
	 a_stream_stays_with_an_engine_that_pauses},
	{"a_call_outlives_a_pause_and_blames_nobody",
	 a_call_outlives_a_pause_and_blames_nobody},
	{"a_stream_leaves_a_silent_connection_before_its_run_is_over",
	 a_stream_leaves_a_silent_connection_before_its_run_is_over},
	{"a_stream_without_an_event_leaves_a_silent_connection",
	 a_stream_without_an_event_leaves_a_silent_connection},
	{"a_report_without_end_is_given_up", a_report_without_end_is_given_up},
	{"a_moved_stream_that_has_run_is_not_refused_as_not_run",
	 a_moved_stream_that_has_run_is_not_refused_as_not_run},
	{"a_moved_stream_whose_source_restarted_is_not_refused_as_not_run",
	 a_moved_stream_whose_source_restarted_is_not_refused_as_not_run},
	{"a_moved_stream_that_has_run_is_not_refused_when_its_instance_stops",
	 a_moved_stream_that_has_run_is_not_refused_when_its_instance_stops},
	{"a_stream_whose_repeat_is_held_back_leaves_a_silent_connection",
	 a_stream_whose_repeat_is_held_back_leaves_a_silent_connection},
	{"a_stream_that_its_engine_holds_up_stays", a_stream_that_its_engine_holds_up_stays},
	{"a_stream_that_flows_asks_for_no_report", a_stream_that_flows_asks_for_no_report},
};
CHECK_MAIN(list)
