/* The platform's key-value service as the event loop uses it: each call answers once through
 * its callback. An adapter implements these; tests bring their own service. */
#ifndef SH_STORE_H
#define SH_STORE_H
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

struct st_item {
	const char *key;
	const char *value; /* NULL: the key is gone */
	size_t len;
	uint64_t revision; /* of the change */
};

struct st_reply {
	/* 0, -ENOENT (no such key or lease), -ESTALE (that history is forgotten), -ECANCELED (a
	 * condition did not hold), -EBUSY (over its rate), -EAGAIN (nothing was done), or
	 * another negative errno: no answer, and a change may have been made or may be yet. */
	int rc;
	uint64_t at; /* the service's revision, where the answer tells it */
	struct st_item *items;
	size_t n;
	int more; /* a range goes on after its last item */
	uint64_t lease;
	int64_t sent_us; /* monotonic: the answer is no older than this */
};

typedef void st_done(const struct st_reply *r, void *user);

struct st_condition {
	const char *key;
	uint64_t revision; /* that it stands at; 0: the key is absent */
};
#define ST_CONDITIONS_MAX 32 /* of one change: the service takes no more */

/* One change, made only if all its conditions hold. */
struct st_change {
	const struct st_condition *conditions;
	int nconditions;
	const char *put_key; /* NULL: nothing is written, the condition alone is asked */
	const char *value;
	size_t len;
	uint64_t lease; /* 0: none */
};

struct st_call;
void st_init(const struct sockaddr_in *at);
/* The items whose keys begin so, from after the key after (NULL: from the first). */
struct st_call *st_range(const char *prefix, const char *after, st_done *done, void *user);
/* Answers when something changed after the revision, or empty after wait_ms. */
struct st_call *st_watch(const char *prefix, uint64_t after, int64_t wait_ms, st_done *done,
			 void *user);
struct st_call *st_commit(const struct st_change *c, st_done *done, void *user);
struct st_call *st_lease(int64_t ttl_ms, st_done *done, void *user);
struct st_call *st_renew(uint64_t lease, st_done *done, void *user);
/* Bytes of its answer's body that came so far. */
size_t st_received(const struct st_call *c);
/* No callback follows; what was sent may still be done. */
void st_cancel(struct st_call *c);
/* Ends a lease and its keys; nobody waits for the answer. */
void st_release(uint64_t lease);
#endif
