/* Rollouts (ro_): new versions of services that are introduced on an operator's order. Decides
 * which servers may receive a request meanwhile, collects the results of exchanges for the
 * verdict on the version, and tracks the stage. */
#ifndef SH_RO_H
#define SH_RO_H
#include "be.h"
#include "entry_cfg.h"

/* Role of a server in a rollout of its service: a bit in ro_role of struct be, which is 0
 * without a rollout. */
enum ro_role {
	RO_OLD = 1,
	RO_NEW = 2,
	RO_CANARY = 4, /* of the new version, receives the requests for canaries */
	RO_ANY = 7
};

/* Called once, before the mesh starts. Keeps a reference to c. */
void ro_start(const struct entry_cfg *c);

/* Roles, as bits, that may receive a request of the service. fresh: it was not sent to any
 * server yet. */
uint32_t ro_allowed(const char *service, int fresh);
/* The same if no server with these roles is usable. */
uint32_t ro_allowed_fallback(const char *service);
static inline int ro_matches(const struct be *b, uint32_t roles)
{
	return !b->ro_role || (b->ro_role & roles);
}

/* A request is sent to b. first: for the first time. */
void ro_note_sent(const struct be *b, int first);

enum ro_result {
	RO_OK,
	RO_FAILED, /* the server's own failure */
	RO_BROKEN, /* broken off or silent; many at one crashing server count once */
};
/* An exchange with b ended. route: any number that identifies the route; took_us as in
 * rollout_record. */
void ro_note_result(struct be *b, uint32_t route, enum ro_result result, int64_t took_us);
#endif
