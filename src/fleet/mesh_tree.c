/* News of the lists go from those who watch to all hubs, and from each hub to a part of those
 * that stand by: so each has them once, from its own data centre where a hub is there. */
#include "mesh_impl.h"
#include <saddlehead/roles.h>
#include <saddlehead/spread.h>

#define HUBS_MAX (ROLES_ACTIVE + ROLES_SPARE)

/* The other hubs that live. */
static int collect_hubs(const struct member *but, struct spread_hub *hubs)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < mesh_members()->len && n < HUBS_MAX; i++) {
		const struct member *h = g_ptr_array_index(mesh_members(), i);

		if (!h->hub || !h->alive || h == but) continue;
		hubs[n++] = (struct spread_hub){g_str_hash(h->ip), h->said.dc};
	}
	return n;
}

static struct spread_hub self(void)
{
	return (struct spread_hub){g_str_hash(mesh_cfg()->ip), mesh_self_dc()};
}

int mesh_tells(const struct member *m)
{
	struct spread_hub hubs[HUBS_MAX], me = self();

	if (!mesh_self_hub()) return 0;
	return spread_is_primary(&me, hubs, collect_hubs(m, hubs), g_str_hash(m->ip));
}

/* Whether this hub is the one that passes news on to m, which stands by. */
static int is_mine(const struct member *m)
{
	struct spread_hub hubs[HUBS_MAX], me = self();
	int n = collect_hubs(m, hubs);

	return spread_forwards(&me, hubs, n, g_str_hash(m->ip), m->said.dc);
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
