/* Instances played by the test. They ask on their link and on a connection of its own, and
 * answer where they are asked. */
#include "pw_peer.h"
#include "clock.h"
#include "mesh_impl.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define FIRST_HOST 100      /* entries have the addresses before, the store those after */
#define BEAT_US 300000      /* often enough to be alive */
#define ASK_US 50000        /* between two questions of one that wants a copy */
#define PACE_US 100000      /* between two parts of a copy that is sent slowly */
#define COPY_MIN 65536      /* bytes: no heartbeat or load message is so large */
#define RECEIVE_BYTES 65536 /* that the kernel keeps: what is not read must not be sent */
#define FETCH 9             /* the question that is answered on its own connection */

struct pw_peer_cn {
	struct cn cn;
	struct pw_peer *peer;
	GString *buf;
	int receiving;              /* a copy has begun to come */
	int silent;                 /* what comes is taken, and arrives nowhere */
	struct ev_timer rest, pace; /* reads on; sends the next part */
	size_t sent;                /* of the copy */
};

int pw_peer_at_once;
static GPtrArray *peers;
static int at_once;

/* ---- frames ---- */

struct frame {
	msgpack_sbuffer buf;
	msgpack_packer p;
};

static msgpack_packer *begin(struct frame *f, int type, int fields)
{
	msgpack_sbuffer_init(&f->buf);
	msgpack_packer_init(&f->p, &f->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&f->p, fields);
	msgpack_pack_int(&f->p, type);
	return &f->p;
}

static void finish(struct frame *f, GString *out)
{
	uint32_t n = htonl((uint32_t)f->buf.size);

	g_string_append_len(out, (const char *)&n, sizeof n);
	g_string_append_len(out, f->buf.data, f->buf.size);
	msgpack_sbuffer_destroy(&f->buf);
}

static void pack_text(msgpack_packer *p, const char *s)
{
	msgpack_pack_str(p, strlen(s));
	msgpack_pack_str_body(p, s, strlen(s));
}

static void write_beat(GString *out, const struct pw_peer *me)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_HEARTBEAT, MESH_HB_FIELDS);
	char front[48];

	g_snprintf(front, sizeof front, "%s:%d", me->ip, PW_FRONT);
	pack_text(p, me->name);
	pack_text(p, me->ip);
	pack_text(p, me->takes_callers ? front : "");
	msgpack_pack_int(p, me->takes_callers);
	msgpack_pack_int(p, 0);
	msgpack_pack_uint64(p, me->conf);
	msgpack_pack_uint64(p, 0);
	msgpack_pack_int(p, -1); /* sure of nothing */
	msgpack_pack_int64(p, clock_us());
	msgpack_pack_int64(p, me->heard_stamp_us);
	msgpack_pack_int64(p, me->heard_stamp_us ? clock_us() - me->beat_us : 0);
	msgpack_pack_int(p, me->store_up);
	msgpack_pack_int(p, 0);
	msgpack_pack_int(p, me->link_mbps);
	msgpack_pack_int(p, me->takes_callers);
	msgpack_pack_uint64(p, 0); /* knows of nothing that is blamed ... */
	msgpack_pack_uint64(p, 0); /* ... or drained */
	msgpack_pack_uint64(p, 0); /* has no list of its own */
	msgpack_pack_uint32(p, 0); /* nor says where it stands */
	msgpack_pack_uint32(p, 0);
	msgpack_pack_int(p, 1);
	finish(&f, out);
}

/* Asks for the configuration alone, whatever its revision. */
static void write_question(GString *out, int type)
{
	struct frame f;
	msgpack_packer *p = begin(&f, type, 3);

	msgpack_pack_uint64(p, 0);
	msgpack_pack_uint64(p, UINT32_MAX);
	finish(&f, out);
}

void pw_peer_holds(struct pw_peer *me, const char *value)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_ITEMS, 4);

	msgpack_pack_uint64(p, 0);
	msgpack_pack_uint64(p, 0);
	msgpack_pack_array(p, 3);
	pack_text(p, "op/config");
	msgpack_pack_uint64(p, me->conf);
	msgpack_pack_bin(p, strlen(value));
	msgpack_pack_bin_body(p, value, strlen(value));
	me->copy = g_string_new(NULL);
	finish(&f, me->copy);
}

