/* Exchanges with backend servers, of whatever kind: each begins here, so that what a server
 * says of itself is read from every answer and what it bears is counted for every request. */
#ifndef SH_BX_H
#define SH_BX_H
#include "be.h"
#include "hx.h"

/* As hx_start, with b. */
int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us);
#endif
