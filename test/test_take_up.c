/* Engines of two software versions of one service side by side: a caller that takes its stream
 * up goes on only at the version that brought its first event. */
#include "check.h"
#include "versions.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* What became of streams that were taken up. */
struct taken_up {
	int begun;     /* their first attempts had brought events */
	int went_on;   /* completely */
	int mixed;     /* at another version */
	int final;     /* refused without a time to come back */
	int late;      /* refused later than at once */
	int ran;       /* refused as not run, and run */
	int undefined; /* another status than success and the refusal that it has not run */
};

/* The id of the last whole event that the caller received. */
static int last_event(const struct pw_call *c)
{
	const char *p = c->body->str;
	int last = 0;

	while ((p = strstr(p, "id: "))) {
		p += 4;
		if (strstr(p, "\n\n")) last = atoi(p);
	}
	return last;
}

/* A machine that is busy turns some away for a moment, new streams as well: they come back when
 * told to. */
static struct pw_call *follow(struct pw_call *c, struct pw_entry *at, const char *resumes,
			      int last)
{
	int tries;

	CU_ASSERT(pw_call_wait(c, 6000));
	for (tries = 0; tries < 3 && strstr(c->body->str, "service_busy"); tries++) {
		pw_run((int)(g_ascii_strtod(c->retry_after, NULL) * 1000));
		c = vs_take_up(at, resumes, last);
		CU_ASSERT(pw_call_wait(c, 6000));
	}
	return c;
}

static void check_taken_up(struct taken_up *t, const struct pw_call *c, const char *version)
{
	t->mixed += vs_runs_elsewhere(c, version) != 0;
	if (c->status == 200) {
		t->went_on += !c->err && last_event(c) == VS_EVENTS;
		return;
	}
	t->undefined += c->status != 503;
	t->final += !c->retry_after[0];
	t->ran += pw_runs_of(c->id) != 0;
	t->late += c->ended_us - c->began_us > VS_AT_ONCE_MS * 1000;
}

/* The callers have left, or were cut off; they take their streams up at instances from the one
 * given on, round after round. */
static struct taken_up take_up_all(int from, int rounds)
{
	struct taken_up t = {0};
	struct pw_call *c[VS_STREAMS];
	int i, round, last[VS_STREAMS];

	for (i = 0; i < VS_STREAMS; i++) {
		last[i] = last_event(vs_first[i]);
		t.begun += last[i] > 0;
	}
	CU_ASSERT(t.begun >= VS_STREAMS / 2);
	for (round = 0; round < rounds; round++) {
		for (i = 0; i < VS_STREAMS; i++) {
			int at = from + (i + round) % (VS_INSTANCES - from);

			c[i] = last[i] ? vs_take_up(vs_entry[at], vs_first[i]->id, last[i])
				       : NULL;
		}
		if (round == rounds - 1) break;
		pw_run(VS_BEGUN_MS);
		for (i = 0; i < VS_STREAMS; i++) {
			if (!c[i]) continue;
			last[i] = MAX(last[i], last_event(c[i]));
			t.mixed += vs_runs_elsewhere(c[i], vs_version_of(vs_first[i])) != 0;
			pw_call_cancel(c[i]);
		}
	}
	for (i = 0; i < VS_STREAMS; i++) {
		int at = from + (i + rounds - 1) % (VS_INSTANCES - from);

		if (!c[i]) continue;
		c[i] = follow(c[i], vs_entry[at], vs_first[i]->id, last[i]);
		check_taken_up(&t, c[i], vs_version_of(vs_first[i]));
	}
	return t;
}

