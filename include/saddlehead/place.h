/* Which backend server gets a request: pure functions of what is known. */
#ifndef SADDLEHEAD_PLACE_H
#define SADDLEHEAD_PLACE_H
#include <stdint.h>

/* Candidates of one choice: more find no better one by what a request costs, and each costs
 * some tens of ns. */
#define PLACE_SITES_MAX 128

/* One backend server as a candidate. Loads are those of all instances together. */
struct place_site {
	int usable;
	int near;         /* in the same data centre as the one that asks (or as the source) */
	int away;         /* in another region: what goes there crosses a narrow link */
	uint32_t slots;   /* requests at once; 0: not told */
	uint32_t runs;    /* requests on it */
	uint32_t unread;  /* prompt tokens that wait to be read there */
	uint32_t held;    /* tokens of memory that its requests have, and soon will */
	uint32_t backup;  /* the same of copies for requests elsewhere */
	uint32_t used;    /* tokens of memory that both have now */
	uint32_t inbound; /* tokens that are being moved there */
	uint32_t tokens;  /* its memory in tokens; 0: not told */
	double answer_us; /* moving average of its answers; 0: none yet */
	/* How little is known of that, 0 to 1: so much of what it lies above the least of all
	 * is left out. */
	double doubt;
};

struct place_job {
	uint32_t prompt; /* tokens */
	uint32_t growth; /* tokens it will make, as far as foreseen */
	/* Generations that others send meanwhile, of which this instance can't know. */
	double rivals;
};

/* For a generation: where its memory fits and its first token comes soonest, drawn among as
 * many of the cheapest that its rivals seldom take the same. The index, or -1 when none is
 * usable. */
int place_generation(const struct place_site *s, int n, const struct place_job *j,
		     uint32_t draw);

/* For a generation that runs already and is to be moved: where its memory fits and arrives
 * soonest; else as place_generation. */
int place_move(const struct place_site *s, int n, const struct place_job *j, uint32_t draw);

/* For a copy of a generation that runs on site main: where memory is free up to percent of it,
 * the copy included. -1: nowhere. */
int place_backup(const struct place_site *s, int n, int main, const struct place_job *j,
		 uint32_t percent, uint32_t draw);

/* For a plain call: the least busy, the nearer one of equals. -1 when none is usable. */
int place_call(const struct place_site *s, int n, uint32_t draw);

/* Whether a plain call with so much time left can still be expected to be answered there. */
int place_call_in_time(const struct place_site *s, int64_t left_us);

/* Whether a generation's memory fits there without pressing others out. */
int place_fits(const struct place_site *s, const struct place_job *j);

/* Microseconds in which an engine reads so many prompt tokens between those that it makes. */
int64_t place_reading_us(uint32_t tokens);

/* Whether a generation that fits there had better wait for another engine: one that is sent
 * can't go elsewhere any more. waited_us: so far; aim_us: of its first token. */
int place_waits(const struct place_site *s, int64_t waited_us, int64_t aim_us);
#endif
