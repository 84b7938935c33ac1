/* Output of a generation to the reader.
 *
 * The thread of the engine links writes the tokens of a stream directly to the reader's socket
 * without blocking, so no other thread has to wake. Bytes that the socket does not accept stay
 * in out, and the request's own thread is notified to wait for the reader. The request's lock
 * protects all fields. */
#ifndef SH_SINK_H
#define SH_SINK_H
#include "met.h"
#include <glib.h>
#include <stdint.h>

/* Bytes buffered for a slow reader above which the engine's stream pauses. */
#define SINK_OUT_MAX 65536

struct sink {
	int fd;            /* of the reader; -1: the request's thread writes through CivetWeb */
	uint32_t attempt;  /* the attempt whose tokens are accepted; 0: none */
	uint32_t next;     /* offset of the next token from the engine */
	uint32_t received; /* tokens received since the request began */
	int started;       /* the headers were added to out */
	int reader_gone;   /* a write failed: the reader has left */
	int reader_blocked; /* the request's thread was notified to wait for the reader */
	int64_t arrived_us, last_us, stall_us;
	struct met_group *met;
	char prefix[160];     /* of event ids; empty: events have no id */
	char head[512];       /* HTTP status line and headers */
	GString *out, *event; /* bytes not yet written; scratch space for one event */
};

struct sink *sink_new(struct met_group *met, int64_t arrived_us);
void sink_free(struct sink *s);

/* Updates offset, times and metrics for a token. */
void sink_count_token(struct sink *s, uint32_t offset, int64_t at_us);
/* Append to out: an event, text as one HTTP chunk, the chunk that ends the body. */
void sink_add_event(struct sink *s, uint32_t offset, const char *data, uint32_t len);
void sink_add_chunk(struct sink *s, const char *text, size_t n);
void sink_add_last_chunk(struct sink *s);
/* Writes what the socket accepts without blocking: 0 when out is empty, -EAGAIN when bytes
 * remain, -EPIPE when the reader has left. */
int sink_write(struct sink *s);
#endif
