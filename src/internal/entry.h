/* One entry instance: its listeners, readiness and shutdown. */
#ifndef SH_ENTRY_H
#define SH_ENTRY_H
#include "entry_cfg.h"

/* Starts everything on the event loop; on failure e names the part that failed. */
int entry_start(struct entry_cfg *c, struct err *e);
/* Applies changed settings, as far as a running instance can. */
void entry_reload(const struct entry_cfg *c);
/* Starts leaving: no longer ready, no longer listed in the directory; requests in flight are
 * completed. */
void entry_drain(void);
/* Whether the instance may stop now. */
int entry_drained(void);
void entry_stop(void);
#endif
