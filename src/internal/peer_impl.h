/* Internals of the peer thread. Only that thread uses its state, but for the command ring. */
#ifndef SH_PEER_IMPL_H
#define SH_PEER_IMPL_H
#include "peer.h"
#include "peer_link.h"
#include "ring.h"
#include <pthread.h>

#define MEMBERS_MAX 8192

struct peer_state {
	int listen_fd, epoll;
	pthread_t thread;
	struct ring cmds;
	struct mbr *mbr;
	GPtrArray *links;
	GHashTable *by_member;    /* the link on which messages to a member are sent */
	struct mbr_info *members; /* buffer for mbr_list */
	int64_t next_heartbeat_us, next_tick_us, published_us;
	int dirty; /* members changed since published_us */
	uint64_t heartbeats;
};

extern struct peer_state peer;

/* peer.c */
void peer_publish(void);
void peer_queue(struct plink *l, const struct wire_msg *m);
void peer_send_hello(struct plink *l);
/* Opens a new link and sends hello on it; with a member, messages to it use this link. NULL
 * when the connection can't be started. */
struct plink *peer_dial(const char *ip, uint16_t port, uint64_t member);
/* Marks the link closed; it is freed at the end of the loop iteration. */
void peer_close(struct plink *l);

/* peer_msg.c. peer_on_msg returns -1 when the link must be closed. */
void peer_ping(struct plink *l, uint64_t to, enum wire_type type);
int peer_on_msg(struct plink *l, struct wire_msg *m);

/* peer_docs.c. Handlers of the versions in a heartbeat, a request for a document, and a
 * received document (-1: the link must be closed). */
void peer_docs_on_versions(uint64_t member, const struct wire_ping *p);
void peer_docs_on_get(struct plink *l, const struct wire_msg *m);
int peer_docs_on_doc(struct plink *l, const struct wire_msg *m);
/* Whether documents are being fetched on this link. */
int peer_docs_is_fetch_link(const struct plink *l);
void peer_docs_on_close(const struct plink *l);
void peer_docs_tick(int64_t now);
#endif
