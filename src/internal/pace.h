/* When this instance may send a backend server its next request, where the server bears only so
 * many: one that is cold, or that named a limit, of which each instance has a share that it
 * works out; or one that asked this instance for rest. */
#ifndef SH_PACE_H
#define SH_PACE_H
#include "be.h"
#include <saddlehead/quota.h>

/* Once, at the start. */
void pace_start(void);
/* Of servers that are cold, see struct quota_cold. */
void pace_set_cold(double over, double slack);
/* Until when b is cold: as it said, or as one that is back may be before it has said so; 0: it
 * is not. */
int64_t pace_cold_until_us(const struct be *b, const struct conf_service *s, int64_t now);
/* Microseconds until this instance may send it a request; 0: now; QUOTA_NEVER: not as far as is
 * known. */
int64_t pace_wait_us(struct be *b, const struct conf_service *s, int64_t now);
/* The same once it may: until the one after. */
int64_t pace_gap_us(struct be *b, const struct conf_service *s, int64_t now);
/* Whether it names a limit of which this instance has no share, as others have all of it. */
int pace_is_others(const struct be *b);
/* What it waits for longest. */
enum pace_why { PACE_FREE, PACE_COLD, PACE_LIMIT, PACE_REST, PACE_WHYS };
enum pace_why pace_why(struct be *b, const struct conf_service *s, int64_t now);
/* Adds to a log line what bounds it: why, its share of how many, how old the word is. */
void pace_log(GString *line, struct be *b, const struct conf_service *s);
/* It was sent one, whether it might be or not. */
void pace_sent(struct be *b, const struct conf_service *s);

/* It asked this instance for rest. */
void pace_rest(struct be *b, int64_t for_us);
/* Whether an exchange that begins now counts among those after a rest. */
int pace_begins_after_rest(struct be *b);
/* Such an exchange was answered without another word of rest; and it is over. */
void pace_went_well(struct be *b);
void pace_over_after_rest(struct be *b);
#endif
