/* Which instances callers are sent to. */
#include "mesh_impl.h"

static int collect_addresses(const char **out, int max, int only_ready)
{
	uint32_t i;
	int n = 0;

	if (mesh_self_takes_callers() && n < max) out[n++] = mesh_cfg()->front_text;
	for (i = 0; i < mesh_members()->len && n < max; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (!m->said.front[0] || m->said.draining) continue;
		if (only_ready && (!m->alive || !m->said.ready)) continue;
		out[n++] = m->said.front;
	}
	return n;
}

int mesh_addresses(const char **out, int max)
{
	int n = collect_addresses(out, max, 1);

	return n ? n : collect_addresses(out, max, 0);
}
