/*
 * How changes of the lists get to all: those that watch tell the hubs, and each hub passes them
 * on to a part of the instances that stand by. Pure functions of who is believed to be there;
 * nothing is agreed, so that two views that differ for a moment tell one instance twice or not
 * at all, which heartbeats heal.
 */
#ifndef SADDLEHEAD_SPREAD_H
#define SADDLEHEAD_SPREAD_H
#include <stdint.h>

/* So many hubs tell one instance of all others when a link to it comes up, and beat to it as
 * often as to each other: two may have just died. */
#define SPREAD_TELLERS 3

struct spread_hub {
	uint32_t hash; /* of its address */
	uint32_t dc;   /* its data centre, any number; 0: not told */
};

/* Whether self is among the tellers of the instance to, by the hash of its address. hubs: the n
 * others that live. */
int spread_tells(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		 uint32_t to);
/* Whether self is the one that passes news on to it: of the hubs of its data centre (dc), if
 * there are any, the first in an order that differs from instance to instance. */
int spread_passes_on(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		     uint32_t to, uint32_t dc);

/* News of all changes after one revision up to another came to an instance whose list is
 * complete up to *complete. 1: they go on from there, and it is complete up to the later one
 * from now on; 0: changes between are missing, and have to be asked for. */
int spread_take(uint64_t *complete, uint64_t after, uint64_t upto);
#endif
