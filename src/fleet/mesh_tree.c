/* News of the lists go from those who watch to all hubs, and from each hub to a part of those
 * that stand by: so each has them once, from its own data centre where a hub is there. */
#include "mesh_impl.h"
#include <saddlehead/roles.h>

#define HUBS_MAX (ROLES_ACTIVE + ROLES_SPARE)

static int is_near(const struct member *m, uint32_t dc)
{
	return m->said.dc && m->said.dc == dc;
}

/* Hashes of the other hubs that live, those of the data centre alone (0: of any). */
static int collect_hubs(const struct member *but, uint32_t dc, uint32_t *hubs)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < mesh_members()->len && n < HUBS_MAX; i++) {
		const struct member *h = g_ptr_array_index(mesh_members(), i);

		if (!h->hub || !h->alive || h == but || (dc && !is_near(h, dc))) continue;
		hubs[n++] = g_str_hash(h->ip);
	}
	return n;
}

int mesh_tells(const struct member *m)
{
	uint32_t hubs[HUBS_MAX];
	int n;

	if (!mesh_self_hub()) return 0;
	n = collect_hubs(m, 0, hubs);
	return roles_tells_all(g_str_hash(mesh_cfg()->ip), g_str_hash(m->ip), hubs, n);
}

/* Whether this hub is the one that passes news on to m, which stands by. */
static int is_mine(const struct member *m)
{
	uint32_t hubs[HUBS_MAX], self = g_str_hash(mesh_cfg()->ip);
	uint32_t dc = m->said.dc;
	int near = dc && dc == mesh_self_dc(), n = dc ? collect_hubs(m, dc, hubs) : 0;

	if (n && !near) return 0;
	if (!near) n = collect_hubs(m, 0, hubs);
	return roles_is_first(self, g_str_hash(m->ip), hubs, n);
}

/* Those that pass them on, or need them at once, and those that have them from here alone. */
static int is_told(const struct member *m, int mine_alone)
{
	int direct = m->hub || m->said.serves || !mesh_self_hub();

	if (direct) return !mine_alone;
	return is_mine(m);
}

static void send_frame(const GString *out, int mine_alone)
{
	uint32_t i;

	for (i = 0; out->len && i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);

		if (is_told(m, mine_alone)) mesh_send(m, out);
	}
}

static void send_news(struct board_revs base, int mine_alone)
{
	GString *out = g_string_new(NULL);

	mesh_write_news(out, base);
	send_frame(out, mine_alone);
	g_string_free(out, TRUE);
}

static void send_items(const struct st_item *items, size_t n, int mine_alone)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ORDERS, 1 + (int)n);
	size_t i;

	for (i = 0; i < n; i++) mesh_pack_item(p, &items[i]);
	mesh_frame_end(&f, out);
	send_frame(out, mine_alone);
	g_string_free(out, TRUE);
}

void mesh_tell_items(const struct st_item *items, size_t n)
{
	if (n) send_items(items, n, 0);
}

void mesh_forward_item(const struct st_item *item)
{
	if (mesh_self_hub()) send_items(item, 1, 1);
}

/* What is large is fetched by those who lack it, from whoever has a place for them. */
void mesh_pass_on(struct board_revs base)
{
	if (mesh_items_size(base) > MESH_SMALL_MAX)
		mesh_beat_now();
	else
		send_news(base, 0);
}

void mesh_forward(struct board_revs base)
{
	struct board_revs mine = board_revs();

	if (!mesh_self_hub() || !base.backends) return;
	if (mine.conf == base.conf && mine.backends == base.backends) return;
	if (mesh_items_size(base) <= MESH_SMALL_MAX) send_news(base, 1);
}

void mesh_tell_death(const struct member *m)
{
	GString *out;

	if (!mesh_self_hub() || !(m->hub || m->said.serves)) return;
	out = g_string_new(NULL);
	mesh_write_absent(out);
	send_frame(out, 1);
	g_string_free(out, TRUE);
}
