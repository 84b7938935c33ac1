/* Exchanges with backend servers (bx) of any kind. Each one starts here, so that the notices in
 * every answer are read and every request counts towards the server's rate limit. */
#ifndef SH_BX_H
#define SH_BX_H
#include "be.h"
#include "hx.h"
#include "tunnel.h"

/* Starts an exchange with b, as hx_start: through a tunnel if the path to b is lost. */
int bx_start(struct hx *x, struct be *b, GString *request, int64_t connect_us);
/* As bx_start, for a probe or an order of this instance's own. Any answer may ask for back-off,
 * and none shows that the server takes requests again. */
int bx_start_own(struct hx *x, struct be *b, GString *request, int64_t connect_us);
/* Whose failure ended it; TN_NONE if it had no tunnel. Valid in on_end. */
enum tn_fault bx_fault(const struct hx *x);
/* The instance that its tunnel leads through; NULL: it has none. */
const struct sockaddr_in *bx_helper(const struct hx *x);
#endif
