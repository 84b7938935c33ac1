/* Predicts when enough memory becomes free for a generation that fits on no engine now. A pure
 * function of the running generations. */
#ifndef SADDLEHEAD_FORECAST_H
#define SADDLEHEAD_FORECAST_H
#include <stdint.h>

#define FORECAST_NEVER INT64_MAX /* no running generation will free enough memory */

/* One engine, with the load from all instances. */
struct forecast_engine {
	int64_t usable_in_us; /* 0: now; FORECAST_NEVER: it is leaving */
	uint32_t tokens;      /* capacity of its memory; 0: unknown */
	uint32_t used;        /* tokens of memory in use */
	uint32_t growth; /* tokens that its running generations are expected to generate, summed
			  */
	uint32_t runs;
	double token_us; /* interval between two tokens of a generation */
};

/* Microseconds until need tokens of memory are free on one of n engines, if requests that need
 * queued_tokens in total are served first; 0: now. */
int64_t forecast_wait_us(const struct forecast_engine *s, int n, uint32_t need,
			 uint64_t queued_tokens);
#endif
