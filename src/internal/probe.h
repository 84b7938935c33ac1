/* Asks engines whether they leave while the cached lists are too old to show it, and how far
 * their runs are. */
#ifndef SH_PROBE_H
#define SH_PROBE_H
#include "dialect.h"

void probe_start(void);
/* Asks b for its report, unless a probe of it is in flight or it may get no request now. */
void probe_ask_report(struct be *b);
/* Called with each report of an engine that is not leaving; set once, before probe_start. */
extern void (*probe_on_report)(struct be *b, const struct dl_report *r);
#endif
