/* Instances find each other through leased keys in the platform's store: with all seeds gone,
 * a new one still meets the others. */
#ifndef SH_ROSTER_H
#define SH_ROSTER_H
#include "entry_cfg.h"

void roster_start(const struct entry_cfg *c);
/* Gives the lease back. */
void roster_leave(void);
#endif
