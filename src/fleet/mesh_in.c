/* Checks frames of other instances and dispatches them by type. */
#include "clock.h"
#include "dialect.h"
#include "mesh_impl.h"
#include "watch.h"
#include "wire.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

static int handle_heartbeat(struct mesh_in *in, const msgpack_object_array *a)
{
	struct mesh_heartbeat b;

	if (mesh_read_heartbeat(a, &b)) return -EBADMSG;
	if (!strcmp(b.name, mesh_cfg()->instance)) return -EBADMSG;
	if (!in->from || strcmp(in->from->ip, b.ip)) in->from = mesh_member_get(b.ip);
	mesh_heartbeat_received(in->from, &b);
	return 0;
}

static int handle_fetch(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after;

	if (mesh_read_fetch(a, &after)) return -EBADMSG;
	return mesh_serve(in, after, a->size > 3 ? (uint32_t)mesh_int(&a->ptr[3]) : 0);
}

/* From an earlier release, which waits for the answer on its link. It gets large lists from the
 * store. */
static int handle_fetch_legacy(struct mesh_in *in, const msgpack_object_array *a)
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

/* Records what m has before its next heartbeat reports it. */
static void note_revs(struct member *m, struct cache_revs r)
{
	m->hb.revs.conf = MAX(m->hb.revs.conf, r.conf);
	m->hb.revs.backends = MAX(m->hb.revs.backends, r.backends);
}

/* Revisions up to which a frame makes the lists complete. The sender states the revision of the
 * list of servers (complete_to), as its newest item may have changed again since. Earlier
 * releases don't, and their newest item counts. */
struct frame_revs {
	struct cache_revs newest;
	st_rev complete_to;
};

static void note_item(struct frame_revs *c, const struct st_item *i)
{
	enum dl_item kind = dl_item_kind(i->key);

	if (!*i->key) c->complete_to = MAX(c->complete_to, i->revision);
	if (kind == DL_CONF) c->newest.conf = MAX(c->newest.conf, i->revision);
	if (kind == DL_BACKEND) c->newest.backends = MAX(c->newest.backends, i->revision);
}

/* 0 or -EBADMSG. */
static int apply_items(struct mesh_in *in, const msgpack_object_array *a,
		       struct cache_revs *upto)
{
	struct frame_revs c = {0};
	char key[512];
	struct st_item i;
	uint32_t k;

	for (k = 3; k < a->size; k++) {
		if (mesh_read_item(&a->ptr[k], &i, key, sizeof key)) return -EBADMSG;
		cache_apply(&i, in->from->hb.name);
		note_item(&c, &i);
	}
	if (c.complete_to) c.newest.backends = c.complete_to;
	*upto = c.newest;
	note_revs(in->from, *upto);
	return 0;
}

static int handle_items(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after, upto;

	if (mesh_read_revs(a, &after) || apply_items(in, a, &upto)) return -EBADMSG;
	/* This has no effect while earlier changes are missing. */
	cache_take_updates(after.backends, upto.backends);
	watch_forwarded(DL_CONF, after.conf, upto.conf);
	if (in->from->hb.backends_from && after.backends >= in->from->hb.backends_from)
		watch_forwarded(DL_BACKEND, after.backends, upto.backends);
	return 0;
}

/* Applies updates only if this instance has all changes of servers that they follow, as entries
 * between would be missed. The configuration is a single item, so updates of servers don't
 * depend on it. */
static int handle_updates(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs after, mine = cache_revs();

	if (mesh_read_revs(a, &after)) return -EBADMSG;
	if (mine.backends >= after.backends) {
		int rc = handle_items(in, a);

		if (!rc) mesh_forward(mine);
		return rc;
	}
	mesh_fetch_soon(in->from);
	return 0;
}

static int handle_peers_legacy(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	uint32_t k;

	for (k = 1; k < a->size; k++) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		mesh_add_member(ip, 0);
	}
	return 0;
}

