/* Checks of the path to a server, for path.c: a connection from here, then through other
 * instances. */
#ifndef SH_PATH_CHECK_H
#define SH_PATH_CHECK_H
#include "path.h"

/* Begins at the second step: a connection from here failed with err. No effect beyond that
 * while a check of b is in progress. */
void path_check_around(struct be *b, int err);
/* Tries a connection from here alone; no effect while a check of b is in progress. */
void path_check_here(struct be *b);
/* Whether a check of b in progress failed to connect from here. */
int path_check_failed_here(const struct be *b);
/* In path.c: called when the connection from here has failed, before a verdict. */
void path_unreached(struct be *b);
/* In path.c: called with the verdict. */
void path_verdict_reached(struct be *b, enum path_verdict v);
#endif
