/* How much of what a cold backend server bears each instance may send it: pure functions. */
#ifndef SADDLEHEAD_COLD_H
#define SADDLEHEAD_COLD_H
#include <stdint.h>

/* What a cold server is said to bear, and where it falls over: above over x per_s + slack
 * requests in one second. */
struct cold_bound {
	double per_s, over, slack;
};

/* Requests a second that instances which hear each other may send it together. Two parts of a
 * fleet that can't hear each other may both send so many. */
uint32_t cold_sum(const struct cold_bound *b);

/* Of it, the part of the instance that is so far from the first (0) of those that share. The
 * parts add up to the sum. */
uint32_t cold_share(uint32_t sum, uint32_t sharers, uint32_t rank);

/* Microseconds from one request of an instance to its next, so that no second has more than its
 * share; COLD_NEVER without a share. */
#define COLD_NEVER INT64_MAX
int64_t cold_gap_us(uint32_t share);
#endif
