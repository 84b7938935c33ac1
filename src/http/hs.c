/* Connections of callers: one request at a time, its answer, then the next request. */
#include "hs.h"
#include "clock.h"
#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define ACCEPTS_PER_EVENT 64 /* for fairness to other sockets */
#define BODY_KEPT 65536      /* bytes; larger body buffers are freed between requests */
#define LINGER_US 1000000    /* time for the caller to close first, after the last answer */
#define BODY_US 20000000     /* to receive a body; heads have their own limit */

static void on_data(struct cn *c, const char *p, size_t n);

static void drop(struct hs *h)
{
	struct hs_listener *l = h->listener;
	struct hs *last = g_ptr_array_index(l->conns, l->conns->len - 1);

	l->conns->pdata[h->index] = last;
	last->index = h->index;
	g_ptr_array_set_size(l->conns, l->conns->len - 1);
	ev_stop(&h->timer);
	cn_close(&h->cn);
	hp_free(&h->hp);
	g_string_free(h->early, TRUE);
	g_string_free(h->body, TRUE);
	ev_free_later(h);
}

static void disconnect(struct hs *h)
{
	int busy = h->busy;

	h->busy = 0;
	if (busy && h->listener->on_disconnect) h->listener->on_disconnect(h);
	drop(h);
}

static void on_end(struct cn *c, int err)
{
	(void)err;
	disconnect((struct hs *)c);
}

/* Closes the connection after the caller has read the rest: sends everything, shuts down the
 * write side and waits for the caller to close. */
static void close_gracefully(struct hs *h)
{
	h->closing = 1;
	if (cn_pending(&h->cn)) return;
	shutdown(h->cn.ev.fd, SHUT_WR);
	cn_pause(&h->cn, 0);
	ev_in(&h->timer, LINGER_US);
}

static void on_drain(struct cn *c)
{
	struct hs *h = (struct hs *)c;

	if (h->closing)
		close_gracefully(h);
	else if (h->busy && h->listener->on_drain)
		h->listener->on_drain(h);
}

const char *hs_reason(int status)
{
	switch (status) {
#define CASE(num, name, text) \
	case num: return #text;
		HTTP_STATUS_MAP(CASE)
#undef CASE
	}
	return "Unknown";
}

int hs_keeps_alive(const struct hs *h)
{
	return h->keep && !h->listener->closing;
}

static void refuse(struct hs *h, int status)
{
	h->keep = 0;
	h->busy = 1;
	if (h->listener->on_reject) h->listener->on_reject(h, status);
	hs_answer(h, status, NULL, "", 0);
}

static void on_timer(struct ev_timer *t)
{
	struct hs *h = (struct hs *)((char *)t - offsetof(struct hs, timer));

	if (!h->closing && (h->hp.head_bytes || h->early->len)) {
		refuse(h, 408);
		return;
	}
	disconnect(h);
}

static int on_head(struct hp *p)
{
	struct hs *h = p->user;
	uint64_t length = p->parser.content_length;

	ev_in(&h->timer, BODY_US);
	if (length != UINT64_MAX && length > h->listener->limits.body_max) return -EFBIG;
	return 0;
}

static int on_body(struct hp *p, const char *at, size_t n)
{
	struct hs *h = p->user;

	if (h->body->len + n > h->listener->limits.body_max) return -EFBIG;
	g_string_append_len(h->body, at, n);
	return 0;
}

static void reject(struct hs *h, int err)
{
	switch (err) {
	case -EMSGSIZE: refuse(h, 431); break;
	case -EFBIG: refuse(h, 413); break;
	default: refuse(h, 400); break;
	}
}

static void on_request_complete(struct hs *h)
{
	h->busy = 1;
	h->arrived_us = clock_us();
	h->keep = http_should_keep_alive(&h->hp.parser);
	ev_stop(&h->timer);
	cn_pause(&h->cn, 1);
	h->listener->on_request(h);
}

