/* Servers of a service in an order that differs between instances: those of the given data
 * centre first, each data centre's ring starting at the instance's hash. */
#ifndef SH_BE_RING_H
#define SH_BE_RING_H
#include <stdint.h>

struct be;

/* Returns 0 to stop the walk. */
typedef int be_visit(struct be *b, void *arg);
/* Calls f for the servers of the service, whatever their state. from: a hash of the instance,
 * spread over all 32 bits, so that two instances start at distant places. */
void be_walk(const char *service, const char *dc, uint32_t from, be_visit *f, void *arg);

/* For be.c: a server is listed or forgotten. */
void be_ring_add(struct be *b);
void be_ring_remove(struct be *b);
#endif
