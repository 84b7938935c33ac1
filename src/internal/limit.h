/* Limits that backend servers name in their answers, as this instance knows them. */
#ifndef SH_LIMIT_H
#define SH_LIMIT_H
#include "be.h"

/* An answer to what was sent then names this limit; negative: it names none. */
void limit_said(struct be *b, double per_s, int64_t sent_us);
#endif
