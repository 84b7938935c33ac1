/* Accepts links from other instances and splits what arrives on them into frames. */
#include "clock.h"
#include "ev.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* A live instance has sent a heartbeat by then, or has forgotten this instance. */
#define IDLE_US 30000000

static struct ev_fd listener;
static GPtrArray *accepted; /* of struct mesh_in */

void mesh_drop_in(struct mesh_in *in)
{
	mesh_serve_end(in);
	mesh_tunnel_end(in);
	g_ptr_array_remove_fast(accepted, in);
	cn_close(&in->cn);
	g_string_free(in->buf, TRUE);
	ev_free_later(in);
}

static void on_in_end(struct cn *c, int err)
{
	(void)err;
	mesh_drop_in((struct mesh_in *)c);
}

int mesh_split_frames(struct mesh_in *in, const char *p, size_t len)
{
	size_t off = 0;
	uint32_t n;
	int rc;

	met_add(MET_PEER_BYTES_IN, len);
	g_string_append_len(in->buf, p, len);
	while (in->buf->len - off >= sizeof n) {
		memcpy(&n, in->buf->str + off, sizeof n);
		n = ntohl(n);
		if (n > MESH_FRAME_MAX) return -EBADMSG;
		if (in->buf->len - off - sizeof n < n) break;
		met_add(MET_PEER_MSGS_IN, 1);
		rc = mesh_dispatch(in, in->buf->str + off + sizeof n, n);
		if (rc) return rc;
		off += sizeof n + n;
		/* A requester waits for the answer before it sends more. */
		if (in->tunnel) return in->buf->len > off ? -EBADMSG : 0;
	}
	g_string_erase(in->buf, 0, off);
	return 0;
}

static void log_malformed(const struct mesh_in *in)
{
	GString *g = jlog_begin("fleet", "peer_frame_malformed");

	jlog_str(g, "member", in->from ? in->from->hb.name : NULL);
	jlog_end(g);
}

static void on_in_data(struct cn *c, const char *p, size_t n)
{
	struct mesh_in *in = (struct mesh_in *)c;
	int rc;

	if (in->tunnel) {
		mesh_tunnel_data(in, p, n);
		return;
	}
	rc = mesh_split_frames(in, p, n);
	in->last_data_us = clock_us();
	if (!rc) return;
	if (rc == -EBADMSG) log_malformed(in);
	mesh_drop_in(in);
}

void mesh_in_forget(const struct member *m)
{
	uint32_t i;

	for (i = 0; i < accepted->len; i++) {
		struct mesh_in *in = g_ptr_array_index(accepted, i);

		if (in->from == m) in->from = NULL;
	}
}

void mesh_close_idle(int64_t now)
{
	uint32_t i;

	for (i = accepted->len; i-- > 0;) {
		struct mesh_in *in = g_ptr_array_index(accepted, i);

		if (in->sending_copy || in->tunnel || now - in->last_data_us < IDLE_US)
			continue;
		met_add(MET_PEER_CONNECTIONS_IDLE, 1);
		mesh_drop_in(in);
	}
}

static void on_acceptable(struct ev_fd *f, uint32_t events)
{
	struct sockaddr_in from;
	socklen_t len = sizeof from;
	int fd = accept4(f->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct mesh_in *in;

	(void)events;
	if (fd < 0) return;
	in = g_new0(struct mesh_in, 1);
	in->buf = g_string_new(NULL);
	in->last_data_us = clock_us();
	in->cn.on_data = on_in_data;
	in->cn.on_end = on_in_end;
	g_ptr_array_add(accepted, in);
	if (cn_accepted(&in->cn, fd, &from)) mesh_drop_in(in);
}

int mesh_listen(void)
{
	struct sockaddr_in at = mesh_cfg()->front;
	int fd;

	accepted = g_ptr_array_new();
	at.sin_port = htons(mesh_cfg()->peer_port);
	fd = cn_listen(&at);
	if (fd < 0) return fd;
	listener = (struct ev_fd){fd, on_acceptable};
	return ev_add(&listener, EPOLLIN);
}