static void on_data(struct cn *c, const char *p, size_t n)
{
	struct hs *h = (struct hs *)c;
	ssize_t used;

	if (h->closing) return;
	if (h->busy) {
		g_string_append_len(h->early, p, n);
		return;
	}
	if (!h->hp.head_bytes) ev_in(&h->timer, h->listener->limits.head_us);
	used = hp_feed(&h->hp, p, n);
	if (used < 0) {
		reject(h, (int)used);
		return;
	}
	if (!h->hp.done) return;
	g_string_append_len(h->early, p + used, n - used);
	on_request_complete(h);
}

static void next_request(struct hs *h)
{
	GString *early = h->early;

	h->busy = 0;
	hp_reset(&h->hp);
	h->hp.head_max = h->listener->limits.head_max;
	g_string_truncate(h->body, 0);
	if (h->body->allocated_len > BODY_KEPT) {
		g_string_free(h->body, TRUE);
		h->body = g_string_new(NULL);
	}
	cn_pause(&h->cn, 0);
	ev_in(&h->timer, h->listener->limits.idle_us);
	if (!early->len) return;
	h->early = g_string_new(NULL);
	on_data(&h->cn, early->str, early->len);
	g_string_free(early, TRUE);
}

void hs_finish(struct hs *h)
{
	if (!h->busy) return;
	if (hs_keeps_alive(h)) {
		next_request(h);
		return;
	}
	h->busy = 0;
	close_gracefully(h);
}

void hs_abort(struct hs *h)
{
	h->busy = 0;
	cn_reset(&h->cn);
	drop(h);
}

void hs_write(struct hs *h, const char *p, size_t n)
{
	cn_write(&h->cn, p, n);
}

void hs_answer(struct hs *h, int status, const char *fields, const char *body, size_t n)
{
	GString *s = g_string_sized_new(256 + n);

	g_string_printf(s, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
			hs_reason(status), fields ? fields : "", n,
			hs_keeps_alive(h) ? "" : "Connection: close\r\n");
	if (h->hp.head.method != HTTP_HEAD) g_string_append_len(s, body, n);
	cn_write(&h->cn, s->str, s->len);
	g_string_free(s, TRUE);
	hs_finish(h);
}

static void accept_one(struct hs_listener *l, int fd, const struct sockaddr_in *from)
{
	struct hs *h = g_new0(struct hs, 1);

	h->listener = l;
	h->cn.on_data = on_data;
	h->cn.on_end = on_end;
	h->cn.on_drain = on_drain;
	h->timer.fire = on_timer;
	hp_init(&h->hp, 1);
	h->hp.user = h;
	h->hp.on_head = on_head;
	h->hp.on_body = on_body;
	h->hp.head_max = l->limits.head_max;
	h->early = g_string_new(NULL);
	h->body = g_string_new(NULL);
	h->index = l->conns->len;
	g_ptr_array_add(l->conns, h);
	if (cn_accepted(&h->cn, fd, from)) {
		drop(h);
		return;
	}
	ev_in(&h->timer, l->limits.idle_us);
}

static void on_acceptable(struct ev_fd *f, uint32_t events)
{
	struct hs_listener *l = (struct hs_listener *)f;
	struct sockaddr_in from;
	socklen_t len;
	int i, fd;

	(void)events;
	for (i = 0; i < ACCEPTS_PER_EVENT; i++) {
		len = sizeof from;
		fd = accept4(f->fd, (struct sockaddr *)&from, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) return;
		accept_one(l, fd, &from);
	}
}

int hs_listen(struct hs_listener *l, const struct sockaddr_in *at)
{
	int fd = cn_listen(at);

	if (fd < 0) return fd;
	l->conns = g_ptr_array_new();
	l->ev = (struct ev_fd){fd, on_acceptable};
	return ev_add(&l->ev, EPOLLIN);
}

void hs_stop(struct hs_listener *l)
{
	ev_close(&l->ev);
}

void hs_close_idle(struct hs_listener *l)
{
	uint32_t i;

	for (i = l->conns->len; i-- > 0;) {
		struct hs *h = g_ptr_array_index(l->conns, i);

		if (!h->busy && !h->closing && !h->hp.head_bytes) close_gracefully(h);
	}
}
