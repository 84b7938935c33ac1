/* Links between instances that break, fall silent or delay bytes; a relay in front of each
 * instance disturbs them. */
#include "check.h"
#include "pw_peer.h"
#include "relayed.h"
#include <signal.h>
#include <string.h>

#define RENEW_MS 3500 /* until the silence is detected and the link is up again */

/* All links fell silent without a reset: each instance kept writing to its own for ever, and
 * had only its own state to go by. */
static void links_that_fall_silent_are_made_anew(void)
{
	struct relayed f;
	int i;

	pw_init();
	pw_server_add("app", 0);
	relayed_begin(&f);
	CU_ASSERT(relayed_all_connected(&f));
	for (i = 0; i < RELAYED; i++) proxy_silence(f.relay[i]);
	pw_run(RENEW_MS);
	CU_ASSERT(relayed_all_connected(&f));
	relayed_end(&f);
}

/* The instance that wrote to the silent link still received from the other one, and noticed
 * nothing. */
static void a_link_that_falls_silent_one_way_is_made_anew(void)
{
	struct relayed f;

	pw_init();
	pw_server_add("app", 0);
	relayed_begin(&f);
	proxy_silence(f.relay[1]);
	pw_run(RENEW_MS);
	CU_ASSERT(relayed_all_connected(&f));
	relayed_end(&f);
}

/* ---- frames that are sent once ---- */

#define CRASHING_BODY "the prompt that ends them"
#define CRASH_MS 100     /* from the start of the request until its server crashes */
#define DETECT_MS 60     /* until the instances have detected the crash */
#define ACK_WAIT_MS 4500 /* until missing acknowledgements are not waited for */
#define RECOVER_MS 2500  /* until a silent link is detected and open again */
#define EXPIRED_MS 5000  /* until a successful run is forgotten */

static struct pw_call *ask(struct pw_entry *e, const char *body)
{
	return pw_call(e, "POST", "/unsafe/",
		       "X-Request-Id: r\r\nX-Credential: k1\r\nX-Deadline-Ms: 4000\r\n", body);
}

static struct pw_server *list_only_server(void)
{
	struct pw_server *s = pw_server_add("app", 0);

	s->work_ms = 1000;
	pw_run(150);
	return s;
}

static void crash_under(struct relayed *f, struct pw_server *s)
{
	ask(f->e[0], CRASHING_BODY);
	pw_run(CRASH_MS + DETECT_MS);
	pw_server_unlist(s);
}

/* The only listed server crashes under one request while it runs another. */
static void crash_one(struct relayed *f)
{
	struct pw_server *s = list_only_server();

	ask(f->e[1], "what everybody sends");
	pw_run(20);
	crash_under(f, s);
}

/* The report of a crash was sent on a link that carried nothing or was being opened again: an
 * instance that missed it never got it, and judged by the other crashes. */
