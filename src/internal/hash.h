/* Hashes for names and rendezvous placement (xxhash). */
#ifndef SH_HASH_H
#define SH_HASH_H
#include <stddef.h>
#include <stdint.h>

/* The 64-bit id of the name of a group, service, engine or member. Never 0. */
uint64_t hash_name(const char *name);
uint64_t hash_bytes(const void *p, size_t n);
/* Rendezvous score of placing key on node. */
uint64_t hash_score(uint64_t key, uint64_t node);
#endif
