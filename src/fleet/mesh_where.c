/* Selects the instances that callers are sent to. */
#include "mesh_impl.h"

/* With fewer active instances in the caller's region, these would get the load meant for all.
 */
#define NEAR_MIN 3

enum eligibility { ACTIVE, READY, ANY };

static int self_matches(enum eligibility w, uint32_t region)
{
	if (region && mesh_self_region() != region) return 0;
	return mesh_self_accepts_callers() && (w != ACTIVE || mesh_self_active());
}

static int matches(const struct member *m, enum eligibility w, uint32_t region)
{
	if (!m->hb.front[0] || m->hb.draining) return 0;
	if (region && m->hb.region != region) return 0;
	if (w == ANY) return 1;
	return m->alive && m->hb.ready && (w == READY || m->active);
}

static int collect_addresses(const char **out, int max, enum eligibility w, uint32_t region)
{
	uint32_t i;
	int n = 0;

	if (self_matches(w, region) && n < max) out[n++] = mesh_cfg()->front_text;
	for (i = 0; i < mesh_members()->len && n < max; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (matches(m, w, region)) out[n++] = m->hb.front;
	}
	return n;
}

/* bound: what the caller asks for may be served in some regions only. */
static int collect_near(const char **out, int max, uint32_t region, int bound)
{
	int n = collect_addresses(out, max, ACTIVE, region);

	if (n >= NEAR_MIN || (n && bound)) return n;
	return bound ? collect_addresses(out, max, READY, region) : 0;
}

int mesh_addresses(const char **out, int max, const char *region, int bound)
{
	int n = 0;

	if (region) n = collect_near(out, max, mesh_place_hash(region), bound);
	if (!n) n = collect_addresses(out, max, ACTIVE, 0);
	if (!n) n = collect_addresses(out, max, READY, 0);
	return n ? n : collect_addresses(out, max, ANY, 0);
}
