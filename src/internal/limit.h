/* Rate limits that backend servers name in their answers: recorded, and sent to the other
 * instances. */
#ifndef SH_LIMIT_H
#define SH_LIMIT_H
#include "be.h"

/* To be called once, before the mesh's start. */
void limit_start(void);
/* The answer to a request sent at sent_us names this limit; negative: it names none. */
void limit_report(struct be *b, double per_s, int64_t sent_us);
#endif
