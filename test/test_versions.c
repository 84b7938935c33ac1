/* Engines of two software versions of one service side by side: in one answer, a stream goes on
 * only at the version that brought its first event. */
#include "check.h"
#include "versions.h"
#include <string.h>

static void a_stream_whose_engine_crashes_goes_on_at_its_version(void)
{
	struct pw_server *s[4];
	int i;

	vs_begin();
	for (i = 0; i < 4; i++) s[i] = vs_add_engine(i % 2 ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	pw_server_crash(s[0]);
	pw_server_crash(s[1]);
	vs_await();
	CU_ASSERT(vs_count_begun_at("v1") > 0 && vs_count_begun_at("v1.1") > 0);
	CU_ASSERT_EQUAL(vs_count_mixed(), 0);
	CU_ASSERT_EQUAL(vs_count_complete(), vs_count_begun());
	pw_end();
}

static void a_stream_is_cut_when_no_engine_of_its_version_is_left(void)
{
	struct pw_server *s[3];
	int i;

	vs_begin();
	for (i = 0; i < 3; i++) s[i] = vs_add_engine(i ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	pw_server_crash(s[0]);
	vs_await();
	CU_ASSERT(vs_count_begun_at("v1") > 0);
	CU_ASSERT_EQUAL(vs_count_mixed(), 0);
	CU_ASSERT_EQUAL(vs_count_complete(), vs_count_begun() - vs_count_begun_at("v1"));
	pw_end();
}

/* The engine leaves and pauses: it gets no new work, and nothing else may go on. */
static void a_stream_stays_at_the_last_engine_of_its_version(void)
{
	struct pw_server *s[2];
	int i;

	vs_begin();
	for (i = 0; i < 2; i++) s[i] = vs_add_engine(i ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_SUM, VS_INSTANCES);
	pw_server_list(s[0], "draining");
	pw_run(100);
	s[0]->event_ms = 1300;
	pw_run(1500);
	s[0]->event_ms = VS_EVENT_MS;
	vs_await();
	CU_ASSERT(vs_count_begun_at("v1") > 0);
	CU_ASSERT_EQUAL(vs_count_mixed(), 0);
	CU_ASSERT_EQUAL(vs_count_complete(), vs_count_begun());
	pw_end();
}

static void a_stream_moves_to_an_engine_of_its_version(void)
{
	struct pw_server *s[6];
	int i;

	vs_begin();
	pw_conf.no_replicas = 1;
	pw_conf.version++;
	pw_conf_write();
	for (i = 0; i < 6; i++) s[i] = vs_add_engine(i % 2 ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_CHAT, VS_INSTANCES);
	pw_server_list(s[0], "draining");
	pw_server_list(s[1], "draining");
	vs_await();
	CU_ASSERT_EQUAL(vs_count_mixed(), 0);
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

	vs_begin();
	for (i = 0; i < 4; i++) s[i] = vs_add_engine(i % 2 ? "v1.1" : "v1");
	vs_start(VS_INSTANCES);
	vs_begin_streams(VS_CHAT, VS_INSTANCES);
	for (i = 0; i < VS_STREAMS; i++) {
		const struct pw_run *r = pw_run_of(vs_first[i]->id, 0);

		if (!r || !r->backup[0]) continue;
		replicas++;
		elsewhere += strcmp(version_at(s, 4, r->backup), r->server->version) != 0;
	}
	CU_ASSERT(replicas > 0);
	CU_ASSERT_EQUAL(elsewhere, 0);
	pw_server_crash(s[0]);
	pw_server_crash(s[1]);
	vs_await();
	CU_ASSERT_EQUAL(vs_count_mixed(), 0);
	CU_ASSERT_EQUAL(vs_count_complete(), vs_count_begun());
	pw_end();
}

/* Two engines whose entries state no version need not fit together. */
static void an_engine_without_a_stated_version_continues_no_stream(void)
{
	struct pw_server *s[2];
	struct pw_run *again;
	int i;

	vs_begin();
	for (i = 0; i < 2; i++) s[i] = vs_add_engine("");
	vs_start(1);
	vs_begin_streams(VS_SUM, 1);
	pw_server_crash(s[0]);
	vs_await();
	for (i = 0; i < VS_STREAMS; i++) {
		again = pw_run_of(vs_first[i]->id, 1);
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

	vs_begin();
	s[0] = vs_add_engine("v1");
	s[1] = vs_add_engine("v1.1");
	vs_start(1);
	vs_begin_streams(VS_SUM, 1);
	g_strlcpy(s[1]->version, "v1", sizeof s[1]->version);
	pw_server_list(s[1], "ready");
	pw_run(200);
	pw_server_crash(s[0]);
	vs_await();
	for (i = 0; i < VS_STREAMS; i++) {
		if (!pw_run_of(vs_first[i]->id, 0)) continue;
		if (pw_run_of(vs_first[i]->id, 0)->server != s[0]) continue;
		CU_ASSERT(vs_first[i]->err != 0);
		CU_ASSERT_EQUAL(pw_runs_of(vs_first[i]->id), 1);
	}
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
};

CHECK_MAIN(list)
