/* Membership and the messages between daemons, in one process with virtual time. */
#include "check.h"
#include "hash.h"
#include "wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N 40
#define HEARTBEAT_US 300000

static struct mbr *m[N];
static int dead[N], outgoing_lost[N]; /* outgoing_lost: its messages are lost */
static int64_t now;

static void add_member(int i)
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

static int index_of(uint64_t id)
{
	char name[16];
	int i;

	for (i = 0; i < N; i++) {
		snprintf(name, sizeof name, "m%d", i);
		if (hash_name(name) == id) return i;
	}
	return -1;
}

static void send_heartbeat(int from, int to)
{
	struct mbr_info updates[WIRE_UPDATES_MAX], x;
	uint32_t k, n = 0;
	char name[16];

	snprintf(name, sizeof name, "m%d", from);
	mbr_find(m[from], hash_name(name), &updates[n++]);
	if (mbr_hash(m[from]) != mbr_hash(m[to]))
		n += mbr_window(m[from], updates + n, MBR_WINDOW_MAX);
	snprintf(name, sizeof name, "m%d", to);
	if (mbr_find(m[from], hash_name(name), &x) && x.state >= MBR_SUSPECT) updates[n++] = x;
	n += mbr_gossip(m[from], updates + n, MBR_GOSSIP_MAX);
	mbr_seen(m[to], updates[0].id, now);
	for (k = 0; k < n; k++) mbr_apply(m[to], &updates[k], now);
}

static void heartbeat_round(int n)
{
	struct mbr_info to[1];
	int i, k;

	now += HEARTBEAT_US;
	for (i = 0; i < n; i++) {
		if (dead[i]) continue;
		mbr_expire(m[i], now);
		if (!mbr_probe(m[i], now, to, 1)) continue;
		k = index_of(to[0].id);
		if (dead[k] || outgoing_lost[i]) continue;
		send_heartbeat(i, k);
		if (!outgoing_lost[k]) send_heartbeat(k, i);
	}
}

static uint32_t count_alive(int i)
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
	memset(outgoing_lost, 0, sizeof outgoing_lost);
	for (i = 0; i < n; i++) add_member(i);
	for (i = 1; i < n; i++) {
		mbr_find(m[0], hash_name("m0"), &self);
		mbr_apply(m[i], &self, now);
	}
	for (i = 0; i < 30; i++) heartbeat_round(n);
}

static void tear_down(int n)
{
	while (n--) mbr_free(m[n]);
}

static void all_find_each_other(void)
{
	int i;

	set_up(N);
	for (i = 0; i < N; i++) CU_ASSERT_EQUAL(count_alive(i), N);
	tear_down(N);
}

/* Each update is forwarded a limited number of times, so a member that joins later misses it.
 * The differing hash of the member lists makes the others send it the whole list. */
static void a_latecomer_learns_the_whole_list(void)
{
	struct mbr_info first;
	int i;

	set_up(N - 1);
	for (i = 0; i < 200; i++) heartbeat_round(N - 1);
	add_member(N - 1);
	mbr_find(m[0], hash_name("m0"), &first);
	mbr_apply(m[N - 1], &first, now);
	for (i = 0; i < 25; i++) heartbeat_round(N);
	for (i = 0; i < N; i++) CU_ASSERT_EQUAL(count_alive(i), N);
	CU_ASSERT_EQUAL(mbr_hash(m[0]), mbr_hash(m[N - 1]));
	tear_down(N);
}

static void the_dead_are_found_by_all(void)
{
	int i, round;

	set_up(7);
	dead[3] = 1;
	for (round = 0; round < 20; round++) heartbeat_round(7);
	for (i = 0; i < 7; i++)
		if (!dead[i]) CU_ASSERT_EQUAL(count_alive(i), 6);
	tear_down(7);
}

