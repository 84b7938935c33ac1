/*
 * Assigns roles to instances: active (receive caller traffic), hub (the active ones and a few
 * more; they distribute updates to all others), and those hubs that watch the platform's store
 * for the fleet. The other instances of a large fleet are standby. Pure functions of the
 * member list: all instances come to nearly the same result without coordination.
 */
#ifndef SADDLEHEAD_ROLES_H
#define SADDLEHEAD_ROLES_H
#include <stdint.h>

/* Number of active instances in a large fleet: the loss of one affects a sixteenth of the
 * callers, and they exchange their loads within some ms. */
#define ROLES_ACTIVE 16
/* Minimum of active instances, even if only a few links are wide; limits the effect of losing
 * one. */
#define ROLES_ACTIVE_MIN 6
/* Beyond that minimum an instance is not active if its link has less than this part of the
 * widest link's bandwidth: streams through it would stall while a new configuration is fetched,
 * for most of a second at 10 Mbit/s. */
#define ROLES_NARROW_PART 4
/* Additional hubs, which watch the store: the failure of one of them affects no caller. */
#define ROLES_SPARE 3

enum roles_state {
	ROLES_ALIVE,  /* a message was received from it lately */
	ROLES_UNSEEN, /* no message was received yet: it may be starting */
	ROLES_GONE    /* dead or leaving */
};

/* One instance as a candidate; the calling instance is among them. */
struct roles_peer {
	int link_mbps; /* 0: unknown */
	uint32_t hash; /* hash of its address: breaks ties between equal links */
	enum roles_state state;
	int store_down; /* its last call to the store failed */
	int self;
	int active, hub; /* set by roles_assign */
	void *user;
};

/* Sorts the n peers by rank, widest links first, and sets their roles. Of those that are not
 * ROLES_GONE the first ROLES_ACTIVE become active, fewer if the following ones have narrow
 * links; these and the next ROLES_SPARE become hubs. */
void roles_assign(struct roles_peer *p, int n);

/* The following functions take the result of roles_assign. */

/* Whether self watches the store for the fleet: one of the first hubs that the store answers,
 * inactive ones first. */
int roles_watches(const struct roles_peer *p, int n);

/* Whether self keeps calling a store that answers no hub. */
int roles_retries_store(const struct roles_peer *p, int n);

/* Whether the store answers at least one hub, according to the local view. */
int roles_store_up(const struct roles_peer *p, int n);

/* State of an instance whose configuration gets too old. */
struct roles_stale {
	int hub;
	int retries_store;        /* result of roles_retries_store */
	int store_up;             /* the store answered its last call, or it made none */
	int64_t backoff_until_us; /* drawn by roles_backoff_us when its configuration became too
				     old */
};

/* Whether it may call the store itself. A standby instance learns from hubs that the store is
 * back instead of trying: hundreds of instances that each try once would be a burst of calls in
 * every outage. */
int roles_may_call(const struct roles_stale *o, int64_t now_us);

/* Back-off in microseconds after which an instance calls the store although it is not selected
 * to. The whole fleet makes such a call about every two seconds, whatever its size. draw: a
 * random number. */
int64_t roles_backoff_us(int instances, uint32_t draw);
#endif
