/* Links between instances that break, fall silent or hold bytes up: behind a relay each. */
#include "check.h"
#include "pw_peer.h"
#include "relayed.h"
#include <signal.h>
#include <string.h>

#define RENEW_MS 3500 /* silence is noticed, and the link is up again */

/* All links fell silent without a reset: each instance wrote on into its own for good, and went
 * by its own knowledge alone. */
static void links_that_fall_silent_are_made_anew(void)
{
	struct relayed f;
	int i;

	pw_init();
	pw_server_add("app", 0);
	relayed_begin(&f);
	CU_ASSERT(relayed_hear_all(&f));
	for (i = 0; i < RELAYED; i++) proxy_silence(f.way[i]);
	pw_run(RENEW_MS);
	CU_ASSERT(relayed_hear_all(&f));
	relayed_end(&f);
}

/* Whoever wrote on the silent link went on hearing the other, and noticed nothing. */
static void a_link_that_falls_silent_one_way_is_made_anew(void)
{
	struct relayed f;

	pw_init();
	pw_server_add("app", 0);
	relayed_begin(&f);
	proxy_silence(f.way[1]);
	pw_run(RENEW_MS);
	CU_ASSERT(relayed_hear_all(&f));
	relayed_end(&f);
}

/* ---- what is told once ---- */

#define GUILTY "the prompt that ends them"
#define CRASH_MS 100   /* from when a server begins to run it until it ends */
#define NOTICE_MS 60   /* then instances have found out */
#define ANSWER_MS 4500 /* who does not answer is waited for no more, and some way */
#define AGAIN_MS 2500  /* after a disturbance: a link is found silent, and opened anew */
#define OLD_MS 5000    /* a run that came through so long ago is remembered no more */

static struct pw_call *ask(struct pw_entry *e, const char *body)
{
	return pw_call(e, "POST", "/unsafe/",
		       "X-Request-Id: r\r\nX-Credential: k1\r\nX-Deadline-Ms: 4000\r\n", body);
}

static struct pw_server *list_alone(void)
{
	struct pw_server *s = pw_server_add("app", 0);

	s->work_ms = 1000;
	pw_run(150);
	return s;
}

static void end_under(struct relayed *f, struct pw_server *s)
{
	ask(f->e[0], GUILTY);
	pw_run(CRASH_MS + NOTICE_MS);
	pw_server_unlist(s);
}

/* The server, which is listed alone, ends under one request and beside another. */
static void end_one(struct relayed *f)
{
	struct pw_server *s = list_alone();

	ask(f->e[1], "what everybody sends");
	pw_run(20);
	end_under(f, s);
}

/* Word of an end was sent on a link that carried nothing, or was being opened anew: whoever
 * missed it judged by the rest for good. */
