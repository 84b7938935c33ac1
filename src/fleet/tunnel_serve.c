/* The helper's side of tunnels (tunnel.h). */
#include "be.h"
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include "tunnel.h"
#include <errno.h>
#include <stddef.h>

/* Tunnels served at once: two descriptors each, and two queues of at most QUEUE_MAX bytes and
 * one read. */
#define TUNNELS_MAX 512
#define QUEUE_MAX 4096 /* bytes queued for one side, from which on the other is not read */
/* The requester waits a little longer for the helper's answer. */
#define CONNECT_US 200000
/* Some requesters wait for less than that. A connection to a running server takes some ms. */
#define HANGS_US 80000

struct mesh_tunnel {
	struct mesh_in *in; /* the requester */
	struct be *be;
	struct cn server;
	struct ev_timer timer; /* ends the attempt to connect */
	/* The connection to the server failed so; now another server is tried, as this
	 * instance's own path may be lost. 0: it has not failed. */
	int failed;
	int up;
	int64_t began_us;
	int closing; /* the requester is closed once its queue is empty */
};

void (*mesh_on_tunnel_broken)(struct be *b, int err);

static int open_tunnels;
static struct mesh_path_hooks path;

void mesh_set_path_hooks(const struct mesh_path_hooks *h)
{
	path = *h;
}

int mesh_count_tunnels(void)
{
	return open_tunnels;
}

static void write_header(struct mesh_tunnel *t, uint32_t h)
{
	h = g_htonl(h);
	cn_write(&t->in->cn, &h, sizeof h);
}

/* Reports the end, and closes the requester's connection behind what is still queued. */
static void finish(struct mesh_tunnel *t, int err)
{
	t->closing = 1;
	ev_stop(&t->timer);
	cn_close(&t->server);
	write_header(t, TN_STATUS | (uint32_t)-err);
	if (!cn_pending(&t->in->cn)) mesh_drop_in(t->in);
}

static void on_server_up(struct cn *c)
{
	struct mesh_tunnel *t =
		(struct mesh_tunnel *)((char *)c - offsetof(struct mesh_tunnel, server));

	if (t->failed) {
		finish(t, t->failed); /* the path is good, so the server is not */
		return;
	}
	ev_stop(&t->timer);
	t->up = 1;
	path.connected(t->be);
	write_header(t, TN_STATUS);
}

static void on_server_data(struct cn *c, const char *p, size_t n)
{
	struct mesh_tunnel *t =
		(struct mesh_tunnel *)((char *)c - offsetof(struct mesh_tunnel, server));
	GString *block = g_string_sized_new(n + sizeof(uint32_t));
	uint32_t h = g_htonl((uint32_t)n);

	g_string_append_len(block, (const char *)&h, sizeof h);
	g_string_append_len(block, p, n);
	cn_write(&t->in->cn, block->str, block->len);
	g_string_free(block, TRUE);
	if (cn_pending(&t->in->cn) > QUEUE_MAX) cn_pause(c, 1);
}

static struct be *other_server(const struct be *b)
{
	const GPtrArray *all = be_all();
	uint32_t i, first = g_random_int();

	for (i = 0; i < all->len; i++) {
		struct be *o = g_ptr_array_index(all, (first + i) % all->len);

		if (o != b && path.may_try(o)) return o;
	}
	return NULL;
}

/* The connection did not come up. Where another server accepts none either, this instance may
 * have lost its path in the same moment as the requester, and has no opinion. */
static void failed(struct mesh_tunnel *t, int err)
{
	struct be *o = t->failed ? NULL : other_server(t->be);

	if (!t->failed) path.failed(t->be);
	cn_close(&t->server);
	if (t->failed || !o) {
		finish(t, t->failed ? -ENETUNREACH : err);
		return;
	}
	t->failed = err;
	if (cn_connect(&t->server, &o->sa)) finish(t, -ENETUNREACH);
}

