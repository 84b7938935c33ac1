/* Servers of a service in an order that differs from instance to instance: those of one data
 * centre first, from a place on that the instance's number names. */
#ifndef SH_BE_RING_H
#define SH_BE_RING_H
#include <stdint.h>

struct be;

/* 0: it has seen enough. */
typedef int be_seen(struct be *b, void *arg);
/* Shows f the servers of the service, whatever their state. from: the instance's number, spread
 * over all of 32 bits; two of them begin at places that lie apart. */
void be_walk(const char *service, const char *zone, uint32_t from, be_seen *f, void *arg);

/* For be.c: one that is listed or forgotten. */
void be_ring_add(struct be *b);
void be_ring_remove(struct be *b);
#endif
