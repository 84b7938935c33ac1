/*
 * The network path from this instance to the backend servers (path). A failure to reach a
 * server may be the server's or the path's. It is decided by evidence: whether a connection
 * from here comes up, and if none does, whether one comes up through another instance. While
 * the path to one server, or to all, is lost, exchanges go through tunnels (tunnel.h).
 */
#ifndef SH_PATH_H
#define SH_PATH_H
#include "be.h"

/* Result of a check. */
enum path_verdict {
	PATH_DIRECT, /* it accepts connections from here */
	PATH_AROUND, /* only through another instance */
	PATH_DOWN,   /* neither; or there is no other instance */
	PATH_UNKNOWN /* not from here, and none of those that were asked could tell */
};

void path_start(void);
/* A connection from this instance to b came up. */
void path_connected(struct be *b);
/* An exchange with b has been silent since then, or broke off then, which a lost path would
 * explain: b is blamed for it once the path is known to be good, or b to be down for others
 * too. */
void path_blame(struct be *b, const char *why, int64_t since_us);
/* The same for a connection that was refused or did not come up. */
void path_blame_unreached(struct be *b, int err);
/* Checks whether b is reached. Its verdict is reported to path_on_verdict. */
void path_check(struct be *b);
/* Called with each verdict; set once, may be NULL. */
extern void (*path_on_verdict)(struct be *b, enum path_verdict v);
/* Called when a connection from here was refused, before the verdict; set once, may be NULL. */
extern void (*path_on_refused)(struct be *b);

/* Called after the path to all servers was found to be lost; set once, may be NULL. */
extern void (*path_on_lost)(void);

/* A connection from this instance to b did not come up, on behalf of another instance: the path
 * may be lost. Nobody is blamed. */
void path_doubt(struct be *b);
/* Whether a connection to b may be made only to find out whether it comes up. */
int path_may_try(const struct be *b);
/* Whether the path to all servers is lost, and was found to be so by at_us (monotonic). */
int path_is_lost_since(int64_t at_us);
/* Whether exchanges with b have to go through another instance now. */
int path_is_around(const struct be *b);
/* Starts a check of a lost path to b if the last one is some time ago. */
void path_recheck(struct be *b);
#endif
