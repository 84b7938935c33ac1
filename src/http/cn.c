/* TCP connections on the event loop. Bytes that the kernel does not take at once are queued. */
#include "cn.h"
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 16384     /* bytes per read; larger ones only use more stack */
#define SENT_MAX 65536      /* sent bytes at the start of out before they are dropped */
#define READS_PER_EVENT 4   /* for fairness to other connections */
#define KEEPALIVE_IDLE_S 3  /* a peer silent for so long is probed ... */
#define KEEPALIVE_EVERY_S 1 /* ... this often ... */
#define KEEPALIVE_PROBES 3  /* ... and given up after so many probes */
/* Unacknowledged bytes for so long end the connection. The kernel also gives up probing after
 * this time, whatever their number: with less, one lost probe would end a connection. */
#define USER_TIMEOUT_MS ((KEEPALIVE_IDLE_S + KEEPALIVE_EVERY_S * KEEPALIVE_PROBES) * 1000)
#define LISTEN_BACKLOG 1024 /* connections; a full queue delays callers by seconds */

int cn_is_open(const struct cn *c)
{
	return c->ev.fd >= 0;
}

size_t cn_pending(const struct cn *c)
{
	return c->out ? c->out->len - c->out_off : 0;
}

/* Whether a close by the peer is to be noticed now. */
static int expects_close(const struct cn *c)
{
	return !c->got_eof && !(c->paused && c->end_in_order);
}

static void update_events(struct cn *c)
{
	uint32_t want = expects_close(c) ? EPOLLRDHUP : 0;

	if (!c->paused && !c->got_eof) want |= EPOLLIN;
	if (c->connecting || cn_pending(c)) want |= EPOLLOUT;
	if (want == c->events) return;
	c->events = want;
	ev_mod(&c->ev, want);
}

static void drop_buffers(struct cn *c)
{
	if (c->out) g_string_free(c->out, TRUE);
	c->out = NULL;
	c->out_off = 0;
}

void cn_close(struct cn *c)
{
	ev_close(&c->ev);
	drop_buffers(c);
}

