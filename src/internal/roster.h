/* Discovery of other instances through leased keys in the platform's store, so that a new
 * instance finds the others even if all its seeds are gone. */
#ifndef SH_ROSTER_H
#define SH_ROSTER_H
#include "entry_cfg.h"

void roster_start(const struct entry_cfg *c);
/* Releases the lease. */
void roster_leave(void);
#endif
