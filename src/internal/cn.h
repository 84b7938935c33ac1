/* One TCP connection on the event loop: connects, reads, and writes without ever waiting. */
#ifndef SH_CN_H
#define SH_CN_H
#include "ev.h"
#include <glib.h>
#include <netinet/in.h>

struct cn {
	struct ev_fd ev;
	struct sockaddr_in peer;
	GString *out; /* accepted for writing, not taken by the kernel yet */
	size_t out_off;
	uint64_t taken; /* bytes that the kernel took of out, so far */
	uint32_t events;
	int connecting, paused, got_eof;
	void (*on_up)(struct cn *c); /* connected; may be NULL */
	void (*on_data)(struct cn *c, const char *p, size_t n);
	/* The peer closed its side (err 0) or the connection broke (a negative errno). */
	void (*on_end)(struct cn *c, int err);
	void (*on_drain)(struct cn *c); /* all of out was written; may be NULL */
};

/* Starts to connect; on_up or on_end follows. 0 or a negative errno. */
int cn_connect(struct cn *c, const struct sockaddr_in *to);
/* Takes over an accepted descriptor. */
int cn_accepted(struct cn *c, int fd, const struct sockaddr_in *from);
/* A listening socket, or a negative errno. */
int cn_listen(const struct sockaddr_in *at);

/* Never waits: what the kernel does not take is kept and counted by cn_pending. */
void cn_write(struct cn *c, const void *p, size_t n);
size_t cn_pending(const struct cn *c);
/* Reads no more until resumed; the end of the connection is still noticed. */
void cn_pause(struct cn *c, int paused);
/* No callback follows any of these. cn_reset drops unsent bytes and resets. */
void cn_close(struct cn *c);
void cn_reset(struct cn *c);
int cn_open(const struct cn *c);
#endif
