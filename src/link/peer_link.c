#include "peer_link.h"
#include "clock.h"
#include "met.h"
#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define OUT_MAX (4u << 20)
#define READ_SIZE 65536

struct plink *plink_new(int fd, int connecting, int64_t now_us)
{
	struct plink *l = g_new0(struct plink, 1);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	l->fd = fd;
	l->connecting = connecting;
	l->outgoing = connecting;
	l->last_seen_us = now_us;
	l->in = g_byte_array_new();
	msgpack_sbuffer_init(&l->out);
	return l;
}

void plink_free(struct plink *l)
{
	close(l->fd);
	g_byte_array_unref(l->in);
	msgpack_sbuffer_destroy(&l->out);
	g_free(l);
}

int plink_connect(const char *ip, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd;

	if (inet_pton(AF_INET, ip, &a.sin_addr) != 1) return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) return -1;
	if (!connect(fd, (struct sockaddr *)&a, sizeof a) || errno == EINPROGRESS) return fd;
	close(fd);
	return -1;
}

int plink_queue(struct plink *l, const char *frame, size_t n)
{
	if (l->out.size - l->sent + n > OUT_MAX) {
		met_add(MET_PEER_DROPPED, 1);
		return -EAGAIN;
	}
	msgpack_sbuffer_write(&l->out, frame, n);
	met_add(MET_PEER_MSGS_OUT, 1);
	met_add(MET_PEER_BYTES_OUT, n);
	return 0;
}

static void drop_sent(struct plink *l)
{
	size_t left = l->out.size - l->sent;

	if (left) memmove(l->out.data, l->out.data + l->sent, left);
	l->out.size = left;
	l->sent = 0;
	l->dropping = l->dropping && left;
}

int plink_flush(struct plink *l)
{
	ssize_t n;

	if (l->connecting) return 0;
	while (l->sent < l->out.size) {
		n = send(l->fd, l->out.data + l->sent, l->out.size - l->sent, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR) continue;
		if (n < 0) break;
		l->sent += (size_t)n;
	}
	if (l->sent < l->out.size && errno != EAGAIN) return -1;
	drop_sent(l);
	return 0;
}

int plink_sending(const struct plink *l)
{
	int unacked = 0;

	ioctl(l->fd, SIOCOUTQ, &unacked);
	return l->out.size > l->sent || unacked > 0;
}

/* Calls f for every complete frame at the front of the buffer. */
static int read_frames(struct plink *l, int (*f)(struct plink *l, struct wire_msg *m))
{
	msgpack_unpacked unpacked;
	struct wire_msg m;
	uint32_t len, off = 0;
	int rc = 0;

	msgpack_unpacked_init(&unpacked);
	while (!rc && l->in->len - off >= sizeof len) {
		memcpy(&len, l->in->data + off, sizeof len);
		len = ntohl(len);
		if (len > WIRE_FRAME_MAX) rc = -1;
		if (rc || l->in->len - off - sizeof len < len) break;
		rc = wire_decode((char *)l->in->data + off + sizeof len, len, &m, &unpacked);
		if (rc) break;
		met_add(MET_PEER_MSGS_IN, 1);
		off += (uint32_t)sizeof len + len;
		rc = f(l, &m);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (off) g_byte_array_remove_range(l->in, 0, off);
	return rc ? -1 : 0;
}

int plink_read(struct plink *l, int (*f)(struct plink *l, struct wire_msg *m))
{
	guint8 buf[READ_SIZE];
	ssize_t n;

	for (;;) {
		n = recv(l->fd, buf, sizeof buf, 0);
		if (n < 0 && errno == EINTR) continue;
		if (n < 0) return errno == EAGAIN ? 0 : -1;
		if (n == 0) return -1;
		l->last_seen_us = clock_us();
		met_add(MET_PEER_BYTES_IN, (uint64_t)n);
		g_byte_array_append(l->in, buf, (guint)n);
		if (read_frames(l, f)) return -1;
	}
}
