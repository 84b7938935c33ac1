/* Engines of a new software version join while one instance is out of step: it stands still, or
 * reaches neither the store nor the others. A stream of the new version that is taken up there
 * goes on at that version, or not at all. */
#include "check.h"
#include "partition.h"
#include "versions.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define APART (VS_INSTANCES - 1) /* the instance that is out of step */
#define ENGINES 3                /* of each version */
#define ROUND_MS 200
#define AWAY_ROUNDS 8
#define BACK_ROUNDS 15

static struct pw_server *old[ENGINES], *new[ENGINES];
static int last[VS_STREAMS]; /* events that the callers have */
static int served, joined;

static int last_event(const struct pw_call *c)
{
	const char *p = c->body->str;
	int n = 0;

	while ((p = strstr(p, "id: "))) {
		p += 4;
		if (strstr(p, "\n\n")) n = atoi(p);
	}
	return n;
}

/* Instances in step, and one that may lose the second address of the store. */
static void begin(void)
{
	char settings[64];
	int i;

	vs_begin();
	pw_entry_program = "test/entry_jump";
	g_snprintf(settings, sizeof settings, PW_SECOND_STORE, pw_second_ip());
	for (i = 0; i < ENGINES; i++) old[i] = vs_add_engine("v1");
	for (i = 0; i < APART; i++) vs_entry[i] = pw_entry_start();
	pw_settings(settings);
	vs_entry[APART] = pw_entry_start();
	for (i = 0; i < VS_INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(vs_entry[i]));
	pw_run(VS_CONNECT_MS);
	served = joined = 0;
}

static void end(void)
{
	pw_store.second_mode = PW_STORE_OK;
	pw_settings(NULL);
	pw_end();
	pw_entry_program = "saddlehead-entry";
}

static void release_new_version(void)
{
	int i;

	for (i = 0; i < ENGINES; i++) new[i] = vs_add_engine("v2");
	pw_run(100);
	for (i = 0; i < ENGINES; i++) pw_server_list(old[i], "draining");
	pw_run(200);
}

/* Through the instances in step, on engines of the new version; then the callers lose them. */
static void begin_and_break_streams(void)
{
	int i, begun = 0;

	vs_begin_streams(VS_SUM, APART);
	CU_ASSERT_EQUAL(vs_count_begun_at("v1"), 0);
	for (i = 0; i < VS_STREAMS; i++) {
		last[i] = last_event(vs_first[i]);
		begun += last[i] > 0;
		pw_call_cancel(vs_first[i]);
	}
	CU_ASSERT(begun >= VS_STREAMS / 2);
}

static void take_up(int rounds)
{
	struct pw_call *c[VS_STREAMS];
	int i, round;

	for (round = 0; round < rounds; round++) {
		for (i = 0; i < VS_STREAMS; i++)
			c[i] = last[i] ? vs_take_up(vs_entry[APART], vs_first[i]->id, last[i])
				       : NULL;
		pw_run(ROUND_MS);
		for (i = 0; i < VS_STREAMS; i++) {
			if (!c[i]) continue;
			served += c[i]->status == 200;
			joined += vs_runs_elsewhere(c[i], "v2") != 0;
			pw_call_cancel(c[i]);
		}
	}
}

static void no_stream_is_joined_at_an_instance_that_stood_still(void)
{
	begin();
	pw_entry_kill(vs_entry[APART], SIGSTOP);
	release_new_version();
	begin_and_break_streams();
	pw_run(1500);
	pw_entry_kill(vs_entry[APART], SIGCONT);
	take_up(BACK_ROUNDS);
	CU_ASSERT_EQUAL(joined, 0);
	CU_ASSERT(served > 0);
	end();
}

/* A cut has two ends; those in step hear of each other through the store alone. */
static void cut_peers(int yes)
{
	union sigval v = {
		.sival_int = PARTITION_VALUE(yes ? PARTITION_SILENT : PARTITION_NONE, PW_PEER)};
	int i;

	for (i = 0; i < VS_INSTANCES; i++) sigqueue(vs_entry[i]->pid, SIGUSR1, v);
}

static void cut_store(void)
{
	pw_store.second_mode = PW_STORE_SILENT;
	pw_store_cut_second();
}

