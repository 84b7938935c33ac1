/* Rate limit that a backend server announces; keeps the newest announcement. Pure functions. */
#ifndef SADDLEHEAD_LIMIT_H
#define SADDLEHEAD_LIMIT_H
#include <stdint.h>

#define LIMIT_NONE (-1.0)

/* One announcement. The exact time is unknown: it lies between sending the request and
 * receiving the answer. */
struct limit_report {
	double per_s; /* requests per second from all instances together; LIMIT_NONE: unlimited
		       */
	int64_t from_us, to_us; /* monotonic clock; 0: nothing was announced yet */
};

/* Replaces current by report if it is newer. If their time spans overlap either may be the
 * newer one, so the stricter one is kept. Returns 1 if the limit in force changed. */
int limit_update(struct limit_report *current, const struct limit_report *report);
#endif
