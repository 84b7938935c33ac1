/* What all instances repeat together, in real processes. */
#include "check.h"
#include "pw.h"
#include <signal.h>
#include <unistd.h>

#define INSTANCES 3
#define SERVERS 4
#define ASKED 30 /* requests of one life */
#define RATIO 0.2
#define STREAMS 12
#define SLACK 40
#define ALLOWANCE \
	"bounds.retryBudgetRatio=0.2\nbounds.budgetSlack=40\nbounds.budgetWindowS=10\n"

static int requests; /* of a test, so far */

/* Servers whose every answer asks for a repeat. */
static void failing_servers(void)
{
	int i;

	pw_init();
	requests = 0;
	pw_conf.attempts = SERVERS;
	pw_conf_write();
	pw_settings(ALLOWANCE);
	for (i = 0; i < SERVERS; i++) pw_server_add("app", 0)->mode = PW_ERROR;
}

static void ask_all(struct pw_entry **e)
{
	struct pw_call *c[INSTANCES * ASKED];
	int i;

	for (i = 0; i < INSTANCES * ASKED; i++) {
		c[i] = pw_request(e[i % INSTANCES], "POST", "/safe/", 3000);
		requests++;
		if (i % INSTANCES == 0) pw_run(5);
	}
	for (i = 0; i < INSTANCES * ASKED; i++) pw_call_wait(c[i], 2000);
}

static void start_again(struct pw_entry **e)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		pw_entry_kill(e[i], SIGKILL);
		pw_entry_wait(e[i], 1000);
	}
	for (i = 0; i < INSTANCES; i++) pw_entry_restart(e[i]);
	for (i = 0; i < INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
}

/* Each life began with its whole part of the allowance. */
static void instances_that_start_again_repeat_no_more_than_is_allowed(void)
{
	struct pw_entry *e[INSTANCES];
	int life, i;

	failing_servers();
	for (i = 0; i < INSTANCES; i++) e[i] = pw_entry_ready();
	pw_run(300);
	for (life = 0; life < 3; life++) {
		if (life) start_again(e);
		ask_all(e);
	}
	CU_ASSERT(pw_retries() <= RATIO * requests + SLACK);
	fprintf(stderr, "%d repeats, %d requests\n", pw_retries(), requests);
	pw_end();
}

/* Nothing has reached a server yet: what is sent next is no repeat. */
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

/* All streams of an engine that died ask another one for their copies, which it refuses. */
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

/* Its part would be a half, and the one that is away may still use a third. */
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
	pw_run(2000); /* both are taken for dead */
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