void cn_reset(struct cn *c)
{
	struct linger l = {.l_onoff = 1, .l_linger = 0};

	if (c->ev.fd >= 0) setsockopt(c->ev.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
	cn_close(c);
}

static void fail(struct cn *c, int err)
{
	cn_close(c);
	c->on_end(c, err);
}

/* Returns 0 or a negative errno. */
static int flush(struct cn *c)
{
	while (cn_pending(c)) {
		ssize_t n =
			send(c->ev.fd, c->out->str + c->out_off, cn_pending(c), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR) continue;
		if (n < 0) return errno == EAGAIN ? 0 : -errno;
		c->out_off += n;
		c->sent += (uint64_t)n;
	}
	if (c->out) g_string_truncate(c->out, 0);
	c->out_off = 0;
	return 0;
}

/* Without this, the buffer of a peer that never takes all would keep every byte ever sent. */
static void drop_sent(struct cn *c)
{
	if (c->out_off < SENT_MAX) return;
	g_string_erase(c->out, 0, (gssize)c->out_off);
	c->out_off = 0;
}

static void on_writable(struct cn *c)
{
	int err = 0;
	socklen_t len = sizeof err;

	if (c->connecting) {
		getsockopt(c->ev.fd, SOL_SOCKET, SO_ERROR, &err, &len);
		if (err) {
			fail(c, -err);
			return;
		}
		c->connecting = 0;
		if (c->on_connected) c->on_connected(c);
		if (c->ev.fd < 0) return;
	}
	err = flush(c);
	if (err) {
		fail(c, err);
		return;
	}
	update_events(c);
	if (!cn_pending(c) && c->on_drain) c->on_drain(c);
}

static void on_readable(struct cn *c)
{
	char buf[READ_SIZE];
	int i;

	for (i = 0; i < READS_PER_EVENT && c->ev.fd >= 0 && !c->paused; i++) {
		ssize_t n = recv(c->ev.fd, buf, sizeof buf, 0);

		if (n < 0 && errno == EINTR) continue;
		if (n < 0 && errno == EAGAIN) return;
		if (n < 0) {
			fail(c, -errno);
			return;
		}
		if (n == 0) {
			c->got_eof = 1;
			update_events(c);
			c->on_end(c, 0);
			return;
		}
		c->on_data(c, buf, n);
		if (n < (ssize_t)sizeof buf) return;
	}
}

void cn_read_rest(struct cn *c)
{
	char buf[READ_SIZE];
	ssize_t n;

	while (c->ev.fd >= 0 && (n = recv(c->ev.fd, buf, sizeof buf, 0)) > 0)
		c->on_data(c, buf, n);
}

/* While reading is paused, a reset is still reported, and a closed side unless end_in_order is
 * set. */
static void on_hangup(struct cn *c, uint32_t events)
{
	int err = 0;
	socklen_t len = sizeof err;

	getsockopt(c->ev.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (events & (EPOLLERR | EPOLLHUP)) {
		fail(c, err ? -err : -ECONNRESET);
		return;
	}
	c->got_eof = 1;
	update_events(c);
	c->on_end(c, 0);
}

static void on_event(struct ev_fd *f, uint32_t events)
{
	struct cn *c = (struct cn *)f;

	if (c->connecting || (events & EPOLLOUT)) on_writable(c);
	if (c->ev.fd < 0 || c->connecting) return;
	if (!expects_close(c)) events &= ~(uint32_t)EPOLLRDHUP;
	if (!c->paused && !c->got_eof &&
	    (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
		on_readable(c);
	else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		on_hangup(c, events);
}

static void set_options(int fd)
{
	int on = 1, ms = USER_TIMEOUT_MS, idle = KEEPALIVE_IDLE_S, probes = KEEPALIVE_PROBES;
	int every = KEEPALIVE_EVERY_S;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

int cn_connect(struct cn *c, const struct sockaddr_in *to)
{
	int rc, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	c->ev.fd = -1;
	if (fd < 0) return -errno;
	set_options(fd);
	if (connect(fd, (const struct sockaddr *)to, sizeof *to) && errno != EINPROGRESS) {
		rc = -errno;
		close(fd);
		return rc;
	}
	c->ev = (struct ev_fd){fd, on_event};
	c->peer = *to;
	c->connecting = 1;
	c->events = EPOLLOUT;
	rc = ev_add(&c->ev, c->events);
	if (rc) ev_close(&c->ev);
	return rc;
}

int cn_accepted(struct cn *c, int fd, const struct sockaddr_in *from)
{
	int rc;

	set_options(fd);
	c->ev = (struct ev_fd){fd, on_event};
	c->peer = *from;
	c->events = EPOLLIN | EPOLLRDHUP;
	rc = ev_add(&c->ev, c->events);
	if (rc) ev_close(&c->ev);
	return rc;
}

int cn_listen(const struct sockaddr_in *at)
{
	int rc, on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (const struct sockaddr *)at, sizeof *at) || listen(fd, LISTEN_BACKLOG)) {
		rc = -errno;
		close(fd);
		return rc;
	}
	return fd;
}

void cn_write(struct cn *c, const void *p, size_t n)
{
	ssize_t done = 0;

	if (c->ev.fd < 0) return;
	if (!c->connecting && !cn_pending(c)) {
		done = send(c->ev.fd, p, n, MSG_NOSIGNAL);
		if (done < 0) done = 0; /* the next event reports a broken connection */
	}
	if ((size_t)done == n) return;
	if (!c->out) c->out = g_string_new(NULL);
	drop_sent(c);
	g_string_append_len(c->out, (const char *)p + done, n - done);
	update_events(c);
}

void cn_pause(struct cn *c, int paused)
{
	if (c->ev.fd < 0 || c->paused == paused) return;
	c->paused = paused;
	update_events(c);
}