static int handle_peers(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	uint32_t k;

	for (k = 1; k + 1 < a->size; k += 2) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		mesh_add_member(ip, mesh_mbps(&a->ptr[k + 1]));
	}
	return 0;
}

/* The eras of the revisions of a frame of holders, in its last text. */
static void read_holders_eras(const msgpack_object_array *a, struct cache_revs *held)
{
	char text[ENTRY_TEXT_MAX + 1];
	uint64_t conf, backends;

	if (mesh_text(&a->ptr[a->size - 1], text, sizeof text)) return;
	if (sscanf(text, "eras %" SCNu64 " %" SCNu64, &conf, &backends) != 2) return;
	held->conf = st_rev_of(conf, st_rev_number(held->conf));
	held->backends = st_rev_of(backends, st_rev_number(held->backends));
}

/* Stores who has a copy by the report of the instance that refused one. */
static int handle_holders(struct mesh_in *in, const msgpack_object_array *a)
{
	struct cache_revs held;
	char ip[ENTRY_TEXT_MAX + 1];
	struct member *m;
	uint32_t k;

	if (!in->outgoing) return 0;
	if (mesh_read_revs(a, &held)) return -EBADMSG;
	read_holders_eras(a, &held);
	in->redirected = 1;
	for (k = 3; k < a->size; k++) {
		if (mesh_text(&a->ptr[k], ip, sizeof ip)) return -EBADMSG;
		m = mesh_add_member(ip, 0);
		if (m) mesh_fetch_add_holder(m, held);
	}
	return 0;
}

static int handle_frame(struct mesh_in *in, const msgpack_object_array *a)
{
	int64_t type = mesh_int(&a->ptr[0]);

	if (type == MESH_HEARTBEAT) return handle_heartbeat(in, a);
	/* Accepted without a heartbeat, as the store answers anybody, too. */
	if (type == MESH_FETCH) return handle_fetch(in, a);
	if (type == MESH_TUNNEL) return mesh_handle_tunnel(in, a);
	if (!in->from) return -EBADMSG;
	switch ((enum mesh_type)type) {
	case MESH_LOADS: mesh_handle_loads(in->from, a); return 0;
	case MESH_ITEMS: return handle_items(in, a);
	case MESH_UPDATES: return handle_updates(in, a);
	case MESH_PEERS_LEGACY: return handle_peers_legacy(a);
	case MESH_PEERS: return handle_peers(a);
	case MESH_HOLDERS: return handle_holders(in, a);
	case MESH_FETCH_LEGACY: return handle_fetch_legacy(in, a);
	case MESH_PING: mesh_send_heartbeat(in->from); return 0;
	case MESH_CRASH:
	case MESH_CRASH_SEGMENTS:
	case MESH_SUCCEEDED:
	case MESH_IN_FLIGHT:
	case MESH_VERDICTS: return mesh_handle_quarantine(in->from, a);
	case MESH_ORDERS: return mesh_handle_orders(in->from, a);
	case MESH_ABSENT: return mesh_handle_absent(a);
	case MESH_FETCH:
	case MESH_TUNNEL:
	case MESH_HEARTBEAT: return 0;
	case MESH_LEAVING:
	case MESH_SUSPECT:
	case MESH_LIMITS:
	case MESH_BRITTLE:
	case MESH_ORIGIN:
	case MESH_ORIGIN_ASK:
	case MESH_ORIGIN_ANSWER:
	case MESH_TRIAL_ASK:
	case MESH_TRIAL_ANSWER:
	case MESH_ADM_ASK:
	case MESH_ADM_VERDICT:
	case MESH_ADM_END:
	case MESH_ADM_STATE:
	case MESH_ROLLOUT: break;
	}
	return mesh_handle_topic(in->from, a);
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
		rc = handle_frame(in, &u.data.via.array);
	msgpack_unpacked_destroy(&u);
	return rc;
}
