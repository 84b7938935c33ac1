#include "hash.h"
#include <string.h>
/* Inlined: a library that is loaded costs every instance memory. */
#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t hash_bytes(const void *p, size_t n)
{
	return XXH3_64bits(p, n);
}

uint64_t hash_name(const char *name)
{
	uint64_t h = hash_bytes(name, strlen(name));

	return h ? h : 1;
}

uint64_t hash_score(uint64_t key, uint64_t node)
{
	uint64_t pair[2] = {key, node};

	return hash_bytes(pair, sizeof pair);
}