void pw_peer_names(struct pw_peer *me, const struct pw_peer *holder)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_HOLDERS, 4);

	msgpack_pack_uint64(p, me->conf);
	msgpack_pack_uint64(p, 0);
	pack_text(p, holder->ip);
	me->copy = g_string_new(NULL);
	finish(&f, me->copy);
}

void pw_peer_tells(struct pw_peer *me, uint64_t conf, uint64_t backends, const char *key,
		   uint64_t revision, const char *value)
{
	struct frame f;
	GString *out = g_string_new(NULL);
	msgpack_packer *p = begin(&f, MESH_UPDATES, 4);

	msgpack_pack_uint64(p, conf);
	msgpack_pack_uint64(p, backends);
	msgpack_pack_array(p, 3);
	pack_text(p, key);
	msgpack_pack_uint64(p, revision);
	msgpack_pack_bin(p, strlen(value));
	msgpack_pack_bin_body(p, value, strlen(value));
	finish(&f, out);
	cn_write((struct cn *)me->link, out->str, out->len);
	g_string_free(out, TRUE);
}

static void pack_fp(msgpack_packer *p, const struct fp *fp)
{
	msgpack_pack_bin(p, sizeof fp->byte);
	msgpack_pack_bin_body(p, fp->byte, sizeof fp->byte);
}

static void tell(struct pw_peer *me, struct frame *f)
{
	GString *out = g_string_new(NULL);

	finish(f, out);
	cn_write((struct cn *)me->link, out->str, out->len);
	g_string_free(out, TRUE);
}

void pw_peer_tells_end(struct pw_peer *me, const char *server, const struct fp *fp, int ran_ms)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_CRASH, 6);

	pack_text(p, server);
	msgpack_pack_int(p, 0);
	msgpack_pack_int(p, 1);
	pack_fp(p, fp);
	msgpack_pack_int(p, ran_ms);
	tell(me, &f);
}

void pw_peer_tells_leaving(struct pw_peer *me, const char *server, int64_t born_ms)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_LEAVING, 3);

	pack_text(p, server);
	msgpack_pack_int64(p, born_ms);
	tell(me, &f);
}

void pw_peer_tells_verdict(struct pw_peer *me, const struct fp *fp)
{
	struct frame f;
	msgpack_packer *p = begin(&f, MESH_VERDICTS, 6);

	msgpack_pack_int(p, MESH_VERDICTS_SOME);
	pack_fp(p, fp);
	msgpack_pack_int(p, 1);
	msgpack_pack_int(p, 0);
	msgpack_pack_int(p, 5);
	tell(me, &f);
}

/* ---- connections ---- */

static void close_cn(struct pw_peer_cn *c)
{
	if (!c) return;
	if (c->receiving) at_once--;
	ev_stop(&c->rest);
	ev_stop(&c->pace);
	cn_reset(&c->cn);
	g_string_free(c->buf, TRUE);
	ev_free_later(c);
}

static void on_end(struct cn *cn, int err)
{
	struct pw_peer_cn *c = (struct pw_peer_cn *)cn;
	struct pw_peer *me = c->peer;

	(void)err;
	if (c == me->link) me->link = NULL;
	if (c == me->asking) me->asking = NULL;
	g_ptr_array_remove(me->in, c);
	close_cn(c);
}

static void on_pace(struct ev_timer *t)
{
	struct pw_peer_cn *c =
		(struct pw_peer_cn *)((char *)t - offsetof(struct pw_peer_cn, pace));
	const GString *copy = c->peer->copy;
	size_t left = copy->len - c->sent;
	size_t n = c->peer->pace_bytes ? MIN(left, (size_t)c->peer->pace_bytes) : left;

	cn_write(&c->cn, copy->str + c->sent, n);
	c->sent += n;
	if (c->sent < copy->len) ev_in(&c->pace, PACE_US);
}

static void answer(struct pw_peer *me, struct pw_peer_cn *on)
{
	me->asks++;
	if (!me->copy || !on || on->pace.armed) return;
	on->sent = 0;
	on->pace.fire = on_pace;
	ev_in(&on->pace, 0);
}

