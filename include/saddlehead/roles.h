/*
 * Which instances take callers (active), which keep all others informed (hubs: the active ones
 * and a few more), and which of these ask the platform's store for all: pure functions of who
 * is known. All instances come to about the same answer from the same beliefs, without asking
 * each other. The rest of a large fleet stands by.
 */
#ifndef SADDLEHEAD_ROLES_H
#define SADDLEHEAD_ROLES_H
#include <stdint.h>

/* Active instances, where there are so many: a loss of one meets a sixteenth of the callers,
 * and each knows within some ms what the others send. */
#define ROLES_ACTIVE 16
/* So many are active even where only some links are wide: a loss of one is felt, but not much.
 */
#define ROLES_ACTIVE_MIN 6
/* A link of less than this part of the widest takes no callers beyond that: whoever holds a
 * stream there waits while a new configuration comes, for most of a second on 10 Mbit/s. */
#define ROLES_NARROW_PART 4
/* Hubs beside them, which ask the store: whatever happens to one of these meets no caller. */
#define ROLES_SPARE 3

enum roles_state {
	ROLES_ALIVE, /* heard lately */
	ROLES_TRIED, /* not heard yet: it may be starting */
	ROLES_AWAY   /* dead, or about to stop */
};

/* One instance as a candidate; the one that asks is among them. */
struct roles_peer {
	int link_mbps; /* 0: not told */
	uint32_t hash; /* of its address: the order among equal links */
	enum roles_state state;
	int store_down; /* its last call to the store failed */
	int self;
	int active, hub; /* set by roles_choose */
	void *user;
};

/* Sorts the n peers by rank, the widest links first. Of those that are not away the first
 * ROLES_ACTIVE become active, or fewer where the next ones' links are narrow; these and the
 * next ROLES_SPARE become hubs. */
void roles_choose(struct roles_peer *p, int n);

/* The rest take what roles_choose has left. */

/* Whether self watches the store for all: one of the first hubs that it answers,
 * those without callers before the others. */
int roles_watches(const struct roles_peer *p, int n);

/* Whether self goes on asking a store that answers no hub. */
int roles_asks(const struct roles_peer *p, int n);

/* Whether the store answers some hub, as far as is known. */
int roles_store_answers(const struct roles_peer *p, int n);

/* An instance whose configuration grows too old. */
struct roles_old {
	int hub;
	int asks;              /* roles_asks */
	int store_up;          /* the store answered its last call, or it made none */
	int64_t rest_until_us; /* drawn (roles_rest_us) when its configuration grew old */
};

/* Whether it asks the store itself. One that stands by hears of the store from hubs and does
 * not find out alone: hundreds that each try once are a burst of calls in every outage. */
int roles_may_ask(const struct roles_old *o, int64_t now_us);

/* Microseconds that an instance which is not to ask rests before it asks all the same: the
 * whole fleet does so about once in two seconds, whatever its size. draw: any number. */
int64_t roles_rest_us(int instances, uint32_t draw);
#endif
