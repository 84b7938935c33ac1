/* Retries of all instances together, with real processes. */
#include "check.h"
#include "pw.h"
#include <signal.h>
#include <unistd.h>

#define INSTANCES 3
#define SERVERS 4
#define REQUESTS_EACH 30 /* requests to each instance in a round */
#define RATIO 0.2
#define STREAMS 12
#define SLACK 40
#define BUDGET_SETTINGS \
	"bounds.retryBudgetRatio=0.2\nbounds.budgetSlack=40\nbounds.budgetWindowS=10\n"

static int requests; /* sent in the current test */

/* Servers whose every answer causes a retry. */
static void failing_servers(void)
{
	int i;

	pw_init();
	requests = 0;
	pw_conf.attempts = SERVERS;
	pw_conf_write();
	pw_settings(BUDGET_SETTINGS);
	for (i = 0; i < SERVERS; i++) pw_server_add("app", 0)->mode = PW_ERROR;
}

static void send_all(struct pw_entry **e)
{
	struct pw_call *c[INSTANCES * REQUESTS_EACH];
	int i;

	for (i = 0; i < INSTANCES * REQUESTS_EACH; i++) {
		c[i] = pw_request(e[i % INSTANCES], "POST", "/safe/", 3000);
		requests++;
		if (i % INSTANCES == 0) pw_run(5);
	}
	for (i = 0; i < INSTANCES * REQUESTS_EACH; i++) pw_call_wait(c[i], 2000);
}

static void restart_all(struct pw_entry **e)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		pw_entry_kill(e[i], SIGKILL);
		pw_entry_wait(e[i], 1000);
	}
	for (i = 0; i < INSTANCES; i++) pw_entry_restart(e[i]);
	for (i = 0; i < INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
}

/* Each restart gave an instance its whole part of the retry budget again. */
static void instances_that_start_again_repeat_no_more_than_is_allowed(void)
{
	struct pw_entry *e[INSTANCES];
	int round, i;

	failing_servers();
	for (i = 0; i < INSTANCES; i++) e[i] = pw_entry_ready();
	pw_run(300);
	for (round = 0; round < 3; round++) {
		if (round) restart_all(e);
		send_all(e);
	}
	CU_ASSERT(pw_retries() <= RATIO * requests + SLACK);
	fprintf(stderr, "%d repeats, %d requests\n", pw_retries(), requests);
	pw_end();
}

/* No server has been reached yet, so the next send is no retry. */
static void what_reached_nobody_is_sent_on_without_the_allowance(void)
{
	struct pw_server *deaf;
	struct pw_entry *e;
	struct pw_call *c;
	int i, fd;

	pw_init();
	pw_conf.target_latency_ms = 100;
	pw_conf_write();
	pw_settings("bounds.retryBudgetRatio=0\nbounds.budgetSlack=0\n");
	deaf = pw_server_add("app", 0);
	pw_server_add("app", 0);
	e = pw_entry_ready();
	fd = pw_server_unreachable(deaf);
	for (i = 0; i < 6; i++) {
		c = pw_request(e, "POST", "/safe/", 1000);
		CU_ASSERT(pw_call_wait(c, 1000));
		CU_ASSERT_EQUAL(c->status, 200);
		CU_ASSERT(c->ended_us - c->began_us < 150000);
	}
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_repeats_held_back_total"), 0);
	CU_ASSERT_EQUAL(pw_retries(), 0);
	close(fd);
	pw_end();
}

/* The streams of a crashed engine all ask another engine for their copies, which refuses. */
static void refused_copies_are_asked_for_again_within_the_allowance(void)
{
	struct pw_server *first, *other;
	struct pw_call *c[STREAMS];
	struct pw_entry *e;
	int i, streams = 0;

	pw_init();
	pw_settings("bounds.retryBudgetRatio=0.2\nbounds.budgetSlack=2\n");
	first = pw_server_add("llm", 1);
	first->events = 600;
	e = pw_entry_ready();
	other = pw_server_add("llm", 1);
	other->copy_status = 503;
	for (i = 0; i < STREAMS; i++) c[i] = pw_request(e, "POST", "/chat/", 9000);
	pw_run(600);
	for (i = 0; i < STREAMS; i++) streams += pw_run_at(first, c[i]->id) != NULL;
	other->arrivals = 0;
	pw_server_crash(first);
	for (i = 0; i < STREAMS; i++) pw_call_wait(c[i], 3000);
	CU_ASSERT(streams > 2);
	CU_ASSERT(other->arrivals >= streams);
	CU_ASSERT(other->arrivals - streams <= RATIO * STREAMS + 2);
	pw_end();
}

/* Two of three instances were stopped. The one that starts again must not take half of the
 * retry budget, as the third may still use its part. */
static void one_that_starts_hears_of_those_that_are_away(void)
{
	struct pw_entry *e[INSTANCES];
	int i;

	failing_servers();
	pw_settings("bounds.budgetSlack=0\nbounds.budgetWindowS=0.5\n");
	for (i = 0; i < INSTANCES; i++) e[i] = pw_entry_ready();
	pw_run(800);
	for (i = 1; i < INSTANCES; i++) {
		pw_entry_kill(e[i], SIGKILL);
		pw_entry_wait(e[i], 1000);
	}
	pw_run(2000); /* both count as failed */
	pw_entry_restart(e[1]);
	CU_ASSERT(pw_entry_until_ready(e[1]));
	pw_run(1000);
	pw_call_wait(pw_request(e[1], "POST", "/safe/", 2000), 2000);
	CU_ASSERT(pw_log_has(e[1], "\"part_permille\":333"));
	pw_end();
}

static const struct check list[] = {
	{"instances_that_start_again_repeat_no_more_than_is_allowed",
	 instances_that_start_again_repeat_no_more_than_is_allowed},
	{"what_reached_nobody_is_sent_on_without_the_allowance",
	 what_reached_nobody_is_sent_on_without_the_allowance},
	{"refused_copies_are_asked_for_again_within_the_allowance",
	 refused_copies_are_asked_for_again_within_the_allowance},
	{"one_that_starts_hears_of_those_that_are_away",
	 one_that_starts_hears_of_those_that_are_away},
};

CHECK_MAIN(list)
