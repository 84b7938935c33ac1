/* How long generations come to be, learnt from those that ended: nobody knows it ahead. */
#ifndef SADDLEHEAD_LENGTH_H
#define SADDLEHEAD_LENGTH_H
#include <stdint.h>

/* Of one route. Lengths are taken as lognormal, callers' hints as off by a lognormal factor. */
struct length_stats {
	double n, mean, var;     /* of ln(tokens) */
	double hint_n, hint_var; /* of ln(hint / tokens) */
	double token_us;         /* from one token to the next; 0: none was seen yet */
	double start_us;         /* from sending to the first token; 0: none was seen yet */
	double wait_times;       /* waits for room, by those worked out; 0: none was seen yet */
	uint32_t answers;        /* that came in time, streams or not */
};

/* A generation ended by itself after so many tokens. hint: the caller's guess, 0: none. */
void length_observe(struct length_stats *s, uint32_t tokens, uint32_t hint);
/* It made so many tokens in so many microseconds, its first one not counted. */
void length_observe_pace(struct length_stats *s, uint32_t tokens, int64_t took_us);
/* One waited so long for room, and would have waited for worked_out_us by the forecast alone.
 * One that was refused before counts as far as it waited longer. */
void length_observe_wait(struct length_stats *s, int64_t waited_us, int64_t worked_out_us);
/* What is worked out, as waits have been lately. */
int64_t length_wait_us(const struct length_stats *s, int64_t worked_out_us);
/* Its first token came so many microseconds after it was sent. */
void length_observe_start(struct length_stats *s, int64_t took_us);
/* Tokens that one is still expected to make which made so many. most: the caller's bound, 0:
 * none. */
uint32_t length_remaining(const struct length_stats *s, uint32_t hint, uint32_t most,
			  uint32_t made);
#endif
