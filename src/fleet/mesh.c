/* The other instances, and heartbeats to them: who lives is who is heard. */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <arpa/inet.h>
#include <string.h>

#define BEAT_US 400000  /* of those that callers come to, and of hubs */
#define DEAD_US 1500000 /* three beats missed and some way */
/* Nobody is sent to the others: that one died may be known later, for a third of the messages
 * of most of a large fleet. */
#define QUIET_BEATS 3 /* beats of those that serve, to one of the others */
#define QUIET_DEAD_US (QUIET_BEATS * DEAD_US)
#define FORGET_US 30000000 /* an instance not heard of for so long is not tried any more */
#define WHOLE_EVERY 5      /* beats between whole load messages: heals what was missed */
#define MEMBERS_MAX 4096   /* instances: no fleet is so large */

static const struct entry_cfg *cfg;
static GPtrArray *members;
static GHashTable *by_ip; /* the same, by address */
static struct ev_timer beat_timer;
static int self_ready, self_draining, self_store_up = 1, self_store_late, most_known = 1;
static unsigned beats;

const struct entry_cfg *mesh_cfg(void)
{
	return cfg;
}

const GPtrArray *mesh_members(void)
{
	return members;
}

void mesh_set_state(int ready, int draining)
{
	if (self_draining != draining) mesh_roles_stale();
	self_ready = ready;
	self_draining = draining;
}

int mesh_self_draining(void)
{
	return self_draining;
}

int mesh_self_store_up(void)
{
	return self_store_up;
}

int mesh_self_takes_callers(void)
{
	return self_ready && !self_draining;
}

void mesh_set_store_up(int up)
{
	if (self_store_up != up) mesh_roles_stale();
	self_store_up = up;
}

void mesh_set_store_late(int late)
{
	if (self_store_late == late) return;
	self_store_late = late;
	mesh_beat_now();
}

int mesh_store_in_doubt(void)
{
	uint32_t i;

	if (!self_store_up || self_store_late) return 1;
	for (i = 0; i < members->len; i++) {
		const struct member *m = g_ptr_array_index(members, i);

		if (m->alive && (!m->said.store_up || m->said.store_late)) return 1;
	}
	return 0;
}

void mesh_write_own_beat(GString *out, const struct member *to)
{
	struct mesh_beat b = {.ready = self_ready,
			      .draining = self_draining,
			      .store_up = self_store_up,
			      .store_late = self_store_late,
			      .link_mbps = cfg->link_mbps,
			      .serves = mesh_self_serves()};
	int64_t now = clock_us(), confirmed = board_confirmed_us();

	g_strlcpy(b.name, cfg->instance, sizeof b.name);
	g_strlcpy(b.ip, cfg->ip, sizeof b.ip);
	g_strlcpy(b.front, cfg->front_text, sizeof b.front);
	b.revs = board_revs();
	b.confirmed_ago_us = confirmed == BOARD_NEVER ? -1 : now - confirmed;
	b.stamp_us = now;
	if (to->heard_us) {
		b.echo_us = to->said.stamp_us;
		b.echo_held_us = now - to->heard_us;
	}
	mesh_write_beat(out, &b);
}

struct member *mesh_member_at(const char *ip)
{
	struct member *m = g_hash_table_lookup(by_ip, ip);

	if (m) return m;
	m = g_new0(struct member, 1);
	g_strlcpy(m->ip, ip, sizeof m->ip);
	m->link.ev.fd = -1;
	m->learnt_us = clock_us();
	m->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(members, m);
	g_hash_table_insert(by_ip, m->ip, m);
	mesh_roles_stale();
	most_known = MAX(most_known, (int)members->len + 1);
	return m;
}

struct member *mesh_learnt(const char *ip, int link_mbps)
{
	struct in_addr a;
	struct member *m;

	if (!strcmp(ip, cfg->ip) || inet_pton(AF_INET, ip, &a) != 1) return NULL;
	if (members->len >= MEMBERS_MAX && !g_hash_table_contains(by_ip, ip)) return NULL;
	m = mesh_member_at(ip);
	m->learnt_us = clock_us();
	if (m->link_mbps || !link_mbps) return m;
	m->link_mbps = link_mbps;
	mesh_roles_stale();
	return m;
}

void mesh_learn(const char *ip)
{
	mesh_learnt(ip, 0);
}

