/* Heartbeats, and the state of this instance that they report. */
#include "clock.h"
#include "mesh_impl.h"
#include "met.h"
#include "quarantine.h"
#include "watch.h"
#include <arpa/inet.h>

/* Time after a suspension until this instance continues with what it has, though none has sent
 * anything new. Microseconds; more than three heartbeats. */
#define RESUME_TIMEOUT_US 1500000
/* Heartbeats between full load messages, which replace missed ones. */
#define FULL_LOADS_INTERVAL 5

static const struct entry_cfg *cfg;
static struct ev_timer heartbeat_timer;
static int self_ready, self_draining, self_store_up = 1, self_store_late, self_path_lost;
static struct sockaddr_in self_via; /* the helper whose tunnel came up last */
static unsigned heartbeat_count;
static int64_t unsynced_since_us; /* time of the resume if not yet up to date; else 0 */
static int64_t resumed_us;

const struct entry_cfg *mesh_cfg(void)
{
	return cfg;
}

void mesh_set_state(int ready, int draining)
{
	int drain_begins = draining && !self_draining;

	if (self_draining != draining) mesh_roles_stale();
	self_ready = ready;
	self_draining = draining;
	/* This instance is no hub from now on, and its next heartbeat may be a second away. */
	if (drain_begins) mesh_heartbeat_now();
}

int mesh_self_draining(void)
{
	return self_draining;
}

int mesh_self_store_up(void)
{
	return self_store_up;
}

int mesh_self_accepts_callers(void)
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
	mesh_heartbeat_now();
}

/* The others choose no helper that has no path itself. */
void mesh_set_path_lost(int lost)
{
	self_path_lost = lost;
	mesh_heartbeat_now();
}

void mesh_helper_connected(const struct sockaddr_in *at)
{
	self_via = *at;
}

int mesh_can_keep(void)
{
	return cache_conf() && be_all()->len && !self_draining;
}

int mesh_store_degraded(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	if (!self_store_up || self_store_late) return 1;
	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && (!m->hb.store_up || m->hb.store_late)) return 1;
	}
	return 0;
}

uint32_t mesh_place_hash(const char *name)
{
	uint32_t hash = g_str_hash(name);

	return hash ? hash : 1;
}

uint32_t mesh_self_dc(void)
{
	return mesh_place_hash(cfg->data_centre);
}

uint32_t mesh_self_region(void)
{
	return mesh_place_hash(cfg->region);
}

/* Interval of heartbeats to m, in units of MESH_HEARTBEAT_US. */
static int heartbeat_interval(const struct member *m)
{
	if (!mesh_self_serving() && !mesh_self_hub()) return MESH_STANDBY_INTERVAL;
	return m->hub || m->hb.serving || mesh_informs(m) ? 1 : MESH_STANDBY_INTERVAL;
}

void mesh_write_own_heartbeat(GString *out, const struct member *to, int echo)
{
	struct mesh_heartbeat b = {.ready = self_ready,
				   .draining = self_draining,
				   .store_up = self_store_up,
				   .store_late = self_store_late,
				   .link_mbps = cfg->link_mbps,
				   .serving = mesh_self_serving(),
				   .verdicts = quarantine_digest(),
				   .orders = cache_orders_digest(),
				   .backends_from = watch_backends_from(),
				   .dc = mesh_self_dc(),
				   .region = mesh_self_region(),
				   .interval = heartbeat_interval(to),
				   .version = cache_conf() ? cache_conf()->version : 0,
				   .path = self_path_lost ? MESH_PATH_LOST : MESH_PATH_GOOD};
	int64_t now = clock_us(), confirmed = cache_confirmed_us();

	if (self_path_lost && self_via.sin_port)
		inet_ntop(AF_INET, &self_via.sin_addr, b.via, sizeof b.via);
	g_strlcpy(b.name, cfg->instance, sizeof b.name);
	g_strlcpy(b.ip, cfg->ip, sizeof b.ip);
	g_strlcpy(b.front, cfg->front_text, sizeof b.front);
	b.admission = mesh_can_keep();
	b.revs = cache_revs();
	b.confirmed_ago_us = confirmed == CACHE_NEVER ? -1 : now - confirmed;
	b.stamp_us = now;
	if (echo && to->last_seen_us) {
		b.echo_us = to->hb.stamp_us;
		b.echo_held_us = now - to->last_seen_us;
	}
	mesh_write_heartbeat(out, &b);
}

