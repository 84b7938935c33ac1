/*
 * Symptom: an instance on a link of 10 Mbit/s went by an older version 5 s after a new one had
 * been confirmed, and answered 404 on the route that was new.
 *
 * Sequence: a configuration of a megabyte changed. All instances saw in heartbeats who had it,
 * and asked one of them; what had not come 0.5 s later was asked for again, elsewhere. Whoever
 * was asked sent at once, to all, on the links that heartbeats take. 12.6 MB of copies stood
 * before a link that carries 1.25 MB a second, and all that the instance had to say or to ask
 * waited for ten seconds behind them, the question for the next version among it.
 *
 * Cause: copies were handed on whatever the sender's link carries, and asked for again before
 * they could have come.
 *
 * What settled it: metrics of the instance, 61 to 86 s: peer_bytes_out 8.8 MB to 21.4 MB, with
 * nobody left to hand on to since 67.6 s; its link 1.0 to 1.57 MB a second out from 66 to 75 s;
 * its log: "store_lost" (error -110) at 69.2 s, "configuration" of 67.3 s at 77.7 s.
 */
#include "check.h"
#include "pw_peer.h"

#define LARGE_ROUTES 3000 /* some 0.6 MB: half a second on a link of 10 Mbit/s */

static struct pw_entry *entry_with_large_conf(void)
{
	struct pw_entry *e;

	pw_init();
	pw_server_add("app", 0);
	pw_conf.extra_routes = LARGE_ROUTES;
	pw_conf_write();
	pw_settings("limits.linkMbps=10.0\n");
	e = pw_entry_ready();
	return e;
}

struct wanting {
	struct pw_peer *p[6];
};

static int all_have_it(void *arg)
{
	const struct wanting *w = arg;
	int i;

	for (i = 0; i < 6; i++)
		if (!w->p[i]->copies) return 0;
	return 1;
}

/* Six ask at once, and take half a second each to receive. */
static void copies_handed_on_fit_the_link(void)
{
	struct pw_entry *e = entry_with_large_conf();
	struct wanting w;
	int i;

	for (i = 0; i < 6; i++) {
		w.p[i] = pw_peer_new(e, 0);
		w.p[i]->read_pause_ms = 400;
		w.p[i]->wants_copy = 1;
	}
	CU_ASSERT(pw_until(all_have_it, &w, 8000));
	CU_ASSERT_EQUAL(pw_peer_max_copies, 1);
	pw_peers_end();
	pw_end();
}

/* On one connection with the copy, heartbeats came when it was read: 253 times within 18 s an
 * instance that handed on copies was taken for dead. */
static void heartbeats_pass_while_a_copy_is_under_way(void)
{
	struct pw_entry *e = entry_with_large_conf();
	struct pw_peer *p = pw_peer_new(e, 0);

	pw_run(600);
	p->read_pause_ms = 2000;
	p->wants_copy = 1;
	pw_run(2500);
	CU_ASSERT_EQUAL(p->copies, 1);
	CU_ASSERT(p->gap_us < 1000000);
	pw_peers_end();
	pw_end();
}

static int version_comes(struct pw_entry *e, int version, int ms)
{
	int waited;

	for (waited = 0; waited < ms; waited += 100) {
		if (pw_metric(e, "saddlehead_table_version") == version) return 1;
		pw_run(100);
	}
	return 0;
}

/* Not in the store. */
static GString *second_version(void)
{
	pw_conf.extra_routes = LARGE_ROUTES;
	pw_conf.version = 2;
	return pw_conf_text();
}

