/*
 * A fleet-wide budget per time window (of retries) is divided into parts, one for each
 * instance, which uses its part without asking the others. The parts in use never add up to
 * more than the whole, even while instances crash, restart, join or are partitioned. Pure
 * functions.
 */
#ifndef SADDLEHEAD_PART_H
#define SADDLEHEAD_PART_H
#include <saddlehead/roles.h>
#include <stdint.h>

/* One incarnation of an instance. */
struct part_incarnation {
	int64_t started_us;
	int first_start; /* first start of the whole fleet: no earlier incarnation used anything
			  */
	int64_t join_us; /* time after its start by which it and all other instances have
			    discovered each other */
	int seen_others; /* it received a message from another instance since its start */
};

/* Part (0 to 1) of the peer that is marked as self. peers: all that it had in its list lately,
 * in any state; they are sorted, and their results set. 0 as long as an earlier incarnation at
 * the same address may have used the part within window_us or others may not have discovered
 * this instance yet, and 0 if it has other instances in its list but received nothing from any.
 */
double part_of_self(const struct part_incarnation *inc, struct roles_peer *p, int n,
		    int64_t window_us, int64_t now_us);
#endif
