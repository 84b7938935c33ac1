/* The HTTP client's side: one exchange on one fresh connection, so that a request is sent at
 * most once and no late answer of another can stand in its place. */
#ifndef SH_HX_H
#define SH_HX_H
#include "cn.h"
#include "hp.h"

struct hx {
	struct cn cn;
	struct hp hp;
	struct ev_timer timer;
	GString *request;
	int up;      /* connected: from here on bytes may have reached the peer */
	int reading; /* within a callback of the codec */
	int cancelled;
	int64_t wait_us;  /* silence after the request that ends the exchange; 0: none */
	int64_t began_us; /* when it was started */
	/* Sees the answer's head before on_head does; may be NULL. */
	void (*on_any_head)(struct hx *x);
	void *peer; /* for on_any_head */
	void (*peer_free)(void *peer);
	void (*on_up)(struct hx *x); /* connected, and the request is on its way; may be NULL */
	int (*on_head)(struct hx *x); /* 0 or a negative errno that ends the exchange */
	int (*on_body)(struct hx *x, const char *p, size_t n);
	/* 0: the answer is whole. -ETIMEDOUT, -EPIPE (closed too early), -EBADMSG (no HTTP), or
	 * the error of the connection or of a callback. x is freed after it. */
	void (*on_end)(struct hx *x, int err);
	void *user;
};

struct hx *hx_new(void *user);
/* Takes request over. on_end comes, never from within. 0 or a negative errno: then x is freed.
 */
int hx_start(struct hx *x, const struct sockaddr_in *to, GString *request, int64_t connect_us);
/* Ends it at once; no callback follows. The peer sees a reset. */
void hx_cancel(struct hx *x);
void hx_pause(struct hx *x, int paused);
#endif
