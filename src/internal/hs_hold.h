/* What callers have not taken yet of their answers: bounded for each and for all together. */
#ifndef SH_HS_HOLD_H
#define SH_HS_HOLD_H
#include "hs.h"

/* most: bytes, of all callers of the listener. Beyond it those are ended that take nothing, and
 * then those that are owed most: on_end is called, which ends the connection. */
void hs_hold_start(struct hs_listener *l, size_t most, void (*on_end)(struct hs *h));
/* Whether more may be read for h's caller now; else its answer is read on when it has taken
 * what is there. */
int hs_may_hold(const struct hs *h);
#endif
