/* What servers say of themselves in their answers: that they leave, and that they want rest. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <signal.h>

#define SERVERS 5
#define DRAIN_MS 2000
#define EACH_MS 10 /* between two calls */
#define LEAVES "Server-Leaving: 1\r\n"

static struct pw_entry *e[3];
static struct pw_server *s[SERVERS];
static GPtrArray *calls;

static void start(int instances)
{
	int i;

	pw_init();
	calls = g_ptr_array_new();
	for (i = 0; i < SERVERS; i++) {
		s[i] = pw_server_add("app", 0);
		s[i]->work_ms = 25;
	}
	for (i = 0; i < instances; i++) e[i] = pw_entry_ready();
	pw_run(800);
}

static void stop(void)
{
	g_ptr_array_free(calls, TRUE);
	pw_end();
}

static void call_for(int instances, int ms)
{
	int64_t until = clock_us() + ms * 1000LL;

	while (clock_us() < until) {
		g_ptr_array_add(calls, pw_ask(e[calls->len % (unsigned)instances], "POST",
					      "/safe/", 2000));
		pw_run(EACH_MS);
	}
}

static int not_served(void)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < calls->len; i++) {
		struct pw_call *c = g_ptr_array_index(calls, i);

		pw_call_wait(c, 2500);
		n += c->status != 200;
	}
	return n;
}

/* Its answers said so, its entry did not. */
static void a_server_that_leaves_by_its_answers_gets_nothing_new(void)
{
	start(3);
	pw_store.mode = PW_STORE_SILENT;
	s[0]->says = LEAVES;
	call_for(3, DRAIN_MS);
	s[0]->arrivals = 0;
	call_for(3, 1500);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT_EQUAL(not_served(), 0);
	stop();
}

static const struct check list[] = {
	{"a_server_that_leaves_by_its_answers_gets_nothing_new",
	 a_server_that_leaves_by_its_answers_gets_nothing_new},
};

CHECK_MAIN(list)
