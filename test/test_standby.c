/* Roles in a large fleet: which instances are active, forward updates and call the store. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include "pw_peer.h"

#define PEERS 20 /* more than callers are sent to */

/* Starts an entry on a narrower link than all peers, which accept callers. */
static struct pw_entry *entry_on_narrow_link(struct pw_peer **p, int store_up)
{
	struct pw_entry *e;
	int i;

	pw_init();
	pw_server_add("app", 0);
	pw_settings("limits.linkMbps=50\n");
	e = pw_entry_ready();
	for (i = 0; i < PEERS; i++) {
		p[i] = pw_peer_new(e, 0);
		p[i]->link_mbps = 100;
		p[i]->serving_callers = 1;
		p[i]->store_up = store_up;
	}
	pw_run(2500);
	return e;
}

static int heartbeats_since(struct pw_peer **p, int64_t since_us)
{
	int i, n = 0;

	for (i = 0; i < PEERS; i++) n += p[i]->heartbeat_us >= since_us;
	return n;
}

static int count_named(struct pw_entry *e, struct pw_peer **p)
{
	int i, n = 0;

	for (i = 0; i < PEERS; i++) n += pw_directory_has(e, p[i]->ip);
	return n;
}

/* Each active instance sends its loads to all others: hundreds of active ones would fill their
 * links, and get these messages late. */
static void one_of_many_stands_by(void)
{
	struct pw_peer *p[PEERS];
	struct pw_entry *e = entry_on_narrow_link(p, 1);
	int64_t now = clock_us();
	int i;

	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_active"), 0);
	CU_ASSERT(!pw_directory_has(e, e->ip));
	CU_ASSERT_EQUAL(count_named(e, p), 16);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200); /* a caller with an older list */
	pw_run(1500);
	CU_ASSERT_EQUAL(heartbeats_since(p, now), 19);
	for (i = 0; i < 5; i++) pw_peer_stop(p[i]);
	pw_run(2500);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_active"), 1);
	CU_ASSERT(pw_directory_has(e, e->ip));
	CU_ASSERT_EQUAL(count_named(e, p), 15);
	pw_peers_end();
	pw_end();
}

/* Checks that an instance that others list for calls the store only once their lists have not
 * come. The first few of the others come before the rest. */
static void start_fleet(struct pw_peer **p, int first, int rest_ms)
{
	struct pw_entry *e;
	char settings[128];
	int i;

	pw_init();
	pw_server_add("app", 0);
	g_snprintf(settings, sizeof settings,
		   "limits.linkMbps=10\nfirstStart=true\nseedNodes=%s:1\n", pw_ip(100));
	pw_settings(settings);
	e = pw_entry_start();
	for (i = 0; i < PEERS; i++) {
		p[i] = pw_peer_new(e, 0);
		p[i]->link_mbps = 100;
		p[i]->serving_callers = p[i]->store_up = 1;
		if (i + 1 == first) pw_run(rest_ms);
	}
	pw_run(1500);
	CU_ASSERT_EQUAL(pw_store.calls, 0);
	pw_run(1500);
	CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT(pw_store.calls >= 2);
	pw_peers_end();
	pw_end();
}

/* When a whole fleet starts, it is no use that hundreds of instances list from the store at
 * once, as callers arrive seconds later. An instance that receives no lists then lists them
 * itself. */
static void on_the_first_start_few_list(void)
{
	struct pw_peer *p[PEERS];

	start_fleet(p, 0, 0);
}

/* Of the few that are known at first, each would be one that lists. */
static void on_the_first_start_others_come_one_by_one(void)
{
	struct pw_peer *p[PEERS];

	start_fleet(p, 2, 250);
}