static void send_heartbeat(struct member *m, int with_loads)
{
	GString *out;

	if (!cn_is_open(&m->link) || m->link.connecting) return;
	out = g_string_new(NULL);
	mesh_write_own_heartbeat(out, m, 1);
	if (with_loads && m->hb.serving) mesh_write_all_loads(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

void mesh_send_heartbeat(struct member *m)
{
	send_heartbeat(m, 0);
}

/* The receiver's address decides in which period a slower heartbeat is sent, so that they are
 * spread evenly. */
static int is_due(const struct member *m)
{
	int interval = heartbeat_interval(m);

	return interval == 1 || (heartbeat_count + g_str_hash(m->ip)) % interval == 0;
}

/* Closes the link between two standby instances. */
static int keep_link(struct member *m)
{
	if (mesh_keeps_link(m)) return 1;
	if (cn_is_open(&m->link)) cn_close(&m->link);
	return 0;
}

static void maintain_link(struct member *m, int64_t now)
{
	if (!keep_link(m)) return;
	if (!cn_is_open(&m->link)) {
		if (now >= m->next_connect_us) mesh_connect(m);
		return;
	}
	if (m->link.connecting) {
		if (now < m->next_connect_us) return;
		cn_reset(&m->link);
		mesh_connect(m);
		return;
	}
	if (mesh_link_is_silent(m, MAX(heartbeat_interval(m), m->hb.interval), now))
		mesh_renew_link(m, "heartbeats on it are not answered");
	else if (is_due(m))
		send_heartbeat(m, heartbeat_count % FULL_LOADS_INTERVAL == 0);
}

void mesh_resumed(void)
{
	unsynced_since_us = resumed_us = clock_us();
	mesh_heartbeat_now();
}

int64_t mesh_resumed_us(void)
{
	return resumed_us;
}

void mesh_echo_received(int64_t sent_us)
{
	if (sent_us >= unsynced_since_us) unsynced_since_us = 0;
}

int mesh_is_current(void)
{
	if (!unsynced_since_us) return 1;
	if (cache_confirmed_us() >= unsynced_since_us ||
	    clock_us() - unsynced_since_us >= RESUME_TIMEOUT_US)
		unsynced_since_us = 0;
	return !unsynced_since_us;
}

void mesh_heartbeat_now(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) send_heartbeat(g_ptr_array_index(all, i), 0);
}

/* Each hub sends the list of members to a random member, once per heartbeat. This joins parts
 * of a fleet that were started from different seeds, and instances that joined while others
 * were being announced. */
static void gossip_members(void)
{
	const GPtrArray *all = mesh_members();
	struct member *m;
	GString *out;

	if (!all->len || !mesh_self_hub()) return;
	m = g_ptr_array_index(all, g_random_int_range(0, (gint32)all->len));
	out = g_string_new(NULL);
	mesh_write_peers(out, 0);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

static void on_heartbeat_timer(struct ev_timer *t)
{
	const GPtrArray *all = mesh_members();
	int64_t now = clock_us();
	uint32_t i;

	ev_in(t, MESH_HEARTBEAT_US);
	heartbeat_count++;
	mesh_check_members(now);
	if (mesh_is_current()) mesh_close_idle(now);
	mesh_choose_roles();
	for (i = 0; i < all->len; i++) maintain_link(g_ptr_array_index(all, i), now);
	gossip_members();
	met_set(MET_G_MEMBERS, mesh_count_live());
	met_set(MET_G_WATCHES, mesh_watches_store());
}

int mesh_start(const struct entry_cfg *c)
{
	cfg = c;
	mesh_part_start();
	mesh_members_start();
	mesh_loads_start();
	mesh_orders_start();
	mesh_rank_start();
	mesh_fetch_start();
	heartbeat_timer.fire = on_heartbeat_timer;
	ev_in(&heartbeat_timer, 0);
	return mesh_listen();
}
