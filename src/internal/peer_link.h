/* One connection between daemons, with its buffers and frames. */
#ifndef SH_PEER_LINK_H
#define SH_PEER_LINK_H
#include "wire.h"
#include <glib.h>

struct plink {
	int fd, connecting, outgoing, closed;
	int lists_differ;     /* the peer's member list differs from ours */
	int dropping;         /* messages were dropped since the output buffer was last empty */
	uint64_t member;      /* 0: unknown until its hello arrives */
	int64_t last_seen_us; /* when bytes last arrived */
	int64_t doc_queued_us; /* when a large document was last queued; 0: never */
	GByteArray *in;
	msgpack_sbuffer out;
	size_t sent;
	uint32_t events; /* events registered with epoll */
};

struct plink *plink_new(int fd, int connecting, int64_t now_us);
void plink_free(struct plink *l);
/* Starts a non-blocking connection; -1 on failure. */
int plink_connect(const char *ip, uint16_t port);
/* Both return -1 when the link is broken. */
int plink_flush(struct plink *l);
int plink_read(struct plink *l, int (*f)(struct plink *l, struct wire_msg *m));
/* Whether data is queued, or sent and not yet acknowledged by the peer's kernel. */
int plink_sending(const struct plink *l);
/* Appends a message to the output buffer; -EAGAIN when the buffer is full. */
int plink_queue(struct plink *l, const char *frame, size_t n);
#endif
