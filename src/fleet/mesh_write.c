/* Builds frames to other instances: four bytes of length, then a msgpack array that begins with
 * the type. */
#include "mesh_impl.h"
#include <string.h>

#define ITEM_OVERHEAD 16 /* of an item, beside key and value */

void mesh_pack_text(msgpack_packer *p, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(p, n);
	msgpack_pack_str_body(p, s, n);
}

void mesh_pack_fp(msgpack_packer *p, const struct fp *fp)
{
	msgpack_pack_bin(p, sizeof fp->byte);
	msgpack_pack_bin_body(p, fp->byte, sizeof fp->byte);
}

msgpack_packer *mesh_frame_begin(struct mesh_frame *f, enum mesh_type type, int fields)
{
	msgpack_sbuffer_init(&f->buf);
	msgpack_packer_init(&f->p, &f->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&f->p, fields);
	msgpack_pack_int(&f->p, type);
	return &f->p;
}

void mesh_frame_end(struct mesh_frame *f, GString *out)
{
	uint32_t n = g_htonl((uint32_t)f->buf.size);

	g_string_append_len(out, (const char *)&n, sizeof n);
	g_string_append_len(out, f->buf.data, f->buf.size);
	msgpack_sbuffer_destroy(&f->buf);
}

/* Without their eras, which earlier releases do not know. */
static void pack_revs(msgpack_packer *p, struct cache_revs r)
{
	msgpack_pack_uint64(p, st_rev_number(r.conf));
	msgpack_pack_uint64(p, st_rev_number(r.backends));
}

void mesh_write_heartbeat(GString *out, const struct mesh_heartbeat *b)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_HEARTBEAT, MESH_HB_FIELDS);

	mesh_pack_text(p, b->name);
	mesh_pack_text(p, b->ip);
	mesh_pack_text(p, b->front);
	msgpack_pack_int(p, b->ready);
	msgpack_pack_int(p, b->draining);
	msgpack_pack_uint64(p, st_rev_number(b->revs.conf));
	msgpack_pack_uint64(p, st_rev_number(b->revs.backends));
	msgpack_pack_int64(p, b->confirmed_ago_us);
	msgpack_pack_int64(p, b->stamp_us);
	msgpack_pack_int64(p, b->echo_us);
	msgpack_pack_int64(p, b->echo_held_us);
	msgpack_pack_int(p, b->store_up);
	msgpack_pack_int(p, b->store_late);
	msgpack_pack_int(p, b->link_mbps);
	msgpack_pack_int(p, b->serving);
	msgpack_pack_uint64(p, b->verdicts);
	msgpack_pack_uint64(p, b->orders);
	msgpack_pack_uint64(p, st_rev_number(b->backends_from));
	msgpack_pack_uint32(p, b->dc);
	msgpack_pack_uint32(p, b->region);
	msgpack_pack_int(p, b->interval);
	msgpack_pack_int(p, b->path);
	msgpack_pack_uint64(p, st_rev_era(b->revs.conf));
	msgpack_pack_uint64(p, st_rev_era(b->revs.backends));
	msgpack_pack_uint64(p, st_rev_era(b->backends_from));
	msgpack_pack_uint64(p, b->version);
	mesh_pack_text(p, b->via);
	msgpack_pack_int(p, b->admission);
	mesh_frame_end(&f, out);
}

static void pack_row(msgpack_packer *p, const struct mesh_load_row *row)
{
	msgpack_pack_array(p, MESH_ROW_FIELDS);
	mesh_pack_text(p, row->id);
	msgpack_pack_uint32(p, row->load.runs);
	msgpack_pack_uint32(p, row->load.prefill);
	msgpack_pack_uint32(p, row->load.forecast);
	msgpack_pack_uint32(p, row->load.replicas);
	msgpack_pack_uint32(p, row->load.used);
	msgpack_pack_uint32(p, row->load.unreplicated);
	msgpack_pack_uint32(p, row->load.inbound);
	msgpack_pack_uint32(p, row->outcomes.good);
	msgpack_pack_uint32(p, row->outcomes.bad);
	msgpack_pack_int64(p, row->incarnation_ms);
	msgpack_pack_uint32(p, row->outcomes.rejected);
}

void mesh_write_loads(GString *out, const struct mesh_load_row *row, int n, int whole)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_LOADS, 2 + n);
	int i;

	msgpack_pack_int(p, whole);
	for (i = 0; i < n; i++) pack_row(p, &row[i]);
	mesh_frame_end(&f, out);
}

void mesh_write_fetch(GString *out, struct cache_revs after, uint32_t dc)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_FETCH, MESH_FETCH_FIELDS);

	pack_revs(p, after);
	msgpack_pack_uint32(p, dc);
	msgpack_pack_uint64(p, st_rev_era(after.conf));
	msgpack_pack_uint64(p, st_rev_era(after.backends));
	mesh_frame_end(&f, out);
}

static void add_size(const struct st_item *i, void *arg)
{
	*(size_t *)arg += strlen(i->key) + i->len + ITEM_OVERHEAD;
}

