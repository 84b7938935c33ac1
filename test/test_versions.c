/* Engines of two software versions of one service side by side: a stream goes on only at the
 * version that brought its first event, in one answer and over its caller's tries. */
#include "check.h"
#include "clock.h"
#include "pw_peer.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 4
#define STREAMS 24
#define EVENTS 120
#define EVENT_MS 10
#define CHAT "/chat/" /* not resumable */
#define SUM "/sum/"   /* resumable */
#define DEADLINE_MS 9000
#define CONNECT_MS 900 /* instances connect to each other */
#define BEGUN_MS 300   /* until each stream has brought some events */
#define AT_ONCE_MS 500 /* a refusal comes within it */

static struct pw_entry *e[INSTANCES];
static struct pw_call *first[STREAMS]; /* the attempts that began the streams */

/* Engines have room for all streams, also beside those of an instance that was killed. */
static void begin(void)
{
	pw_init();
	pw_conf.tokens = 200000;
	pw_conf_write();
}

static struct pw_server *add_engine(const char *version)
{
	struct pw_server *s = pw_server_new("llm", 1);

	g_strlcpy(s->version, version, sizeof s->version);
	s->events = EVENTS;
	s->event_ms = EVENT_MS;
	pw_server_list(s, "ready");
	return s;
}

