/* Servers that announce or are suspected to leave: applied here before their entries show it,
 * or while the store is down, and sent to the other instances. */
#ifndef SH_LEAVE_H
#define SH_LEAVE_H
#include "be.h"

/* To be called once, before the mesh's start. */
void leave_start(void);
/* An answer of b itself announces that it leaves; source: which answer. */
void leave_report(struct be *b, const char *source);
/* Its health check fails. */
void leave_report_suspect(struct be *b, const char *source);
#endif
