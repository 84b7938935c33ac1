/* Roles in the fleet: what this instance works out from whom it hears (src/core/roles.c). */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <saddlehead/roles.h>

/* An instance that is named and not heard for so long is passed over: a link comes up within
 * some ms, and one whose opening packet was lost is opened anew meanwhile. */
#define TRY_US 1500000
/* One that was passed over is tried anew: usually it says itself that it is back. */
#define TRY_AGAIN_US 5000000
/* Requests here mark an instance as serving for so long, active or not: callers with an older
 * answer of the directory still come. */
#define SERVES_US 5000000

static GArray *peers; /* of struct roles_peer, by rank once chosen */
static int stale = 1; /* something changed since */
static int self_active, self_hub, self_watches, self_asks, store_answers;
static int64_t load_us; /* when this instance's load changed last; 0: never */

void mesh_roles_stale(void)
{
	stale = 1;
}

static enum roles_state state_of(struct member *m, int64_t now)
{
	if (m->alive) return m->said.draining ? ROLES_AWAY : ROLES_ALIVE;
	if (!m->tried_us || now - m->tried_us > TRY_AGAIN_US) m->tried_us = now;
	return now - m->tried_us < TRY_US ? ROLES_TRIED : ROLES_AWAY;
}

void mesh_passed_over(struct member *m)
{
	m->tried_us = clock_us() - TRY_US;
	mesh_roles_stale();
}

static void add_self(void)
{
	struct roles_peer p = {.link_mbps = mesh_cfg()->link_mbps,
			       .hash = g_str_hash(mesh_cfg()->ip),
			       .state = mesh_self_draining() ? ROLES_AWAY : ROLES_ALIVE,
			       .store_down = !mesh_self_store_up(),
			       .self = 1};

	g_array_append_val(peers, p);
}

static void add_member(struct member *m, int64_t now)
{
	struct roles_peer p = {.link_mbps = m->link_mbps,
			       .hash = g_str_hash(m->ip),
			       .state = state_of(m, now),
			       .store_down = !m->said.store_up,
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
}

static void take_results(void)
{
	const struct roles_peer *p = (const struct roles_peer *)(void *)peers->data;
	int n = (int)peers->len, i;

	for (i = 0; i < n; i++) {
		if (p[i].self)
			set_self(&p[i]);
		else
			set_member(p[i].user, &p[i]);
	}
	self_watches = roles_watches(p, n);
	self_asks = roles_asks(p, n);
	store_answers = roles_store_answers(p, n);
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
	roles_choose((struct roles_peer *)(void *)peers->data, (int)peers->len);
	take_results();
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

int mesh_watches(void)
{
	refresh();
	return self_watches;
}

int mesh_asks_store(void)
{
	refresh();
	return self_asks;
}

int mesh_store_answers(void)
{
	refresh();
	return store_answers;
}

int64_t mesh_rest_us(void)
{
	return roles_rest_us((int)mesh_members()->len + 1, g_random_int());
}

int mesh_linked_to(const struct member *m)
{
	/* All that it had a word with shall hear that it stops. */
	if (mesh_self_draining()) return cn_is_open(&m->link);
	return mesh_self_hub() || m->hub;
}

int mesh_self_serves(void)
{
	return mesh_self_active() || (load_us && clock_us() - load_us < SERVES_US);
}

/* Others tell this instance of their loads from now on. */
void mesh_note_load(void)
{
	int served = mesh_self_serves();

	load_us = clock_us();
	if (!served) mesh_beat_now();
}
