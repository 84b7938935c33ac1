/* Orders of instances that all compute alike: of those that receive caller traffic, different
 * for each backend server, and of the hubs, different for each key. */
#include "clock.h"
#include "mesh_impl.h"
#include <saddlehead/roles.h>
#include <string.h>

/* Until heartbeats of the others have arrived, the largest possible number of them is assumed.
 */
#define SETTLE_US 1500000
#define BUSY_US 1000000        /* an instance that reported a run within this time has work */
#define MULTIPLIER 2654435761u /* odd, with bits set throughout the word */

static int64_t started_us;

static uint32_t mix(uint32_t a, uint32_t b)
{
	uint32_t x = (a ^ b) * MULTIPLIER;

	return (x ^ x >> 15) * MULTIPLIER;
}

/* Called for each cold server at each choice: builds no string. */
static uint32_t order_of(const char *ip, uint32_t server)
{
	return mix(g_str_hash(ip), server);
}

/* In a small fleet all instances receive callers, and one whose heartbeats are missing may
 * still serve them. */
static int is_sharer(const struct member *m)
{
	return m->active || mesh_members()->len < ROLES_ACTIVE;
}

struct mesh_rank mesh_rank(const struct be *b)
{
	struct mesh_rank r = {.sharers = 1};
	int64_t now = clock_us();
	uint32_t i, server = g_str_hash(b->id), mine = order_of(mesh_cfg()->ip, server);

	r.order = mine;
	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (!is_sharer(m)) continue;
		r.sharers++;
		r.busy += now - m->worked_us < BUSY_US;
		r.rank += order_of(m->ip, server) < mine;
	}
	if (now - started_us < SETTLE_US) r.sharers = MAX(r.sharers, ROLES_ACTIVE);
	if (!mesh_self_active()) r.rank = r.sharers;
	return r;
}

/* Hubs are linked to everybody, whichever instance draws. */
static int may_be_drawn(const struct member *m)
{
	return m->alive && m->hub && cn_is_open(&m->link) && !m->link.connecting;
}

static uint32_t fold(uint64_t key)
{
	return (uint32_t)(key ^ key >> 32);
}

static uint32_t draw_order(uint64_t key, const char *ip)
{
	return order_of(ip, fold(key));
}

/* Inserts an address among the first n of up to max; returns their new number. */
static int insert(uint64_t key, const char **ip, int n, int max, const char *added)
{
	uint32_t order = draw_order(key, added);
	int k;

	for (k = n; k > 0 && draw_order(key, ip[k - 1]) > order; k--)
		if (k < max) ip[k] = ip[k - 1];
	if (k < max) ip[k] = added;
	return MIN(n + 1, max);
}

int mesh_draw(uint64_t key, const char **ip, int max)
{
	uint32_t i;
	int n = 0;

	mesh_self_hub(); /* computes the roles if they are out of date */
	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (may_be_drawn(m)) n = insert(key, ip, n, max, m->ip);
	}
	return n;
}

static int may_keep(const struct member *m)
{
	return may_be_drawn(m) && m->active && m->hb.admission && !m->hb.draining;
}

int mesh_draw_active(uint64_t key, const char **ip, int max)
{
	uint32_t i;
	int n = 0;

	if (mesh_self_active() && mesh_self_hub() && mesh_can_keep())
		n = insert(key, ip, n, max, mesh_cfg()->ip);
	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (may_keep(m)) n = insert(key, ip, n, max, m->ip);
	}
	return n;
}

static int is_missing(const struct member *m)
{
	if (may_be_drawn(m) || m->refused || m->hb.draining) return 0;
	return m->hub || m->was_hub;
}

int mesh_misses_hub(void)
{
	uint32_t i;

	mesh_self_hub();
	for (i = 0; i < mesh_members()->len; i++)
		if (is_missing(g_ptr_array_index(mesh_members(), i))) return 1;
	return 0;
}

void mesh_rivals_of(const char *ip, struct mesh_rivals *r)
{
	uint32_t i;

	mesh_self_hub();
	r->self = g_str_hash(ip);
	r->n = 0;
	for (i = 0; i < mesh_members()->len && r->n < MESH_HUBS_MAX; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (may_be_drawn(m) && strcmp(m->ip, ip)) r->other[r->n++] = g_str_hash(m->ip);
	}
}

int mesh_draws(uint64_t key, const struct mesh_rivals *r, int max)
{
	uint32_t order = mix(r->self, fold(key));
	int i, before = 0;

	for (i = 0; i < r->n && before < max; i++)
		before += mix(r->other[i], fold(key)) < order;
	return before < max;
}

void mesh_rank_start(void)
{
	started_us = clock_us();
}
