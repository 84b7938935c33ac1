/* The other instances that are known: named by others, heard, dead, forgotten. */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "quarantine.h"
#include <arpa/inet.h>
#include <string.h>

#define QUIET_DEAD_US (MESH_QUIET_BEATS * MESH_DEAD_US)
#define GONE_US 3000000      /* a cut that lasts longer is waited for no more */
#define FORGET_US 30000000   /* an instance not heard of for so long is not tried any more */
#define MEMBERS_MAX 4096     /* instances: no fleet is so large */
#define FULL_LOG_US 10000000 /* between two lines that there are more */

static GPtrArray *members;
static GHashTable *by_ip; /* the same, by address */
static int most_known = 1;

const GPtrArray *mesh_members(void)
{
	return members;
}

struct member *mesh_member_known(const char *ip)
{
	return g_hash_table_lookup(by_ip, ip);
}

struct member *mesh_member_at(const char *ip)
{
	struct member *m = g_hash_table_lookup(by_ip, ip);

	if (m) return m;
	m = g_new0(struct member, 1);
	g_strlcpy(m->ip, ip, sizeof m->ip);
	m->link.ev.fd = -1;
	m->learnt_us = clock_us();
	mesh_init_loads(m);
	g_ptr_array_add(members, m);
	g_hash_table_insert(by_ip, m->ip, m);
	mesh_roles_stale();
	mesh_part_know(m);
	most_known = MAX(most_known, (int)members->len + 1);
	return m;
}

/* More instances than are supported: those beyond are neither heard nor named to callers. */
static void log_full(void)
{
	static int64_t logged_us;
	int64_t now = clock_us();
	GString *g;

	if (logged_us && now - logged_us < FULL_LOG_US) return;
	logged_us = now;
	g = jlog_begin("fleet", "members_full");
	jlog_int(g, "most", MEMBERS_MAX);
	jlog_end(g);
}

struct member *mesh_learnt(const char *ip, int link_mbps)
{
	struct in_addr a;
	struct member *m;

	if (!strcmp(ip, mesh_cfg()->ip) || inet_pton(AF_INET, ip, &a) != 1) return NULL;
	if (members->len >= MEMBERS_MAX && !g_hash_table_contains(by_ip, ip)) {
		log_full();
		return NULL;
	}
	m = mesh_member_at(ip);
	m->learnt_us = clock_us();
	if (!m->link_mbps && link_mbps) {
		m->link_mbps = link_mbps;
		mesh_roles_stale();
	}
	mesh_part_know(m);
	return m;
}

void mesh_learn(const char *ip)
{
	mesh_learnt(ip, 0);
}

void mesh_learn_seeds(void)
{
	char ip[INET_ADDRSTRLEN];
	int i;

	for (i = 0; i < mesh_cfg()->nseeds; i++) {
		inet_ntop(AF_INET, &mesh_cfg()->seed[i].sin_addr, ip, sizeof ip);
		mesh_learn(ip);
	}
}

static void log_member(const struct member *m, const char *event)
{
	GString *g = jlog_begin("fleet", event);

	jlog_str(g, "member", m->said.name);
	jlog_str(g, "ip", m->ip);
	jlog_int(g, "ready", m->said.ready);
	jlog_end(g);
}

