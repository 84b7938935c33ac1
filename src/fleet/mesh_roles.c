/* Computes the roles in the fleet from the members (src/core/roles.c). */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <saddlehead/roles.h>

/* A named instance that sends no heartbeat within this time stops being a candidate. A link
 * comes up within some milliseconds, and one whose opening packet was lost is opened again
 * meanwhile. */
#define CANDIDATE_US 1500000
/* After it, such an instance is a candidate again. Usually its own heartbeat comes first. */
#define CANDIDATE_RETRY_US 5000000
/* After a request this instance counts as serving for this time, active or not: callers with an
 * older answer of the directory still arrive. */
#define SERVING_US 5000000

static GArray *peers; /* of struct roles_peer, by rank once chosen */
static int stale = 1; /* something changed since the last computation */
static int self_active, self_hub, self_watches_store, self_retries_store, store_answers;
static int64_t load_us; /* when this instance's load last changed; 0: never */

void mesh_roles_stale(void)
{
	stale = 1;
}

static enum roles_state state_of(struct member *m, int64_t now)
{
	if (m->alive) return m->hb.draining ? ROLES_GONE : ROLES_ALIVE;
	if (!m->candidate_us || now - m->candidate_us > CANDIDATE_RETRY_US)
		m->candidate_us = now;
	return now - m->candidate_us < CANDIDATE_US ? ROLES_UNSEEN : ROLES_GONE;
}

void mesh_release_role(struct member *m)
{
	m->candidate_us = clock_us() - CANDIDATE_US;
	mesh_roles_stale();
}

static void add_self(void)
{
	struct roles_peer p = {.link_mbps = mesh_cfg()->link_mbps,
			       .hash = g_str_hash(mesh_cfg()->ip),
			       .state = mesh_self_draining() ? ROLES_GONE : ROLES_ALIVE,
			       .store_down = !mesh_self_store_up(),
			       .self = 1};

	g_array_append_val(peers, p);
}

static void add_member(struct member *m, int64_t now)
{
	struct roles_peer p = {.link_mbps = m->link_mbps,
			       .hash = g_str_hash(m->ip),
			       .state = state_of(m, now),
			       .store_down = !m->hb.store_up,
			       .user = m};

	g_array_append_val(peers, p);
}

static void set_self(const struct roles_peer *me)
{
	GString *g;

	if (self_active == me->active && self_hub == me->hub) return;
	self_active = me->active;
	self_hub = me->hub;
	g = jlog_begin("fleet", "role");
	jlog_int(g, "active", self_active);
	jlog_int(g, "hub", self_hub);
	jlog_int(g, "known", peers->len);
	jlog_end(g);
}

static void set_member(struct member *m, const struct roles_peer *p)
{
	m->active = p->active;
	m->hub = p->hub;
	if (m->alive) m->was_hub = p->hub;
}

static void apply_roles(void)
{
	const struct roles_peer *p = (const struct roles_peer *)(void *)peers->data;
	int n = (int)peers->len, i;

	for (i = 0; i < n; i++) {
		if (p[i].self)
			set_self(&p[i]);
		else
			set_member(p[i].user, &p[i]);
	}
	self_watches_store = roles_watches(p, n);
	self_retries_store = roles_retries_store(p, n);
	store_answers = roles_store_up(p, n);
	met_set(MET_G_ACTIVE, self_active);
}

void mesh_choose_roles(void)
{
	int64_t now = clock_us();
	uint32_t i;

	if (!peers) peers = g_array_new(FALSE, FALSE, sizeof(struct roles_peer));
	stale = 0;
	g_array_set_size(peers, 0);
	add_self();
	for (i = 0; i < mesh_members()->len; i++)
		add_member(g_ptr_array_index(mesh_members(), i), now);
	roles_assign((struct roles_peer *)(void *)peers->data, (int)peers->len);
	apply_roles();
}

static void refresh(void)
{
	if (stale) mesh_choose_roles();
}

int mesh_self_active(void)
{
	refresh();
	return self_active;
}

int mesh_self_hub(void)
{
	refresh();
	return self_hub;
}

int mesh_watches_store(void)
{
	refresh();
	return self_watches_store;
}

int mesh_retries_store(void)
{
	refresh();
	return self_retries_store;
}

int mesh_store_answers(void)
{
	refresh();
	return store_answers;
}

int64_t mesh_backoff_us(void)
{
	return roles_backoff_us((int)mesh_members()->len + 1, g_random_int());
}

int mesh_keeps_link(const struct member *m)
{
	/* All instances that it is connected to are informed that it stops. */
	if (mesh_self_draining()) return cn_is_open(&m->link);
	return mesh_self_hub() || m->hub;
}

int mesh_self_serving(void)
{
	return mesh_self_active() || (load_us && clock_us() - load_us < SERVING_US);
}

/* The heartbeat makes others send their loads to this instance from now on. */
void mesh_mark_serving(void)
{
	int was_serving = mesh_self_serving();

	load_us = clock_us();
	if (!was_serving) mesh_heartbeat_now();
}
