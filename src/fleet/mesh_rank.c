/* An order of the instances that callers come to, another one for each backend server: all work
 * it out alike. */
#include "clock.h"
#include "mesh_impl.h"
#include <saddlehead/roles.h>

/* Until others are heard, there may be as many of them as there can be. */
#define SETTLE_US 1500000

static int64_t started_us;

static uint32_t order_of(const char *ip, const struct be *b)
{
	char *text = g_strconcat(b->id, "/", ip, NULL);
	uint32_t order = g_str_hash(text);

	g_free(text);
	return order;
}

/* In a small fleet callers come to all, and whoever is not heard may still serve them. */
static int shares(const struct member *m)
{
	return m->active || mesh_members()->len < ROLES_ACTIVE;
}

struct mesh_rank mesh_rank(const struct be *b)
{
	struct mesh_rank r = {.sharers = 1};
	uint32_t i, mine = order_of(mesh_cfg()->ip, b);

	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (!shares(m)) continue;
		r.sharers++;
		r.rank += order_of(m->ip, b) < mine;
	}
	if (clock_us() - started_us < SETTLE_US) r.sharers = MAX(r.sharers, ROLES_ACTIVE);
	if (!mesh_self_active()) r.rank = r.sharers;
	return r;
}

void mesh_rank_start(void)
{
	started_us = clock_us();
}
