/* Distributes updates of the lists: the instances that watch the store send them to all hubs,
 * and each hub forwards them to some of the standby instances. So each instance gets them once,
 * from a hub in its own data centre if there is one. */
#include "mesh_impl.h"
#include <saddlehead/roles.h>
#include <saddlehead/spread.h>

#define HUBS_MAX (ROLES_ACTIVE + ROLES_SPARE)

/* Collects the other live hubs. */
static int collect_hubs(const struct member *except, struct spread_hub *hubs)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < mesh_members()->len && n < HUBS_MAX; i++) {
		const struct member *h = g_ptr_array_index(mesh_members(), i);

		if (!h->hub || !h->alive || h == except) continue;
		hubs[n++] = (struct spread_hub){g_str_hash(h->ip), h->hb.dc};
	}
	return n;
}

static struct spread_hub self(void)
{
	return (struct spread_hub){g_str_hash(mesh_cfg()->ip), mesh_self_dc()};
}

int mesh_informs(const struct member *m)
{
	struct spread_hub hubs[HUBS_MAX], me = self();

	if (!mesh_self_hub()) return 0;
	return spread_is_primary(&me, hubs, collect_hubs(m, hubs), g_str_hash(m->ip));
}

/* Whether this hub is the one that forwards updates to m, a standby instance. */
static int is_own_recipient(const struct member *m)
{
	struct spread_hub hubs[HUBS_MAX], me = self();
	int n = collect_hubs(m, hubs);

	return spread_forwards(&me, hubs, n, g_str_hash(m->ip), m->hb.dc);
}

/* Recipients are instances that forward updates or need them at once, and those that get them
 * from this hub only. own_only: the latter alone. */
static int is_recipient(const struct member *m, int own_only)
{
	int direct = m->hub || m->hb.serving || !mesh_self_hub();

	if (direct) return !own_only;
	return is_own_recipient(m);
}

static void send_frame(const GString *out, int own_only)
{
	uint32_t i;

	for (i = 0; out->len && i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);

		if (is_recipient(m, own_only)) mesh_send(m, out);
	}
}

static void send_updates(struct cache_revs base, int own_only)
{
	GString *out = g_string_new(NULL);

	mesh_write_updates(out, base);
	send_frame(out, own_only);
	g_string_free(out, TRUE);
}

static void send_items(const struct st_item *items, size_t n, int own_only)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ORDERS, 1 + (int)n);
	size_t i;

	for (i = 0; i < n; i++) mesh_pack_item(p, &items[i]);
	mesh_frame_end(&f, out);
	send_frame(out, own_only);
	g_string_free(out, TRUE);
}

void mesh_publish_items(const struct st_item *items, size_t n)
{
	if (n) send_items(items, n, 0);
}

void mesh_forward_item(const struct st_item *item)
{
	if (mesh_self_hub()) send_items(item, 1, 1);
}

/* A large update is fetched by the instances that lack it, from any that has capacity for
 * them. */
void mesh_publish(struct cache_revs base)
{
	if (mesh_items_size(base) > MESH_SMALL_MAX)
		mesh_heartbeat_now();
	else
		send_updates(base, 0);
}

void mesh_forward(struct cache_revs base)
{
	struct cache_revs mine = cache_revs();

	if (!mesh_self_hub() || !base.backends) return;
	if (mine.conf == base.conf && mine.backends == base.backends) return;
	if (mesh_items_size(base) <= MESH_SMALL_MAX) send_updates(base, 1);
}

void mesh_announce_death(const struct member *m)
{
	GString *out;

	if (!mesh_self_hub() || !(m->hub || m->hb.serving)) return;
	out = g_string_new(NULL);
	mesh_write_absent(out);
	send_frame(out, 1);
	g_string_free(out, TRUE);
}
