/* State of a running instance that its threads share. */
#ifndef SH_NODE_H
#define SH_NODE_H
#include "cfg.h"
#include "mux.h"
#include "wire.h"
#include <stdatomic.h>

struct node {
	struct cfg cfg;
	struct mbr_info self;
	struct mux *engines, *platform;
	atomic_int stopping;
	_Atomic int64_t drain_us; /* when draining began, monotonic; 0: not draining */
	int doc_table, doc_event_key;
	int first_list; /* index of the first platform list; one list per data centre follows */
};

extern struct node node;

/* Starts all threads; on failure e names the part that did not start. */
int node_start(const struct cfg *c, struct err *e);
void node_drain(void);
/* Whether this instance has drained for where.ttl_ms: no address of it that a caller was given
 * is valid any longer, and new requests are refused. */
int node_address_lapsed(void);
/* Whether draining is complete: node_address_lapsed, and no request is open. */
int node_drained(void);
void node_stop(void);

/* keeper.c */
int keeper_start(void);
/* Waits for the thread's end. Other threads may still queue messages, so the queue stays until
 * keeper_free. */
void keeper_join(void);
/* Once no other thread runs. */
void keeper_free(void);
/* Queues a message from a member for this instance's core. */
int keeper_post(const struct wire_msg *m, uint64_t from);

/* tickets.c: sends a ticket or claim message to an instance, which may be this one. */
int ticket_send(uint64_t member, const struct wire_msg *m);
/* Dispatches such a message received from a member. */
void ticket_deliver(const struct wire_msg *m, uint64_t from);

/* platform.c */
void platform_start(void);
void platform_stop(void);

/* event_id.c: signed event ids; a reader can resume its stream with one at any instance. */
void event_id_set_key(const char *key, size_t len);
int event_id_write(char *out, size_t max, const char *engine, const char *gen,
		   const char *group);
struct event_id {
	char engine[64], gen[64];
	uint32_t offset;
};
/* 0, or -EBADMSG if id was not signed with the event key for this group. */
int event_id_read(const char *id, const char *group, struct event_id *out);
#endif
