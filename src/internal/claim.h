/* Claims on calls that must run at most once.
 *
 * A call's key is claimed by compare-and-swap before the call is sent. Many claims are stored
 * in one value, a shard. One instance, the shard's home, receives all operations on its claims
 * and writes them in batches. Two homes at the same time are safe, as the compare-and-swap
 * detects the conflict. */
#ifndef SH_CLAIM_H
#define SH_CLAIM_H
#include "err.h"
#include <glib.h>
#include <stdint.h>

#define CLAIM_SHARDS 16
#define CLAIM_KEY_HEX 40
#define CLAIM_ATTEMPT_MAX 39
#define CLAIM_ANSWER_MAX 16384 /* bytes of a recorded answer; a longer one counts as lost */

enum claim_result {
	CLAIM_ACQUIRED,   /* this attempt holds the claim and may send the call, once */
	CLAIM_ANSWERED,   /* the call ran before; its recorded answer follows */
	CLAIM_RUNNING,    /* another attempt holds the claim and may be running */
	CLAIM_UNKNOWN,    /* the call may have run, and its answer is lost */
	CLAIM_CONFLICT,   /* another body, or another attempt holds the claim */
	CLAIM_FULL,       /* the shard is full; the call is not sent */
	CLAIM_UNAVAILABLE /* the platform can't be reached; the call is not sent */
};

enum claim_op_type {
	CLAIM_OP_ACQUIRE,
	CLAIM_OP_ANSWER, /* record the answer */
	CLAIM_OP_LOST,   /* sent, and its answer is lost: retries get CLAIM_UNKNOWN */
	CLAIM_OP_RELEASE /* the call was not sent: the key may be claimed again */
};

struct claim_op {
	enum claim_op_type type;
	char key[CLAIM_KEY_HEX + 1], attempt[CLAIM_ATTEMPT_MAX + 1], content_type[64];
	uint64_t body_hash;
	int64_t ttl_ms; /* a claim is CLAIM_RUNNING for so long, then CLAIM_UNKNOWN */
	int status;
	const char *answer;
	uint32_t answer_len;
};

struct claim_reply {
	enum claim_result result;
	int status;
	char content_type[64]; /* of the answer */
	char *answer;
	uint32_t answer_len;
};

struct req;

/* Initializes an operation on the claim of group, service and idempotency key with a new
 * attempt id. */
void claim_op_init(struct claim_op *op, const char *group, const char *service,
		   const char *idem_key, uint64_t body_hash, int64_t ttl_ms);
/* Sends the operation to the shard's home and waits for the reply, little longer than the
 * platform's time-out; CLAIM_UNAVAILABLE when there is none. */
void claim_execute(struct req *r, const struct claim_op *op, struct claim_reply *out);
void claim_reply_free(struct claim_reply *r);

uint32_t claim_shard_of(const char *key);

/* claims.c: the thread that writes the shards whose home is this instance. */
int claims_start(void);
/* As keeper_join and keeper_free. */
void claims_join(void);
void claims_free(void);
/* Queues a copy of the operation; -EAGAIN when the ring is full. */
int claims_post(uint64_t from, uint64_t request, const struct claim_op *op);
#endif