/* Three have the new version; the one that is asked takes a second to hand it on. */
static void a_copy_under_way_is_not_asked_for_elsewhere(void)
{
	struct pw_entry *e;
	struct pw_peer *p[3];
	GString *newer;
	int i, asks = 0;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	newer = second_version();
	for (i = 0; i < 3; i++) {
		p[i] = pw_peer_new(e, pw_store.revision + 1);
		p[i]->pace_bytes = (int)newer->len / 12;
		pw_peer_serve_config(p[i], newer->str);
	}
	CU_ASSERT(version_comes(e, 2, 6000));
	for (i = 0; i < 3; i++) asks += p[i]->copy_requests;
	CU_ASSERT_EQUAL(asks, 1);
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

static int has_copy(void *arg)
{
	return ((struct pw_peer *)arg)->copies > 0;
}

/* One who asked stands still for longer than a copy may take: its place was lost for good, and
 * an instance with one place handed on nothing any more. */
static void a_copy_that_took_too_long_frees_its_place(void)
{
	struct pw_entry *e;
	struct pw_peer *slow, *next;
	int i;

	pw_init();
	pw_server_add("app", 0);
	pw_conf.extra_routes =
		400; /* fits what the kernel keeps of a process that stands still */
	pw_conf_write();
	pw_settings("limits.linkMbps=10.0\n");
	e = pw_entry_ready();
	slow = pw_peer_new(e, 0);
	slow->read_pause_ms = 5600;
	slow->wants_copy = 1;
	for (i = 0; i < 40 && !pw_peer_max_copies; i++) pw_run(50);
	CU_ASSERT_EQUAL(pw_peer_max_copies, 1);
	slow->wants_copy = 0; /* it does not ask again */
	pw_run(6500);
	next = pw_peer_new(e, 0);
	next->wants_copy = 1;
	CU_ASSERT(pw_until(has_copy, next, 4000));
	pw_peers_end();
	pw_end();
}

/* A peer, which has a newer configuration or none, tells that a server leaves. 1 if it is
 * taken. */
static int takes_news_of_a_server(int newer)
{
	struct pw_entry *e;
	struct pw_server *s;
	struct pw_peer *p;
	char key[96], value[512];
	uint64_t known, conf;
	int taken;

	pw_init();
	s = pw_server_add("app", 0);
	e = pw_entry_ready();
	known = pw_store.revision;
	conf = newer ? known + 1 : 0;
	p = pw_peer_new(e, conf); /* never hands it on */
	pw_run(1500);
	g_snprintf(key, sizeof key, "servers/%s", s->id);
	g_snprintf(value, sizeof value,
		   "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"a\",\"version\":\"v1\","
		   "\"slots\":6,\"state\":\"draining\",\"coldRemainingMs\":0,\"sequence\":1}",
		   s->address);
	pw_peer_send_update(p, conf, known, key, known + 2, value);
	pw_run(1000);
	taken = pw_log_has(e, "\"leaving\"");
	pw_peers_end();
	pw_end();
	return taken;
}

/* A new configuration is under way for seconds; what is told of servers meanwhile was dropped.
 */
static void news_of_servers_do_not_wait_for_a_configuration(void)
{
	CU_ASSERT(takes_news_of_a_server(0));
	CU_ASSERT(takes_news_of_a_server(1));
}

/* Heartbeats of the one that hands on a copy are late, its copy comes all the while. */
static void a_copy_that_comes_is_not_dropped_for_late_heartbeats(void)
{
	struct pw_entry *e;
	struct pw_peer *p;
	GString *newer;
	int i;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	newer = second_version();
	p = pw_peer_new(e, pw_store.revision + 1);
	p->pace_bytes = (int)newer->len / 24;
	pw_peer_serve_config(p, newer->str);
	for (i = 0; i < 30 && !p->copy_requests; i++) pw_run(50);
	CU_ASSERT_EQUAL(p->copy_requests, 1);
	ev_stop(&p->heartbeat);
	CU_ASSERT(version_comes(e, 2, 6000));
	CU_ASSERT_EQUAL(p->copy_requests, 1);
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

/* The store's answer takes six seconds; another instance could hand on the same at once. */
static void a_slow_answer_of_the_store_does_not_hold_a_copy_up(void)
{
	struct pw_entry *e;
	struct pw_peer *p;
	GString *newer;
	int i;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	newer = second_version();
	pw_store.watches_silent = 1;
	pw_store.slow_bytes = (int)newer->len / 3 * 4 / 60;
	pw_store_put("op/config", newer->str);
	for (i = 0; i < 60 && !pw_store.slow_answers; i++) pw_run(50);
	p = pw_peer_new(e, pw_store.revision);
	pw_peer_serve_config(p, newer->str);
	CU_ASSERT(version_comes(e, 2, 2500));
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

/* At a start the lists come from the store: both at once took twice the time on a small link.
 */
static void what_the_store_lists_is_not_fetched_as_well(void)
{
	struct pw_entry *e;
	struct pw_peer *p;
	GString *text;

	pw_init();
	pw_server_add("app", 0);
	text = second_version();
	pw_store_put("op/config", text->str);
	pw_store.slow_bytes = (int)text->len / 3 * 4 / 12; /* of each tenth of a second */
	e = pw_entry_start();
	p = pw_peer_new(e, pw_store.revision);
	p->pace_bytes = (int)text->len / 12;
	pw_peer_serve_config(p, text->str);
	CU_ASSERT(version_comes(e, 2, 6000));
	CU_ASSERT_EQUAL(p->copy_requests, 0);
	g_string_free(text, TRUE);
	pw_peers_end();
	pw_end();
}

/* Most of a large fleet hear a few alone: a copy comes from one that nothing was heard of. */
static void one_that_is_turned_away_asks_who_has_it(void)
{
	struct pw_entry *e;
	struct pw_peer *heard, *holder;
	GString *newer;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	newer = second_version();
	holder = pw_peer_new(e, pw_store.revision + 1);
	ev_stop(&holder->heartbeat);
	pw_peer_serve_config(holder, newer->str);
	heard = pw_peer_new(e, pw_store.revision + 1);
	pw_peer_name_holder(heard, holder);
	CU_ASSERT(version_comes(e, 2, 2000));
	CU_ASSERT_EQUAL(heard->copy_requests, 1);
	CU_ASSERT_EQUAL(holder->copy_requests, 1);
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

static const struct check list[] = {
	{"copies_handed_on_fit_the_link", copies_handed_on_fit_the_link},
	{"heartbeats_pass_while_a_copy_is_under_way",
	 heartbeats_pass_while_a_copy_is_under_way},
	{"a_copy_under_way_is_not_asked_for_elsewhere",
	 a_copy_under_way_is_not_asked_for_elsewhere},
	{"a_copy_that_took_too_long_frees_its_place",
	 a_copy_that_took_too_long_frees_its_place},
	{"news_of_servers_do_not_wait_for_a_configuration",
	 news_of_servers_do_not_wait_for_a_configuration},
	{"a_copy_that_comes_is_not_dropped_for_late_heartbeats",
	 a_copy_that_comes_is_not_dropped_for_late_heartbeats},
	{"a_slow_answer_of_the_store_does_not_hold_a_copy_up",
	 a_slow_answer_of_the_store_does_not_hold_a_copy_up},
	{"one_that_is_turned_away_asks_who_has_it", one_that_is_turned_away_asks_who_has_it},
	{"what_the_store_lists_is_not_fetched_as_well",
	 what_the_store_lists_is_not_fetched_as_well},
};

CHECK_MAIN(list)