static void start_with_two_versions(struct pw_server **s, int n)
{
	int i;

	vs_begin();
	for (i = 0; i < n; i++) s[i] = vs_add_engine(i % 2 ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	CU_ASSERT(vs_count_begun_at("v1") > 0 && vs_count_begun_at("v1.1") > 0);
}

static void cancel_all(void)
{
	int i;

	for (i = 0; i < VS_STREAMS; i++) pw_call_cancel(vs_first[i]);
}

static void kill_instances(int n)
{
	int i, status;

	for (i = 0; i < n; i++) pw_entry_kill(vs_entry[i], SIGKILL);
	pw_run(100);
	for (i = 0; i < n; i++) CU_ASSERT(pw_entry_ended(vs_entry[i], &status));
}

static void a_stream_that_is_taken_up_at_another_instance_keeps_its_version(void)
{
	struct pw_server *s[4];
	struct taken_up t;

	start_with_two_versions(s, 4);
	cancel_all();
	t = take_up_all(0, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

static void a_stream_that_is_taken_up_twice_keeps_its_version(void)
{
	struct pw_server *s[4];
	struct taken_up t;

	start_with_two_versions(s, 4);
	cancel_all();
	t = take_up_all(0, 2);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

static void a_stream_whose_instance_is_killed_keeps_its_version(void)
{
	struct pw_server *s[4];
	struct taken_up t;

	start_with_two_versions(s, 4);
	kill_instances(1);
	cancel_all();
	t = take_up_all(1, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

/* Each instance stops and starts again, one after the other: none of those that knew lives. */
static void a_stream_outlives_a_rolling_restart_of_all_instances(void)
{
	struct pw_server *s[4];
	struct taken_up t;
	int i;

	start_with_two_versions(s, 4);
	cancel_all();
	for (i = 0; i < VS_INSTANCES; i++) {
		pw_entry_kill(vs_entry[i], SIGTERM);
		pw_entry_wait(vs_entry[i], 12000);
		pw_entry_restart(vs_entry[i]);
		CU_ASSERT(pw_entry_until_ready(vs_entry[i]));
		pw_run(VS_CONNECT_MS);
	}
	t = take_up_all(0, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

static void a_stream_is_refused_at_once_when_its_version_is_gone(void)
{
	struct pw_server *s[4];
	struct taken_up t;
	int i, at_v11;

	start_with_two_versions(s, 4);
	at_v11 = vs_count_begun_at("v1.1");
	cancel_all();
	for (i = 0; i < 4; i += 2) pw_server_unlist(s[i]);
	for (i = 0; i < 4; i += 2) pw_server_crash(s[i]);
	pw_run(300);
	t = take_up_all(0, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.went_on, at_v11);
	CU_ASSERT_EQUAL(t.final, t.begun - at_v11);
	CU_ASSERT_EQUAL(t.late + t.ran + t.undefined, 0);
	pw_end();
}

/* Nobody knows which version began the streams, and it is not guessed. */
static void a_stream_is_refused_at_once_after_all_instances_were_killed(void)
{
	struct pw_server *s[4];
	struct taken_up t;
	int i;

	start_with_two_versions(s, 4);
	cancel_all();
	kill_instances(VS_INSTANCES);
	for (i = 0; i < VS_INSTANCES; i++) pw_entry_restart(vs_entry[i]);
	for (i = 0; i < VS_INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(vs_entry[i]));
	pw_run(VS_CONNECT_MS);
	t = take_up_all(0, 1);
	CU_ASSERT_EQUAL(t.mixed + t.went_on, 0);
	CU_ASSERT_EQUAL(t.final, t.begun);
	CU_ASSERT_EQUAL(t.late + t.ran + t.undefined, 0);
	pw_end();
}

#define RETURN_MS 4000 /* callers try again and again while instances come back */
#define ROUND_MS 200

/* Tries to take all streams up at each instance in turn. Returns the tries that went on at
 * another version. */
static int take_up_while_they_return(const int *last)
{
	static struct pw_call *c[RETURN_MS / ROUND_MS][VS_STREAMS];
	int i, round, joined = 0;

	for (round = 0; round < RETURN_MS / ROUND_MS; round++) {
		for (i = 0; i < VS_STREAMS; i++) {
			struct pw_entry *at = vs_entry[(i + round) % VS_INSTANCES];

			c[round][i] = last[i] ? vs_take_up(at, vs_first[i]->id, last[i]) : NULL;
		}
		pw_run(ROUND_MS);
	}
	for (round = 0; round < RETURN_MS / ROUND_MS; round++)
		for (i = 0; i < VS_STREAMS; i++) {
			if (!c[round][i]) continue;
			CU_ASSERT(pw_call_wait(c[round][i], 6000));
			joined +=
				vs_runs_elsewhere(c[round][i], vs_version_of(vs_first[i])) != 0;
		}
	return joined;
}

/* All instances are killed at once and come back: the callers take their streams up from the
 * first moment on. old_leaves: the engines of the first version have just left. */
static void check_return(int old_leaves)
{
	struct pw_server *s[4];
	int i, last[VS_STREAMS], begun = 0;

	start_with_two_versions(s, 4);
	for (i = 0; old_leaves && i < 4; i += 2) pw_server_unlist(s[i]);
	kill_instances(VS_INSTANCES);
	cancel_all();
	for (i = 0; old_leaves && i < 4; i += 2) pw_server_crash(s[i]);
	for (i = 0; i < VS_STREAMS; i++) {
		last[i] = last_event(vs_first[i]);
		begun += last[i] > 0;
	}
	CU_ASSERT(begun >= VS_STREAMS / 2);
	for (i = 0; i < VS_INSTANCES; i++) pw_entry_restart(vs_entry[i]);
	CU_ASSERT_EQUAL(take_up_while_they_return(last), 0);
	for (i = 0; i < VS_INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(vs_entry[i]));
	pw_end();
}

/* Streams were answered 200 and joined from two versions, the rest from the new one. */
static void no_stream_is_joined_from_two_versions_while_killed_instances_return(void)
{
	check_return(0);
	check_return(1);
}

/* The others don't answer: what they know can't be asked. */
static void a_stream_is_refused_where_nobody_can_be_asked(void)
{
	struct pw_server *s[4];
	struct taken_up t;
	int i;

	start_with_two_versions(s, 4);
	cancel_all();
	kill_instances(VS_INSTANCES - 1);
	pw_entry_kill(vs_entry[VS_INSTANCES - 1], SIGKILL);
	pw_run(100);
	pw_entry_restart(vs_entry[VS_INSTANCES - 1]);
	CU_ASSERT(pw_entry_until_ready(vs_entry[VS_INSTANCES - 1]));
	t = take_up_all(VS_INSTANCES - 1, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.late + t.ran + t.undefined, 0);
	for (i = 0; i < VS_INSTANCES - 1; i++) pw_entry_restart(vs_entry[i]);
	pw_end();
}

/* Engines of two services have the same version, and are drawn by the route's weights. */
static void a_stream_of_a_split_route_keeps_its_service(void)
{
	struct pw_call *c[VS_STREAMS];
	struct pw_server *s[4];
	int i, begun = 0, went_on = 0;

	vs_begin();
	pw_conf.split = 1;
	pw_conf_write();
	for (i = 0; i < 4; i++) s[i] = vs_add_engine_of(i % 2 ? "llm2" : "llm", "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	cancel_all();
	CU_ASSERT(s[0]->arrivals + s[2]->arrivals > 0);
	CU_ASSERT(s[1]->arrivals + s[3]->arrivals > 0);
	for (i = 0; i < VS_STREAMS; i++) {
		int last = last_event(vs_first[i]);

		c[i] = last ? vs_take_up(vs_entry[(i + 1) % VS_INSTANCES], vs_first[i]->id,
					 last)
			    : NULL;
	}
	for (i = 0; i < VS_STREAMS; i++) {
		const struct pw_run *r, *first = pw_run_of(vs_first[i]->id, 0);

		if (!c[i]) continue;
		begun++;
		c[i] = follow(c[i], vs_entry[(i + 1) % VS_INSTANCES], vs_first[i]->id,
			      last_event(vs_first[i]));
		went_on += c[i]->status == 200 && !c[i]->err;
		r = pw_run_of(c[i]->id, 0);
		CU_ASSERT(r && !strcmp(r->server->service, first->server->service));
	}
	CU_ASSERT(begun >= VS_STREAMS / 2);
	CU_ASSERT_EQUAL(went_on, begun);
	pw_end();
}

/* Without the attempt that brought its first event nothing tells the stream's version. */
static void a_stream_whose_first_attempt_is_not_named_is_refused(void)
{
	struct pw_server *s[4];
	struct pw_call *c;

	start_with_two_versions(s, 4);
	cancel_all();
	c = vs_take_up(vs_entry[0], NULL, 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	CU_ASSERT(strstr(c->body->str, "origin_unnamed") != NULL);
	c = vs_take_up(vs_entry[0], "nobody-sent-this", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	CU_ASSERT(strstr(c->body->str, "origin_unknown") != NULL);
	pw_end();
}

static void all_streams_of_a_single_version_go_on(void)
{
	struct taken_up t;
	int i;

	vs_begin();
	for (i = 0; i < 3; i++) vs_add_engine("v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	kill_instances(1);
	cancel_all();
	t = take_up_all(1, 1);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

static const struct check list[] = {
	{"a_stream_that_is_taken_up_at_another_instance_keeps_its_version",
	 a_stream_that_is_taken_up_at_another_instance_keeps_its_version},
	{"a_stream_that_is_taken_up_twice_keeps_its_version",
	 a_stream_that_is_taken_up_twice_keeps_its_version},
	{"a_stream_whose_instance_is_killed_keeps_its_version",
	 a_stream_whose_instance_is_killed_keeps_its_version},
	{"a_stream_outlives_a_rolling_restart_of_all_instances",
	 a_stream_outlives_a_rolling_restart_of_all_instances},
	{"a_stream_is_refused_at_once_when_its_version_is_gone",
	 a_stream_is_refused_at_once_when_its_version_is_gone},
	{"a_stream_is_refused_at_once_after_all_instances_were_killed",
	 a_stream_is_refused_at_once_after_all_instances_were_killed},
	{"no_stream_is_joined_from_two_versions_while_killed_instances_return",
	 no_stream_is_joined_from_two_versions_while_killed_instances_return},
	{"a_stream_is_refused_where_nobody_can_be_asked",
	 a_stream_is_refused_where_nobody_can_be_asked},
	{"a_stream_of_a_split_route_keeps_its_service",
	 a_stream_of_a_split_route_keeps_its_service},
	{"a_stream_whose_first_attempt_is_not_named_is_refused",
	 a_stream_whose_first_attempt_is_not_named_is_refused},
	{"all_streams_of_a_single_version_go_on", all_streams_of_a_single_version_go_on},
};

CHECK_MAIN(list)
