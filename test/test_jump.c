/* Instances whose machines are suspended: the time of the suspension counts. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>
#include <string.h>

static void suspend(struct pw_entry *e, int ms)
{
	union sigval v = {.sival_int = ms};

	sigqueue(e->pid, SIGUSR2, v);
	pw_run(5);
}

static void init(void)
{
	pw_init();
	pw_entry_program = "test/entry_jump";
}

static void end(void)
{
	pw_end();
	pw_entry_program = "saddlehead-entry";
}

/* A key may have been removed during the suspension. */
static void no_key_runs_on_a_belief_from_before(void)
{
	static const int jump_ms[] = {5000, 60000};
	struct pw_server *s;
	struct pw_entry *e;
	int i;

	for (i = 0; i < 2; i++) {
		init();
		s = pw_server_add("app", 0);
		e = pw_entry_ready();
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
		pw_store.mode = PW_STORE_SILENT;
		pw_run(20);
		s->arrivals = 0;
		suspend(e, jump_ms[i]);
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503);
		pw_run(1600); /* an instance without peers goes on alone, but serves no keys */
		CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503);
		CU_ASSERT_EQUAL(s->arrivals, 0);
		pw_store.mode = PW_STORE_OK;
		end();
	}
}

static int status_of_open(struct pw_entry *e)
{
	struct pw_call *c = pw_call(e, "GET", "/open/", "X-Request-Id: open1\r\n", NULL);

	pw_call_wait(c, 2000);
	return c->status;
}

/* Also for requests without a key: servers may have left meanwhile. The other instance is
 * received again within half a second. */
static void nothing_is_sent_before_it_has_heard_anew(void)
{
	static const int jump_ms[] = {1000, 5000, 60000};
	struct pw_entry *e, *other;
	struct pw_server *s;
	int i, k;

	for (i = 0; i < 3; i++) {
		init();
		s = pw_server_add("app", 0);
		e = pw_entry_ready();
		other = pw_entry_ready();
		pw_run(900);
		CU_ASSERT_EQUAL(status_of_open(e), 200);
		pw_entry_kill(other, SIGSTOP);
		pw_store.mode = PW_STORE_SILENT;
		pw_run(20);
		s->arrivals = 0;
		suspend(e, jump_ms[i] + 100);
		CU_ASSERT_EQUAL(status_of_open(e), 503);
		CU_ASSERT_EQUAL(s->arrivals, 0);
		pw_entry_kill(other, SIGCONT);
		for (k = 0; k < 20 && status_of_open(e) != 200; k++) pw_run(50);
		CU_ASSERT(k < 20);
		pw_store.mode = PW_STORE_OK;
		end();
	}
}

static void whose_time_passed_has_its_answer_at_once(void)
{
	struct pw_server *s;
	struct pw_entry *e;
	struct pw_call *c;
	int64_t from;

	init();
	s = pw_server_add("app", 0);
	s->mode = PW_HANG;
	e = pw_entry_ready();
	c = pw_request(e, "POST", "/unsafe/", 4000);
	pw_run(100);
	from = clock_us();
	suspend(e, 5000);
	CU_ASSERT(pw_call_wait(c, 1000));
	CU_ASSERT_EQUAL(c->status, 504);
	CU_ASSERT(clock_us() - from < 200000);
	end();
}

/* Data that engines sent during the suspension is read before their silence counts. */
static void streams_go_on_after_it(void)
{
	struct pw_call *c[4];
	struct pw_entry *e;
	int i;

	init();
	for (i = 0; i < 3; i++) pw_server_add("llm", 1)->events = 60;
	e = pw_entry_ready();
	for (i = 0; i < 4; i++) c[i] = pw_request(e, "POST", i % 2 ? "/chat/" : "/sum/", 20000);
	pw_run(200);
	suspend(e, 3000);
	for (i = 0; i < 4; i++) {
		CU_ASSERT(pw_call_wait(c[i], 3000));
		CU_ASSERT(pw_stream_complete(c[i], 60));
		CU_ASSERT_EQUAL(pw_runs_of(c[i]->id), 1);
	}
	end();
}

static const struct check tests[] = {
	{"no_key_runs_on_a_belief_from_before", no_key_runs_on_a_belief_from_before},
	{"nothing_is_sent_before_it_has_heard_anew", nothing_is_sent_before_it_has_heard_anew},
	{"whose_time_passed_has_its_answer_at_once", whose_time_passed_has_its_answer_at_once},
	{"streams_go_on_after_it", streams_go_on_after_it},
};

CHECK_MAIN(tests)
