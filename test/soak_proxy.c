/* A proxy on a link: forwards data, holds it or resets the connections. */
#include "soak_proxy.h"
#include <stddef.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define DELAY_US 150000 /* as on a busy link; shorter than any time-out of an entry */

struct pair;

/* One direction of a connection, with the data that was read and not forwarded yet. */
struct direction {
	struct cn cn; /* read here, written to the other direction's cn */
	struct pair *pair;
	struct direction *other;
	GString *held;
	struct ev_timer timer;
	int ended, err; /* end of data; err: it was reset */
};

struct pair {
	struct proxy *proxy;
	struct direction to, from; /* read from the client; read from the server */
	int silent;                /* for the rest of its time */
};

static void free_pair(struct pair *p)
{
	ev_stop(&p->to.timer);
	ev_stop(&p->from.timer);
	g_string_free(p->to.held, TRUE);
	g_string_free(p->from.held, TRUE);
	g_ptr_array_remove_fast(p->proxy->pairs, p);
	ev_free_later(p);
}

static void reset_pair(struct pair *p)
{
	cn_reset(&p->to.cn);
	cn_reset(&p->from.cn);
	free_pair(p);
}

static int holds_data(const struct direction *w)
{
	enum proxy_mode m = w->pair->proxy->mode;
	int is_to = w == &w->pair->to;

	return w->pair->silent || m == PROXY_SILENT ||
	       m == (is_to ? PROXY_CUT_TO : PROXY_CUT_FROM);
}

/* Forwards the held data if the mode allows, then the end of data. */
static void forward(struct direction *w)
{
	struct cn *out = &w->other->cn;

	if (holds_data(w)) return;
	if (w->held->len) cn_write(out, w->held->str, w->held->len);
	g_string_truncate(w->held, 0);
	if (!w->ended) return;
	if (w->err) {
		reset_pair(w->pair);
		return;
	}
	if (cn_pending(out)) return;
	cn_close(&w->cn);
	cn_close(out);
	free_pair(w->pair);
}

static void on_timer(struct ev_timer *t)
{
	forward((struct direction *)((char *)t - offsetof(struct direction, timer)));
}

static void forward_or_delay(struct direction *w)
{
	if (w->pair->proxy->mode != PROXY_DELAY)
		forward(w);
	else if (!w->timer.armed)
		ev_in(&w->timer, DELAY_US);
}

static void on_data(struct cn *c, const char *p, size_t n)
{
	struct direction *w = (struct direction *)c;

	g_string_append_len(w->held, p, n);
	forward_or_delay(w);
}

static void on_end(struct cn *c, int err)
{
	struct direction *w = (struct direction *)c;

	w->ended = 1;
	w->err = err;
	forward_or_delay(w);
}

static void on_drain(struct cn *c)
{
	struct direction *w = (struct direction *)c;

	if (w->other->ended) forward_or_delay(w->other);
}

static void init_direction(struct direction *w, struct pair *p, struct direction *other)
{
	w->pair = p;
	w->other = other;
	w->held = g_string_new(NULL);
	w->timer.fire = on_timer;
	w->cn.ev.fd = -1;
	w->cn.on_data = on_data;
	w->cn.on_end = on_end;
	w->cn.on_drain = on_drain;
}

static void begin(struct proxy *x, int fd, const struct sockaddr_in *from)
{
	struct pair *p = g_new0(struct pair, 1);

	p->proxy = x;
	init_direction(&p->to, p, &p->from);
	init_direction(&p->from, p, &p->to);
	g_ptr_array_add(x->pairs, p);
	if (cn_accepted(&p->to.cn, fd, from) || x->mode == PROXY_RESET ||
	    cn_connect(&p->from.cn, &x->to))
		reset_pair(p);
}

static void on_acceptable(struct ev_fd *f, uint32_t events)
{
	struct sockaddr_in from;
	socklen_t len = sizeof from;
	int fd = accept4(f->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd >= 0) begin((struct proxy *)f, fd, &from);
}

struct proxy *proxy_new(const struct sockaddr_in *at, const struct sockaddr_in *to)
{
	struct proxy *p = g_new0(struct proxy, 1);
	int fd = cn_listen(at);

	if (fd < 0) abort();
	p->to = *to;
	p->pairs = g_ptr_array_new();
	p->ev = (struct ev_fd){fd, on_acceptable};
	if (ev_add(&p->ev, EPOLLIN)) abort();
	return p;
}

static void reset_all(struct proxy *p, int silent_too)
{
	uint32_t i;

	for (i = p->pairs->len; i-- > 0;) {
		struct pair *x = g_ptr_array_index(p->pairs, i);

		if (silent_too || !x->silent) reset_pair(x);
	}
}

void proxy_silence(struct proxy *p)
{
	uint32_t i;

	for (i = 0; i < p->pairs->len; i++)
		((struct pair *)g_ptr_array_index(p->pairs, i))->silent = 1;
}

void proxy_set(struct proxy *p, enum proxy_mode mode)
{
	uint32_t i;

	p->mode = mode;
	if (mode == PROXY_RESET) reset_all(p, 0);
	for (i = p->pairs->len; i-- > 0;) {
		struct pair *x = g_ptr_array_index(p->pairs, i);

		forward(&x->to);
		if (i < p->pairs->len && g_ptr_array_index(p->pairs, i) == x) forward(&x->from);
	}
}

void proxy_close(struct proxy *p)
{
	ev_close(&p->ev);
	reset_all(p, 0);
}

void proxy_free(struct proxy *p)
{
	proxy_close(p);
	reset_all(p, 1);
	g_ptr_array_free(p->pairs, TRUE);
	ev_free_later(p);
}
