/* A shard: many claims in one value of the key-value service. No thread, clock or socket. */
#ifndef SH_CLAIM_SHARD_H
#define SH_CLAIM_SHARD_H
#include "claim.h"

#define CLAIM_SHARD_BYTES_MAX 1000000 /* the service accepts values up to a megabyte */

enum claim_state { CLAIM_CLAIMED, CLAIM_DONE, CLAIM_LOST };

struct claim_record {
	char key[CLAIM_KEY_HEX + 1], attempt[CLAIM_ATTEMPT_MAX + 1], content_type[64];
	enum claim_state state;
	uint64_t body_hash;
	int64_t at_ms;
	int status;
	char *answer;
	gsize answer_len;
	char *text; /* the record as written in the value */
};

struct claim_shard {
	GHashTable *records; /* key -> struct claim_record */
	gsize bytes;         /* of all records' texts, with separators */
	int dirty;           /* changed since it was parsed or written to the service */
};

void claim_shard_init(struct claim_shard *s);
void claim_shard_free(struct claim_shard *s);
/* Replaces all records by those of the value's text; -EINVAL when it is not a JSON object. */
int claim_shard_parse(struct claim_shard *s, const char *text);
/* The value's text; free with g_free. */
char *claim_shard_format(const struct claim_shard *s, gsize *len);

/* Drops records older than keep_ms. */
void claim_shard_expire(struct claim_shard *s, int64_t now_ms, int64_t keep_ms);

/* Applies one operation and sets out; free out->answer with g_free. */
void claim_shard_apply(struct claim_shard *s, const struct claim_op *op, int64_t now_ms,
		       struct claim_reply *out);
#endif