size_t mesh_items_size(struct cache_revs after)
{
	size_t n = 0;

	cache_each_newer(after, add_size, &n);
	return n;
}

static void count_item(const struct st_item *i, void *arg)
{
	(void)i;
	(*(int *)arg)++;
}

void mesh_pack_item(msgpack_packer *p, const struct st_item *i)
{
	msgpack_pack_array(p, 4);
	mesh_pack_text(p, i->key);
	msgpack_pack_uint64(p, st_rev_number(i->revision));
	if (i->value) {
		msgpack_pack_bin(p, i->len);
		msgpack_pack_bin_body(p, i->value, i->len);
	} else {
		msgpack_pack_int(p, 0); /* deleted */
	}
	msgpack_pack_uint64(p, st_rev_era(i->revision));
}

static void pack_item(const struct st_item *i, void *arg)
{
	mesh_pack_item(arg, i);
}

/* Precedes the items: the revision up to which they make the receiver's list of servers
 * complete (0: not stated), and the eras of the revisions that the frame names. Earlier
 * releases ignore an item that belongs to no list, and what follows its value. */
static void pack_marker(msgpack_packer *p, st_rev complete_to, struct cache_revs after)
{
	msgpack_pack_array(p, MESH_MARKER_FIELDS);
	mesh_pack_text(p, "");
	msgpack_pack_uint64(p, st_rev_number(complete_to));
	msgpack_pack_int(p, 0);
	msgpack_pack_uint64(p, st_rev_era(complete_to));
	msgpack_pack_uint64(p, st_rev_era(after.conf));
	msgpack_pack_uint64(p, st_rev_era(after.backends));
}

static void write_newer(GString *out, enum mesh_type type, struct cache_revs after)
{
	st_rev mine = cache_revs().backends, complete_to = mine > after.backends ? mine : 0;
	struct mesh_frame f;
	msgpack_packer *p;
	int n = 0;

	cache_each_newer(after, count_item, &n);
	if (!n && !complete_to) return;
	p = mesh_frame_begin(&f, type, 4 + n);
	pack_revs(p, after);
	pack_marker(p, complete_to, after);
	cache_each_newer(after, pack_item, p);
	mesh_frame_end(&f, out);
}

void mesh_write_items(GString *out, struct cache_revs after)
{
	write_newer(out, MESH_ITEMS, after);
}

void mesh_write_updates(GString *out, struct cache_revs after)
{
	write_newer(out, MESH_UPDATES, after);
}

static int holds_all(const struct member *m, struct cache_revs mine)
{
	return m->alive && m->hb.revs.conf >= mine.conf && m->hb.revs.backends >= mine.backends;
}

/* Starts at a random member, so that refused instances are sent to different ones. */
static int collect_holders(const struct member **found, int max, uint32_t dc)
{
	const GPtrArray *all = mesh_members();
	struct cache_revs mine = cache_revs();
	uint32_t i, first = g_random_int();
	int n = 0;

	for (i = 0; i < all->len && n < max; i++) {
		const struct member *m = g_ptr_array_index(all, (first + i) % all->len);

		if (dc && m->hb.dc != dc) continue;
		if (holds_all(m, mine)) found[n++] = m;
	}
	return n;
}

/* Among addresses, where earlier releases ignore a text that is none. */
static void pack_eras_as_text(msgpack_packer *p, struct cache_revs r)
{
	char text[48];

	g_snprintf(text, sizeof text, MESH_ERAS_TEXT, st_rev_era(r.conf),
		   st_rev_era(r.backends));
	mesh_pack_text(p, text);
}

void mesh_write_holders(GString *out, int max, uint32_t dc)
{
	const struct member **found = g_new(const struct member *, max);
	int i, n = collect_holders(found, max, dc);
	struct cache_revs mine = cache_revs();
	struct mesh_frame f;
	msgpack_packer *p;

	if (!n) n = collect_holders(found, max, 0);
	p = mesh_frame_begin(&f, MESH_HOLDERS, 4 + n);
	pack_revs(p, mine);
	for (i = 0; i < n; i++) mesh_pack_text(p, found[i]->ip);
	pack_eras_as_text(p, mine);
	mesh_frame_end(&f, out);
	g_free(found);
}

static int is_listed(const struct member *m, int hubs_only)
{
	return m->alive && (m->hub || !hubs_only);
}

static int count_listed(const GPtrArray *all, int hubs_only)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < all->len; i++) n += is_listed(g_ptr_array_index(all, i), hubs_only);
	return n;
}

void mesh_write_peers(GString *out, int hubs_only)
{
	const GPtrArray *all = mesh_members();
	struct mesh_frame f;
	int n = count_listed(all, hubs_only);
	msgpack_packer *p = mesh_frame_begin(&f, MESH_PEERS, 1 + 2 * n);
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (!is_listed(m, hubs_only)) continue;
		mesh_pack_text(p, m->ip);
		msgpack_pack_int(p, m->link_mbps);
	}
	mesh_frame_end(&f, out);
}