static void on_server_end(struct cn *c, int err)
{
	struct mesh_tunnel *t =
		(struct mesh_tunnel *)((char *)c - offsetof(struct mesh_tunnel, server));

	if (!t->up) {
		failed(t, err ? err : -ECONNRESET);
		return;
	}
	/* The kernel may hold data that was not read while the requester's queue was full. */
	if (!err) cn_read_rest(c);
	if (err && mesh_on_tunnel_broken) mesh_on_tunnel_broken(t->be, err);
	finish(t, err);
}

static void on_server_drain(struct cn *c)
{
	struct mesh_tunnel *t =
		(struct mesh_tunnel *)((char *)c - offsetof(struct mesh_tunnel, server));

	cn_pause(&t->in->cn, 0);
}

static void on_requester_drain(struct cn *c)
{
	struct mesh_in *in = (struct mesh_in *)c;

	if (in->tunnel->closing)
		mesh_drop_in(in);
	else
		cn_pause(&in->tunnel->server, 0);
}

static void on_timer(struct ev_timer *timer)
{
	struct mesh_tunnel *t =
		(struct mesh_tunnel *)((char *)timer - offsetof(struct mesh_tunnel, timer));

	if (!t->failed) path.failed(t->be);
	finish(t, t->failed ? -ENETUNREACH : -ETIMEDOUT);
}

/* Returns 0, or the reason why this instance does not help. */
static int may_serve(const struct be *b, int64_t incarnation_ms)
{
	if (!b || !be_is_incarnation(b, incarnation_ms)) return -ENOENT;
	if (mesh_self_draining()) return -ESHUTDOWN;
	if (path.is_around(b)) return -ENETUNREACH;
	return open_tunnels > TUNNELS_MAX ? -EBUSY : 0;
}

/* Returns 0 or a negative errno. */
static int open_to(struct mesh_tunnel *t, struct be *b)
{
	t->be = be_ref(b);
	t->began_us = clock_us();
	t->server.on_connected = on_server_up;
	t->server.on_data = on_server_data;
	t->server.on_end = on_server_end;
	t->server.on_drain = on_server_drain;
	t->timer.fire = on_timer;
	ev_in(&t->timer, CONNECT_US);
	return cn_connect(&t->server, &b->sa);
}

int mesh_handle_tunnel(struct mesh_in *in, const msgpack_object_array *a)
{
	char id[ENTRY_TEXT_MAX + 1];
	struct mesh_tunnel *t;
	struct be *b;
	int rc;

	if (in->outgoing || in->tunnel || a->size < 3) return -EBADMSG;
	if (mesh_text(&a->ptr[1], id, sizeof id)) return -EBADMSG;
	b = be_find(id);
	t = g_new0(struct mesh_tunnel, 1);
	t->in = in;
	t->server.ev.fd = -1;
	in->tunnel = t;
	in->cn.on_drain = on_requester_drain;
	open_tunnels++;
	met_add(MET_TUNNELS_SERVED, 1);
	met_set(MET_G_TUNNELS, open_tunnels);
	rc = may_serve(b, mesh_int(&a->ptr[2]));
	if (!rc) rc = open_to(t, b);
	if (rc) write_header(t, TN_STATUS | (uint32_t)-rc);
	return rc;
}

void mesh_tunnel_data(struct mesh_in *in, const char *p, size_t n)
{
	struct cn *server = &in->tunnel->server;

	cn_write(server, p, n);
	if (cn_pending(server) > QUEUE_MAX) cn_pause(&in->cn, 1);
}

static int hangs(const struct mesh_tunnel *t)
{
	if (!t->began_us || t->up || t->closing || t->failed) return 0;
	return clock_us() - t->began_us >= HANGS_US;
}

void mesh_tunnel_end(struct mesh_in *in)
{
	struct mesh_tunnel *t = in->tunnel;

	if (!t) return;
	in->tunnel = NULL;
	ev_stop(&t->timer);
	if (hangs(t)) path.failed(t->be);
	cn_reset(&t->server);
	be_unref(t->be);
	open_tunnels--;
	met_set(MET_G_TUNNELS, open_tunnels);
	ev_free_later(t);
}
