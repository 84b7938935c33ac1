/* What this instance tells of itself: heartbeats, and news that don't wait for the next one. */
#include "clock.h"
#include "mesh_impl.h"
#include "met.h"
#include "quarantine.h"
#include "watch.h"

/* Whoever hears nobody for so long after it stood still goes on alone: three beats. */
#define ALONE_US 1500000
#define WHOLE_EVERY 5 /* beats between whole load messages: heals what was missed */

static const struct entry_cfg *cfg;
static struct ev_timer beat_timer;
static int self_ready, self_draining, self_store_up = 1, self_store_late;
static unsigned beats;
static int64_t woke_us; /* it stood still until then, and has heard nothing since; 0: it has */
static int64_t stood_still_us;

const struct entry_cfg *mesh_cfg(void)
{
	return cfg;
}

void mesh_set_state(int ready, int draining)
{
	int drains = draining && !self_draining;

	if (self_draining != draining) mesh_roles_stale();
	self_ready = ready;
	self_draining = draining;
	/* It is no hub from now on, and its next heartbeat may be a second away. */
	if (drains) mesh_beat_now();
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
	const GPtrArray *all = mesh_members();
	uint32_t i;

	if (!self_store_up || self_store_late) return 1;
	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && (!m->said.store_up || m->said.store_late)) return 1;
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

/* Beats to m come each so many of this instance's. */
static int beats_every(const struct member *m)
{
	if (!mesh_self_serves() && !mesh_self_hub()) return MESH_QUIET_BEATS;
	return m->hub || m->said.serves || mesh_tells(m) ? 1 : MESH_QUIET_BEATS;
}

void mesh_write_own_beat(GString *out, const struct member *to, int answers)
{
	struct mesh_beat b = {.ready = self_ready,
			      .draining = self_draining,
			      .store_up = self_store_up,
			      .store_late = self_store_late,
			      .link_mbps = cfg->link_mbps,
			      .serves = mesh_self_serves(),
			      .verdicts = quarantine_digest(),
			      .orders = board_orders_digest(),
			      .from = watch_backends_from(),
			      .dc = mesh_self_dc(),
			      .region = mesh_self_region(),
			      .every = beats_every(to)};
	int64_t now = clock_us(), confirmed = board_confirmed_us();

	g_strlcpy(b.name, cfg->instance, sizeof b.name);
	g_strlcpy(b.ip, cfg->ip, sizeof b.ip);
	g_strlcpy(b.front, cfg->front_text, sizeof b.front);
	b.revs = board_revs();
	b.confirmed_ago_us = confirmed == BOARD_NEVER ? -1 : now - confirmed;
	b.stamp_us = now;
	if (answers && to->heard_us) {
		b.echo_us = to->said.stamp_us;
		b.echo_held_us = now - to->heard_us;
	}
	mesh_write_beat(out, &b);
}

static void send_beat(struct member *m, int with_loads)
{
	GString *out;

	if (!cn_is_open(&m->link) || m->link.connecting) return;
	out = g_string_new(NULL);
	mesh_write_own_beat(out, m, 1);
	if (with_loads && m->said.serves) mesh_write_all_loads(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

void mesh_answer(struct member *m)
{
	send_beat(m, 0);
}

/* The slow ones are spread over the beats, by the receiver. */
static int is_due(const struct member *m)
{
	int every = beats_every(m);

	return every == 1 || (beats + g_str_hash(m->ip)) % every == 0;
}

/* Links between two that stand by are let go. */
static int keep_link(struct member *m)
{
	if (mesh_linked_to(m)) return 1;
	if (cn_is_open(&m->link)) cn_close(&m->link);
	return 0;
}

static void beat_to(struct member *m, int64_t now)
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
	if (mesh_link_is_silent(m, MAX(beats_every(m), m->said.every), now))
		mesh_renew_link(m, "heartbeats on it are not answered");
	else if (is_due(m))
		send_beat(m, beats % WHOLE_EVERY == 0);
}

void mesh_woke(void)
{
	woke_us = stood_still_us = clock_us();
	mesh_beat_now();
}

int64_t mesh_stood_still_us(void)
{
	return stood_still_us;
}

void mesh_heard_echo(int64_t sent_us)
{
	if (sent_us >= woke_us) woke_us = 0;
}

int mesh_is_awake(void)
{
	if (!woke_us) return 1;
	if (board_confirmed_us() >= woke_us || clock_us() - woke_us >= ALONE_US) woke_us = 0;
	return !woke_us;
}

void mesh_beat_now(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) send_beat(g_ptr_array_index(all, i), 0);
}

/* Who is in the fleet gets to all through the hubs: parts of it that were started
 * from different seeds, and instances that came while others were being told, find together. */
static void tell_somebody_of_all(void)
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

static void on_beat(struct ev_timer *t)
{
	const GPtrArray *all = mesh_members();
	int64_t now = clock_us();
	uint32_t i;

	ev_in(t, MESH_BEAT_US);
	beats++;
	mesh_check_members(now);
	if (mesh_is_awake()) mesh_close_idle(now);
	mesh_choose_roles();
	for (i = 0; i < all->len; i++) beat_to(g_ptr_array_index(all, i), now);
	tell_somebody_of_all();
	met_set(MET_G_MEMBERS, mesh_live());
	met_set(MET_G_WATCHES, mesh_watches());
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
	beat_timer.fire = on_beat;
	ev_in(&beat_timer, 0);
	return mesh_listen();
}
