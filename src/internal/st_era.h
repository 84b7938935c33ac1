/* The newest era that answers of the platform's store have stated. */
#ifndef SH_ST_ERA_H
#define SH_ST_ERA_H
#include <stdint.h>

/* 0 before the first. */
uint64_t st_era(void);
/* An answer stated that era. 0, or -EINVAL if it does not fit into a st_rev. */
int st_era_stated(uint64_t era);
/* An answer stated an era that can't be read: counted, logged once in a row. Returns the
 * present era, of which the answer is taken to be. */
uint64_t st_era_unread(const char *text);
/* Called when another era than the first one is known, before the answer that stated it
 * completes; set once, may be NULL. The store has lost the leases of the era before. */
extern void (*st_on_era)(void);
#endif
