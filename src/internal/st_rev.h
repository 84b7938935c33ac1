/*
 * A state of the platform's store (st_rev): its era, and the revision within it. An era begins
 * when the store comes back from a copy; revisions are then given out again. Eras are compared
 * first: the pair is kept in one number, so that states are compared and ordered like numbers.
 */
#ifndef SH_ST_REV_H
#define SH_ST_REV_H
#include <stdint.h>

typedef uint64_t st_rev; /* 0: none */

/* Bits of the revision, enough for 8,900 years of 1,000 changes a second; the era has the rest.
 */
#define ST_REV_BITS 48

static inline st_rev st_rev_of(uint64_t era, uint64_t revision)
{
	return revision ? era << ST_REV_BITS | revision : 0;
}

static inline uint64_t st_rev_era(st_rev r)
{
	return r >> ST_REV_BITS;
}

/* The revision within its era, as the store and earlier releases know it. */
static inline uint64_t st_rev_number(st_rev r)
{
	return r & ((UINT64_C(1) << ST_REV_BITS) - 1);
}
#endif