#define BEAT_STAMP 9 /* where its sender's clock stands in a heartbeat */

static int64_t read_stamp(const char *p, uint32_t len)
{
	msgpack_unpacked u;
	size_t off = 0;
	int64_t us = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, p, len, &off) == MSGPACK_UNPACK_SUCCESS)
		us = u.data.via.array.ptr[BEAT_STAMP].via.i64;
	msgpack_unpacked_destroy(&u);
	return us;
}

static void heard_beat(struct pw_peer *me, const char *p, uint32_t len)
{
	int64_t now = clock_us();

	me->heard_stamp_us = read_stamp(p, len);

	if (me->beat_us) me->gap_us = MAX(me->gap_us, now - me->beat_us);
	me->beat_us = now;
}

static void on_rested(struct ev_timer *t)
{
	cn_pause(&((struct pw_peer_cn *)((char *)t - offsetof(struct pw_peer_cn, rest)))->cn,
		 0);
}

static void copy_begins(struct pw_peer_cn *c)
{
	c->receiving = 1;
	at_once++;
	pw_peer_at_once = MAX(pw_peer_at_once, at_once);
	if (!c->peer->read_pause_ms) return;
	cn_pause(&c->cn, 1);
	c->rest.fire = on_rested;
	ev_in(&c->rest, (int64_t)c->peer->read_pause_ms * 1000);
}

/* 1 when the connection has served its purpose. */
static int copy_ends(struct pw_peer_cn *c)
{
	c->receiving = 0;
	at_once--;
	c->peer->copies++;
	c->peer->wants = 0;
	return c == c->peer->asking;
}

#define ARRAY_OF_16_BITS 0xdc /* an array of more than 15 begins with this and its length */

/* The type stands behind what the array begins with: one byte, or three. */
static int frame_type(const char *p)
{
	return (unsigned char)((unsigned char)p[0] == ARRAY_OF_16_BITS ? p[3] : p[1]);
}

static void send_on_link(struct pw_peer *me);

#define VERDICT_MIN                                                               \
	16 /* bytes of a frame that names one, and more than of one that does not \
	    */

static void take_small(struct pw_peer_cn *c, const char *p, uint32_t len)
{
	switch (frame_type(p)) {
	case MESH_HEARTBEAT: heard_beat(c->peer, p, len); return;
	case MESH_PING:
		if (c->peer->link && !c->peer->link->cn.connecting) send_on_link(c->peer);
		return;
	case MESH_FETCH_LEGACY: answer(c->peer, c->peer->link); return;
	case FETCH: answer(c->peer, c); return;
	case MESH_LEAVING: c->peer->leavings++; return;
	case MESH_VERDICTS: c->peer->verdicts += len >= VERDICT_MIN; return;
	}
}

static void on_data(struct cn *cn, const char *p, size_t n)
{
	struct pw_peer_cn *c = (struct pw_peer_cn *)cn;
	uint32_t len;

	if (c->silent) return;
	g_string_append_len(c->buf, p, n);
	while (c->buf->len > sizeof len + 3) {
		memcpy(&len, c->buf->str, sizeof len);
		len = ntohl(len);
		if (len >= COPY_MIN && !c->receiving) copy_begins(c);
		if (c->buf->len < sizeof len + len) return;
		if (len < COPY_MIN)
			take_small(c, c->buf->str + sizeof len, len);
		else if (copy_ends(c)) {
			on_end(cn, 0);
			return;
		}
		g_string_erase(c->buf, 0, sizeof len + len);
	}
}

static struct pw_peer_cn *cn_new(struct pw_peer *me)
{
	struct pw_peer_cn *c = g_new0(struct pw_peer_cn, 1);

	c->peer = me;
	c->buf = g_string_new(NULL);
	c->cn.on_data = on_data;
	c->cn.on_end = on_end;
	return c;
}

