/* A non-blocking TCP connection (cn_) on the event loop. */
#ifndef SH_CN_H
#define SH_CN_H
#include "ev.h"
#include <glib.h>
#include <netinet/in.h>

struct cn {
	struct ev_fd ev;
	struct sockaddr_in peer;
	GString *out; /* queued for writing; from out_off on not sent yet */
	size_t out_off;
	uint64_t sent; /* bytes of out passed to the kernel so far */
	uint32_t events;
	int connecting, paused, got_eof;
	int end_in_order; /* the peer's close is reported after all that it sent before, also if
			     reading was paused; set before cn_connect */
	void *filter;     /* of a tunnel, which has replaced the callbacks; or NULL */
	void (*on_connected)(struct cn *c); /* connection established; may be NULL */
	void (*on_data)(struct cn *c, const char *p, size_t n);
	/* The peer closed its side (err 0) or the connection failed (a negative errno). */
	void (*on_end)(struct cn *c, int err);
	void (*on_drain)(struct cn *c); /* all queued bytes were sent; may be NULL */
};

/* Starts to connect; on_connected or on_end follows. Returns 0 or a negative errno. */
int cn_connect(struct cn *c, const struct sockaddr_in *to);
/* Takes ownership of an accepted descriptor. */
int cn_accepted(struct cn *c, int fd, const struct sockaddr_in *from);
/* Returns a listening socket or a negative errno. */
int cn_listen(const struct sockaddr_in *at);

/* Never blocks: what the kernel does not take is queued and counted by cn_pending. */
void cn_write(struct cn *c, const void *p, size_t n);
size_t cn_pending(const struct cn *c);
/* After the peer closed its side: delivers what it sent before and was not read while reading
 * was paused. */
void cn_read_rest(struct cn *c);
/* Stops or resumes reading. The end of the connection is still reported while paused, but a
 * close by the peer only without end_in_order. */
void cn_pause(struct cn *c, int paused);
/* Both close without a callback. cn_reset drops unsent bytes and sends a reset. */
void cn_close(struct cn *c);
void cn_reset(struct cn *c);
int cn_is_open(const struct cn *c);
#endif
