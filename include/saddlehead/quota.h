/*
 * Divides the temporary rate limit of a backend server into shares of whole requests, one for
 * each instance that sends to it. Instances don't coordinate before they send, and all shares
 * together never exceed the server's capacity. Pure functions.
 */
#ifndef SADDLEHEAD_QUOTA_H
#define SADDLEHEAD_QUOTA_H
#include <stdint.h>

#define QUOTA_NEVER INT64_MAX

enum quota_kind {
	QUOTA_COLD,  /* it has just started and would be overloaded by its normal rate */
	QUOTA_LIMIT, /* it announced a rate limit in its answers */
	/* It announced how many rejections it bears; counts requests that it may have no room
	 * for. */
	QUOTA_BRITTLE,
	QUOTA_KINDS
};

/* It is overloaded by more than over * per_s + slack requests in one second. */
struct quota_cold {
	double per_s, over, slack;
};

struct quota_limit {
	double per_s;
};

/* It falls over if it rejects more than per_s requests in one second. */
struct quota_brittle {
	double per_s;
};

struct quota_bound {
	enum quota_kind kind;
	union {
		struct quota_cold cold;
		struct quota_limit limit;
		struct quota_brittle brittle;
	} of;
};

/* Window over which the bound is counted, plus the variation of network delay; microseconds. */
int64_t quota_window_us(const struct quota_bound *b);

/* Requests per window that connected instances together may send to it. Two partitions of a
 * fleet may both send this many. At least one for a QUOTA_LIMIT or QUOTA_BRITTLE, however
 * low, as only an answer shows that the bound is over or that there is room again. */
uint32_t quota_sum(const struct quota_bound *b);

/* Share of the instance with this rank (from 0) among the sharers. The shares add up to sum. */
uint32_t quota_share(uint32_t sum, uint32_t sharers, uint32_t rank);

/* Microseconds from one send of an instance to its next if as many sharers take turns. */
int64_t quota_turn_us(const struct quota_bound *b, uint32_t sharers);

/* Send times of one instance. Initialized with zeros. */
struct quota_pace {
	int64_t sent_us; /* last send; later than the actual one if it sent more than its share
			  */
	uint32_t share;
	int started;
};

/* Sets the current share. An instance that gets a share after having none waits as if it had
 * just sent, as another instance or its own earlier incarnation may have used the share until
 * then. earlier_until_us (used in the first call): until when an earlier incarnation may have
 * sent to the server. */
void quota_set_share(struct quota_pace *p, uint32_t share, int64_t earlier_until_us,
		     int64_t now_us);

/* Microseconds until it may send; QUOTA_NEVER without a share. */
int64_t quota_wait_us(const struct quota_pace *p, const struct quota_bound *b, int64_t now_us);

/* Records a send, allowed or not. Sends beyond the share delay later ones. */
void quota_spend(struct quota_pace *p, const struct quota_bound *b, int64_t now_us);

/* A server that may receive a request in first_us and then every gap_us. */
struct quota_server {
	int64_t first_us, gap_us; /* first_us QUOTA_NEVER: no send slot is predictable */
};

/* Microseconds until the send slot of a request with this many requests ahead of it. Changes s.
 */
int64_t quota_slot_us(struct quota_server *s, int n, uint32_t ahead);
#endif
