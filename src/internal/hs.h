/* HTTP server (hs_): connections of callers, one request at a time on each. */
#ifndef SH_HS_H
#define SH_HS_H
#include "cn.h"
#include "hp.h"

struct hs_limits {
	size_t head_max, body_max; /* bytes */
	int64_t head_us, idle_us;  /* to receive a head; idle between requests */
};

struct hs;
struct hs_listener {
	struct ev_fd ev;
	struct hs_limits limits;
	int closing; /* answers close their connections */
	uint32_t open;
	GPtrArray *conns;
	/* A whole request was received; hs_answer, or hs_write and hs_finish, follow now or
	 * later. */
	void (*on_request)(struct hs *h);
	/* The caller disconnected while its request was in progress; may be NULL. */
	void (*on_disconnect)(struct hs *h);
	/* All written bytes were sent; may be NULL. */
	void (*on_drain)(struct hs *h);
	/* A request is rejected by this module, with this status; may be NULL. */
	void (*on_reject)(struct hs *h, int status);
};

struct hs {
	struct cn cn;
	struct hp hp;
	struct hs_listener *listener;
	GString *early; /* bytes of the next request, received before the answer */
	GString *body;  /* of this request */
	struct ev_timer timer;
	int64_t arrived_us;  /* when the last byte of the request came; monotonic */
	uint32_t index;      /* in the listener's conns */
	uint64_t sent_seen;  /* cn.sent at the last scan of hs_hold */
	int64_t progress_us; /* when the caller last took some bytes */
	int busy, closing, keep;
	void *user;
};

/* Returns 0 or a negative errno. */
int hs_listen(struct hs_listener *l, const struct sockaddr_in *at);
/* Stops accepting connections. */
void hs_stop(struct hs_listener *l);
/* Closes the connections without a request in progress. */
void hs_close_idle(struct hs_listener *l);

/* Sends a whole answer. fields: more header lines, each ended by CRLF, or NULL. */
void hs_answer(struct hs *h, int status, const char *fields, const char *body, size_t n);
/* Sends part of an answer that the caller of this function formats: head, body or chunk. */
void hs_write(struct hs *h, const char *p, size_t n);
/* Ends an answer. The connection is kept if the request and the listener allow it. */
void hs_finish(struct hs *h);
/* Aborts an answer: resets the connection, so that the answer can't appear complete. */
void hs_abort(struct hs *h);
/* Whether the connection will be kept after this answer. */
int hs_keeps_alive(const struct hs *h);
const char *hs_reason(int status);
#endif
