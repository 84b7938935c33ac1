/* Asynchronous client (st_) of the platform's key-value service. Each call completes once,
 * through its callback. An adapter in platform/ implements it. */
#ifndef SH_STORE_H
#define SH_STORE_H
#include "st_rev.h"
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

struct st_item {
	const char *key;
	const char *value; /* NULL: the key was deleted */
	size_t len;
	st_rev revision; /* of the last change */
};

struct st_reply {
	/* 0, -ENOENT (no such key or lease), -ESTALE (the history since that revision is no
	 * longer kept), -ECANCELED (a condition did not hold), -EBUSY (over the service's rate
	 * limit), -EAGAIN (nothing was done), or another negative errno: no usable answer, and
	 * a change may have been made or may still be made. */
	int rc;
	st_rev revision; /* the service's revision; 0: the answer does not state it */
	struct st_item *items;
	size_t n;
	int more; /* a range continues after the last item */
	uint64_t lease;
	int64_t sent_us; /* monotonic; the answer is no older than this */
};

typedef void st_done(const struct st_reply *r, void *user);

struct st_condition {
	const char *key;
	st_rev revision; /* revision that the key must have; 0: it must be absent */
};
#define ST_CONDITIONS_MAX 32 /* of one change: the limit of the service */

/* A change, made only if all conditions hold. */
struct st_change {
	const struct st_condition *conditions;
	int nconditions;
	const char *put_key; /* NULL: only the conditions are tested */
	const char *value;
	size_t len;
	uint64_t lease; /* 0: none */
};

struct st_call;
void st_init(const struct sockaddr_in *at);
/* Lists the items whose keys begin with prefix, starting behind the key after (NULL: at the
 * first). */
struct st_call *st_range(const char *prefix, const char *after, st_done *done, void *user);
/* Completes with the changes after the revision, or empty after wait_ms. -ESTALE for a revision
 * of an earlier era: the history since then was lost. */
struct st_call *st_watch(const char *prefix, st_rev after, int64_t wait_ms, st_done *done,
			 void *user);
/* -ECANCELED without items if a condition names a revision of an earlier era that the present
 * era has given out again. */
struct st_call *st_commit(const struct st_change *c, st_done *done, void *user);
struct st_call *st_lease(int64_t ttl_ms, st_done *done, void *user);
struct st_call *st_renew(uint64_t lease, st_done *done, void *user);
/* Bytes of the answer's body received so far. */
size_t st_received(const struct st_call *c);
/* No callback follows. The service may still process the call. */
void st_cancel(struct st_call *c);
/* Ends a lease and deletes its keys, without waiting for the answer. */
void st_release(uint64_t lease);
#endif
