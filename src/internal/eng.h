/* The link to engines: generations, cancels and events over HTTP with server-sent events. */
#ifndef SH_ENG_H
#define SH_ENG_H
#include "mux.h"
#include "req.h"
#include <glib.h>
#include <saddlehead/core.h>

#define ENG_GEN_MAX 63

struct eng_timeouts {
	int64_t connect_ms, first_byte_ms, stall_ms;
};

struct eng_start {
	const char *address;
	const char *gen;  /* generation id, unique in the fleet */
	const char *path; /* "/v1/completions" or "/v1/chat/completions" */
	char *body;       /* JSON, owned by the exchange; NULL: resume a running generation */
	uint32_t attempt;
	uint32_t next; /* offset of the first token to send */
	struct req *req;
	struct eng_timeouts timeouts;
};

/* Starts the exchange, which posts its messages to s->req with s->attempt. NULL when the ring
 * is full. */
struct mux_xfer *eng_start(struct mux *m, const struct eng_start *s);

/* Asks the engine to cancel a generation; the response is ignored. */
void eng_cancel(struct mux *m, const char *address, const char *gen);

/* A call of a plain service. body is owned by the exchange from eng_call on; it may be NULL. */
struct eng_call {
	const char *address, *method, *path, *type;
	char *body;
	size_t len;
	uint32_t attempt;
	const char *key; /* idempotency key to forward, or NULL */
	struct req *req;
	int64_t connect_ms, timeout_ms;
	uint32_t answer_max;
};

struct mux_xfer *eng_call(struct mux *m, const struct eng_call *c);

/* A subscription to an engine's load reports. The callbacks run in the mux thread. */
struct eng_watch;
struct eng_watch *eng_watch_new(struct mux *m, const char *address,
				void (*on_load)(const struct core_load *l),
				void (*on_lost)(uint64_t engine), int64_t silent_us);
void eng_watch_free(struct eng_watch *w);

/* Parser of server-sent events. */
struct sse {
	GString *line, *data;
	char id[ENG_GEN_MAX + 16];
	char event[16];
};

void sse_init(struct sse *s);
void sse_free(struct sse *s);
/* Calls f for each complete event; f returns -1 to stop. */
int sse_feed(struct sse *s, const char *p, size_t n, int (*f)(struct sse *s, void *arg),
	     void *arg);
#endif