static void on_acceptable(struct ev_fd *f, uint32_t events)
{
	struct pw_peer *me = (struct pw_peer *)((char *)f - offsetof(struct pw_peer, listener));
	struct sockaddr_in from;
	socklen_t len = sizeof from;
	int fd = accept4(f->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pw_peer_cn *c;

	(void)events;
	if (fd < 0) return;
	c = cn_new(me);
	g_ptr_array_add(me->in, c);
	if (cn_accepted(&c->cn, fd, &from)) on_end(&c->cn, -errno);
}

static void on_link_up(struct cn *cn)
{
	struct pw_peer_cn *c = (struct pw_peer_cn *)cn;
	int bytes = RECEIVE_BYTES;
	GString *out = g_string_new(NULL);

	setsockopt(cn->ev.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	write_beat(out, c->peer);
	if (c == c->peer->asking) write_question(out, FETCH);
	cn_write(cn, out->str, out->len);
	g_string_free(out, TRUE);
}

static struct pw_peer_cn *connect_to_entry(struct pw_peer *me)
{
	struct pw_peer_cn *c = cn_new(me);
	struct sockaddr_in at;

	pw_address(me->entry, PW_PEER, &at);
	c->cn.on_connected = on_link_up;
	if (!cn_connect(&c->cn, &at)) return c;
	close_cn(c);
	return NULL;
}

static void send_on_link(struct pw_peer *me)
{
	GString *out = g_string_new(NULL);

	write_beat(out, me);
	if (me->wants) write_question(out, MESH_FETCH_LEGACY);
	cn_write(&me->link->cn, out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_beat(struct ev_timer *t)
{
	struct pw_peer *me = (struct pw_peer *)((char *)t - offsetof(struct pw_peer, beat));

	ev_in(t, me->wants ? ASK_US : BEAT_US);
	if (me->mute) return;
	if (!me->link) me->link = connect_to_entry(me);
	/* Frames don't mix: what is sent slowly keeps others waiting. */
	if (me->link && !me->link->cn.connecting && !me->link->pace.armed) send_on_link(me);
	if (me->wants && !me->asking) me->asking = connect_to_entry(me);
}

static void listen_at(struct pw_peer *me)
{
	struct sockaddr_in at;
	int bytes = RECEIVE_BYTES;

	pw_address_of(me->ip, PW_PEER, &at);
	me->listener = (struct ev_fd){cn_listen(&at), on_acceptable};
	if (me->listener.fd < 0 || ev_add(&me->listener, EPOLLIN)) abort();
	setsockopt(me->listener.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

struct pw_peer *pw_peer_new(struct pw_entry *e, uint64_t conf)
{
	struct pw_peer *me = g_new0(struct pw_peer, 1);

	if (!peers) peers = g_ptr_array_new();
	me->entry = e;
	me->conf = conf;
	me->in = g_ptr_array_new();
	g_strlcpy(me->ip, pw_ip(FIRST_HOST + (int)peers->len), sizeof me->ip);
	g_snprintf(me->name, sizeof me->name, "peer%u", peers->len);
	g_ptr_array_add(peers, me);
	listen_at(me);
	me->beat.fire = on_beat;
	ev_in(&me->beat, 0);
	return me;
}

void pw_peer_silence(struct pw_peer *me)
{
	uint32_t i;

	for (i = 0; i < me->in->len; i++)
		((struct pw_peer_cn *)g_ptr_array_index(me->in, i))->silent = 1;
}

void pw_peer_stop(struct pw_peer *me)
{
	uint32_t i;

	ev_stop(&me->beat);
	ev_close(&me->listener);
	close_cn(me->link);
	me->link = NULL;
	for (i = 0; i < me->in->len; i++) close_cn(g_ptr_array_index(me->in, i));
	g_ptr_array_set_size(me->in, 0);
}

static void free_peer(struct pw_peer *me)
{
	uint32_t i;

	ev_stop(&me->beat);
	ev_close(&me->listener);
	close_cn(me->link);
	close_cn(me->asking);
	for (i = 0; i < me->in->len; i++) close_cn(g_ptr_array_index(me->in, i));
	g_ptr_array_free(me->in, TRUE);
	if (me->copy) g_string_free(me->copy, TRUE);
	ev_free_later(me);
}

void pw_peers_end(void)
{
	uint32_t i;

	for (i = 0; i < peers->len; i++) free_peer(g_ptr_array_index(peers, i));
	g_ptr_array_set_size(peers, 0);
	pw_peer_at_once = at_once = 0;
}
