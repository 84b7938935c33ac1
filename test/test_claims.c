/* Claims on calls in a shard. */
#include "check.h"
#include "claim_shard.h"
#include <string.h>

#define KEY_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define KEY_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static struct claim_shard shard;
static int64_t now_ms;

static struct claim_op make_op(enum claim_op_type type, const char *key, const char *attempt)
{
	struct claim_op o = {.type = type, .body_hash = 7, .ttl_ms = 1000};

	strcpy(o.key, key);
	strcpy(o.attempt, attempt);
	return o;
}

static enum claim_result apply(const struct claim_op *o)
{
	struct claim_reply r;

	claim_shard_apply(&shard, o, now_ms, &r);
	g_free(r.answer);
	return r.result;
}

static enum claim_result acquire(const char *key, const char *attempt)
{
	struct claim_op o = make_op(CLAIM_OP_ACQUIRE, key, attempt);

	return apply(&o);
}

static void one_attempt_gets_it(void)
{
	now_ms = 1000;
	claim_shard_init(&shard);
	CU_ASSERT_EQUAL(acquire(KEY_A, "1"), CLAIM_ACQUIRED);
	CU_ASSERT_EQUAL(acquire(KEY_A, "1"), CLAIM_ACQUIRED);
	CU_ASSERT_EQUAL(acquire(KEY_A, "2"), CLAIM_RUNNING);
	CU_ASSERT_EQUAL(acquire(KEY_B, "3"), CLAIM_ACQUIRED);
	now_ms += 1000;
	CU_ASSERT_EQUAL(acquire(KEY_A, "2"), CLAIM_UNKNOWN);
	claim_shard_free(&shard);
}

static void only_its_holder_changes_a_claim(void)
{
	struct claim_op o = make_op(CLAIM_OP_RELEASE, KEY_A, "2");

	claim_shard_init(&shard);
	acquire(KEY_A, "1");
	CU_ASSERT_EQUAL(apply(&o), CLAIM_CONFLICT);
	CU_ASSERT_EQUAL(acquire(KEY_A, "3"), CLAIM_RUNNING);
	o = make_op(CLAIM_OP_RELEASE, KEY_A, "1");
	CU_ASSERT_EQUAL(apply(&o), CLAIM_ACQUIRED);
	CU_ASSERT_EQUAL(acquire(KEY_A, "3"), CLAIM_ACQUIRED);
	claim_shard_free(&shard);
}

static void another_body_is_refused(void)
{
	struct claim_op o = make_op(CLAIM_OP_ACQUIRE, KEY_A, "2");

	claim_shard_init(&shard);
	acquire(KEY_A, "1");
	o.body_hash = 8;
	CU_ASSERT_EQUAL(apply(&o), CLAIM_CONFLICT);
	claim_shard_free(&shard);
}

/* Formatting and parsing preserves claims, also answers that are not text. */
static void a_shard_comes_back_the_same(void)
{
	struct claim_op o = make_op(CLAIM_OP_ANSWER, KEY_A, "1");
	struct claim_reply r;
	struct claim_shard copy;
	gsize n, n2;
	char *text, *again;

	claim_shard_init(&shard);
	claim_shard_init(&copy);
	acquire(KEY_A, "1");
	o.answer = "x\0\"\xff";
	o.answer_len = 4;
	o.status = 201;
	strcpy(o.content_type, "text/\"plain\"");
	CU_ASSERT_EQUAL(apply(&o), CLAIM_ACQUIRED);
	acquire(KEY_B, "2");
	o = make_op(CLAIM_OP_LOST, KEY_B, "2");
	apply(&o);
	text = claim_shard_format(&shard, &n);
	CU_ASSERT_EQUAL(claim_shard_parse(&copy, text), 0);
	CU_ASSERT_EQUAL(copy.bytes, shard.bytes);
	again = claim_shard_format(&copy, &n2);
	CU_ASSERT_EQUAL(n, n2);
	g_free(again);
	shard = copy;
	o = make_op(CLAIM_OP_ACQUIRE, KEY_A, "9");
	claim_shard_apply(&shard, &o, now_ms, &r);
	CU_ASSERT_EQUAL(r.result, CLAIM_ANSWERED);
	CU_ASSERT_EQUAL(r.status, 201);
	CU_ASSERT_EQUAL(r.answer_len, 4);
	CU_ASSERT_EQUAL(memcmp(r.answer, "x\0\"\xff", 4), 0);
	CU_ASSERT_STRING_EQUAL(r.content_type, "text/\"plain\"");
	CU_ASSERT_EQUAL(acquire(KEY_B, "9"), CLAIM_UNKNOWN);
	CU_ASSERT(claim_shard_parse(&shard, "[") < 0);
	g_free(r.answer);
	g_free(text);
	claim_shard_free(&shard);
}

static void a_full_shard_refuses_and_old_claims_make_room(void)
{
	char key[64];
	int i, n = 0;

	now_ms = 1000;
	claim_shard_init(&shard);
	for (i = 0; i < 100000; i++) {
		g_snprintf(key, sizeof key, "%040d", i);
		if (acquire(key, "1") == CLAIM_FULL) break;
		n++;
	}
	CU_ASSERT(n > 1000 && n < 100000);
	CU_ASSERT(shard.bytes <= CLAIM_SHARD_BYTES_MAX);
	claim_shard_expire(&shard, now_ms + 5000, 10000);
	CU_ASSERT_EQUAL(acquire(KEY_A, "1"), CLAIM_FULL);
	claim_shard_expire(&shard, now_ms + 20000, 10000);
	CU_ASSERT_EQUAL(shard.bytes, 0);
	CU_ASSERT_EQUAL(acquire(KEY_A, "1"), CLAIM_ACQUIRED);
	claim_shard_free(&shard);
}

static const struct check list[] = {
	{"one_attempt_gets_it", one_attempt_gets_it},
	{"only_its_holder_changes_a_claim", only_its_holder_changes_a_claim},
	{"another_body_is_refused", another_body_is_refused},
	{"a_shard_comes_back_the_same", a_shard_comes_back_the_same},
	{"a_full_shard_refuses_and_old_claims_make_room",
	 a_full_shard_refuses_and_old_claims_make_room},
};
CHECK_MAIN(list)
