/* Frames of other instances: checked, and taken by their type. */
#include "clock.h"
#include "dialect.h"
#include "mesh_impl.h"
#include "watch.h"
#include "wire.h"
#include <errno.h>
#include <string.h>

static int take_beat(struct mesh_in *in, const msgpack_object_array *a)
{
	struct mesh_beat b;

	if (mesh_read_beat(a, &b)) return -EBADMSG;
	if (!strcmp(b.name, mesh_cfg()->instance)) return -EBADMSG;
	if (!in->from || strcmp(in->from->ip, b.ip)) in->from = mesh_member_at(b.ip);
	mesh_heard(in->from, &b);
	return 0;
}

static int take_fetch(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after;

	if (mesh_read_revs(a, &after)) return -EBADMSG;
	return mesh_serve(in, after, a->size > 3 ? (uint32_t)mesh_int(&a->ptr[3]) : 0);
}

/* Of an earlier release, which waits for the answer on its link; what is large it has from the
 * store. */
static int take_want(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after;
	GString *out;

	if (mesh_read_revs(a, &after)) return -EBADMSG;
	if (mesh_items_size(after) > MESH_SMALL_MAX) return 0;
	out = g_string_new(NULL);
	mesh_write_items(out, after);
	mesh_send(in->from, out);
	g_string_free(out, TRUE);
	return 0;
}

/* Sooner than its next heartbeat tells. */
static void note_has(struct member *m, struct cache_revs r)
{
	m->said.revs.conf = MAX(m->said.revs.conf, r.conf);
	m->said.revs.backends = MAX(m->said.revs.backends, r.backends);
}

/* Up to where the frame makes the lists complete, as its sender tells: the newest item may have
 * changed again since. Earlier releases send no such word, and mean their newest item. */
struct claims {
	struct cache_revs newest;
	uint64_t told;
};

static void note_item(struct claims *c, const struct st_item *i)
{
	enum dl_item kind = dl_item_kind(i->key);

	if (!*i->key) c->told = MAX(c->told, i->revision);
	if (kind == DL_CONF) c->newest.conf = MAX(c->newest.conf, i->revision);
	if (kind == DL_BACKEND) c->newest.backends = MAX(c->newest.backends, i->revision);
}

/* 0 or -EBADMSG. */
static int apply_items(struct mesh_in *in, const msgpack_object_array *a,
		       struct cache_revs *upto)
{
	struct claims c = {0};
	char key[512];
	struct st_item i;
	uint32_t k;

	for (k = 3; k < a->size; k++) {
		if (mesh_read_item(&a->ptr[k], &i, key, sizeof key)) return -EBADMSG;
		cache_apply(&i, in->from->said.name);
		note_item(&c, &i);
	}
	if (c.told) c.newest.backends = c.told;
	*upto = c.newest;
	note_has(in->from, *upto);
	return 0;
}

static int take_items(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after, upto;

	if (mesh_read_revs(a, &after) || apply_items(in, a, &upto)) return -EBADMSG;
	cache_take_updates(after.backends,
			   upto.backends); /* or other ones have to come first */
	watch_forwarded(DL_CONF, after.conf, upto.conf);
	if (in->from->said.from && after.backends >= in->from->said.from)
		watch_forwarded(DL_BACKEND, after.backends, upto.backends);
	return 0;
}

/* News go on from what the receiver must know already, or entries between would be missed. The
 * configuration is one item: nothing of it is between, and news of servers don't wait for it.
 */
static int take_news(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after, mine = cache_revs();

	if (mesh_read_revs(a, &after)) return -EBADMSG;
	if (mine.backends >= after.backends) {
		int rc = take_items(in, a);

		if (!rc) mesh_forward(mine);
		return rc;
	}
	mesh_fetch_soon(in->from);
	return 0;
}

static int take_members(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	uint32_t k;

	for (k = 1; k < a->size; k++) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		mesh_learnt(ip, 0);
	}
	return 0;
}

static int take_peers(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	uint32_t k;

	for (k = 1; k + 1 < a->size; k += 2) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		mesh_learnt(ip, mesh_mbps(&a->ptr[k + 1]));
	}
	return 0;
}

/* What it has itself, and who else has it. */
static int take_holders(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs held;
	char ip[ENTRY_TEXT_MAX + 1];
	struct member *m;
	uint32_t k;

	if (!in->ours) return 0;
	if (mesh_read_revs(a, &held)) return -EBADMSG;
	in->turned_away = 1;
	for (k = 3; k < a->size; k++) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		m = mesh_learnt(ip, 0);
		if (m) mesh_fetch_holder(m, held);
	}
	return 0;
}

static int take(struct mesh_in *in, const msgpack_object_array *a)
{
	int64_t type = mesh_int(&a->ptr[0]);

	if (type == MESH_BEAT) return take_beat(in, a);
	if (type == MESH_FETCH) return take_fetch(in, a); /* from anybody, as the store */
	if (!in->from) return -EBADMSG;
	switch ((enum mesh_type)type) {
	case MESH_LOADS: mesh_take_loads(in->from, a); return 0;
	case MESH_ITEMS: return take_items(in, a);
	case MESH_NEWS: return take_news(in, a);
	case MESH_MEMBERS: return take_members(a);
	case MESH_PEERS: return take_peers(a);
	case MESH_HOLDERS: return take_holders(in, a);
	case MESH_WANT: return take_want(in, a);
	case MESH_ASK: mesh_answer(in->from); return 0;
	case MESH_ENDED:
	case MESH_THROUGH:
	case MESH_UNDER_WAY:
	case MESH_VERDICTS: return mesh_take_poison(in->from, a);
	case MESH_ORDERS: return mesh_take_orders(in->from, a);
	case MESH_ABSENT: return mesh_take_absent(a);
	case MESH_FETCH:
	case MESH_BEAT: return 0;
	case MESH_LEAVING:
	case MESH_SUSPECT:
	case MESH_LIMITS:
	case MESH_ROLLOUT: break;
	}
	return mesh_take_topic(in->from, a);
}

int mesh_dispatch(struct mesh_in *in, const char *p, size_t n)
{
	msgpack_unpacked u;
	size_t off = 0;
	int rc = -EBADMSG;

	if (wire_check(p, n)) return -EBADMSG;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, p, n, &off) == MSGPACK_UNPACK_SUCCESS &&
	    u.data.type == MSGPACK_OBJECT_ARRAY && u.data.via.array.size)
		rc = take(in, &u.data.via.array);
	msgpack_unpacked_destroy(&u);
	return rc;
}
