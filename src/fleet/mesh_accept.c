/* Links from other instances are accepted, and what comes on them is cut into frames. */
#include "ev.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static struct ev_fd listener;

static void drop_in(struct mesh_in *in)
{
	cn_close(&in->cn);
	g_string_free(in->buf, TRUE);
	ev_free_later(in);
}

static void on_in_end(struct cn *c, int err)
{
	(void)err;
	drop_in((struct mesh_in *)c);
}

/* Cuts whole frames out of what has come. 0 or -EBADMSG. */
static int cut_frames(struct mesh_in *in)
{
	size_t off = 0;
	uint32_t n;

	while (in->buf->len - off >= sizeof n) {
		memcpy(&n, in->buf->str + off, sizeof n);
		n = ntohl(n);
		if (n > MESH_FRAME_MAX) return -EBADMSG;
		if (in->buf->len - off - sizeof n < n) break;
		met_add(MET_PEER_MSGS_IN, 1);
		if (mesh_dispatch(in, in->buf->str + off + sizeof n, n)) return -EBADMSG;
		off += sizeof n + n;
	}
	g_string_erase(in->buf, 0, off);
	return 0;
}

static void on_in_data(struct cn *c, const char *p, size_t n)
{
	struct mesh_in *in = (struct mesh_in *)c;
	GString *g;

	met_add(MET_PEER_BYTES_IN, n);
	g_string_append_len(in->buf, p, n);
	if (!cut_frames(in)) return;
	g = jlog_begin("fleet", "peer_frame_malformed");
	jlog_str(g, "member", in->from ? in->from->said.name : NULL);
	jlog_end(g);
	drop_in(in);
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
	in->cn.on_data = on_in_data;
	in->cn.on_end = on_in_end;
	if (cn_accepted(&in->cn, fd, &from)) drop_in(in);
}

int mesh_listen(void)
{
	struct sockaddr_in at = mesh_cfg()->front;
	int fd;

	at.sin_port = htons(mesh_cfg()->peer_port);
	fd = cn_listen(&at);
	if (fd < 0) return fd;
	listener = (struct ev_fd){fd, on_acceptable};
	return ev_add(&listener, EPOLLIN);
}
