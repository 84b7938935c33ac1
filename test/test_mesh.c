/* Exchange between instances, through the real program. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include "pw_peer.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two instances see one failure each at the same server: together they stop sending to it for a
 * while. */
static void what_others_saw_of_a_server_counts(void)
{
	struct pw_server *s[3];
	struct pw_entry *e[2];
	int i;

	pw_init();
	for (i = 0; i < 3; i++) s[i] = pw_server_add("app", 0);
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(900);
	s[0]->mode = PW_RESET;
	s[1]->work_ms = s[2]->work_ms = 50; /* the server that fails at once looks fastest */
	for (i = 0; i < 40 && s[0]->arrivals < 1; i++) pw_status_of_key(e[0], "k1");
	pw_run(20);
	for (i = 0; i < 40 && s[0]->arrivals < 2; i++) pw_status_of_key(e[1], "k1");
	pw_run(20);
	CU_ASSERT_EQUAL(s[0]->arrivals, 2);
	for (i = 0; i < 8; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i % 2], "k1"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, 2);
	pw_end();
}

static void the_directory_names_who_takes_callers(void)
{
	struct pw_entry *a, *b;

	pw_init();
	pw_server_add("app", 0);
	a = pw_entry_ready();
	b = pw_entry_ready();
	pw_run(900);
	CU_ASSERT(pw_directory_has(a, a->ip));
	CU_ASSERT(pw_directory_has(a, b->ip));
	CU_ASSERT(pw_directory_has(b, a->ip));
	pw_entry_kill(b, SIGTERM);
	pw_run(700);
	CU_ASSERT(!pw_directory_has(a, b->ip)); /* its heartbeat reports the drain */
	pw_entry_kill(b, SIGKILL);
	pw_end();
}

static void a_dead_instance_leaves_the_directory(void)
{
	struct pw_entry *a, *b;

	pw_init();
	pw_server_add("app", 0);
	a = pw_entry_ready();
	b = pw_entry_ready();
	pw_run(900);
	pw_entry_kill(b, SIGKILL);
	pw_run(2200);
	CU_ASSERT(pw_directory_has(a, a->ip));
	CU_ASSERT(!pw_directory_has(a, b->ip));
	pw_end();
}

/* The store refuses one instance, which then relies on the updates and confirmations of the
 * other. */
static void peers_pass_on_what_the_store_does_not_tell(void)
{
	char settings[128];
	struct pw_entry *a, *b;

	pw_init();
	g_snprintf(settings, sizeof settings, "bounds.revokeMs=2500\n" PW_SECOND_STORE,
		   pw_second_ip());
	pw_server_add("app", 0);
	a = pw_entry_ready();
	pw_settings(settings);
	b = pw_entry_ready();
	pw_run(800);
	pw_store.second_mode = PW_STORE_BUSY;
	pw_store_cut_second();
	pw_run(3500);
	CU_ASSERT_EQUAL(pw_status_of_key(b, "k1"), 200);
	pw_conf.keys = "[\"other\"]";
	pw_conf.version = 2;
	pw_conf_write();
	pw_run(900);
	CU_ASSERT_EQUAL(pw_status_of_key(b, "k1"), 401);
	CU_ASSERT_EQUAL(pw_status_of_key(b, "other"), 200);
	CU_ASSERT(pw_log_has(b, "store_lost"));
	pw_entry_kill(a, SIGKILL);
	pw_run(3000);
	CU_ASSERT_EQUAL(pw_status_of_key(b, "other"), 503); /* nobody confirms it any more */
	pw_end();
}

/* A deleted entry has no value. The frame check of the links refused such items, and with them
 * all other items of the frame. */
