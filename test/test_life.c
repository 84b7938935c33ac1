/* New incarnations of backend servers under the same id, and entries by other writers. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include "pw_peer.h"
#include <signal.h>
#include <string.h>

#define SECOND_PORT 6900 /* the first port of later incarnations */

/* Ends the incarnation, and lists a newer one under its id at another address or the same. */
static void start_incarnation(struct pw_server *s, int elsewhere)
{
	static int64_t incarnations;

	pw_server_crash(s);
	if (elsewhere)
		g_snprintf(s->address, sizeof s->address, "%s:%d", pw_server_ip(),
			   SECOND_PORT + (int)(++incarnations % 90));
	s->incarnation_ms = clock_wall_ms() + ++incarnations;
	pw_server_listen(s);
	pw_server_list(s, "ready");
}

static void list_incarnation(struct pw_server *s)
{
	s->incarnation_ms = clock_wall_ms();
	pw_server_list(s, "ready");
}

/* If leaving were recorded for the id, its next incarnation would never get a request. */
static void a_server_that_left_is_used_in_its_next_life(void)
{
	struct pw_entry *e[2];
	struct pw_server *s;
	int i;

	pw_init();
	s = pw_server_add("app", 0);
	list_incarnation(s);
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(600);
	pw_server_list(s, "draining");
	pw_run(300);
	start_incarnation(s, 1);
	pw_run(400);
	for (i = 0; i < 10; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % 2], "k1"), 200);
	pw_end();
}

/* Load, suspicion and outcomes of the incarnation before don't count for the new one. */
static void a_new_life_begins_with_nothing(void)
{
	struct pw_call *c[6];
	struct pw_entry *e[2];
	struct pw_server *s, *other;
	int i;

	pw_init();
	s = pw_server_add("app", 0);
	list_incarnation(s);
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(600);
	s->mode = PW_HANG;
	for (i = 0; i < 6; i++) c[i] = pw_request(e[i % 2], "POST", "/unsafe/", 4000);
	pw_run(100);
	s->mode = PW_OK;
	other = pw_server_add("app", 0);
	other->work_ms = 80;
	start_incarnation(s, 0);
	pw_run(150);
	for (i = 0; i < 6; i++) CU_ASSERT(c[i]->ended); /* runs there end with it */
	s->arrivals = 0;
	for (i = 0; i < 8; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % 2], "k1"), 200);
	CU_ASSERT(s->arrivals >= 6); /* it is the faster one, and idle */
	pw_end();
}

/* Across a network cut no reset shows that an incarnation ended; the next one's entry does. */
static void streams_of_a_life_that_ended_unheard_go_on(void)
{
	struct pw_server *s, *other;
	struct pw_entry *e;
	struct pw_call *c;

	pw_init();
	s = pw_server_add("llm", 1);
	list_incarnation(s);
	e = pw_entry_ready();
	s->mode = PW_SILENT;
	s->break_after = 5;
	c = pw_request(e, "POST", "/sum/", 20000);
	pw_run(300);
	other = pw_server_add("llm", 1);
	pw_run(100);
	s->incarnation_ms += 1000; /* the old connection stays open and silent */
	pw_server_list(s, "ready");
	CU_ASSERT(pw_call_wait(c, 700));
	CU_ASSERT(pw_stream_complete(c, 30));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 2);
	(void)other;
	pw_end();
}

/* A peer reports an older or newer incarnation: the current one is not affected. */
static void word_of_one_life_does_not_touch_another(void)
{
	struct pw_server *s;
	struct pw_entry *e;
	struct pw_peer *p;
	int64_t old;

	pw_init();
	s = pw_server_add("app", 0);
	list_incarnation(s);
	old = s->incarnation_ms;
	e = pw_entry_ready();
	p = pw_peer_new(e, 0);
	p->serving_callers = 1;
	pw_run(600);
	start_incarnation(s, 0);
	pw_run(300);
	pw_peer_report_leaving(p, s->id, old);
	pw_run(50);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_peer_report_leaving(p, s->id, s->incarnation_ms + 500); /* not listed yet */
	pw_run(50);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	s->incarnation_ms += 500;
	pw_server_list(s, "ready");
	pw_run(300);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 503); /* it leaves as soon as it is listed */
	pw_peers_end();
	pw_end();
}

/* ---- entries by other writers ---- */

static void put(const char *id, const char *value)
{
	char key[200];

	g_snprintf(key, sizeof key, "servers/%s", id);
	pw_store_put(key, value);
}

#define ENTRY(service, address, zone, slots, state)                                           \
	"{\"service\":" service ",\"address\":" address ",\"zone\":" zone ",\"slots\":" slots \
	",\"state\":" state "}"
#define DEAD "\"127.0.0.9:9\""

static const char *const bad_entries[] = {
	"",
	"no json",
	"[]",
	"\"text\"",
	"{}",
	"{\"service\":\"app\"",
	"\xff\xfe{\"service\":\"app\"}",
	ENTRY("5", DEAD, "\"a\"", "6", "\"ready\""),
	ENTRY("\"\"", DEAD, "\"a\"", "6", "\"ready\""),
	ENTRY("\"app\"", "7", "\"a\"", "6", "\"ready\""),
	ENTRY("\"app\"", "\"no address\"", "\"a\"", "6", "\"ready\""),
	ENTRY("\"app\"", "\"127.0.0.9:0\"", "\"a\"", "6", "\"ready\""),
	ENTRY("\"app\"", "\"127.0.0.9:99999\"", "\"a\"", "6", "\"ready\""),
	ENTRY("\"app\"", DEAD, "null", "6", "\"ready\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "0", "\"ready\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "-3", "\"ready\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "\"six\"", "\"ready\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "99999999999", "\"ready\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"resting\""),
	ENTRY("\"app\"", DEAD, "\"a\"", "6", "3"),
	ENTRY("\"app\"", DEAD, "\"a\"", "6", "null"),
	"{\"service\":\"app\",\"address\":" DEAD ",\"zone\":\"a\",\"slots\":6}",
	"{\"service\":\"app\",\"address\":" DEAD
	",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\","
	"\"born\":\"yesterday\"}",
	"{\"service\":\"app\",\"address\":" DEAD
	",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\","
	"\"born\":1.5}",
	"{\"service\":\"app\",\"address\":" DEAD
	",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\","
	"\"coldRemainingMs\":\"long\"}",
};

