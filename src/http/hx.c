/* One HTTP exchange with a server, on a connection of its own. */
#include "hx.h"
#include <errno.h>
#include <stddef.h>

static void release(struct hx *x)
{
	ev_stop(&x->timer);
	hp_free(&x->hp);
	if (x->request) g_string_free(x->request, TRUE);
	x->request = NULL;
	if (x->on_release) x->on_release(x);
	ev_free_later(x);
}

static void end(struct hx *x, int err)
{
	ev_stop(&x->timer);
	if (err)
		cn_reset(&x->cn);
	else
		cn_close(&x->cn);
	if (x->on_any_end) x->on_any_end(x);
	x->on_end(x, err);
	release(x);
}

void hx_cancel(struct hx *x)
{
	cn_reset(&x->cn);
	x->cancelled = 1;
	if (!x->reading) release(x);
}

static void on_connected(struct cn *c)
{
	struct hx *x = (struct hx *)c;

	x->connected = 1;
	if (x->on_any_connected) x->on_any_connected(x);
	if (x->wait_us)
		ev_in(&x->timer, x->wait_us);
	else
		ev_stop(&x->timer);
	cn_write(c, x->request->str, x->request->len);
	g_string_free(x->request, TRUE);
	x->request = NULL;
	if (x->on_connected) x->on_connected(x);
}

static void on_data(struct cn *c, const char *p, size_t n)
{
	struct hx *x = (struct hx *)c;
	ssize_t used;

	x->reading = 1;
	used = hp_feed(&x->hp, p, n);
	x->reading = 0;
	if (x->cancelled)
		release(x);
	else if (used < 0)
		end(x, (int)used);
	else if (x->hp.done)
		end(x, 0);
	else if (x->wait_us && !x->whole)
		ev_in(&x->timer, x->wait_us);
}

static void on_cn_end(struct cn *c, int err)
{
	struct hx *x = (struct hx *)c;

	x->reading = 1;
	if (!err) err = hp_end(&x->hp);
	x->reading = 0;
	if (x->cancelled)
		release(x);
	else
		end(x, err);
}

static void on_timer(struct ev_timer *t)
{
	end((struct hx *)((char *)t - offsetof(struct hx, timer)), -ETIMEDOUT);
}

static int on_head(struct hp *p)
{
	struct hx *x = p->user;
	int rc;

	if (x->on_any_head) x->on_any_head(x);
	rc = x->on_head && !x->cancelled ? x->on_head(x) : 0;
	return x->cancelled ? -ECANCELED : rc;
}

static int on_body(struct hp *p, const char *at, size_t n)
{
	struct hx *x = p->user;
	int rc = x->on_body ? x->on_body(x, at, n) : 0;

	return x->cancelled ? -ECANCELED : rc;
}

struct hx *hx_new(void *user)
{
	struct hx *x = g_new0(struct hx, 1);

	x->user = user;
	x->cn.on_connected = on_connected;
	x->cn.on_data = on_data;
	x->cn.on_end = on_cn_end;
	x->cn.end_in_order = 1; /* the close of the connection may end the answer */
	x->timer.fire = on_timer;
	hp_init(&x->hp, 0);
	x->hp.user = x;
	x->hp.on_head = on_head;
	x->hp.on_body = on_body;
	return x;
}

int hx_start(struct hx *x, const struct sockaddr_in *to, GString *request, int64_t connect_us)
{
	int rc;

	x->request = request;
	x->began_us = ev_now();
	rc = cn_connect(&x->cn, to);
	if (rc) {
		release(x);
		return rc;
	}
	ev_in(&x->timer, connect_us);
	return 0;
}

void hx_pause(struct hx *x, int paused)
{
	cn_pause(&x->cn, paused);
}
