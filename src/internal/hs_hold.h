/* Limits on the answer bytes buffered for slow callers, of each and of all together. */
#ifndef SH_HS_HOLD_H
#define SH_HS_HOLD_H
#include "hs.h"

/* Starts to enforce max, in bytes, over all callers of the listener. Beyond it, on_end is
 * called for callers that take nothing, then for any, those with the most buffered bytes first;
 * it must end the connection. */
void hs_hold_start(struct hs_listener *l, size_t max, void (*on_end)(struct hs *h));
/* Whether more of the answer for h's caller may be read from its server now. If not, reading
 * continues when the caller has taken what is buffered. */
int hs_may_hold(const struct hs *h);
#endif
