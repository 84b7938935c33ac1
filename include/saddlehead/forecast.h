/* When a generation that finds no room now can begin: a pure function of what runs. */
#ifndef SADDLEHEAD_FORECAST_H
#define SADDLEHEAD_FORECAST_H
#include <stdint.h>

#define FORECAST_NEVER INT64_MAX /* nothing that is known will make room for it */

/* One engine, with the loads of all instances together. */
struct forecast_site {
	int64_t usable_in_us; /* 0: now; FORECAST_NEVER: it leaves */
	uint32_t tokens;      /* its memory; 0: not told */
	uint32_t used;        /* of it, now */
	uint32_t growth;      /* what its runs are still expected to make, all together */
	uint32_t runs;
	double token_us; /* from one token of a run to its next */
};

/* Microseconds until need tokens of memory are free on one of n engines, after so many tokens
 * that waited before; 0: there is room now. */
int64_t forecast_room_us(const struct forecast_site *s, int n, uint32_t need, uint64_t before);
#endif