/* While the store answers nobody, only two instances keep calling it for all. */
static void a_store_that_is_away_is_left_to_few(void)
{
	struct pw_peer *p[PEERS];
	struct pw_entry *e = entry_on_narrow_link(p, 0);
	int calls;

	pw_store.mode = PW_STORE_DOWN;
	calls = pw_store.calls;
	pw_run(5500);
	CU_ASSERT(pw_store.calls - calls <= 1);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_watches"), 0);
	pw_store.mode = PW_STORE_OK;
	pw_peers_end();
	pw_end();
}

#define MANY 60
/* From one hub to another; most others get every third heartbeat only. */
#define HEARTBEAT_MS 400
#define SLACK_MS 300

/* The entry has the only wide link among many: it is active, and a hub. */
static void a_hub_beats_seldom_to_most_that_stand_by(void)
{
	struct pw_peer *p[MANY];
	struct pw_entry *e;
	int i, full_rate = 0;

	pw_init();
	pw_server_add("app", 0);
	pw_settings("limits.linkMbps=1000\n");
	e = pw_entry_ready();
	for (i = 0; i < MANY; i++) {
		p[i] = pw_peer_new(e, 0);
		p[i]->link_mbps = 10;
		p[i]->store_up = 1;
	}
	pw_run(2500);
	for (i = 0; i < MANY; i++) p[i]->gap_us = 0;
	pw_run(4000);
	for (i = 0; i < MANY; i++) {
		full_rate += p[i]->gap_us < (HEARTBEAT_MS + SLACK_MS) * 1000;
		CU_ASSERT(p[i]->gap_us < (3 * HEARTBEAT_MS + SLACK_MS) * 1000);
	}
	CU_ASSERT(full_rate >= 8); /* the other hubs */
	CU_ASSERT(full_rate <= MANY * 2 / 3);
	pw_peers_end();
	pw_end();
}

#define STANDBY_RENEW_MS 8000 /* the heartbeats of a standby instance are 1.2 s apart */

/* Hubs received nothing more from a standby instance, which kept writing to links that carried
 * nothing, for ever. */
static void links_of_one_that_stands_by_are_made_anew(void)
{
	struct pw_peer *p[PEERS];
	struct pw_entry *e = entry_on_narrow_link(p, 1);
	int64_t now;
	int i;

	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_active"), 0);
	for (i = 0; i < PEERS; i++) pw_peer_silence(p[i]);
	pw_run(100);
	now = clock_us();
	pw_run(STANDBY_RENEW_MS);
	CU_ASSERT_EQUAL(heartbeats_since(p, now), 19);
	pw_peers_end();
	pw_end();
}

#define IDLE_MS 32000 /* more than half a minute, after which an idle connection is closed */

/* The other side closed a connection and its packets were lost: such connections stayed open
 * for ever. */
static void a_connection_that_carries_nothing_is_closed(void)
{
	struct pw_server *s;
	struct pw_entry *e = pw_init_with(&s, 1);
	struct pw_peer *p = pw_peer_new(e, 0);

	pw_run(600);
	CU_ASSERT_PTR_NOT_NULL(p->link);
	p->mute = 1;
	pw_run(IDLE_MS);
	CU_ASSERT_PTR_NULL(p->link);
	CU_ASSERT_EQUAL(pw_metric(e, "saddlehead_peer_connections_idle_total"), 1);
	pw_peers_end();
	pw_end();
}

static const struct check list[] = {
	{"links_of_one_that_stands_by_are_made_anew",
	 links_of_one_that_stands_by_are_made_anew},
	{"a_connection_that_carries_nothing_is_closed",
	 a_connection_that_carries_nothing_is_closed},
	{"a_hub_beats_seldom_to_most_that_stand_by", a_hub_beats_seldom_to_most_that_stand_by},
	{"one_of_many_stands_by", one_of_many_stands_by},
	{"on_the_first_start_few_list", on_the_first_start_few_list},
	{"on_the_first_start_others_come_one_by_one",
	 on_the_first_start_others_come_one_by_one},
	{"a_store_that_is_away_is_left_to_few", a_store_that_is_away_is_left_to_few},
};

CHECK_MAIN(list)
