/* The latest load that each keeper reported for its services; entries choose a keeper by it. */
#ifndef SH_DIGEST_H
#define SH_DIGEST_H
#include "view.h"
#include <saddlehead/core.h>

void digest_set(uint64_t member, const struct core_digest *d, uint32_t n);
uint32_t digest_get(uint64_t member, struct core_digest *d, uint32_t max);
/* The table's version at a member, and when (monotonic) this instance learned of it. */
void digest_set_table(uint64_t member, uint64_t version, int64_t now_us);
uint64_t digest_get_table(uint64_t member, int64_t *since_us);
/* Removes members that are no longer in the view. */
void digest_prune(const struct view *v);

/*
 * Chooses the keeper for a ticket of so many tokens; 0 when the service has none. Keepers with
 * free capacity come first, and among equals those with engines in data centre dc. avoid (0:
 * none) is chosen only when there is no other. The ticket is added to the keeper's load at
 * once, so that a burst doesn't go to one keeper.
 */
uint64_t digest_choose(const struct view *v, uint64_t service, const char *dc, uint32_t tokens,
		       uint64_t avoid);
#endif
