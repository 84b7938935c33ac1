/* Estimates lengths of generations, and related times, from completed generations. */
#ifndef SADDLEHEAD_LENGTH_H
#define SADDLEHEAD_LENGTH_H
#include <stdint.h>

/* Statistics of one route. Lengths are modelled as lognormal, and callers' hints as the length
 * times a lognormal factor. */
struct length_stats {
	double n, mean, var;     /* of ln(tokens) */
	double hint_n, hint_var; /* of ln(hint / tokens) */
	double token_us;         /* interval between two tokens; 0: no sample yet */
	double first_token_us;   /* time from sending to the first token; 0: no sample yet */
	double wait_factor; /* ratio of actual to predicted waits for memory; 0: no sample yet
			     */
	uint32_t answers;   /* answers that came in time, streamed or not */
};

/* Records a generation that ended by itself after this many tokens. hint: the caller's
 * estimate, 0: none. */
void length_observe(struct length_stats *s, uint32_t tokens, uint32_t hint);
/* Records that it generated this many tokens, the first one excluded, in took_us. */
void length_observe_pace(struct length_stats *s, uint32_t tokens, int64_t took_us);
/* Records a wait for memory that was predicted as forecast_us from memory use alone. A request
 * that was refused counts only if it waited longer than predicted. */
void length_observe_wait(struct length_stats *s, int64_t waited_us, int64_t forecast_us);
/* Returns the prediction corrected by the recent ratio of actual to predicted waits. */
int64_t length_corrected_wait_us(const struct length_stats *s, int64_t forecast_us);
/* Records the time from sending a generation to its first token. */
void length_observe_first_token(struct length_stats *s, int64_t took_us);
/* Expected number of tokens still to come after those generated so far. max_tokens: the
 * caller's limit, 0: none. */
uint32_t length_remaining(const struct length_stats *s, uint32_t hint, uint32_t max_tokens,
			  uint32_t generated);
#endif
