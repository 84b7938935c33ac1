/* TCP links between daemons, run by one thread; each message is a msgpack frame. */
#ifndef SH_PEER_H
#define SH_PEER_H
#include "err.h"
#include "wire.h"

/* peer_listen binds the port and stores the one chosen; peer_start starts the thread. */
int peer_listen(const char *ip, uint16_t *port, struct err *e);
int peer_start(const struct mbr_info *self, struct err *e);
/* As keeper_join and keeper_free. */
void peer_join(void);
void peer_free(void);

/* Queues a message; -EAGAIN when the ring is full, and the message is counted as dropped. */
int peer_send(uint64_t member, const struct wire_msg *m);

/* Sends heartbeats to a few members at once, after a document changed here. */
void peer_docs_changed(void);
/* Announces to the other members that this instance is leaving. */
void peer_leave(void);
#endif
