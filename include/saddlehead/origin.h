/*
 * Which software version began a stream, by a key of the attempt that brought its first event:
 * kept for streams whose callers may take them up elsewhere. Bounded in number and in time.
 * Pure functions: times come from the caller.
 */
#ifndef SADDLEHEAD_ORIGIN_H
#define SADDLEHEAD_ORIGIN_H
#include <stdint.h>

#define ORIGIN_MAX 65536 /* streams; 48 bytes each, and as much for the index */

/* Of one stream. version 0: two versions were stated for the key, so that neither counts. */
struct origin {
	uint64_t key, version;
	int64_t noted_us;   /* when it was last stated here */
	int64_t expires_us; /* forgotten from then on */
};

struct origins;
struct origins *origins_new(void);
void origins_free(struct origins *t);
/* Records the version, until expires_us or the later time that is known already. Returns 1 if
 * that is news: the key is new, or has another version. When full, the one stated longest ago
 * is forgotten. */
int origins_put(struct origins *t, uint64_t key, uint64_t version, int64_t now_us,
		int64_t expires_us);
/* NULL: unknown, or expired. Valid until the next origins_put. */
const struct origin *origins_get(const struct origins *t, uint64_t key, int64_t now_us);
#define ORIGIN_NEWEST UINT64_MAX
/* Visits up to most places of the table, from the one before *place on, the last statement
 * first: start with ORIGIN_NEWEST. Calls f for streams that have not expired. Returns whether
 * more places follow, and stores in *place where to go on, whatever was stated meanwhile. */
int origins_visit(const struct origins *t, uint64_t *place, uint32_t most, int64_t now_us,
		  void (*f)(const struct origin *o, void *arg), void *arg);
uint32_t origins_count(const struct origins *t);
/* Streams forgotten before their time, as the table was full. */
uint64_t origins_dropped(const struct origins *t);
#endif
