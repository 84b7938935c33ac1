/* What instances tell and ask each other of the versions that began streams. */
#include "check.h"
#include "pw_peer.h"
#include "versions.h"
#include <signal.h>
#include <string.h>

/* An instance of an earlier release takes the question, and does not know what it asks. */
static void a_stream_is_refused_soon_when_those_asked_do_not_answer(void)
{
	struct pw_call *c;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	pw_peer_new(vs_entry[0], 0);
	pw_run(VS_CONNECT_MS);
	c = vs_take_up(vs_entry[0], "begun-at-the-other", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(c->retry_after[0] != '\0');
	CU_ASSERT(c->ended_us - c->began_us < VS_AT_ONCE_MS * 1000);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	CU_ASSERT(strstr(c->body->str, "origin_unanswered") != NULL);
	CU_ASSERT(pw_metric(vs_entry[0], "saddlehead_origins_asked_total") == 1);
	pw_peers_end();
	pw_end();
}

/* The only version that is listed here need not be the stream's. */
static void a_stream_of_a_version_that_is_not_listed_here_is_refused_for_now(void)
{
	struct pw_call *c;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	pw_peer_new(vs_entry[0], 0)->origin = 1;
	pw_run(VS_CONNECT_MS);
	c = vs_take_up(vs_entry[0], "begun-at-the-other", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(strstr(c->body->str, "version_gone") != NULL);
	CU_ASSERT(c->retry_after[0] != '\0');
	CU_ASSERT(c->ended_us - c->began_us < VS_AT_ONCE_MS * 1000);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	pw_peers_end();
	pw_end();
}

#define DEAD_MS 2500 /* until an instance that sends nothing counts as dead */

/* Of two others one answers that it does not know, and the other is lost in some way. */
static struct pw_call *ask_without(void (*lose)(struct pw_peer *p))
{
	struct pw_peer *p[2];
	struct pw_call *c;
	int i;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	for (i = 0; i < 2; i++) {
		p[i] = pw_peer_new(vs_entry[0], 0);
		p[i]->knows_no_origin = 1;
	}
	pw_run(VS_CONNECT_MS);
	lose(p[1]);
	pw_run(DEAD_MS);
	c = vs_take_up(vs_entry[0], "begun-at-the-other", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(c->ended_us - c->began_us < VS_AT_ONCE_MS * 1000);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	CU_ASSERT(pw_metric(vs_entry[0], "saddlehead_origins_asked_total") == 1);
	return c;
}

static void cut_off(struct pw_peer *p)
{
	p->mute = 1;
	pw_peer_silence(p);
}

/* It may know, and may be in reach again before the caller's time is over. */
static void a_stream_is_refused_for_now_while_one_that_may_know_is_cut_off(void)
{
	struct pw_call *c = ask_without(cut_off);

	CU_ASSERT(strstr(c->body->str, "origin_unanswered") != NULL);
	CU_ASSERT(c->retry_after[0] != '\0');
	pw_peers_end();
	pw_end();
}

/* Its process is gone, and what it knew with it. */
static void a_stream_is_refused_finally_when_all_that_live_do_not_know(void)
{
	struct pw_call *c = ask_without(pw_peer_stop);

	CU_ASSERT(strstr(c->body->str, "origin_unknown") != NULL);
	CU_ASSERT(!c->retry_after[0]);
	pw_peers_end();
	pw_end();
}

/* An attempt's id was used twice, and which of the two streams is meant is not known. */
static void a_stream_whose_attempt_began_at_two_versions_is_refused(void)
{
	struct pw_peer *p;
	struct pw_call *c;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	p = pw_peer_new(vs_entry[0], 0);
	pw_run(VS_CONNECT_MS);
	pw_peer_state_origin(p, "begun-twice", 1);
	pw_peer_state_origin(p, "begun-twice", 2);
	pw_run(100);
	c = vs_take_up(vs_entry[0], "begun-twice", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(strstr(c->body->str, "origin_disputed") != NULL);
	CU_ASSERT(!c->retry_after[0]);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	pw_peers_end();
	pw_end();
}

static int is_blocked(void *e)
{
	return pw_log_has(e, "\"rolled_back\"");
}

/* Its engines serve on, and get nothing as long as the order stands. */
static void a_stream_of_a_version_that_was_rolled_back_is_refused_at_once(void)
{
	struct pw_peer *p;
	struct pw_call *c;

	vs_begin();
	pw_store_put("op/rollout/llm",
		     "{\"service\":\"llm\",\"targetVersion\":\"v2\",\"durationS\":5}");
	pw_store_put("status/rollout/llm", "{\"service\":\"llm\",\"targetVersion\":\"v2\","
					   "\"state\":\"rolled_back\"}");
	vs_add_engine("v1");
	vs_add_engine("v2");
	vs_start(1);
	CU_ASSERT(pw_until(is_blocked, vs_entry[0], 3000));
	p = pw_peer_new(vs_entry[0], 0);
	pw_run(VS_CONNECT_MS);
	pw_peer_state_origin(p, "begun-at-v2", fp_short("llm", "v2"));
	pw_run(100);
	c = vs_take_up(vs_entry[0], "begun-at-v2", 5);
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(strstr(c->body->str, "version_gone") != NULL);
	CU_ASSERT(!c->retry_after[0]);
	CU_ASSERT(c->ended_us - c->began_us < VS_AT_ONCE_MS * 1000);
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 0);
	pw_peers_end();
	pw_end();
}

#define MANY_STREAMS 20000
#define LINK_BYTES (256 << 10) /* queued for an instance before its link is given up */

static int keeps_many(void *e)
{
	return pw_metric(e, "saddlehead_origins_kept") == MANY_STREAMS;
}

static int has_many(void *peer)
{
	return ((struct pw_peer *)peer)->origins >= MANY_STREAMS;
}

/* More at once than its link may queue would have the link given up, and opened again for the
 * same. */
static void what_is_known_of_many_streams_is_told_in_parts(void)
{
	struct pw_peer *teller, *joins;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	teller = pw_peer_new(vs_entry[0], 0);
	pw_run(VS_CONNECT_MS);
	pw_peer_state_origins(teller, MANY_STREAMS);
	CU_ASSERT(pw_until(keeps_many, vs_entry[0], 3000));
	joins = pw_peer_new(vs_entry[0], 0);
	CU_ASSERT(pw_until(has_many, joins, 5000));
	CU_ASSERT(joins->most_origin_bytes < LINK_BYTES);
	CU_ASSERT_EQUAL(pw_metric(vs_entry[0], "saddlehead_peer_dropped_total"), 0);
	pw_peers_end();
	pw_end();
}

/* The instance stops: both that are drawn are told all of it meanwhile. */
static void an_instance_that_stops_tells_of_many_streams_in_parts(void)
{
	struct pw_peer *p[2];
	int i;

	vs_begin();
	vs_add_engine("v1");
	vs_start(1);
	for (i = 0; i < 2; i++) p[i] = pw_peer_new(vs_entry[0], 0);
	pw_run(VS_CONNECT_MS);
	pw_peer_state_origins(p[0], MANY_STREAMS);
	CU_ASSERT(pw_until(keeps_many, vs_entry[0], 3000));
	pw_entry_kill(vs_entry[0], SIGTERM);
	for (i = 0; i < 2; i++) {
		CU_ASSERT(pw_until(has_many, p[i], 5000));
		CU_ASSERT(p[i]->most_origin_bytes < LINK_BYTES);
	}
	pw_peers_end();
	pw_end();
}

static const struct check list[] = {
	{"a_stream_is_refused_soon_when_those_asked_do_not_answer",
	 a_stream_is_refused_soon_when_those_asked_do_not_answer},
	{"a_stream_of_a_version_that_is_not_listed_here_is_refused_for_now",
	 a_stream_of_a_version_that_is_not_listed_here_is_refused_for_now},
	{"a_stream_is_refused_for_now_while_one_that_may_know_is_cut_off",
	 a_stream_is_refused_for_now_while_one_that_may_know_is_cut_off},
	{"a_stream_is_refused_finally_when_all_that_live_do_not_know",
	 a_stream_is_refused_finally_when_all_that_live_do_not_know},
	{"a_stream_whose_attempt_began_at_two_versions_is_refused",
	 a_stream_whose_attempt_began_at_two_versions_is_refused},
	{"a_stream_of_a_version_that_was_rolled_back_is_refused_at_once",
	 a_stream_of_a_version_that_was_rolled_back_is_refused_at_once},
	{"what_is_known_of_many_streams_is_told_in_parts",
	 what_is_known_of_many_streams_is_told_in_parts},
	{"an_instance_that_stops_tells_of_many_streams_in_parts",
	 an_instance_that_stops_tells_of_many_streams_in_parts},
};

CHECK_MAIN(list)
