/* Mesh messages about rollouts: stages, sent to all instances, and tallies of results, sent to
 * those that judge by them. */
#include "clock.h"
#include "mesh.h"
#include "mesh_topic.h"
#include "ro_impl.h"
#include "st_era.h"
#include <errno.h>

#define SEND_US 250000    /* least time between two tallies of one instance */
#define SILENT_US 2000000 /* exchanges of an instance silent for longer are not counted */
#define HEAD_FIELDS 7     /* type, service, order, stage, age, written, runs at old servers */
#define COUNT_FIELDS (2 + ROLLOUT_TIMES)
#define ROUTE_FIELDS (1 + ROLLOUT_SIDES * COUNT_FIELDS)

static void pack_count(msgpack_packer *p, const struct rollout_count *c)
{
	int i;

	msgpack_pack_uint32(p, c->answers);
	msgpack_pack_uint32(p, c->bad);
	for (i = 0; i < ROLLOUT_TIMES; i++) msgpack_pack_uint32(p, c->times[i]);
}

static void write_one(GString *out, const struct ro *o, int with_tally)
{
	int n = with_tally ? o->own.n : 0, i, side;
	struct mesh_frame f;
	msgpack_packer *p =
		mesh_frame_begin(&f, MESH_ROLLOUT, HEAD_FIELDS + n * ROUTE_FIELDS + (n > 0));

	mesh_pack_text(p, o->service);
	msgpack_pack_uint64(p, st_rev_number(o->order));
	msgpack_pack_int(p, (int)o->stage);
	msgpack_pack_int64(p, clock_us() - o->began_us);
	msgpack_pack_int(p, (int)o->written);
	msgpack_pack_uint32(p, ro_own_old_runs(o));
	for (i = 0; i < n; i++) {
		msgpack_pack_uint32(p, o->own.route[i].key);
		for (side = 0; side < ROLLOUT_SIDES; side++)
			pack_count(p, &o->own.route[i].of[side]);
	}
	/* The order's era. Earlier releases ignore a field behind the rows, and take any behind
	 * the head alone for a tally. */
	if (n) msgpack_pack_uint64(p, st_rev_era(o->order));
	mesh_frame_end(&f, out);
}

static void write_item(struct ro *o, void *out)
{
	write_one(out, o, 1);
}

static void write_all(GString *out)
{
	ro_each(write_item, out);
}

void ro_send_stage(struct ro *o)
{
	GString *out = g_string_new(NULL);

	write_one(out, o, 0);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

void ro_send_own(struct ro *o)
{
	static int64_t sent_us;
	int64_t now = clock_us();
	GString *out;

	if (!o->own_changed || now - sent_us < SEND_US) return;
	sent_us = now;
	o->own_changed = 0;
	out = g_string_new(NULL);
	write_one(out, o, 1);
	mesh_send_serving_and_hubs(out);
	g_string_free(out, TRUE);
}

static void read_count(const msgpack_object *o, struct rollout_count *c)
{
	int i;

	c->answers = (uint32_t)mesh_int(&o[0]);
	c->bad = (uint32_t)mesh_int(&o[1]);
	for (i = 0; i < ROLLOUT_TIMES; i++) c->times[i] = (uint32_t)mesh_int(&o[2 + i]);
}

static void read_tally(const msgpack_object_array *a, struct rollout_tally *t)
{
	uint32_t k, side;

	for (k = HEAD_FIELDS; k + ROUTE_FIELDS <= a->size && t->n < ROLLOUT_ROUTES;
	     k += ROUTE_FIELDS) {
		struct rollout_route *r = &t->route[t->n++];

		r->key = (uint32_t)mesh_int(&a->ptr[k]);
		for (side = 0; side < ROLLOUT_SIDES; side++)
			read_count(&a->ptr[k + 1 + side * COUNT_FIELDS], &r->of[side]);
	}
}

/* Records what a frame reports. A frame without a tally leaves the previous tally. */
static void update_peer(struct ro *o, const char *from, const msgpack_object_array *a)
{
	struct ro_peer *t = g_hash_table_lookup(o->peers, from);

	if (!t) {
		t = g_new0(struct ro_peer, 1);
		g_hash_table_insert(o->peers, g_strdup(from), t);
	}
	t->at_us = clock_us();
	t->old_runs = (uint32_t)mesh_int(&a->ptr[6]);
	if (a->size <= HEAD_FIELDS) return;
	t->tally = (struct rollout_tally){0};
	read_tally(a, &t->tally);
}

/* The order that a frame is about; one without its era is of the present one. */
static st_rev read_order(const msgpack_object_array *a)
{
	int has_era = a->size > HEAD_FIELDS && (a->size - HEAD_FIELDS) % ROUTE_FIELDS == 1;
	uint64_t era = has_era ? (uint64_t)mesh_int(&a->ptr[a->size - 1]) : st_era();

	return st_rev_of(era, st_rev_number((uint64_t)mesh_int(&a->ptr[2])));
}

static int on_frame(const char *from, const msgpack_object_array *a)
{
	char service[ENTRY_TEXT_MAX + 1];
	enum rollout_stage stage, written;
	struct ro *o;

	if (a->size < HEAD_FIELDS || mesh_text(&a->ptr[1], service, sizeof service))
		return -EBADMSG;
	stage = (enum rollout_stage)CLAMP(mesh_int(&a->ptr[3]), 0, ROLLOUT_COMPLETED);
	written = (enum rollout_stage)CLAMP(mesh_int(&a->ptr[5]), 0, ROLLOUT_COMPLETED);
	o = ro_find(service);
	/* The order has not arrived here yet; the frame is sent again. */
	if (!o || o->order != read_order(a)) return 0;
	o->began_us = MIN(o->began_us, clock_us() - MAX(mesh_int(&a->ptr[4]), 0));
	o->written = MAX(o->written, written);
	update_peer(o, from, a);
	/* The instance that advanced the stage may not have a link to all. */
	if (ro_advance(o, stage, from) && mesh_self_hub()) ro_send_stage(o);
	return 0;
}

static void add_peer(gpointer name, gpointer peer, gpointer sum)
{
	(void)name;
	rollout_add(sum, &((struct ro_peer *)peer)->tally);
}

void ro_sum_tallies(const struct ro *o, struct rollout_tally *sum)
{
	rollout_add(sum, &o->own);
	g_hash_table_foreach(o->peers, add_peer, sum);
}

uint32_t ro_old_runs(const struct ro *o)
{
	uint32_t n = ro_own_old_runs(o);
	int64_t now = clock_us();
	GHashTableIter it;
	gpointer peer;

	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, NULL, &peer)) {
		const struct ro_peer *t = peer;

		if (now - t->at_us < SILENT_US) n += t->old_runs;
	}
	return n;
}

void ro_mesh_start(void)
{
	static const struct mesh_topic topic = {MESH_ROLLOUT, on_frame, write_all, NULL};

	mesh_add_topic(&topic);
}
