/* Servers that leave, or may, by what they say themselves: known before their entries tell, or
 * while the store is away, and told to the other instances. */
#ifndef SH_LEAVE_H
#define SH_LEAVE_H
#include "be.h"

/* Once, before the mesh's start. */
void leave_start(void);
/* b's own answer says so; said_by: which. */
void leave_said(struct be *b, const char *said_by);
/* Its health check fails. */
void leave_suspected(struct be *b, const char *said_by);
#endif