/* A live member that was declared dead rejoins with a higher incarnation. */
static void the_wrongly_buried_come_back(void)
{
	int i;

	set_up(7);
	outgoing_lost[3] = 1;
	for (i = 0; i < 20; i++) heartbeat_round(7);
	CU_ASSERT_EQUAL(count_alive(0), 6);
	outgoing_lost[3] = 0;
	for (i = 0; i < 60; i++) heartbeat_round(7);
	for (i = 0; i < 7; i++) CU_ASSERT_EQUAL(count_alive(i), 7);
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
	for (i = 0; i < 15; i++) heartbeat_round(5);
	for (i = 0; i < 5; i++) {
		mbr_find(m[i], hash_name("m2"), &x);
		CU_ASSERT_EQUAL(x.state, MBR_LEAVING);
	}
	tear_down(5);
}

/* ------------------------------ messages ------------------------------ */

static int round_trip(const struct wire_msg *in, struct wire_msg *out,
		      msgpack_unpacked *unpacked)
{
	msgpack_sbuffer b;
	int rc;

	msgpack_sbuffer_init(&b);
	wire_encode(&b, in);
	rc = wire_decode(b.data + 4, b.size - 4, out, unpacked);
	msgpack_sbuffer_destroy(&b);
	return rc;
}

static void messages_come_back_the_same(void)
{
	struct wire_msg in = {.type = WIRE_TICKET}, out;
	msgpack_unpacked unpacked;

	msgpack_unpacked_init(&unpacked);
	in.u.ticket = (struct wire_ticket){UINT64_MAX, 2, 3, 4, 5, 6, 7, -8};
	CU_ASSERT_EQUAL(round_trip(&in, &out, &unpacked), 0);
	CU_ASSERT_EQUAL(memcmp(&in.u.ticket, &out.u.ticket, sizeof in.u.ticket), 0);
	in = (struct wire_msg){.type = WIRE_PING};
	in.u.ping.ndocs = 2;
	in.u.ping.doc[1] = (struct wire_version){9, 10};
	in.u.ping.ndigests = 1;
	in.u.ping.digest[0] = (struct core_digest){1, 2, 3, 4};
	in.u.ping.nupdates = 1;
	strcpy(in.u.ping.updates[0].name, "oslo-1");
	in.u.ping.updates[0].state = MBR_SUSPECT;
	CU_ASSERT_EQUAL(round_trip(&in, &out, &unpacked), 0);
	CU_ASSERT_EQUAL(out.u.ping.doc[1].version, 10);
	CU_ASSERT_EQUAL(out.u.ping.digest[0].waiting, 4);
	CU_ASSERT_EQUAL(out.u.ping.updates[0].id, hash_name("oslo-1"));
	CU_ASSERT_EQUAL(out.u.ping.updates[0].state, MBR_SUSPECT);
	msgpack_unpacked_destroy(&unpacked);
}

/* Every truncated message is refused. Damaged ones may be decoded or refused; the sanitizers
 * detect memory errors. */
static void damaged_messages_are_refused(void)
{
	struct wire_msg in = {.type = WIRE_PING}, out;
	msgpack_unpacked unpacked;
	msgpack_sbuffer b;
	size_t i, n;
	int k;

	in.u.ping.nupdates = 2;
	strcpy(in.u.ping.updates[0].name, "a");
	strcpy(in.u.ping.updates[1].name, "b");
	in.u.ping.ndigests = 3;
	msgpack_unpacked_init(&unpacked);
	msgpack_sbuffer_init(&b);
	wire_encode(&b, &in);
	n = b.size - 4;
	for (i = 0; i < n; i++) CU_ASSERT(wire_decode(b.data + 4, i, &out, &unpacked) < 0);
	srand(1);
	for (k = 0; k < 20000; k++) {
		char *copy = malloc(n);

		memcpy(copy, b.data + 4, n);
		for (i = 0; i < 3; i++) copy[(size_t)rand() % n] = (char)rand();
		wire_decode(copy, n, &out, &unpacked);
		free(copy);
	}
	msgpack_sbuffer_destroy(&b);
	msgpack_unpacked_destroy(&unpacked);
}

/* A five-byte header that announces 2^32 - 1 elements must be refused: the unpacker would
 * allocate memory for them. */
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
