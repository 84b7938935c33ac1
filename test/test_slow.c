/* Backend servers that answer slowly for a while. */
#include "check.h"
#include "clock.h"
#include "pw.h"

#define FAST_MS 25
#define CALL_EACH_MS 50 /* one at a time, so that one server suffices */

static struct pw_server *s[2];
static struct pw_entry *e;

static void start(int servers)
{
	e = pw_init_with(s, servers);
	pw_conf.target_latency_ms = 5000; /* slow answers are not taken for missing ones */
	pw_conf.timeout_ms = 9000;
	pw_conf.version++;
	pw_conf_write();
	pw_run(500);
}

static int arrivals_until(struct pw_server *of, int more, int ms)
{
	int64_t until = clock_us() + ms * 1000LL;
	int before = of->arrivals;

	while (clock_us() < until && of->arrivals < before + more) {
		pw_request(e, "GET", "/safe/", 3000);
		pw_run(CALL_EACH_MS);
	}
	return of->arrivals - before;
}

/* A server would never be found out to answer as quickly as the others again. */
static void a_server_that_was_slower_for_a_while_gets_calls_again(void)
{
	start(2);
	s[0]->work_ms = FAST_MS + 10;
	s[1]->work_ms = FAST_MS;
	arrivals_until(s[1], 100, 10000);
	s[0]->work_ms = FAST_MS;
	CU_ASSERT(arrivals_until(s[0], 20, 20000) >= 20);
	pw_end();
}

static void take_two_seconds_each(int n)
{
	int i;

	s[0]->work_ms = 2000;
	for (i = 0; i < n; i++) pw_request(e, "GET", "/safe/", 8000);
	pw_run(2500);
}

/* Callers with little time would be refused for ever, as no answer of a server that gets no
 * calls shows that it is quick again. */
static void callers_with_little_time_are_served_again(void)
{
	int64_t until;
	int served = 0;

	start(1);
	take_two_seconds_each(8);
	s[0]->work_ms = FAST_MS;
	until = clock_us() + 10000000;
	while (clock_us() < until && served < 10) {
		struct pw_call *c = pw_request(e, "GET", "/safe/", 500);

		pw_call_wait(c, 1000);
		served += c->status == 200;
		pw_run(CALL_EACH_MS);
	}
	fprintf(stderr, "%d served\n", served);
	CU_ASSERT(served >= 10);
	pw_end();
}

/* While the server stays slow, most callers with little time are refused at once. */
static void few_callers_with_little_time_wait_in_vain(void)
{
	int i, late = 0, n = 100;

	start(1);
	take_two_seconds_each(8);
	for (i = 0; i < n; i++) {
		struct pw_call *c = pw_request(e, "GET", "/safe/", 500);

		pw_run(100);
		if (c->status == 503) continue;
		pw_call_wait(c, 1000);
		late += c->status != 503;
	}
	fprintf(stderr, "%d of %d wait in vain\n", late, n);
	CU_ASSERT(late <= n / 4);
	pw_end();
}

static const struct check list[] = {
	{"a_server_that_was_slower_for_a_while_gets_calls_again",
	 a_server_that_was_slower_for_a_while_gets_calls_again},
	{"callers_with_little_time_are_served_again",
	 callers_with_little_time_are_served_again},
	{"few_callers_with_little_time_wait_in_vain",
	 few_callers_with_little_time_wait_in_vain},
};

CHECK_MAIN(list)
