/* Asks engines whether they leave while the platform's lists are too old to tell, and how far
 * their runs are. */
#ifndef SH_PROBE_H
#define SH_PROBE_H
#include "dialect.h"

void probe_start(void);
/* Asks b for its report, unless an answer of it is under way or it wants no request now. */
void probe_ask_report(struct be *b);
/* Called with each report of one that does not leave; set once, before the start. */
extern void (*probe_on_report)(struct be *b, const struct dl_report *r);
#endif