static void entries_by_other_writers_name_no_server(void)
{
	const int n = G_N_ELEMENTS(bad_entries);
	char long_id[160], own[200], id[16];
	struct pw_server *s;
	struct pw_entry *e;
	int i;

	pw_init();
	s = pw_server_add("app", 0);
	e = pw_entry_ready();
	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof id, "bad-%d", i);
		put(id, bad_entries[i]);
	}
	memset(long_id, 'x', sizeof long_id - 1);
	long_id[sizeof long_id - 1] = '\0';
	put(long_id, ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"ready\""));
	put("", ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"ready\""));
	put("with space", ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"ready\""));
	put("two\\r\\nX-Tenant: evil", ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"ready\""));
	g_snprintf(own, sizeof own,
		   "{\"service\":\"app\",\"address\":\"%s:%d\",\"zone\":\"a\",\"slots\":6,"
		   "\"state\":\"ready\"}",
		   e->ip, PW_FRONT);
	put("ourselves", own);
	pw_run(400);
	for (i = 0; i < 30; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(s->arrivals, 30);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_retried_total{reason=\"connect\"}"), 0);
	CU_ASSERT(pw_metric(e, "saddlehead_entries_unreadable_total") >= n + 4);
	CU_ASSERT(pw_log_has(e, "entry_unreadable"));
	CU_ASSERT(pw_log_has(e, "\"field\":\"slots\""));
	CU_ASSERT(pw_log_has(e, "\"field\":\"state\""));
	pw_end();
}

/* The server gets no new work, and runs there continue, as nothing shows that it stopped. */
static void an_entry_that_turns_unreadable_ends_nothing(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = pw_server_add("llm", 1);
	e = pw_entry_ready();
	for (i = 0; i < 2; i++) s[i]->event_ms = 30;
	c = pw_request(e, "POST", "/chat/", 20000);
	pw_run(150);
	i = pw_run_of(c->id, 0)->server == s[1];
	put(s[i]->id, "{\"service\":\"llm\",\"slots\":\"a few\"}");
	pw_run(200);
	s[i]->arrivals = 0;
	CU_ASSERT(pw_call_wait(pw_request(e, "POST", "/sum/", 20000), 3000));
	CU_ASSERT(pw_call_wait(pw_request(e, "POST", "/sum/", 20000), 3000));
	CU_ASSERT_EQUAL(s[i]->arrivals, 0);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, 30));
	CU_ASSERT_EQUAL(pw_runs_of(c->id), 1);
	CU_ASSERT_EQUAL(s[0]->moves + s[1]->moves, 0);
	s[1 - i]->mode = PW_FULL;
	pw_server_list(s[i], "ready"); /* valid again: used again */
	pw_run(200);
	c = pw_request(e, "POST", "/sum/", 20000);
	CU_ASSERT(pw_call_wait(c, 3000));
	CU_ASSERT(pw_stream_complete(c, 30));
	pw_end();
}

/* Foreign keys beside those of instances, with any names, addresses and bytes. */
static void keys_by_other_writers_name_no_instance(void)
{
	struct pw_entry *e[2];
	char key[700];
	int i;

	pw_init();
	pw_server_add("app", 0);
	pw_store_put("saddlehead/members/a", "\xff\xfe\x01");
	pw_store_put("saddlehead/members/b", "no address");
	pw_store_put("saddlehead/members/c", "");
	pw_store_put("saddlehead/other", "127.0.0.1");
	pw_store_put("saddlehead/members/", "999.1.1.1");
	memset(key, 'k', sizeof key);
	key[sizeof key - 1] = '\0';
	memcpy(key, "servers/", 8);
	pw_store_put(key, ENTRY("\"app\"", DEAD, "\"a\"", "6", "\"ready\""));
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(2000);
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(pw_status_of_key(e[i], "k1"), 200);
		CU_ASSERT_EQUAL(pw_metric(e[i], "saddlehead_members"), 2);
		CU_ASSERT(!pw_log_has(e[i], "peer_frame_malformed"));
	}
	pw_end();
}

static const struct check tests[] = {
	{"a_server_that_left_is_used_in_its_next_life",
	 a_server_that_left_is_used_in_its_next_life},
	{"a_new_life_begins_with_nothing", a_new_life_begins_with_nothing},
	{"streams_of_a_life_that_ended_unheard_go_on",
	 streams_of_a_life_that_ended_unheard_go_on},
	{"word_of_one_life_does_not_touch_another", word_of_one_life_does_not_touch_another},
	{"entries_by_other_writers_name_no_server", entries_by_other_writers_name_no_server},
	{"an_entry_that_turns_unreadable_ends_nothing",
	 an_entry_that_turns_unreadable_ends_nothing},
	{"keys_by_other_writers_name_no_instance", keys_by_other_writers_name_no_instance},
};

CHECK_MAIN(tests)
