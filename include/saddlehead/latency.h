/* Expected answer time of a server, from the answers that it gave. Pure functions; times are
 * microseconds of one monotonic clock. */
#ifndef SADDLEHEAD_LATENCY_H
#define SADDLEHEAD_LATENCY_H
#include <stdint.h>

struct latency {
	double us;        /* moving average; 0: no sample yet */
	double dev_us;    /* mean deviation from it */
	uint32_t samples; /* answers in it */
	int64_t at_us;    /* time of the newest evidence for it */
};

void latency_observe(struct latency *l, int64_t took_us, int64_t now_us);
/* No answer has come within waited_us, which confirms an average that is higher. */
void latency_observe_timeout(struct latency *l, int64_t waited_us, int64_t now_us);
/* Time within which nearly all answers come; 0: no sample yet. */
double latency_most_us(const struct latency *l);
/* Uncertainty of the average, 0 to 1: a few samples may be chance, and old ones say little. */
double latency_uncertainty(const struct latency *l, int64_t now_us);
#endif