static void log_member(const struct member *m, const char *event)
{
	GString *g = jlog_begin("fleet", event);

	jlog_str(g, "member", m->said.name);
	jlog_str(g, "ip", m->ip);
	jlog_int(g, "ready", m->said.ready);
	jlog_end(g);
}

/* It has heard nothing of them while nobody came to it. */
static void tell_loads(struct member *m)
{
	GString *out = g_string_new(NULL);

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
	if (!m->alive) {
		m->alive = 1;
		log_member(m, "member_alive");
		/* It shall know this instance, too, before its next heartbeat. */
		if (!cn_open(&m->link) && mesh_linked_to(m)) mesh_connect(m);
	}
	if (begins_to_serve) tell_loads(m);
	mesh_learn_from(m);
}

static void check_alive(struct member *m, int64_t now)
{
	int64_t dead_us = m->said.serves || m->hub ? DEAD_US : QUIET_DEAD_US;

	if (!m->alive || now - m->heard_us < dead_us) return;
	m->alive = 0;
	mesh_drop_loads(m);
	mesh_passed_over(m);
	log_member(m, "member_dead");
}

static void send_beat(struct member *m, int with_loads)
{
	GString *out = g_string_new(NULL);

	mesh_write_own_beat(out, m);
	if (with_loads && m->said.serves) mesh_write_all_loads(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* Those of an instance that serves nobody are spread over the beats, by the receiver. */
static int is_due(const struct member *m)
{
	int fast = mesh_self_serves() || mesh_self_hub();

	return fast || (beats + g_str_hash(m->ip)) % QUIET_BEATS == 0;
}

/* Links between two that stand by are let go. */
static int keep_link(struct member *m)
{
	if (mesh_linked_to(m)) return 1;
	if (cn_open(&m->link)) cn_close(&m->link);
	return 0;
}

static void beat_to(struct member *m, int64_t now)
{
	if (!keep_link(m)) return;
	if (!cn_open(&m->link)) {
		if (now >= m->next_connect_us) mesh_connect(m);
		return;
	}
	if (m->link.connecting) {
		if (now < m->next_connect_us) return;
		cn_reset(&m->link);
		mesh_connect(m);
		return;
	}
	if (is_due(m)) send_beat(m, beats % WHOLE_EVERY == 0);
}

void mesh_beat_now(void)
{
	uint32_t i;

	for (i = 0; i < members->len; i++) send_beat(g_ptr_array_index(members, i), 0);
}

/* Who is in the fleet gets to all through the hubs: parts of it that were started
 * from different seeds, and instances that came while others were being told, find together. */
static void tell_somebody_of_all(void)
{
	struct member *m;
	GString *out;

	if (!members->len || !mesh_self_hub()) return;
	m = g_ptr_array_index(members, g_random_int_range(0, (gint32)members->len));
	out = g_string_new(NULL);
	mesh_write_peers(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
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

static void check_members(int64_t now)
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

static void on_beat(struct ev_timer *t)
{
	int64_t now = clock_us();
	uint32_t i;

	ev_in(t, BEAT_US);
	beats++;
	check_members(now);
	mesh_choose_roles();
	for (i = 0; i < members->len; i++) beat_to(g_ptr_array_index(members, i), now);
	tell_somebody_of_all();
	met_set(MET_G_MEMBERS, mesh_live());
	met_set(MET_G_WATCHES, mesh_watches());
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

static void tell(const struct be *b, enum mesh_type type)
{
	GString *out = g_string_new(NULL);

	mesh_write_leaving(out, type, b->id);
	mesh_send_serving(out);
	g_string_free(out, TRUE);
}

void mesh_tell_leaving(const struct be *b)
{
	tell(b, MESH_LEAVING);
}

void mesh_tell_suspect(const struct be *b)
{
	tell(b, MESH_SUSPECT);
}

void mesh_learn_seeds(void)
{
	char ip[INET_ADDRSTRLEN];
	int i;

	for (i = 0; i < cfg->nseeds; i++) {
		inet_ntop(AF_INET, &cfg->seed[i].sin_addr, ip, sizeof ip);
		mesh_learn(ip);
	}
}

int mesh_start(const struct entry_cfg *c)
{
	cfg = c;
	members = g_ptr_array_new();
	by_ip = g_hash_table_new(g_str_hash, g_str_equal);
	mesh_loads_start();
	mesh_learn_seeds();
	mesh_fetch_start();
	beat_timer.fire = on_beat;
	ev_in(&beat_timer, 0);
	return mesh_listen();
}
