/* An order of the instances that receive caller traffic, different for each backend server: all
 * instances compute the same one. */
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

/* Called for each cold server at each choice: builds no string. */
static uint32_t order_of(const char *ip, uint32_t server)
{
	uint32_t x = (g_str_hash(ip) ^ server) * MULTIPLIER;

	return (x ^ x >> 15) * MULTIPLIER;
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

static uint32_t draw_order(uint64_t key, const char *ip)
{
	return order_of(ip, (uint32_t)(key ^ key >> 32));
}

int mesh_draw(uint64_t key, const char **ip, int max)
{
	uint32_t i;
	int n = 0, k;

	mesh_self_hub(); /* computes the roles if they are out of date */
	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);
		uint32_t order;

		if (!may_be_drawn(m)) continue;
		order = draw_order(key, m->ip);
		for (k = n; k > 0 && draw_order(key, ip[k - 1]) > order; k--)
			if (k < max) ip[k] = ip[k - 1];
		if (k < max) ip[k] = m->ip;
		if (n < max) n++;
	}
	return n;
}

int mesh_draws(uint64_t key, const char *ip, int max)
{
	uint32_t i, order = draw_order(key, ip);
	int before = 0;

	mesh_self_hub();
	for (i = 0; i < mesh_members()->len && before < max; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (!may_be_drawn(m) || !strcmp(m->ip, ip)) continue;
		before += draw_order(key, m->ip) < order;
	}
	return before < max;
}

void mesh_rank_start(void)
{
	started_us = clock_us();
}
