/* Concurrency limit of calls to plain services: a place is one open call from this instance to
 * a service's backend server. */
#ifndef SH_PLACES_H
#define SH_PLACES_H
#include "view.h"

/* Takes a place at the backend server of the service with the fewest open calls, this data
 * centre preferred. Backend servers with limit open calls and the one with id avoid (0: none)
 * are skipped. NULL if none is left; then *any says whether the service has one that is not
 * leaving and not avoid. */
const struct backend *places_acquire(const struct view *v, uint64_t service, uint32_t limit,
				     uint64_t avoid, int *any);
/* Returns a place after the call. */
void places_release(uint64_t backend);
#endif
