/* Shares of a group's ceiling of running requests, granted by the group's home to the keepers
 * with demand. Pure: no thread, clock or socket. The granted shares that have not lapsed never
 * add up to more than the ceiling, except for requests that were running when the ceiling was
 * lowered. A holder uses only the response to its latest request. */
#ifndef SH_SHARE_H
#define SH_SHARE_H
#include <stdint.h>

#define SHARE_HOLDERS_MAX 256
/* A share lapses at its holder before it does at the home. */
#define SHARE_TTL_HOLDER_US 3000000
#define SHARE_TTL_HOME_US 4000000
/* For this long a new home only confirms shares that are held. */
#define SHARE_GRACE_US 700000

struct share_request {
	uint64_t group;
	uint32_t held;    /* current share, 0 after it lapsed */
	uint32_t running; /* requests of the group that run at this keeper's engines */
	uint32_t demand;  /* running and waiting requests */
};

struct share_holder {
	uint64_t member;
	uint32_t share, running, demand;
	uint32_t held; /* from its last request: in use until it has received a lower share */
	int64_t until_us;
};

struct share_home {
	uint64_t group; /* the key */
	int64_t created_us;
	struct share_holder holder[SHARE_HOLDERS_MAX];
	uint32_t n;
};

/* Processes a member's request and returns the share that it has from now on. */
uint32_t share_grant(struct share_home *h, uint64_t member, const struct share_request *req,
		     uint32_t ceiling, int64_t now_us);

/* Fixed part that a holder may use after its share has lapsed. */
uint32_t share_default(uint32_t ceiling, uint32_t keepers);
#endif
