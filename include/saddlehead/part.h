/*
 * What all instances may do together within a window (repeats of requests) is dealt into parts,
 * one for each instance, and nobody is asked before it is used. The parts of all are never
 * more than the whole: also not while instances die, start again, join, or can't hear each
 * other. Pure functions.
 */
#ifndef SADDLEHEAD_PART_H
#define SADDLEHEAD_PART_H
#include <saddlehead/roles.h>
#include <stdint.h>

/* An instance since its start. */
struct part_life {
	int64_t started_us;
	int first_start; /* of the whole fleet: no earlier life has used anything */
	int64_t join_us; /* after it all others know of an instance that starts, and it of them
			  */
	int heard;       /* another instance was, in this life */
};

/* The part (0 to 1) of the one of the n peers that is marked as self. peers: all that it has
 * known lately, whatever their state; they are sorted, and their results set. 0 for as long as
 * an earlier life at the same address may have used the part within window_us, or others may
 * not know this instance yet, and where it knows of others and has heard none. */
double part_mine(const struct part_life *l, struct roles_peer *p, int n, int64_t window_us,
		 int64_t now_us);
#endif
