/* HTTP client (hx_): one exchange on one new connection, so that a request is sent at most once
 * and a late answer to another request can't be mistaken for its own. */
#ifndef SH_HX_H
#define SH_HX_H
#include "cn.h"
#include "hp.h"

struct hx {
	struct cn cn;
	struct hp hp;
	struct ev_timer timer;
	GString *request;
	int connected; /* from then on bytes may have reached the peer */
	int reading;   /* within hp_feed or hp_end */
	int cancelled;
	int64_t wait_us;  /* timeout of a silent peer after the request; 0: none */
	int whole;        /* wait_us is the timeout of the whole answer */
	int64_t began_us; /* start of the exchange */
	/* Called with the answer's head before on_head; may be NULL. */
	void (*on_any_head)(struct hx *x);
	/* The connection is up; called before on_connected; may be NULL. */
	void (*on_any_connected)(struct hx *x);
	/* The exchange ended, but was not cancelled; called before on_end; may be NULL. */
	void (*on_any_end)(struct hx *x);
	void *peer; /* for these three */
	/* x is about to be freed; may be NULL. */
	void (*on_release)(struct hx *x);
	void (*on_connected)(struct hx *x); /* connected and request written; may be NULL */
	/* on_head and on_body return 0, or a negative errno that ends the exchange. */
	int (*on_head)(struct hx *x);
	int (*on_body)(struct hx *x, const char *p, size_t n);
	/* err 0: the answer is complete. Otherwise -ETIMEDOUT, -EPIPE (closed too early),
	 * -EBADMSG (not HTTP), or the error of the connection or of a callback. x is freed
	 * afterwards. */
	void (*on_end)(struct hx *x, int err);
	void *user;
};

struct hx *hx_new(void *user);
/* Takes ownership of request. Returns 0, and on_end follows after the return; or a negative
 * errno, and x is freed. */
int hx_start(struct hx *x, const struct sockaddr_in *to, GString *request, int64_t connect_us);
/* Ends the exchange at once, with a reset and without a callback. */
void hx_cancel(struct hx *x);
void hx_pause(struct hx *x, int paused);
#endif
