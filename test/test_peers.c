/* Membership and the messages between daemons, in one process and in virtual time. */
#include "check.h"
#include "hash.h"
#include "wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N 40
#define BEAT_US 300000

static struct mbr *m[N];
static int dead[N], cut_from[N]; /* cut_from: its messages go nowhere */
static int64_t now;

static void make(int i)
{
	struct mbr_config c = {
		.ack_us = 600000, .suspect_us = 1200000, .forget_us = 60000000, .seed = 1};
	struct mbr_info self = {.incarnation = 1000};

	snprintf(self.name, sizeof self.name, "m%d", i);
	strcpy(self.dc, "dc");
	strcpy(self.ip, "127.0.0.1");
	self.id = hash_name(self.name);
	c.seed = (uint32_t)i + 1;
	m[i] = mbr_new(&self, &c);
}

static int by_id(uint64_t id)
{
	char name[16];
	int i;

	for (i = 0; i < N; i++) {
		snprintf(name, sizeof name, "m%d", i);
		if (hash_name(name) == id) return i;
	}
	return -1;
}

static void tell(int from, int to)
{
	struct mbr_info news[WIRE_NEWS_MAX], x;
	uint32_t k, n = 0;
	char name[16];

	snprintf(name, sizeof name, "m%d", from);
	mbr_find(m[from], hash_name(name), &news[n++]);
	if (mbr_hash(m[from]) != mbr_hash(m[to]))
		n += mbr_window(m[from], news + n, MBR_WINDOW_MAX);
	snprintf(name, sizeof name, "m%d", to);
	if (mbr_find(m[from], hash_name(name), &x) && x.state >= MBR_SUSPECT) news[n++] = x;
	n += mbr_gossip(m[from], news + n, MBR_GOSSIP_MAX);
	mbr_seen(m[to], news[0].id, now);
	for (k = 0; k < n; k++) mbr_apply(m[to], &news[k], now);
}

static void beat(int n)
{
	struct mbr_info to[1];
	int i, k;

	now += BEAT_US;
	for (i = 0; i < n; i++) {
		if (dead[i]) continue;
		mbr_expire(m[i], now);
		if (!mbr_probe(m[i], now, to, 1)) continue;
		k = by_id(to[0].id);
		if (dead[k] || cut_from[i]) continue;
		tell(i, k);
		if (!cut_from[k]) tell(k, i);
	}
}

static uint32_t alive(int i)
{
	struct mbr_info l[N];
	uint32_t k, n = mbr_list(m[i], l, N), alive = 0;

	for (k = 0; k < n; k++) alive += l[k].state == MBR_ALIVE;
	return alive;
}

static void set_up(int n)
{
	struct mbr_info self;
	int i;

	now = 1000000;
	memset(dead, 0, sizeof dead);
	memset(cut_from, 0, sizeof cut_from);
	for (i = 0; i < n; i++) make(i);
	for (i = 1; i < n; i++) {
		mbr_find(m[0], hash_name("m0"), &self);
		mbr_apply(m[i], &self, now);
	}
	for (i = 0; i < 30; i++) beat(n);
}

static void tear_down(int n)
{
	while (n--) mbr_free(m[n]);
}

static void all_find_each_other(void)
{
	int i;

	set_up(N);
	for (i = 0; i < N; i++) CU_ASSERT_EQUAL(alive(i), N);
	tear_down(N);
}

/* News passed on their limit of times reach no latecomer: the differing hash does. */
static void a_latecomer_learns_the_whole_list(void)
{
	struct mbr_info first;
	int i;

	set_up(N - 1);
	for (i = 0; i < 200; i++) beat(N - 1);
	make(N - 1);
	mbr_find(m[0], hash_name("m0"), &first);
	mbr_apply(m[N - 1], &first, now);
	for (i = 0; i < 25; i++) beat(N);
	for (i = 0; i < N; i++) CU_ASSERT_EQUAL(alive(i), N);
	CU_ASSERT_EQUAL(mbr_hash(m[0]), mbr_hash(m[N - 1]));
	tear_down(N);
}

static void the_dead_are_found_by_all(void)
{
	int i, beats;

	set_up(7);
	dead[3] = 1;
	for (beats = 0; beats < 20; beats++) beat(7);
	for (i = 0; i < 7; i++)
		if (!dead[i]) CU_ASSERT_EQUAL(alive(i), 6);
	tear_down(7);
}

/* One that was taken for dead, and wasn't, comes back by a higher incarnation. */
static void the_wrongly_buried_come_back(void)
{
	int i;

	set_up(7);
	cut_from[3] = 1;
	for (i = 0; i < 20; i++) beat(7);
	CU_ASSERT_EQUAL(alive(0), 6);
	cut_from[3] = 0;
	for (i = 0; i < 60; i++) beat(7);
	for (i = 0; i < 7; i++) CU_ASSERT_EQUAL(alive(i), 7);
	tear_down(7);
}

static void old_news_change_nothing(void)
{
	struct mbr_info old, now_info;

	set_up(3);
	mbr_find(m[0], hash_name("m1"), &old);
	old.state = MBR_DEAD;
	old.incarnation--;
	CU_ASSERT_EQUAL(mbr_apply(m[0], &old, now), 0);
	mbr_find(m[0], hash_name("m1"), &now_info);
	CU_ASSERT_EQUAL(now_info.state, MBR_ALIVE);
	tear_down(3);
}