static void an_end_is_told_again_when_the_link_is_back(void)
{
	struct relayed f;

	pw_init();
	pw_crash = (struct pw_crash){.body = CRASHING_BODY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	proxy_silence(f.relay[2]);
	crash_one(&f);
	pw_run(RENEW_MS);
	CU_ASSERT_EQUAL(pw_crash.crashes, 1);
	CU_ASSERT(pw_log_has(f.e[1], "backend_ended"));
	CU_ASSERT(pw_log_has(f.e[2], "backend_ended"));
	relayed_end(&f);
}

/* Whether e logged the crash of s. */
static int logged_crash(struct pw_entry *e, const struct pw_server *s)
{
	char line[96];

	g_snprintf(line, sizeof line, "\"backend_ended\",\"backend\":\"%s\"", s->id);
	return pw_log_has(e, line);
}

/* However a link is disturbed for a while, and whether frames sent meanwhile arrive late or
 * never: both instances are connected again afterwards, and have the crash. */
static void what_is_said_on_a_disturbed_link_arrives(void)
{
	static const struct {
		enum proxy_mode mode;
		int ms;
	} disturbance[] = {{PROXY_SILENT, 800},    {PROXY_SILENT, 2500}, {PROXY_CUT_TO, 2500},
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
	for (i = 0; i < G_N_ELEMENTS(disturbance); i++) {
		/* Another request each time: one crash does not quarantine it, as three of the
		 * same would. */
		g_snprintf(body, sizeof body, "prompt %u", i);
		s = list_only_server();
		proxy_set(f.relay[1], disturbance[i].mode);
		ask(f.e[0], body);
		pw_run(disturbance[i].ms);
		proxy_set(f.relay[1], PROXY_OK);
		pw_server_unlist(s);
		pw_run(RECOVER_MS);
		CU_ASSERT(relayed_all_connected(&f));
		for (k = 0; k < RELAYED; k++) CU_ASSERT(logged_crash(f.e[k], s));
	}
	relayed_end(&f);
}

/* Three servers crashed under one request while they ran another. The report of the last crash
 * was half a second late at the instance of the other request, which quarantined that one, 0.2
 * s after its own last crash. */
static void a_verdict_waits_for_word_that_is_under_way(void)
{
	struct pw_call *c;
	struct relayed f;
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.body = CRASHING_BODY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	for (i = 0; i < 2; i++) {
		crash_one(&f);
		pw_run(100);
	}
	proxy_set(f.relay[1], PROXY_CUT_TO);
	crash_one(&f);
	pw_run(350);
	pw_server_add("app", 0);
	pw_run(150);
	proxy_set(f.relay[1], PROXY_OK);
	pw_run(300);
	CU_ASSERT_EQUAL(pw_crash.crashes, 3);
	c = ask(f.e[1], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	CU_ASSERT(!pw_log_has(f.e[1], "request_blocked"));
	relayed_end(&f);
}

/* An instance whose heartbeats arrive, but which receives nothing, was waited for as long as
 * that lasted, while the request crashed more servers. */
static void a_verdict_waits_for_no_answer_that_does_not_come(void)
{
	struct relayed f;
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.body = CRASHING_BODY, .after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&f);
	proxy_set(f.relay[1], PROXY_CUT_TO);
	for (i = 0; i < 3; i++) crash_under(&f, list_only_server());
	CU_ASSERT_EQUAL(pw_crash.crashes, 3);
	pw_run(ACK_WAIT_MS);
	CU_ASSERT_EQUAL(pw_metric(f.e[0], "saddlehead_blocked"), 1);
	relayed_end(&f);
}

/* The only listed server crashes for another reason, under a common request. */
static void crash_by_itself(struct relayed *f)
{
	struct pw_server *s = list_only_server();

	ask(f->e[1], "what everybody sends");
	pw_run(CRASH_MS);
	pw_server_crash(s);
	pw_run(DETECT_MS);
	pw_server_unlist(s);
}

/* A starting instance gets the crashes of the last half minute. It did not get the runs that
 * had succeeded since, and quarantined a common request. */
static void one_that_starts_hears_what_came_through_since(void)
{
	struct pw_server *s;
	struct pw_call *c;
	struct relayed f;

	pw_init();
	pw_server_add("llm", 1);
	relayed_begin(&f);
	crash_by_itself(&f);
	crash_by_itself(&f);
	s = pw_server_add("app", 0);
	pw_run(150);
	c = ask(f.e[1], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	pw_server_unlist(s);
	crash_by_itself(&f);
	pw_run(EXPIRED_MS);
	pw_entry_kill(f.e[2], SIGKILL);
	CU_ASSERT(pw_entry_wait(f.e[2], 1000) >= 0);
	pw_entry_restart(f.e[2]);
	CU_ASSERT(pw_entry_until_ready(f.e[2]));
	pw_server_add("app", 0);
	pw_run(RELAYED_CONNECT_MS);
	c = ask(f.e[2], "what everybody sends");
	CU_ASSERT(pw_call_wait(c, 2000));
	CU_ASSERT_EQUAL(c->status, 200);
	CU_ASSERT(!pw_log_has(f.e[2], "request_blocked"));
	CU_ASSERT(pw_log_has(f.e[2], "backend_end"));
	relayed_end(&f);
}

/* Notice that a server leaves was sent only to the instances that were serving then: one that
 * began to serve later kept sending requests to that server. */
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
