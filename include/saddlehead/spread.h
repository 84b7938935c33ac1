/*
 * Distribution of list changes: instances that watch the store send them to the hubs, and each
 * hub forwards them to a part of the standby instances. Pure functions of the local member
 * list without coordination. While two views differ, an instance may get an update twice or
 * not at all; heartbeats repair that.
 */
#ifndef SADDLEHEAD_SPREAD_H
#define SADDLEHEAD_SPREAD_H
#include <stdint.h>

/* Number of hubs that send an instance the full member list when a link to it comes up, and
 * send it heartbeats as often as to each other. Two may have just failed. */
#define SPREAD_PRIMARIES 3

struct spread_hub {
	uint32_t hash; /* hash of its address */
	uint32_t dc;   /* number that identifies its data centre; 0: unknown */
};

/* Whether self is one of the SPREAD_PRIMARIES hubs of the instance to (the hash of its
 * address). hubs: the n other live hubs. */
int spread_is_primary(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		      uint32_t to);
/* Whether self forwards updates to that instance: the first hub of its data centre dc, or of
 * all hubs if dc has none, in an order that differs from instance to instance. */
int spread_forwards(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		    uint32_t to, uint32_t dc);

/* Applies an update with all changes after revision after up to revision upto to an instance
 * whose list is complete up to *complete. Returns 1 if the update is contiguous, and advances
 * *complete; 0 if changes before it are missing and have to be fetched. */
int spread_apply(uint64_t *complete, uint64_t after, uint64_t upto);
#endif