static void leaving_is_told_and_not_refuted(void)
{
	struct mbr_info x;
	int i;

	set_up(5);
	mbr_leave(m[2]);
	for (i = 0; i < 15; i++) beat(5);
	for (i = 0; i < 5; i++) {
		mbr_find(m[i], hash_name("m2"), &x);
		CU_ASSERT_EQUAL(x.state, MBR_LEAVING);
	}
	tear_down(5);
}

/* ------------------------------ messages ------------------------------ */

static int round_trip(const struct wire_msg *in, struct wire_msg *out, msgpack_unpacked *hold)
{
	msgpack_sbuffer b;
	int rc;

	msgpack_sbuffer_init(&b);
	wire_encode(&b, in);
	rc = wire_decode(b.data + 4, b.size - 4, out, hold);
	msgpack_sbuffer_destroy(&b);
	return rc;
}

static void messages_come_back_the_same(void)
{
	struct wire_msg in = {.type = WIRE_TICKET}, out;
	msgpack_unpacked hold;

	msgpack_unpacked_init(&hold);
	in.u.ticket = (struct wire_ticket){UINT64_MAX, 2, 3, 4, 5, 6, 7, -8};
	CU_ASSERT_EQUAL(round_trip(&in, &out, &hold), 0);
	CU_ASSERT_EQUAL(memcmp(&in.u.ticket, &out.u.ticket, sizeof in.u.ticket), 0);
	in = (struct wire_msg){.type = WIRE_PING};
	in.u.ping.ndocs = 2;
	in.u.ping.doc[1] = (struct wire_version){9, 10};
	in.u.ping.ndigests = 1;
	in.u.ping.digest[0] = (struct core_digest){1, 2, 3, 4};
	in.u.ping.nnews = 1;
	strcpy(in.u.ping.news[0].name, "oslo-1");
	in.u.ping.news[0].state = MBR_SUSPECT;
	CU_ASSERT_EQUAL(round_trip(&in, &out, &hold), 0);
	CU_ASSERT_EQUAL(out.u.ping.doc[1].version, 10);
	CU_ASSERT_EQUAL(out.u.ping.digest[0].waiting, 4);
	CU_ASSERT_EQUAL(out.u.ping.news[0].id, hash_name("oslo-1"));
	CU_ASSERT_EQUAL(out.u.ping.news[0].state, MBR_SUSPECT);
	msgpack_unpacked_destroy(&hold);
}

/* Whatever a peer sends, it is taken or refused; the sanitizers watch the rest. */
static void damaged_messages_are_refused(void)
{
	struct wire_msg in = {.type = WIRE_PING}, out;
	msgpack_unpacked hold;
	msgpack_sbuffer b;
	size_t i, n;
	int k;

	in.u.ping.nnews = 2;
	strcpy(in.u.ping.news[0].name, "a");
	strcpy(in.u.ping.news[1].name, "b");
	in.u.ping.ndigests = 3;
	msgpack_unpacked_init(&hold);
	msgpack_sbuffer_init(&b);
	wire_encode(&b, &in);
	n = b.size - 4;
	for (i = 0; i < n; i++) CU_ASSERT(wire_decode(b.data + 4, i, &out, &hold) < 0);
	srand(1);
	for (k = 0; k < 20000; k++) {
		char *copy = malloc(n);

		memcpy(copy, b.data + 4, n);
		for (i = 0; i < 3; i++) copy[(size_t)rand() % n] = (char)rand();
		wire_decode(copy, n, &out, &hold);
		free(copy);
	}
	msgpack_sbuffer_destroy(&b);
	msgpack_unpacked_destroy(&hold);
}

/* Five bytes that promise four thousand million values must not be believed. */
static void promised_lengths_are_checked(void)
{
	static const char array32[] = "\xdd\xff\xff\xff\xff\x01",
			  bin32[] = "\xc6\xff\xff\xff\xff\x01";
	char deep[64];

	memset(deep, 0x91, sizeof deep);
	CU_ASSERT(wire_check(array32, 6) < 0);
	CU_ASSERT(wire_check(bin32, 6) < 0);
	CU_ASSERT(wire_check(deep, sizeof deep) < 0);
	CU_ASSERT(wire_check("\x92\x01\xa1x", 4) == 0);
	CU_ASSERT(wire_check("\x92\x01\xa1x\x01", 5) < 0);
}

static const struct check list[] = {
	{"all_find_each_other", all_find_each_other},
	{"a_latecomer_learns_the_whole_list", a_latecomer_learns_the_whole_list},
	{"the_dead_are_found_by_all", the_dead_are_found_by_all},
	{"the_wrongly_buried_come_back", the_wrongly_buried_come_back},
	{"old_news_change_nothing", old_news_change_nothing},
	{"leaving_is_told_and_not_refuted", leaving_is_told_and_not_refuted},
	{"messages_come_back_the_same", messages_come_back_the_same},
	{"promised_lengths_are_checked", promised_lengths_are_checked},
	{"damaged_messages_are_refused", damaged_messages_are_refused},
};
CHECK_MAIN(list)
