/* Chooses the instances through which backend servers are reached when the path from this one
 * is lost. */
#include "clock.h"
#include "mesh_impl.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

/* An instance whose tunnel failed is not chosen again for this time: until its own heartbeat
 * reports that its path is lost, or it has closed some tunnels. */
#define AVOID_US 500000
/* No heartbeat of an instance to which no link is kept would report that. */
#define AVOID_UNHEARD_US 3000000

void (*mesh_on_leaving)(const struct sockaddr_in *at);

/* Members looked at if there is a helper among them: a sample has near ones, and in a large
 * fleet each exchange would scan thousands. */
#define SAMPLE 64

/* Distances of helpers, the nearest first. */
enum distance {
	SAME_DC,
	SERVER_DC,
	SAME_REGION,
	OTHER_REGION,
	REFERRED, /* no link is kept to it, and another instance without a path uses it */
	UNHEARD,  /* no link is kept to it: it may have ended, or be of an earlier release */
	DISTANCES
};

/* Hashes of the drained data centres; NULL: there are none. */
static GArray *drained_places(void)
{
	GPtrArray *dcs;
	GArray *places;
	uint32_t i;

	if (!be_is_any_dc_drained()) return NULL;
	dcs = be_dcs();
	places = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (i = 0; i < dcs->len; i++) {
		uint32_t place = mesh_place_hash(g_ptr_array_index(dcs, i));

		if (be_dc_is_drained(g_ptr_array_index(dcs, i)))
			g_array_append_val(places, place);
	}
	g_ptr_array_unref(dcs);
	return places;
}

static int is_drained(const GArray *places, uint32_t dc)
{
	uint32_t i;

	for (i = 0; places && i < places->len; i++)
		if (g_array_index(places, uint32_t, i) == dc) return 1;
	return 0;
}

static uint32_t region_of(const struct be *b)
{
	return b->region ? mesh_place_hash(b->region) : 0;
}

/* A request may be bound to some regions: that of its server is allowed, and it is in this
 * instance's already. */
static int is_region_allowed(const struct member *m, const struct be *b)
{
	return m->hb.region == mesh_self_region() || m->hb.region == region_of(b);
}

/* One that this instance has never heard has not said where it is. */
static int may_be_anywhere(void)
{
	return !be_in_several_regions() && !be_is_any_dc_drained();
}

/* Whether it may help at some time, if not now. */
static int is_helper(const struct member *m, const struct be *b)
{
	if (!m->last_seen_us) return !mesh_keeps_link(m) && may_be_anywhere();
	if (!m->alive && mesh_keeps_link(m)) return 0;
	if (m->hb.draining || m->hb.path == MESH_PATH_UNKNOWN) return 0;
	return is_region_allowed(m, b);
}

static int may_help(const struct member *m, int64_t now)
{
	return m->hb.path != MESH_PATH_LOST && now >= m->tunnel_after_us;
}

static enum distance distance_of(const struct member *m, const struct be *b)
{
	if (!m->alive) return UNHEARD;
	if (m->hb.dc == mesh_self_dc()) return SAME_DC;
	if (m->hb.dc == mesh_place_hash(b->dc)) return SERVER_DC;
	return m->hb.region == mesh_self_region() ? SAME_REGION : OTHER_REGION;
}

/* The candidates at one distance, of which one was drawn by the width of its link. */
struct draw {
	const struct member *m;
	uint32_t weight; /* of all */
};

static void add(struct draw *d, const struct member *m)
{
	uint32_t w = (uint32_t)MAX(1, m->link_mbps);

	d->weight += w;
	if (g_random_int() % d->weight < w) d->m = m;
}

static const struct member *drawn(const struct draw *d)
{
	int i;

	for (i = 0; i < DISTANCES; i++)
		if (d[i].m) return d[i].m;
	return NULL;
}

static struct sockaddr_in address_of(const struct member *m)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port = htons(mesh_cfg()->peer_port)};

	inet_pton(AF_INET, m->ip, &at.sin_addr);
	return at;
}

static struct member *member_at(const struct sockaddr_in *at)
{
	char ip[INET_ADDRSTRLEN];

	return inet_ntop(AF_INET, &at->sin_addr, ip, sizeof ip) ? mesh_member_find(ip) : NULL;
}

/* The helper of an instance that has lost its path, if this one may use it; or NULL. */
static const struct member *helper_of(const struct member *m, const struct be *b, int64_t now)
{
	const struct member *h = m->alive && m->hb.via[0] ? mesh_member_find(m->hb.via) : NULL;

	return h && !h->alive && is_helper(h, b) && now >= h->tunnel_after_us ? h : NULL;
}

int mesh_pick_helper(const struct be *b, const struct sockaddr_in *except,
		     struct sockaddr_in *at)
{
	const struct member *not_this = except ? member_at(except) : NULL;
	struct draw d[DISTANCES] = {{0}};
	GArray *drained = drained_places();
	const struct member *m, *h;
	int64_t now = clock_us();
	uint32_t i, n = mesh_members()->len, first = g_random_int();
	int rc = -ENOENT;

	for (i = 0; i < n && (i < SAMPLE || !drawn(d)); i++) {
		m = g_ptr_array_index(mesh_members(), (first + i) % n);
		h = helper_of(m, b, now);
		if (h && h != not_this) add(&d[REFERRED], h);
		if (!is_helper(m, b) || is_drained(drained, m->hb.dc)) continue;
		rc = -EAGAIN;
		if (m != not_this && may_help(m, now)) add(&d[distance_of(m, b)], m);
	}
	if (drained) g_array_unref(drained);
	m = drawn(d);
	if (!m) return rc;
	*at = address_of(m);
	return 0;
}

void mesh_helper_failed(const struct sockaddr_in *at)
{
	struct member *m = member_at(at);

	if (m) m->tunnel_after_us = clock_us() + (m->alive ? AVOID_US : AVOID_UNHEARD_US);
}

const char *mesh_helper_name(const struct sockaddr_in *at)
{
	const struct member *m = member_at(at);

	if (!m) return "an instance that is gone";
	return m->hb.name[0] ? m->hb.name : m->ip;
}

void mesh_helper_leaves(const struct member *m)
{
	struct sockaddr_in at = address_of(m);

	if (mesh_on_leaving) mesh_on_leaving(&at);
}
