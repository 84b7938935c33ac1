/* Which instances callers are sent to. */
#include "mesh_impl.h"

enum wanted { ACTIVE, READY, ANY };

static int self_wanted(enum wanted w)
{
	return mesh_self_takes_callers() && (w != ACTIVE || mesh_self_active());
}

static int wanted(const struct member *m, enum wanted w)
{
	if (!m->said.front[0] || m->said.draining) return 0;
	if (w == ANY) return 1;
	return m->alive && m->said.ready && (w == READY || m->active);
}

static int collect_addresses(const char **out, int max, enum wanted w)
{
	uint32_t i;
	int n = 0;

	if (self_wanted(w) && n < max) out[n++] = mesh_cfg()->front_text;
	for (i = 0; i < mesh_members()->len && n < max; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (wanted(m, w)) out[n++] = m->said.front;
	}
	return n;
}

int mesh_addresses(const char **out, int max)
{
	int n = collect_addresses(out, max, ACTIVE);

	if (!n) n = collect_addresses(out, max, READY);
	return n ? n : collect_addresses(out, max, ANY);
}
