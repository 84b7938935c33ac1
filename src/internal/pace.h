/* When this instance may send a backend server its next request. Cold servers and servers that
 * named a rate limit are shared: each instance computes its own share. A server may also ask
 * this instance for back-off. */
#ifndef SH_PACE_H
#define SH_PACE_H
#include "be.h"
#include <saddlehead/quota.h>

/* To be called once, at the start. */
void pace_start(void);
/* Bounds for cold servers, see struct quota_cold. */
void pace_set_cold(double over, double slack);
/* Until when b is cold: as it announced, or as assumed of a server that became available and
 * has not announced it yet; 0: it is not. */
int64_t pace_cold_until_us(const struct be *b, const struct conf_service *s, int64_t now);
/* Microseconds until this instance may send it a request; 0: now; QUOTA_NEVER: unknown. */
int64_t pace_wait_us(struct be *b, const struct conf_service *s, int64_t now);
/* Microseconds from one request that may be sent to the next. */
int64_t pace_gap_us(struct be *b, const struct conf_service *s, int64_t now);
/* Whether it named a limit of which other instances have all shares, and this one none. */
int pace_lacks_share(const struct be *b);
/* The bound with the longest wait. */
enum pace_why { PACE_FREE, PACE_COLD, PACE_LIMIT, PACE_BACKOFF, PACE_BRITTLE, PACE_WHYS };
enum pace_why pace_why(struct be *b, const struct conf_service *s, int64_t now);
/* Adds to a log line which bound applies, this instance's share of it among how many sharers,
 * and how long ago the server announced it. */
void pace_log(GString *line, struct be *b, const struct conf_service *s);
/* Counts a request that was sent to it, whether it was allowed or not. */
void pace_sent(struct be *b, const struct conf_service *s);

/* It asked this instance for back-off. */
void pace_backoff(struct be *b, int64_t for_us);
/* Counts an exchange that begins now if it is one after a back-off; returns whether it is. */
int pace_begin_after_backoff(struct be *b);
/* Such an exchange was answered without another request for back-off. */
void pace_succeeded_after_backoff(struct be *b);
/* Such an exchange is over. */
void pace_end_after_backoff(struct be *b);
#endif
