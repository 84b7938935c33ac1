/* Which instances callers are sent to. */
#include "mesh_impl.h"

/* Fewer of the caller's own region would carry what is meant for all that are active. */
#define NEAR_MIN 3

enum wanted { ACTIVE, READY, ANY };

static int self_wanted(enum wanted w, uint32_t region)
{
	if (region && mesh_self_region() != region) return 0;
	return mesh_self_takes_callers() && (w != ACTIVE || mesh_self_active());
}

static int wanted(const struct member *m, enum wanted w, uint32_t region)
{
	if (!m->said.front[0] || m->said.draining) return 0;
	if (region && m->said.region != region) return 0;
	if (w == ANY) return 1;
	return m->alive && m->said.ready && (w == READY || m->active);
}

static int collect_addresses(const char **out, int max, enum wanted w, uint32_t region)
{
	uint32_t i;
	int n = 0;

	if (self_wanted(w, region) && n < max) out[n++] = mesh_cfg()->front_text;
	for (i = 0; i < mesh_members()->len && n < max; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (wanted(m, w, region)) out[n++] = m->said.front;
	}
	return n;
}

/* bound: what callers ask for may be served in some regions alone. */
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
