/* One entry instance: its listeners, its readiness, its end. */
#ifndef SH_ENTRY_H
#define SH_ENTRY_H
#include "entry_cfg.h"

/* Starts everything on the event loop; on failure e tells which part. */
int entry_start(struct entry_cfg *c, struct err *e);
/* Takes changed settings over, as far as a running instance can. */
void entry_reload(const struct entry_cfg *c);
/* Leaves: not ready, out of the directory, what is under way is finished. */
void entry_drain(void);
/* Whether nothing is left to wait for. */
int entry_drained(void);
void entry_stop(void);
#endif
