/* Cold backend servers fall over under what warm ones bear: all instances together keep below
 * that, each by a share that it works out. */
#ifndef SH_COLD_H
#define SH_COLD_H
#include "be.h"
#include <saddlehead/cold.h>

/* over, slack: see struct cold_bound. */
void cold_set_bound(double over, double slack);
/* Until when b is cold: as it said, or as one that is back may be before it has said so; 0: it
 * is not. */
int64_t cold_until_us(const struct be *b, const struct conf_service *s, int64_t now);
/* Microseconds until this instance may send it a request; 0: now. */
int64_t cold_wait_us(const struct be *b, const struct conf_service *s, int64_t now);
/* It was sent one, whether it might be or not. */
void cold_sent(struct be *b, const struct conf_service *s);
#endif
