/* What a backend server said of the requests that it takes, by the newest word: pure functions.
 */
#ifndef SADDLEHEAD_LIMIT_H
#define SADDLEHEAD_LIMIT_H
#include <stdint.h>

#define LIMIT_NONE (-1.0)

/* One word of it. When the server said it is not known, only that it was not before the request
 * was sent, nor after the answer came. */
struct limit_word {
	double per_s; /* requests from all instances together; LIMIT_NONE: any number */
	int64_t from_us, to_us; /* monotonic; 0: it has said nothing yet */
};

/* Takes w in place of what is known if it is newer. Of two that overlap either may be the newer
 * one: then the stricter one counts. 1 when the number in force changed. */
int limit_take(struct limit_word *known, const struct limit_word *w);
#endif