static void start_instances(int n)
{
	int i;

	for (i = 0; i < n; i++) e[i] = pw_entry_start();
	for (i = 0; i < n; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	pw_run(CONNECT_MS);
}

static void begin_streams(const char *path, int instances)
{
	int i;

	for (i = 0; i < STREAMS; i++)
		first[i] = pw_request(e[i % instances], "POST", path, DEADLINE_MS);
	pw_run(BEGUN_MS);
}

/* The version of the engine that brought the attempt's first event; NULL: none did. */
static const char *version_of(const struct pw_call *c)
{
	const struct pw_run *r;
	int i;

	for (i = 0; (r = pw_run_of(c->id, i)); i++)
		if (r->events > atoi(r->after)) return r->server->version;
	return NULL;
}

/* Runs of the attempt that brought events of another version than this one. */
static int runs_elsewhere(const struct pw_call *c, const char *version)
{
	const struct pw_run *r;
	int i, n = 0;

	for (i = 0; (r = pw_run_of(c->id, i)); i++)
		n += r->events > atoi(r->after) && strcmp(r->server->version, version) != 0;
	return n;
}

/* Streams that went on at another version, within one answer. */
static int count_mixed(void)
{
	int i, n = 0;

	for (i = 0; i < STREAMS; i++) {
		const char *v = version_of(first[i]);

		n += v && runs_elsewhere(first[i], v) != 0;
	}
	return n;
}

static int count_complete(void)
{
	int i, n = 0;

	for (i = 0; i < STREAMS; i++) n += pw_stream_complete(first[i], EVENTS);
	return n;
}

static void await_streams(void)
{
	int i;

	for (i = 0; i < STREAMS; i++) CU_ASSERT(pw_call_wait(first[i], 6000));
}

/* The streams that began: a busy machine turns some away. */
static int count_begun(void)
{
	int i, n = 0;

	for (i = 0; i < STREAMS; i++) n += version_of(first[i]) != NULL;
	CU_ASSERT(n >= STREAMS / 2);
	return n;
}

/* The number of streams whose first event this version brought. */
static int count_begun_at(const char *version)
{
	int i, n = 0;

	for (i = 0; i < STREAMS; i++) {
		const char *v = version_of(first[i]);

		n += v && !strcmp(v, version);
	}
	return n;
}

/* ---- in one answer ---- */

static void a_stream_whose_engine_crashes_goes_on_at_its_version(void)
{
	struct pw_server *s[4];
	int i;

	begin();
	for (i = 0; i < 4; i++) s[i] = add_engine(i % 2 ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(SUM, INSTANCES);
	pw_server_crash(s[0]);
	pw_server_crash(s[1]);
	await_streams();
	CU_ASSERT(count_begun_at("v1") > 0 && count_begun_at("v1.1") > 0);
	CU_ASSERT_EQUAL(count_mixed(), 0);
	CU_ASSERT_EQUAL(count_complete(), count_begun());
	pw_end();
}

static void a_stream_is_cut_when_no_engine_of_its_version_is_left(void)
{
	struct pw_server *s[3];
	int i;

	begin();
	for (i = 0; i < 3; i++) s[i] = add_engine(i ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(SUM, INSTANCES);
	pw_server_crash(s[0]);
	await_streams();
	CU_ASSERT(count_begun_at("v1") > 0);
	CU_ASSERT_EQUAL(count_mixed(), 0);
	CU_ASSERT_EQUAL(count_complete(), count_begun() - count_begun_at("v1"));
	pw_end();
}

/* The engine leaves and pauses: it gets no new work, and nothing else may go on. */
static void a_stream_stays_at_the_last_engine_of_its_version(void)
{
	struct pw_server *s[2];
	int i;

	begin();
	for (i = 0; i < 2; i++) s[i] = add_engine(i ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(SUM, INSTANCES);
	pw_server_list(s[0], "draining");
	pw_run(100);
	s[0]->event_ms = 1300;
	pw_run(1500);
	s[0]->event_ms = EVENT_MS;
	await_streams();
	CU_ASSERT(count_begun_at("v1") > 0);
	CU_ASSERT_EQUAL(count_mixed(), 0);
	CU_ASSERT_EQUAL(count_complete(), count_begun());
	pw_end();
}

static void a_stream_moves_to_an_engine_of_its_version(void)
{
	struct pw_server *s[6];
	int i;

	begin();
	pw_conf.no_replicas = 1;
	pw_conf.version++;
	pw_conf_write();
	for (i = 0; i < 6; i++) s[i] = add_engine(i % 2 ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(CHAT, INSTANCES);
	pw_server_list(s[0], "draining");
	pw_server_list(s[1], "draining");
	await_streams();
	CU_ASSERT_EQUAL(count_mixed(), 0);
	CU_ASSERT(s[0]->moves + s[1]->moves > 0);
	pw_end();
}

static const char *version_at(struct pw_server *const *s, int n, const char *address)
{
	int i;

	for (i = 0; i < n; i++)
		if (!strcmp(s[i]->address, address)) return s[i]->version;
	return "none";
}

static void a_replica_is_kept_at_an_engine_of_its_version(void)
{
	struct pw_server *s[4];
	int i, replicas = 0, elsewhere = 0;

	begin();
	for (i = 0; i < 4; i++) s[i] = add_engine(i % 2 ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(CHAT, INSTANCES);
	for (i = 0; i < STREAMS; i++) {
		const struct pw_run *r = pw_run_of(first[i]->id, 0);

		if (!r || !r->backup[0]) continue;
		replicas++;
		elsewhere += strcmp(version_at(s, 4, r->backup), r->server->version) != 0;
	}
	CU_ASSERT(replicas > 0);
	CU_ASSERT_EQUAL(elsewhere, 0);
	pw_server_crash(s[0]);
	pw_server_crash(s[1]);
	await_streams();
	CU_ASSERT_EQUAL(count_mixed(), 0);
	CU_ASSERT_EQUAL(count_complete(), count_begun());
	pw_end();
}

/* Two engines whose entries state no version need not fit together. */
static void an_engine_without_a_stated_version_continues_no_stream(void)
{
	struct pw_server *s[2];
	struct pw_run *again;
	int i;

	begin();
	for (i = 0; i < 2; i++) s[i] = add_engine("");
	start_instances(1);
	begin_streams(SUM, 1);
	pw_server_crash(s[0]);
	await_streams();
	for (i = 0; i < STREAMS; i++) {
		again = pw_run_of(first[i]->id, 1);
		CU_ASSERT(!again || !again->after[0]);
	}
	pw_end();
}

/* Without a stated start two incarnations can't be told apart, and which one runs is unknown.
 */
static void an_engine_whose_entries_state_two_versions_continues_no_stream(void)
{
	struct pw_server *s[2];
	int i;

	begin();
	s[0] = add_engine("v1");
	s[1] = add_engine("v1.1");
	start_instances(1);
	begin_streams(SUM, 1);
	g_strlcpy(s[1]->version, "v1", sizeof s[1]->version);
	pw_server_list(s[1], "ready");
	pw_run(200);
	pw_server_crash(s[0]);
	await_streams();
	for (i = 0; i < STREAMS; i++) {
		if (!pw_run_of(first[i]->id, 0)) continue;
		if (pw_run_of(first[i]->id, 0)->server != s[0]) continue;
		CU_ASSERT(first[i]->err != 0);
		CU_ASSERT_EQUAL(pw_runs_of(first[i]->id), 1);
	}
	pw_end();
}

/* ---- over a caller's tries ---- */

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

static struct pw_call *take_up(struct pw_entry *at, const char *resumes, int last)
{
	static int serial;
	char id[32], fields[320];
	struct pw_call *c;

	g_snprintf(id, sizeof id, "again%d", ++serial);
	g_snprintf(fields, sizeof fields,
		   "X-Request-Id: %s\r\nX-Credential: k1\r\nX-Deadline-Ms: %d\r\n"
		   "X-Model: m\r\nX-Token-Usage: 1000,400\r\nLast-Event-Id: %d\r\n%s%s%s",
		   id, DEADLINE_MS, last, resumes ? "Resumes: " : "", resumes ? resumes : "",
		   resumes ? "\r\n" : "");
	c = pw_call(at, "POST", SUM, fields, "a prompt");
	g_strlcpy(c->id, id, sizeof c->id);
	return c;
}

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
		c = take_up(at, resumes, last);
		CU_ASSERT(pw_call_wait(c, 6000));
	}
	return c;
}

static void check_taken_up(struct taken_up *t, const struct pw_call *c, const char *version)
{
	t->mixed += runs_elsewhere(c, version) != 0;
	if (c->status == 200) {
		t->went_on += !c->err && last_event(c) == EVENTS;
		return;
	}
	t->undefined += c->status != 503;
	t->final += !c->retry_after[0];
	t->ran += pw_runs_of(c->id) != 0;
	t->late += c->ended_us - c->began_us > AT_ONCE_MS * 1000;
}

/* The callers have left, or were cut off; they take their streams up at instances from the one
 * given on, round after round. */
static struct taken_up take_up_all(int from, int rounds)
{
	struct taken_up t = {0};
	struct pw_call *c[STREAMS];
	int i, round, last[STREAMS];

	for (i = 0; i < STREAMS; i++) {
		last[i] = last_event(first[i]);
		t.begun += last[i] > 0;
	}
	CU_ASSERT(t.begun >= STREAMS / 2);
	for (round = 0; round < rounds; round++) {
		for (i = 0; i < STREAMS; i++) {
			int at = from + (i + round) % (INSTANCES - from);

			c[i] = last[i] ? take_up(e[at], first[i]->id, last[i]) : NULL;
		}
		if (round == rounds - 1) break;
		pw_run(BEGUN_MS);
		for (i = 0; i < STREAMS; i++) {
			if (!c[i]) continue;
			last[i] = MAX(last[i], last_event(c[i]));
			t.mixed += runs_elsewhere(c[i], version_of(first[i])) != 0;
			pw_call_cancel(c[i]);
		}
	}
	for (i = 0; i < STREAMS; i++) {
		int at = from + (i + rounds - 1) % (INSTANCES - from);

		if (!c[i]) continue;
		c[i] = follow(c[i], e[at], first[i]->id, last[i]);
		check_taken_up(&t, c[i], version_of(first[i]));
	}
	return t;
}

static void start_with_two_versions(struct pw_server **s, int n)
{
	int i;

	begin();
	for (i = 0; i < n; i++) s[i] = add_engine(i % 2 ? "v1.1" : "v1");
	start_instances(INSTANCES);
	begin_streams(SUM, INSTANCES);
	CU_ASSERT(count_begun_at("v1") > 0 && count_begun_at("v1.1") > 0);
}

static void cancel_all(void)
{
	int i;

	for (i = 0; i < STREAMS; i++) pw_call_cancel(first[i]);
}

static void kill_instances(int n)
{
	int i, status;

	for (i = 0; i < n; i++) pw_entry_kill(e[i], SIGKILL);
	pw_run(100);
	for (i = 0; i < n; i++) CU_ASSERT(pw_entry_ended(e[i], &status));
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
	for (i = 0; i < INSTANCES; i++) {
		pw_entry_kill(e[i], SIGTERM);
		pw_entry_wait(e[i], 12000);
		pw_entry_restart(e[i]);
		CU_ASSERT(pw_entry_until_ready(e[i]));
		pw_run(CONNECT_MS);
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
	at_v11 = count_begun_at("v1.1");
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
	kill_instances(INSTANCES);
	for (i = 0; i < INSTANCES; i++) pw_entry_restart(e[i]);
	for (i = 0; i < INSTANCES; i++) CU_ASSERT(pw_entry_until_ready(e[i]));
	pw_run(CONNECT_MS);
	t = take_up_all(0, 1);
	CU_ASSERT_EQUAL(t.mixed + t.went_on, 0);
	CU_ASSERT_EQUAL(t.final, t.begun);
	CU_ASSERT_EQUAL(t.late + t.ran + t.undefined, 0);
	pw_end();
}

/* The others don't answer: what they know can't be asked. */
static void a_stream_is_refused_where_nobody_can_be_asked(void)
{
	struct pw_server *s[4];
	struct taken_up t;
	int i;

	start_with_two_versions(s, 4);
	cancel_all();
	kill_instances(INSTANCES - 1);
	pw_entry_kill(e[INSTANCES - 1], SIGKILL);
	pw_run(100);
	pw_entry_restart(e[INSTANCES - 1]);
	CU_ASSERT(pw_entry_until_ready(e[INSTANCES - 1]));
	t = take_up_all(INSTANCES - 1, 1);
	CU_ASSERT_EQUAL(t.mixed, 0);
	CU_ASSERT_EQUAL(t.late + t.ran + t.undefined, 0);
	for (i = 0; i < INSTANCES - 1; i++) pw_entry_restart(e[i]);
	pw_end();
}

/* An instance of an earlier release takes the question, and does not know what it asks. */
static void a_stream_is_refused_soon_when_those_asked_do_not_answer(void)
{
	struct pw_call *c;

	begin();
	add_engine("v1");
	start_instances(1);
	pw_peer_new(e[0], 0);
	pw_run(CONNECT_MS);
	c = take_up(e[0], "begun-at-the-other", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(c->retry_after[0] != '\0');
	CU_ASSERT(c->ended_us - c->began_us < AT_ONCE_MS * 1000);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	CU_ASSERT(pw_metric(e[0], "saddlehead_origins_asked_total") == 1);
	pw_peers_end();
	pw_end();
}

/* Without the attempt that brought its first event nothing tells the stream's version. */
static void a_stream_whose_first_attempt_is_not_named_is_refused(void)
{
	struct pw_server *s[4];
	struct pw_call *c;

	start_with_two_versions(s, 4);
	cancel_all();
	c = take_up(e[0], NULL, 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	c = take_up(e[0], "nobody-sent-this", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	pw_end();
}

static void all_streams_of_a_single_version_go_on(void)
{
	struct taken_up t;
	int i;

	begin();
	for (i = 0; i < 3; i++) add_engine("v1");
	start_instances(INSTANCES);
	begin_streams(SUM, INSTANCES);
	kill_instances(1);
	cancel_all();
	t = take_up_all(1, 1);
	CU_ASSERT_EQUAL(t.went_on, t.begun);
	pw_end();
}

static const struct check list[] = {
	{"a_stream_whose_engine_crashes_goes_on_at_its_version",
	 a_stream_whose_engine_crashes_goes_on_at_its_version},
	{"a_stream_is_cut_when_no_engine_of_its_version_is_left",
	 a_stream_is_cut_when_no_engine_of_its_version_is_left},
	{"a_stream_stays_at_the_last_engine_of_its_version",
	 a_stream_stays_at_the_last_engine_of_its_version},
	{"a_stream_moves_to_an_engine_of_its_version",
	 a_stream_moves_to_an_engine_of_its_version},
	{"a_replica_is_kept_at_an_engine_of_its_version",
	 a_replica_is_kept_at_an_engine_of_its_version},
	{"an_engine_without_a_stated_version_continues_no_stream",
	 an_engine_without_a_stated_version_continues_no_stream},
	{"an_engine_whose_entries_state_two_versions_continues_no_stream",
	 an_engine_whose_entries_state_two_versions_continues_no_stream},
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
	{"a_stream_is_refused_where_nobody_can_be_asked",
	 a_stream_is_refused_where_nobody_can_be_asked},
	{"a_stream_is_refused_soon_when_those_asked_do_not_answer",
	 a_stream_is_refused_soon_when_those_asked_do_not_answer},
	{"a_stream_whose_first_attempt_is_not_named_is_refused",
	 a_stream_whose_first_attempt_is_not_named_is_refused},
	{"all_streams_of_a_single_version_go_on", all_streams_of_a_single_version_go_on},
};

CHECK_MAIN(list)
