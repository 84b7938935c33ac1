/* New versions of services that are brought in on the operators' order: which servers may get a
 * request meanwhile, what their answers tell, and how far it is. */
#ifndef SH_RO_H
#define SH_RO_H
#include "be.h"
#include "entry_cfg.h"

/* The part of a server in a rollout of its service: bits of struct be's ro_part, which is 0
 * where there is none. */
enum ro_part {
	RO_OLD = 1,
	RO_NEW = 2,
	RO_CANARY = 4, /* of the new version, and gets what canaries may get */
	RO_ANY = 7
};

/* Once, before the mesh's start. c is kept. */
void ro_start(const struct entry_cfg *c);

/* Which parts may get a request of the service, as bits. fresh: it was sent nowhere yet. */
uint32_t ro_parts(const char *service, int fresh);
/* The same where none of those servers is usable. */
uint32_t ro_parts_else(const char *service);
static inline int ro_is(const struct be *b, uint32_t parts)
{
	return !b->ro_part || (b->ro_part & parts);
}

/* A request goes to b. first: it was sent nowhere before. */
void ro_sent(const struct be *b, int first);

enum ro_end {
	RO_WELL,
	RO_BADLY, /* its own failure */
	RO_BROKE, /* broken off or silent: a server that ends breaks many, which count once */
};
/* An exchange with b ended. route: any number that names it; took_us as rollout_note has it. */
void ro_ended(struct be *b, uint32_t route, enum ro_end how, int64_t took_us);
#endif
