/* Requests open at this instance, and the message queue of each request's thread. */
#ifndef SH_REQ_H
#define SH_REQ_H
#include "err.h"
#include "mux.h"
#include "reason.h"
#include "sink.h"
#include <stdint.h>

enum req_msg_type {
	REQ_GRANT,  /* from a keeper: run at this engine */
	REQ_REFUSE, /* from a keeper: refused before it ran */
	REQ_TOKEN,  /* from an engine: one event, its data line in data */
	REQ_END,    /* the generation is complete, or a service answered: its answer in data */
	REQ_FAIL,   /* an exchange failed */
	REQ_VIEW_CHANGED,   /* members or engines changed: the keeper may have to change */
	REQ_READER_BLOCKED, /* a write to the reader would block or failed */
	REQ_CLAIM_REPLY,    /* from a claim's home: the result, the recorded answer in data */
};

struct req_msg {
	struct req_msg *next;
	enum req_msg_type type;
	uint32_t attempt; /* of the exchange that sent it; others are dropped */
	union {
		struct {
			uint64_t keeper, engine;
			int64_t waited_us;
		} grant;
		struct {
			uint64_t keeper;
			uint32_t why, retry_after_ms;
		} refuse;
		struct {
			uint32_t offset;
			int64_t at_us;
		} token;
		struct {
			long status;
			char type[64];
		} end;
		struct {
			uint32_t result;
			int status;
			char content[64];
		} claimed;
		struct {
			struct err err;
			enum retry why;
			int sent;    /* the request may have reached the other side */
			long status; /* HTTP, 0 when none came */
		} fail;
	} u;
	uint32_t len;
	char data[];
};

struct req;

/* Registers a request; NULL when limit requests are open. */
struct req *req_new(uint32_t limit);
uint64_t req_handle(const struct req *r);
void req_ref(struct req *r);
void req_unref(struct req *r);
/* Removes the request from the table and drops the reference; messages that arrive later for
 * its handle are dropped. */
void req_close(struct req *r);

struct req_msg *req_msg_new(enum req_msg_type type, uint32_t attempt, const char *data,
			    uint32_t len);
/* Appends a message, which the queue then owns. */
void req_post(struct req *r, struct req_msg *m);
/* The same by handle; frees the message and returns -ENOENT when the request is closed. */
int req_post_to(uint64_t handle, struct req_msg *m);
/* Records the keeper that holds the request's ticket; 0: none. */
void req_set_keeper(struct req *r, uint64_t keeper);
/* Whether the request is open and that keeper holds its ticket. */
int req_has_keeper(uint64_t handle, uint64_t keeper);
/* Posts a message without data to every open request. */
void req_broadcast(enum req_msg_type type);

/* Takes all queued messages, oldest first, waiting for one until deadline_us (monotonic). NULL
 * when there is none by then. */
struct req_msg *req_wait(struct req *r, int64_t deadline_us);

/* Sets the request's sink, which is freed with the request. With a socket, the tokens of the
 * sink's attempt are written directly to the reader. Without one they are queued as messages,
 * and the request's thread is woken at each token, or with each 0 for batches of them. */
void req_set_sink(struct req *r, struct sink *s, int each);
/* The caller may access the sink between these two calls. */
struct sink *req_lock_sink(struct req *r);
void req_unlock_sink(struct req *r);

/* Adds a token; called by the thread of the engine links. Returns 1 when so much is queued that
 * the exchange should pause. */
int req_add_token(struct req *r, uint32_t attempt, uint32_t offset, const char *data,
		  uint32_t len);
/* Writes the tokens of one read to the reader's socket; called after the last of them. */
void req_flush_tokens(struct req *r, uint32_t attempt);

/* Records the paused exchange; req_wait resumes it when its tokens have been consumed. */
void req_set_paused(struct req *r, struct mux *m, struct mux_xfer *x);

/* Number of open requests. */
uint32_t req_count(void);
#endif
