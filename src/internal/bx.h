/* Exchanges with backend servers (bx) of any kind. Each one starts here, so that the notices in
 * every answer are read and every request counts towards the server's rate limit. */
#ifndef SH_BX_H
#define SH_BX_H
#include "be.h"
#include "hx.h"

/* Starts an exchange with b, as hx_start. */
int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us);
#endif
