/* The requester's side of tunnels. */
#include "tunnel.h"
#include "mesh_topic.h"
#include <errno.h>
#include <string.h>

/* The callbacks of the connection that the tunnel replaces. */
struct callbacks {
	void (*on_connected)(struct cn *c);
	void (*on_data)(struct cn *c, const char *p, size_t n);
	void (*on_end)(struct cn *c, int err);
};

struct tn {
	struct cn *c;
	struct callbacks user;
	GString *opening; /* the frame that names the server */
	char header[4];
	uint32_t header_len; /* bytes of header received so far */
	uint32_t left;       /* data of the present block still to come */
	int up, ended;
	enum tn_fault fault;
};

static void on_connected(struct cn *c)
{
	struct tn *t = c->filter;

	cn_write(c, t->opening->str, t->opening->len);
}

static void end(struct tn *t, enum tn_fault fault, int err)
{
	t->ended = 1;
	t->fault = fault;
	if (err) cn_close(t->c);
	t->user.on_end(t->c, err);
}

static void on_status(struct tn *t, int err)
{
	if (t->up || err) {
		end(t, err ? TN_SERVER : TN_NONE, -err);
		return;
	}
	t->up = 1;
	t->user.on_connected(t->c);
}

/* The helper could not try: the server is not to blame. */
static int is_refusal(int err)
{
	return err == EBUSY || err == ENOENT || err == ENETUNREACH || err == ESHUTDOWN;
}

static void on_header(struct tn *t)
{
	uint32_t h;

	memcpy(&h, t->header, sizeof h);
	h = g_ntohl(h);
	t->header_len = 0;
	if (!(h & TN_STATUS))
		t->left = h;
	else if (!t->up && is_refusal((int)(h & ~TN_STATUS)))
		end(t, TN_HELPER, -(int)(h & ~TN_STATUS));
	else
		on_status(t, (int)(h & ~TN_STATUS));
}

/* Takes the part of the bytes that belongs to one header or to the data of one block. */
static size_t take(struct tn *t, const char *p, size_t n)
{
	size_t used;

	if (t->left) {
		used = MIN(n, t->left);
		t->left -= (uint32_t)used;
		t->user.on_data(t->c, p, used);
		return used;
	}
	used = MIN(n, sizeof t->header - t->header_len);
	memcpy(t->header + t->header_len, p, used);
	t->header_len += (uint32_t)used;
	if (t->header_len == sizeof t->header) on_header(t);
	return used;
}

static void on_data(struct cn *c, const char *p, size_t n)
{
	struct tn *t = c->filter;

	while (n && !t->ended && cn_is_open(c)) {
		size_t used = take(t, p, n);

		p += used;
		n -= used;
	}
}

/* The helper's connection ended without a status: the helper is lost. */
static void on_end(struct cn *c, int err)
{
	end(c->filter, TN_HELPER, err ? err : -ECONNRESET);
}

static GString *write_opening(const struct be *b)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_TUNNEL, 3);

	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->incarnation_ms);
	mesh_frame_end(&f, out);
	return out;
}

struct tn *tn_new(struct cn *c, const struct be *b)
{
	struct tn *t = g_new0(struct tn, 1);

	t->c = c;
	t->user = (struct callbacks){c->on_connected, c->on_data, c->on_end};
	t->opening = write_opening(b);
	c->on_connected = on_connected;
	c->on_data = on_data;
	c->on_end = on_end;
	c->filter = t;
	return t;
}

void tn_free(struct tn *t)
{
	if (!t) return;
	t->ended = 1;
	g_string_free(t->opening, TRUE);
	ev_free_later(t); /* a callback may have freed it within on_data */
}

enum tn_fault tn_fault(const struct tn *t)
{
	return t ? t->fault : TN_NONE;
}