/* Callers still reach it, and it reaches the engines. */
static void no_stream_is_joined_at_an_instance_that_is_cut_off(void)
{
	begin();
	cut_peers(1);
	cut_store();
	pw_run(100);
	release_new_version();
	begin_and_break_streams();
	take_up(AWAY_ROUNDS);
	CU_ASSERT_EQUAL(joined, 0);
	cut_peers(0);
	pw_store.second_mode = PW_STORE_OK;
	take_up(BACK_ROUNDS);
	CU_ASSERT_EQUAL(joined, 0);
	CU_ASSERT(served > 0);
	end();
}

/* It hears which version began a stream, and knows no engine of that version. */
static void no_stream_is_joined_at_an_instance_without_the_store(void)
{
	begin();
	cut_store();
	pw_run(100);
	release_new_version();
	begin_and_break_streams();
	take_up(AWAY_ROUNDS);
	CU_ASSERT_EQUAL(joined, 0);
	end();
}

/* Engines of the new version have the ids of old ones. */
static void restart_as_new_version(void)
{
	int i;

	for (i = 0; i < ENGINES; i++) {
		pw_server_crash(old[i]);
		old[i]->incarnation_ms += 1000;
		g_strlcpy(old[i]->version, "v2", sizeof old[i]->version);
	}
	pw_run(200);
	for (i = 0; i < ENGINES; i++) {
		pw_server_listen(old[i]);
		pw_server_list(old[i], "ready");
	}
	pw_run(300);
}

/* Streams of the old version, on engines that state their start. */
static void begin_at_old_version(void)
{
	int i, begun = 0;

	begin();
	for (i = 0; i < ENGINES; i++) {
		old[i]->incarnation_ms = 1000;
		pw_server_list(old[i], "ready");
	}
	pw_run(300);
	vs_begin_streams(VS_SUM, APART);
	for (i = 0; i < VS_STREAMS; i++) {
		last[i] = last_event(vs_first[i]);
		begun += last[i] > 0;
		pw_call_cancel(vs_first[i]);
	}
	CU_ASSERT(begun >= VS_STREAMS / 2);
	pw_run(200);
}

/* The instance that was cut off sent them to the ids that it knew. */
static void no_stream_goes_on_at_an_id_that_came_back_as_another_version(void)
{
	begin_at_old_version();
	cut_peers(1);
	cut_store();
	pw_run(100);
	restart_as_new_version();
	take_up(AWAY_ROUNDS);
	CU_ASSERT_EQUAL(served, 0);
	end();
}

static void streams_outlive_an_engine_where_engines_state_their_start(void)
{
	int i;

	begin();
	for (i = 0; i < ENGINES; i++) {
		old[i]->incarnation_ms = 1000;
		pw_server_list(old[i], "ready");
	}
	pw_run(300);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	pw_server_crash(old[0]);
	vs_await();
	CU_ASSERT(vs_count_begun() >= VS_STREAMS / 2);
	CU_ASSERT_EQUAL(vs_count_complete(), vs_count_begun());
	end();
}

static void streams_go_on_at_engines_that_state_their_start(void)
{
	begin_at_old_version();
	take_up(1);
	CU_ASSERT(served >= VS_STREAMS / 2);
	end();
}

static const struct check list[] = {
	{"no_stream_is_joined_at_an_instance_that_stood_still",
	 no_stream_is_joined_at_an_instance_that_stood_still},
	{"no_stream_is_joined_at_an_instance_that_is_cut_off",
	 no_stream_is_joined_at_an_instance_that_is_cut_off},
	{"no_stream_is_joined_at_an_instance_without_the_store",
	 no_stream_is_joined_at_an_instance_without_the_store},
	{"no_stream_goes_on_at_an_id_that_came_back_as_another_version",
	 no_stream_goes_on_at_an_id_that_came_back_as_another_version},
	{"streams_outlive_an_engine_where_engines_state_their_start",
	 streams_outlive_an_engine_where_engines_state_their_start},
	{"streams_go_on_at_engines_that_state_their_start",
	 streams_go_on_at_engines_that_state_their_start},
};

CHECK_MAIN(list)
