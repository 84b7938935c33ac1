/* The other instances: named by others, alive, dead, and at last forgotten. */
#include "adm.h"
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "quarantine.h"
#include <arpa/inet.h>
#include <string.h>

#define STANDBY_DEAD_US (MESH_STANDBY_INTERVAL * MESH_DEAD_US)
#define ACK_TIMEOUT_US 3000000   /* a longer network partition is not waited for */
#define FORGET_US 30000000       /* since an instance was last named or seen */
#define MEMBERS_MAX 4096         /* more than any fleet has */
#define LOG_INTERVAL_US 10000000 /* between log lines about too many members */

static GPtrArray *members;
static GHashTable *by_ip; /* the same members by address */
static int roster_listed; /* the store has named the members */
static int most_members = 1;

const GPtrArray *mesh_members(void)
{
	return members;
}

struct member *mesh_member_find(const char *ip)
{
	return g_hash_table_lookup(by_ip, ip);
}

struct member *mesh_member_get(const char *ip)
{
	struct member *m = g_hash_table_lookup(by_ip, ip);

	if (m) return m;
	m = g_new0(struct member, 1);
	g_strlcpy(m->ip, ip, sizeof m->ip);
	m->link.ev.fd = -1;
	m->named_us = clock_us();
	mesh_init_loads(m);
	g_ptr_array_add(members, m);
	g_hash_table_insert(by_ip, m->ip, m);
	mesh_roles_stale();
	mesh_part_add(m);
	most_members = MAX(most_members, (int)members->len + 1);
	return m;
}

/* More instances than are supported: the others are neither connected to nor named to
 * callers. */
static void log_members_full(void)
{
	static int64_t logged_us;
	int64_t now = clock_us();
	GString *g;

	if (logged_us && now - logged_us < LOG_INTERVAL_US) return;
	logged_us = now;
	g = jlog_begin("fleet", "members_full");
	jlog_int(g, "most", MEMBERS_MAX);
	jlog_end(g);
}

struct member *mesh_add_member(const char *ip, int link_mbps)
{
	struct in_addr a;
	struct member *m;

	if (!strcmp(ip, mesh_cfg()->ip) || inet_pton(AF_INET, ip, &a) != 1) return NULL;
	if (members->len >= MEMBERS_MAX && !g_hash_table_contains(by_ip, ip)) {
		log_members_full();
		return NULL;
	}
	m = mesh_member_get(ip);
	m->named_us = clock_us();
	if (!m->link_mbps && link_mbps) {
		m->link_mbps = link_mbps;
		mesh_roles_stale();
	}
	mesh_part_add(m);
	return m;
}

void mesh_add_ip(const char *ip)
{
	mesh_add_member(ip, 0);
}

void mesh_add_seeds(void)
{
	char ip[INET_ADDRSTRLEN];
	int i;

	for (i = 0; i < mesh_cfg()->nseeds; i++) {
		inet_ntop(AF_INET, &mesh_cfg()->seed[i].sin_addr, ip, sizeof ip);
		mesh_add_ip(ip);
	}
}

static void log_member(const struct member *m, const char *event)
{
	GString *g = jlog_begin("fleet", event);

	jlog_str(g, "member", m->hb.name);
	jlog_str(g, "ip", m->ip);
	jlog_int(g, "ready", m->hb.ready);
	jlog_end(g);
}

