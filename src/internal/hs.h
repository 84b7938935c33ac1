/* The HTTP server's side: connections of callers, one request at a time on each. */
#ifndef SH_HS_H
#define SH_HS_H
#include "cn.h"
#include "hp.h"

struct hs_limits {
	size_t head_max, body_max; /* bytes */
	int64_t head_us, idle_us;  /* to send a head; at rest between requests */
};

struct hs;
struct hs_listener {
	struct ev_fd ev;
	struct hs_limits limits;
	int closing; /* answers tell callers to come no more on their connection */
	uint32_t open;
	GPtrArray *conns;
	/* A whole request came; hs_answer or hs_begin ... hs_finish follows, now or later. */
	void (*on_request)(struct hs *h);
	/* The caller left while its request was under way; may be NULL. */
	void (*on_left)(struct hs *h);
	/* All written bytes were taken; may be NULL. */
	void (*on_drain)(struct hs *h);
	/* A request was turned away here already, with this status; may be NULL. */
	void (*on_bad)(struct hs *h, int status);
};

struct hs {
	struct cn cn;
	struct hp hp;
	struct hs_listener *listener;
	GString *in;   /* came early: the next request's bytes */
	GString *body; /* of this request */
	struct ev_timer timer;
	int64_t arrived_us;  /* the last byte of the request; monotonic */
	uint32_t index;      /* in the listener's conns */
	uint64_t taken_seen; /* of cn, at the last look */
	int64_t still_us;    /* when it had last taken some */
	int busy, closing, keep;
	void *user;
};

/* 0 or a negative errno. */
int hs_listen(struct hs_listener *l, const struct sockaddr_in *at);
/* Accepts no more. */
void hs_stop(struct hs_listener *l);
/* Closes the connections on which nothing is under way. */
void hs_close_idle(struct hs_listener *l);

/* A whole answer. fields: more header lines, each ended by CRLF, or NULL. */
void hs_answer(struct hs *h, int status, const char *fields, const char *body, size_t n);
/* A head that was built elsewhere, body pieces and the end. */
void hs_write(struct hs *h, const char *p, size_t n);
/* The answer is whole: the connection is kept if the request and the listener let it. */
void hs_finish(struct hs *h);
/* The answer broke: the connection ends so that it can't look whole. */
void hs_abort(struct hs *h);
/* Whether the connection will be kept after this answer. */
int hs_keeps(const struct hs *h);
const char *hs_reason(int status);
#endif