/* What only those are told that callers come to: it has heard nothing of it so far. */
static void tell_what_serving_know(struct member *m)
{
	GString *out = g_string_new(NULL);

	mesh_write_topics(out);
	quarantine_write_reports(out);
	mesh_write_all_loads(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* What roles follow from. */
static int changes_roles(const struct member *m, const struct mesh_beat *b)
{
	return !m->alive || m->said.draining != b->draining ||
	       m->said.store_up != b->store_up || m->link_mbps != b->link_mbps;
}

void mesh_heard(struct member *m, const struct mesh_beat *b)
{
	int begins_to_serve = b->serves && !m->said.serves;

	if (changes_roles(m, b)) mesh_roles_stale();
	m->said = *b;
	m->link_mbps = b->link_mbps;
	m->heard_us = clock_us();
	m->refused = 0;
	/* Of another boot of this machine are stamps that are yet to come. */
	if (b->echo_us <= m->heard_us) m->echoed_us = MAX(m->echoed_us, b->echo_us);
	mesh_part_heard(m);
	if (!m->alive) {
		m->alive = 1;
		m->alive_us = m->heard_us;
		log_member(m, "member_alive");
	}
	/* It starts, perhaps again: it shall know this instance, and what is blamed, before its
	 * next heartbeat. */
	if (!cn_is_open(&m->link) && mesh_linked_to(m)) mesh_connect(m);
	mesh_heard_echo(b->echo_us);
	mesh_heal_orders(m);
	mesh_heal_verdicts(m);
	if (begins_to_serve) tell_what_serving_know(m);
	mesh_learn_from(m);
}

static void set_dead(struct member *m)
{
	m->alive = 0;
	mesh_drop_loads(m);
	mesh_passed_over(m);
	log_member(m, "member_dead");
}

static void check_alive(struct member *m, int64_t now)
{
	int64_t dead_us = m->said.serves || m->hub ? MESH_DEAD_US : QUIET_DEAD_US;

	dead_us = MAX(dead_us, m->said.every * MESH_DEAD_US);
	if (!m->alive || now - m->heard_us < dead_us) return;
	set_dead(m);
	/* It hears nothing either, where all links fell silent. */
	if (cn_is_open(&m->link) && !m->link.connecting) mesh_renew_link(m, "nothing is heard");
	mesh_tell_death(m);
}

void mesh_told_silent(struct member *m, int64_t silent_us)
{
	int64_t mine_us = clock_us() - m->heard_us;

	if (m->alive && silent_us >= MESH_DEAD_US && mine_us >= MESH_DEAD_US) set_dead(m);
}

static int forgotten(struct member *m, int64_t now)
{
	if (now - MAX(m->heard_us, m->learnt_us) < FORGET_US) return 0;
	mesh_drop_loads(m);
	mesh_fetch_forget(m);
	mesh_in_forget(m);
	cn_reset(&m->link);
	g_hash_table_remove(by_ip, m->ip);
	mesh_roles_stale();
	g_hash_table_destroy(m->loads);
	g_hash_table_destroy(m->ends);
	return 1;
}

void mesh_check_members(int64_t now)
{
	uint32_t i;

	for (i = members->len; i-- > 0;) {
		struct member *m = g_ptr_array_index(members, i);

		if (forgotten(m, now)) {
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
	return m && m->heard_us;
}

static int is_waited_for(const struct member *m, int64_t now)
{
	if (!m->heard_us || !m->said.serves || m->said.draining) return 0;
	if (m->refused || now - m->heard_us >= GONE_US) return 0;
	/* It is heard, and does not hear this instance: its word comes, and no answer. */
	return now - MAX(m->echoed_us, m->alive_us) < GONE_US;
}

int mesh_have_answered(int64_t since_us)
{
	int64_t now = clock_us();
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (is_waited_for(m, now) && m->echoed_us < since_us) return 0;
	}
	return 1;
}

void mesh_ask_serving(void)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	uint32_t i;

	mesh_frame_begin(&f, MESH_ASK, 1);
	mesh_frame_end(&f, out);
	for (i = 0; i < members->len; i++) {
		struct member *m = g_ptr_array_index(members, i);

		if (!m->said.serves) continue;
		mesh_answer(m);
		mesh_send(m, out);
	}
	g_string_free(out, TRUE);
}

int mesh_is_informed(void)
{
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (m->alive && m->hub && m->said.store_up && m->said.revs.backends) return 1;
	}
	return 0;
}

int mesh_live(void)
{
	uint32_t i;
	int n = 1;

	for (i = 0; i < members->len; i++)
		n += ((struct member *)g_ptr_array_index(members, i))->alive;
	return n;
}

int mesh_serving(void)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		n += m->alive && m->said.serves;
	}
	return n;
}

int mesh_known(void)
{
	return most_known;
}

void mesh_members_start(void)
{
	members = g_ptr_array_new();
	by_ip = g_hash_table_new(g_str_hash, g_str_equal);
	mesh_learn_seeds();
}