/* Sends the state that only serving instances get: m has received none of it so far. */
static void send_serving_state(struct member *m)
{
	GString *out = g_string_new(NULL);

	mesh_write_topics(m, out);
	quarantine_write_reports(out);
	mesh_write_all_loads(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* Whether something changed that roles are computed from. */
static int changes_roles(const struct member *m, const struct mesh_heartbeat *b)
{
	return !m->alive || m->hb.draining != b->draining || m->hb.store_up != b->store_up ||
	       m->link_mbps != b->link_mbps;
}

void mesh_heartbeat_received(struct member *m, const struct mesh_heartbeat *b)
{
	int starts_serving = b->serving && !m->hb.serving;
	int stops = b->draining && !m->hb.draining;

	if (changes_roles(m, b)) mesh_roles_stale();
	m->hb = *b;
	m->link_mbps = b->link_mbps;
	m->last_seen_us = clock_us();
	m->refused = 0;
	/* An echo from the future carries a stamp of an earlier boot of this machine. */
	if (b->echo_us <= m->last_seen_us) m->acked_us = MAX(m->acked_us, b->echo_us);
	mesh_part_seen(m);
	if (!m->alive) {
		m->alive = 1;
		m->alive_us = m->last_seen_us;
		log_member(m, "member_alive");
	}
	/* m started or restarted: it gets this instance's state and the verdicts before its
	 * next heartbeat. */
	if (!cn_is_open(&m->link) && mesh_keeps_link(m)) mesh_connect(m);
	mesh_echo_received(b->echo_us);
	mesh_sync_orders(m);
	mesh_sync_verdicts(m);
	if (starts_serving) send_serving_state(m);
	if (stops) mesh_helper_leaves(m);
	mesh_check_lists(m);
}

static void set_dead(struct member *m)
{
	m->alive = 0;
	mesh_drop_loads(m);
	adm_member_gone(m->ip);
	mesh_release_role(m);
	log_member(m, "member_dead");
}

static void check_alive(struct member *m, int64_t now)
{
	int64_t dead_us = m->hb.serving || m->hub ? MESH_DEAD_US : STANDBY_DEAD_US;

	dead_us = MAX(dead_us, m->hb.interval * MESH_DEAD_US);
	if (!m->alive || now - m->last_seen_us < dead_us) return;
	set_dead(m);
	/* If all links went silent, m receives nothing either. */
	if (cn_is_open(&m->link) && !m->link.connecting) mesh_renew_link(m, "nothing is heard");
	mesh_announce_death(m);
}

void mesh_reported_silent(struct member *m, int64_t silent_us)
{
	int64_t here_us = clock_us() - m->last_seen_us;

	if (m->alive && silent_us >= MESH_DEAD_US && here_us >= MESH_DEAD_US) set_dead(m);
}

static int forget_if_stale(struct member *m, int64_t now)
{
	if (now - MAX(m->last_seen_us, m->named_us) < FORGET_US) return 0;
	mesh_drop_loads(m);
	mesh_fetch_forget(m);
	mesh_in_forget(m);
	cn_reset(&m->link);
	g_hash_table_remove(by_ip, m->ip);
	mesh_roles_stale();
	g_hash_table_destroy(m->loads);
	g_hash_table_destroy(m->outcomes);
	return 1;
}

void mesh_check_members(int64_t now)
{
	uint32_t i;

	for (i = members->len; i-- > 0;) {
		struct member *m = g_ptr_array_index(members, i);

		if (forget_if_stale(m, now)) {
			g_ptr_array_remove_index_fast(members, i);
			ev_free_later(m);
			continue;
		}
		check_alive(m, now);
	}
}

int mesh_is_instance(const struct sockaddr_in *at)
{
	char ip[INET_ADDRSTRLEN];
	const struct member *m;

	if (!by_ip || !inet_ntop(AF_INET, &at->sin_addr, ip, sizeof ip)) return 0;
	if (!strcmp(ip, mesh_cfg()->ip)) return 1;
	m = g_hash_table_lookup(by_ip, ip);
	return m && m->last_seen_us;
}

static int is_ack_awaited(const struct member *m, int64_t now)
{
	if (!m->last_seen_us || !m->hb.serving || m->hb.draining) return 0;
	if (m->refused || now - m->last_seen_us >= ACK_TIMEOUT_US) return 0;
	/* An instance whose heartbeats arrive, but which does not receive this one's, never
	 * acknowledges. */
	return now - MAX(m->acked_us, m->alive_us) < ACK_TIMEOUT_US;
}

int mesh_all_acked(int64_t since_us)
{
	int64_t now = clock_us();
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (is_ack_awaited(m, now) && m->acked_us < since_us) return 0;
	}
	return 1;
}

void mesh_request_heartbeats(void)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	uint32_t i;

	mesh_frame_begin(&f, MESH_PING, 1);
	mesh_frame_end(&f, out);
	for (i = 0; i < members->len; i++) {
		struct member *m = g_ptr_array_index(members, i);

		if (!m->hb.serving) continue;
		mesh_send_heartbeat(m);
		mesh_send(m, out);
	}
	g_string_free(out, TRUE);
}

int mesh_has_synced_hub(void)
{
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (m->alive && m->hub && m->hb.store_up && m->hb.revs.backends) return 1;
	}
	return 0;
}

int mesh_count_live(void)
{
	uint32_t i;
	int n = 1;

	for (i = 0; i < members->len; i++)
		n += ((struct member *)g_ptr_array_index(members, i))->alive;
	return n;
}

int mesh_count_serving(void)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		n += m->alive && m->hb.serving;
	}
	return n;
}

/* One that ended refuses connections, or said before that it drains. */
static int is_silent(const struct member *m)
{
	return !m->alive && m->last_seen_us && !m->refused && m->hb.serving && !m->hb.draining;
}

int mesh_is_cut_off(void)
{
	uint32_t i;
	int silent = 0;

	for (i = 0; i < members->len; i++) silent |= is_silent(g_ptr_array_index(members, i));
	return silent && !mesh_count_serving();
}

int64_t mesh_oldest_serving_us(void)
{
	int64_t now = clock_us(), oldest = 0;
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (m->alive && m->hb.serving) oldest = MAX(oldest, now - m->last_seen_us);
	}
	return oldest;
}

int mesh_most_members(void)
{
	return most_members;
}

void mesh_set_roster_listed(void)
{
	roster_listed = 1;
}

int mesh_is_alone(void)
{
	return most_members == 1 && roster_listed;
}

void mesh_members_start(void)
{
	members = g_ptr_array_new();
	by_ip = g_hash_table_new(g_str_hash, g_str_equal);
	mesh_add_seeds();
}