static void peers_pass_on_that_a_server_is_gone(void)
{
	char settings[64];
	struct pw_server *s[3];
	struct pw_entry *b;
	int i;

	pw_init();
	g_snprintf(settings, sizeof settings, PW_SECOND_STORE, pw_second_ip());
	for (i = 0; i < 3; i++) s[i] = pw_server_add("app", 0);
	pw_entry_ready();
	pw_settings(settings);
	b = pw_entry_ready();
	pw_run(800);
	pw_store.second_mode = PW_STORE_DOWN;
	pw_store_cut_second();
	pw_run(200);
	pw_server_unlist(s[0]);
	pw_conf.keys = "[\"other\"]";
	pw_conf.version = 2;
	pw_conf_write();
	pw_run(1000);
	s[0]->arrivals = 0;
	for (i = 0; i < 6; i++) CU_ASSERT_EQUAL(pw_status_of_key(b, "other"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	CU_ASSERT(!pw_log_has(b, "peer_frame_malformed"));
	pw_end();
}

static void change_keys(const char *keys)
{
	pw_conf.keys = keys;
	pw_conf.version++;
	pw_conf_write();
}

/* Each call to the store costs money: three instances watch it for all, and others take
 * over. */
static void few_watch_for_all_and_others_take_over(void)
{
	struct pw_entry *e[6];
	int i, halted = 0;

	pw_init();
	pw_server_add("app", 0);
	for (i = 0; i < 6; i++) e[i] = pw_entry_ready();
	pw_run(1000);
	CU_ASSERT_EQUAL(pw_store_waiting(), 6); /* two watches each */
	change_keys("[\"second\"]");
	pw_run(400);
	for (i = 0; i < 6; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[i], "second"), 200);
	for (i = 0; i < 6; i++) {
		if (pw_metric(e[i], "saddlehead_watches") != 1) continue;
		pw_entry_kill(e[i], SIGSTOP);
		halted |= 1 << i;
	}
	CU_ASSERT(halted != 0);
	change_keys("[\"third\"]");
	pw_run(2000);
	for (i = 0; i < 6; i++)
		if (!(halted >> i & 1)) CU_ASSERT_EQUAL(pw_status_of_key(e[i], "third"), 200);
	pw_end();
}

/* All watches are silent, and only a listing shows that a server is gone. */
static void silent_watches_hide_no_server_that_is_gone(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	int i;

	e = pw_init_with(s, 2);
	pw_store.watches_silent = 1;
	pw_server_unlist(s[0]);
	pw_run(2200);
	s[0]->arrivals = 0;
	for (i = 0; i < 5; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(s[0]->arrivals, 0);
	pw_store.watches_silent = 0;
	pw_end();
}

static void an_instance_starts_while_the_store_turns_it_away(void)
{
	char settings[64];
	struct pw_entry *b;

	pw_init();
	g_snprintf(settings, sizeof settings, PW_SECOND_STORE, pw_second_ip());
	pw_server_add("app", 0);
	pw_entry_ready();
	pw_store.second_mode = PW_STORE_DOWN;
	pw_settings(settings);
	b = pw_entry_ready();
	CU_ASSERT_EQUAL(pw_status_of_key(b, "k1"), 200);
	pw_end();
}

static void instances_know_each_other_s_load(void)
{
	struct pw_server *s[2];
	struct pw_entry *a, *b;
	struct pw_call *c[2];
	int i, k;

	pw_init();
	for (i = 0; i < 2; i++) {
		s[i] = pw_server_add("llm", 1);
		s[i]->work_ms = 200; /* time to read a long prompt */
		s[i]->events = 2;
	}
	a = pw_entry_ready();
	b = pw_entry_ready();
	pw_run(900);
	/* By its own load alone an instance would choose the same server half of the time. */
	for (i = 1; i <= 6; i++) {
		c[0] = pw_request(a, "POST", "/sum/", 5000);
		pw_run(40);
		c[1] = pw_request(b, "POST", "/sum/", 5000);
		for (k = 0; k < 2; k++) CU_ASSERT(pw_call_wait(c[k], 3000));
		CU_ASSERT_EQUAL(s[0]->arrivals, i);
		CU_ASSERT_EQUAL(s[1]->arrivals, i);
		pw_run(60);
	}
	pw_end();
}

static void instances_find_each_other_without_seeds(void)
{
	struct pw_entry *a, *b;

	pw_init();
	pw_settings("seedNodes=127.0.0.9:1\n");
	pw_server_add("app", 0);
	a = pw_entry_ready();
	b = pw_entry_ready();
	pw_run(3000);
	CU_ASSERT(pw_directory_has(a, b->ip));
	CU_ASSERT(pw_directory_has(b, a->ip));
	pw_end();
}

/* Each call to the store costs money: all instances find each other by a few keys, with few
 * calls per start. */
static void many_that_start_together_ask_the_store_little(void)
{
	struct pw_entry *e[7];
	int i, calls;

	pw_init();
	pw_server_add("app", 0);
	for (i = 0; i < 7; i++) e[i] = pw_entry_start();
	pw_run(1400);
	calls = pw_store.calls;
	pw_run(2000);
	for (i = 0; i < 7; i++) CU_ASSERT_EQUAL(pw_metric(e[i], "saddlehead_members"), 7);
	CU_ASSERT(pw_store_keys("saddlehead/members/") >= 1);
	CU_ASSERT(pw_store_keys("saddlehead/members/") <= 3);
	CU_ASSERT(calls <= 7 * 2 + 26);
	CU_ASSERT(pw_store.calls - calls <= 3 * 3 + 12);
	pw_end();
}

static void noise_on_the_peer_port_harms_nothing(void)
{
	static const char *const noise[] = {"\xff\xff\xff\xff rubbish", "\0\0\0\2\x92\x01",
					    "\0\0\0\1\xc0", "GET / HTTP/1.1\r\n\r\n"};
	static const size_t len[] = {11, 6, 5, 18};
	struct pw_entry *e, at;
	size_t i;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	at = *e;
	for (i = 0; i < sizeof len / sizeof *len; i++)
		g_free(pw_raw_at(at.ip, PW_PEER, noise[i], len[i], 200, NULL));
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	pw_end();
}

/* A sender without a valid address was counted as an instance, and connected to for ever. */
static void a_heartbeat_without_an_address_is_refused(void)
{
	struct pw_entry *e;
	struct pw_peer *p;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	p = pw_peer_new(e, 0);
	pw_run(800);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_members"), 2);
	pw_peers_end();
	pw_run(2200);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_members"), 1);
	p = pw_peer_new(e, 0);
	g_strlcpy(p->ip, "nowhere", sizeof p->ip);
	pw_run(800);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_members"), 1);
	CU_ASSERT(pw_log_has(e, "peer_frame_malformed"));
	pw_peers_end();
	pw_end();
}

#define IN_FLIGHT 12 /* twice the slots of a server */

/* Calls in flight at another instance are known from its full load messages. */
static void calls_under_way_elsewhere_are_counted(void)
{
	struct pw_server *busy, *slow;
	struct pw_entry *e[2];
	int i;

	pw_init();
	busy = pw_server_add("app", 0);
	busy->mode = PW_HANG;
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(800);
	for (i = 0; i < IN_FLIGHT; i++) pw_request(e[0], "POST", "/unsafe/", 9000);
	pw_run(100);
	slow = pw_server_add("app", 0);
	slow->work_ms = 60;
	pw_run(3000);
	busy->arrivals = 0;
	for (i = 0; i < 8; i++) CU_ASSERT_EQUAL(pw_status_of_key(e[1], "k1"), 200);
	CU_ASSERT_EQUAL(busy->arrivals, 0);
	pw_end();
}

static const struct check list[] = {
	{"calls_under_way_elsewhere_are_counted", calls_under_way_elsewhere_are_counted},
	{"what_others_saw_of_a_server_counts", what_others_saw_of_a_server_counts},
	{"the_directory_names_who_takes_callers", the_directory_names_who_takes_callers},
	{"a_dead_instance_leaves_the_directory", a_dead_instance_leaves_the_directory},
	{"peers_pass_on_what_the_store_does_not_tell",
	 peers_pass_on_what_the_store_does_not_tell},
	{"peers_pass_on_that_a_server_is_gone", peers_pass_on_that_a_server_is_gone},
	{"few_watch_for_all_and_others_take_over", few_watch_for_all_and_others_take_over},
	{"silent_watches_hide_no_server_that_is_gone",
	 silent_watches_hide_no_server_that_is_gone},
	{"an_instance_starts_while_the_store_turns_it_away",
	 an_instance_starts_while_the_store_turns_it_away},
	{"instances_know_each_other_s_load", instances_know_each_other_s_load},
	{"instances_find_each_other_without_seeds", instances_find_each_other_without_seeds},
	{"many_that_start_together_ask_the_store_little",
	 many_that_start_together_ask_the_store_little},
	{"noise_on_the_peer_port_harms_nothing", noise_on_the_peer_port_harms_nothing},
	{"a_heartbeat_without_an_address_is_refused",
	 a_heartbeat_without_an_address_is_refused},
};

CHECK_MAIN(list)
