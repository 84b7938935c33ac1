/* Copies of large configurations between instances. The fault: copies were sent whatever the
 * sender's link carries, and asked for again elsewhere after 0.5 s. On a link of 1.25 MB/s 12.6
 * MB of copies queued before all other messages, which waited for ten seconds, and an instance
 * used an older version 5 s after a new one had been confirmed, answering 404 on its new route.
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

struct receivers {
	struct pw_peer *p[6];
};

static int all_received(void *arg)
{
	const struct receivers *w = arg;
	int i;

	for (i = 0; i < 6; i++)
		if (!w->p[i]->copies) return 0;
	return 1;
}

/* Six peers ask at once, and take half a second each to receive. */
static void copies_handed_on_fit_the_link(void)
{
	struct pw_entry *e = entry_with_large_conf();
	struct receivers w;
	int i;

	for (i = 0; i < 6; i++) {
		w.p[i] = pw_peer_new(e, 0);
		w.p[i]->read_pause_ms = 400;
		w.p[i]->wants_copy = 1;
	}
	CU_ASSERT(pw_until(all_received, &w, 8000));
	CU_ASSERT_EQUAL(pw_peer_max_copies, 1);
	pw_peers_end();
	pw_end();
}

/* When heartbeats shared a connection with copies, they arrived only after the copy: 253 times
 * within 18 s an instance that served copies was taken for failed. */
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

static int version_arrives(struct pw_entry *e, int version, int ms)
{
	int waited;

	for (waited = 0; waited < ms; waited += 100) {
		if (pw_metric(e, "saddlehead_table_version") == version) return 1;
		pw_run(100);
	}
	return 0;
}

/* Not stored. */
static GString *second_version(void)
{
	pw_conf.extra_routes = LARGE_ROUTES;
	pw_conf.version = 2;
	return pw_conf_text();
}

/* Three peers have the new version; the one that is asked takes a second to send it. */
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
	CU_ASSERT(version_arrives(e, 2, 6000));
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

/* A receiver is suspended for longer than a copy may take. Its slot was lost for good, and an
 * instance with one slot served no copies any more. */
static void a_copy_that_took_too_long_frees_its_place(void)
{
	struct pw_entry *e;
	struct pw_peer *slow, *next;
	int i;

	pw_init();
	pw_server_add("app", 0);
	pw_conf.extra_routes = 400; /* fits into the kernel's buffers for a suspended process */
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

/* A peer with a newer configuration, or with none, announces that a server leaves. 1 if the
 * instance accepts it. */
static int accepts_server_update(int newer)
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
	p = pw_peer_new(e, conf); /* never sends the configuration */
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

/* A new configuration is in transfer for seconds; updates about servers were dropped meanwhile.
 */
static void news_of_servers_do_not_wait_for_a_configuration(void)
{
	CU_ASSERT(accepts_server_update(0));
	CU_ASSERT(accepts_server_update(1));
}

/* Heartbeats of the sender of a copy are late, but the copy itself keeps arriving. */
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
	CU_ASSERT(version_arrives(e, 2, 6000));
	CU_ASSERT_EQUAL(p->copy_requests, 1);
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

/* The store's answer takes six seconds; another instance can serve the same at once. */
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
	CU_ASSERT(version_arrives(e, 2, 2500));
	g_string_free(newer, TRUE);
	pw_peers_end();
	pw_end();
}

/* At a start the lists come from the store: fetching them from a peer as well took twice the
 * time on a small link. */
static void what_the_store_lists_is_not_fetched_as_well(void)
{
	struct pw_entry *e;
	struct pw_peer *p;
	GString *text;

	pw_init();
	pw_server_add("app", 0);
	text = second_version();
	pw_store_put("op/config", text->str);
	pw_store.slow_bytes = (int)text->len / 3 * 4 / 12; /* in each tenth of a second */
	e = pw_entry_start();
	p = pw_peer_new(e, pw_store.revision);
	p->pace_bytes = (int)text->len / 12;
	pw_peer_serve_config(p, text->str);
	CU_ASSERT(version_arrives(e, 2, 6000));
	CU_ASSERT_EQUAL(p->copy_requests, 0);
	g_string_free(text, TRUE);
	pw_peers_end();
	pw_end();
}

/* Most instances of a large fleet exchange heartbeats with a few others only: a copy may come
 * from one that has sent no heartbeat. */
static void one_that_is_turned_away_asks_who_has_it(void)
{
	struct pw_entry *e;
	struct pw_peer *informant, *holder;
	GString *newer;

	pw_init();
	pw_server_add("app", 0);
	e = pw_entry_ready();
	newer = second_version();
	holder = pw_peer_new(e, pw_store.revision + 1);
	ev_stop(&holder->heartbeat);
	pw_peer_serve_config(holder, newer->str);
	informant = pw_peer_new(e, pw_store.revision + 1);
	pw_peer_name_holder(informant, holder);
	CU_ASSERT(version_arrives(e, 2, 2000));
	CU_ASSERT_EQUAL(informant->copy_requests, 1);
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
