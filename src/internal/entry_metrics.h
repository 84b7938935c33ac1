/* What an instance serves to operators on its metrics address, and what they may change there.
 */
#ifndef SH_ENTRY_METRICS_H
#define SH_ENTRY_METRICS_H
#include "hs.h"

/* GET /blocked: quarantined requests. DELETE /blocked/FP: lifts the quarantine of that one
 * everywhere. GET /waiting: the requests that wait here, and the services that this instance
 * keeps. Anything else: the metrics. */
void metrics_on_request(struct hs *h);
#endif