static void an_end_is_told_again_when_the_link_is_back(void)
{
	struct relayed f;

	pw_init();
	pw_crash = (struct pw_crash){.body = GUILTY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	proxy_silence(f.way[2]);
	end_one(&f);
	pw_run(RENEW_MS);
	CU_ASSERT_EQUAL(pw_crash.crashes, 1);
	CU_ASSERT(pw_log_has(f.e[1], "backend_ended"));
	CU_ASSERT(pw_log_has(f.e[2], "backend_ended"));
	relayed_end(&f);
}

/* Whether e knows that s ended. */
static int knows_end(struct pw_entry *e, const struct pw_server *s)
{
	char line[96];

	g_snprintf(line, sizeof line, "\"backend_ended\",\"backend\":\"%s\"", s->id);
	return pw_log_has(e, line);
}

/* Whatever becomes of a link for a while, and whether what is sent on it meanwhile comes late
 * or never: both ends hear each other again, and know what ended. */
static void what_is_said_on_a_disturbed_link_arrives(void)
{
	static const struct {
		enum proxy_mode mode;
		int ms;
	} of[] = {{PROXY_SILENT, 800},    {PROXY_SILENT, 2500}, {PROXY_CUT_TO, 2500},
		  {PROXY_CUT_FROM, 2500}, {PROXY_RESET, 1500},  {PROXY_DELAY, 1500}};
	struct pw_server *s;
	struct relayed f;
	char body[32];
	uint32_t i;
	int k;

	pw_init();
	pw_crash = (struct pw_crash){.body = body, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	for (i = 0; i < G_N_ELEMENTS(of); i++) {
		/* One request may end three, and is not blamed for one. */
		g_snprintf(body, sizeof body, "prompt %u", i);
		s = list_alone();
		proxy_set(f.way[1], of[i].mode);
		ask(f.e[0], body);
		pw_run(of[i].ms);
		proxy_set(f.way[1], PROXY_OK);
		pw_server_unlist(s);
		pw_run(AGAIN_MS);
		CU_ASSERT(relayed_hear_all(&f));
		for (k = 0; k < RELAYED; k++) CU_ASSERT(knows_end(f.e[k], s));
	}
	relayed_end(&f);
}

/* Three servers ended under one request and beside another, and word of the last end was half a
 * second late at the instance of the other: it blamed that one, 0.2 s after its own last end.
 */
static void a_verdict_waits_for_word_that_is_under_way(void)
{
	struct pw_call *c;
	struct relayed f;
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.body = GUILTY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	for (i = 0; i < 2; i++) {
		end_one(&f);
		pw_run(100);
	}
	proxy_set(f.way[1], PROXY_CUT_TO);
	end_one(&f);
	pw_run(350);
	pw_server_add("app", 0);
	pw_run(150);
	proxy_set(f.way[1], PROXY_OK);
	pw_run(300);
	CU_ASSERT_EQUAL(pw_crash.crashes, 3);
	c = ask(f.e[1], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	CU_ASSERT(!pw_log_has(f.e[1], "request_blocked"));
	relayed_end(&f);
}

/* One that is heard and hears nothing was waited for as long as that lasted, while the request
 * went on to end servers. */
static void a_verdict_waits_for_no_answer_that_does_not_come(void)
{
	struct relayed f;
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.body = GUILTY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	proxy_set(f.way[1], PROXY_CUT_TO);
	for (i = 0; i < 3; i++) end_under(&f, list_alone());
	CU_ASSERT_EQUAL(pw_crash.crashes, 3);
	pw_run(ANSWER_MS);
	CU_ASSERT_EQUAL(pw_metric(f.e[0], "saddlehead_blocked"), 1);
	relayed_end(&f);
}

/* The server, which is listed alone, ends for another cause under what everybody sends. */
static void end_one_by_itself(struct relayed *f)
{
	struct pw_server *s = list_alone();

	ask(f->e[1], "what everybody sends");
	pw_run(CRASH_MS);
	pw_server_crash(s);
	pw_run(NOTICE_MS);
	pw_server_unlist(s);
}

/* Ends of the last half minute are told to one that starts. What ran there came through since,
 * which it was not told: it blamed what everybody sends. */
static void one_that_starts_hears_what_came_through_since(void)
{
	struct pw_server *s;
	struct pw_call *c;
	struct relayed f;

	pw_init();
	pw_server_add("llm", 1);
	relayed_begin(&f);
	end_one_by_itself(&f);
	end_one_by_itself(&f);
	s = pw_server_add("app", 0);
	pw_run(150);
	c = ask(f.e[1], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	pw_server_unlist(s);
	end_one_by_itself(&f);
	pw_run(OLD_MS);
	pw_entry_kill(f.e[2], SIGKILL);
	CU_ASSERT(pw_entry_wait(f.e[2], 1000) >= 0);
	pw_entry_restart(f.e[2]);
	CU_ASSERT(pw_entry_until_ready(f.e[2]));
	pw_server_add("app", 0);
	pw_run(RELAYED_HEAR_MS);
	c = ask(f.e[2], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	CU_ASSERT(!pw_log_has(f.e[2], "request_blocked"));
	CU_ASSERT(pw_log_has(f.e[2], "backend_end"));
	relayed_end(&f);
}

/* What a server says of itself was told to those that callers came to then: one that callers
 * came to later went on sending to servers that leave. */
static void an_instance_that_begins_to_serve_is_told_who_leaves(void)
{
	struct pw_server *s[2];
	struct pw_entry *e = pw_init_with(s, 2);
	struct pw_peer *p = pw_peer_new(e, 0);
	int i;

	pw_run(600);
	s[0]->extra_fields = "Server-Leaving: 1\r\n";
	for (i = 0; i < 20 && !s[0]->arrivals; i++) pw_status_of_key(e, "k1");
	pw_run(600);
	CU_ASSERT_EQUAL(p->leavings, 0);
	p->serving_callers = 1;
	pw_run(600);
	CU_ASSERT(p->leavings >= 1);
	pw_peers_end();
	pw_end();
}

static const struct check list[] = {
	{"links_that_fall_silent_are_made_anew", links_that_fall_silent_are_made_anew},
	{"a_link_that_falls_silent_one_way_is_made_anew",
	 a_link_that_falls_silent_one_way_is_made_anew},
	{"an_end_is_told_again_when_the_link_is_back",
	 an_end_is_told_again_when_the_link_is_back},
	{"what_is_said_on_a_disturbed_link_arrives", what_is_said_on_a_disturbed_link_arrives},
	{"a_verdict_waits_for_word_that_is_under_way",
	 a_verdict_waits_for_word_that_is_under_way},
	{"a_verdict_waits_for_no_answer_that_does_not_come",
	 a_verdict_waits_for_no_answer_that_does_not_come},
	{"one_that_starts_hears_what_came_through_since",
	 one_that_starts_hears_what_came_through_since},
	{"an_instance_that_begins_to_serve_is_told_who_leaves",
	 an_instance_that_begins_to_serve_is_told_who_leaves},
};
CHECK_MAIN(list)
