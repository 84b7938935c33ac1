/* The table of streams and the versions that began them: bounded in number and in time. */
#include "check.h"
#include <saddlehead/origin.h>

#define S INT64_C(1000000)

static uint64_t version_at(const struct origins *t, uint64_t key, int64_t now)
{
	const struct origin *o = origins_get(t, key, now);

	return o ? o->version : 0;
}

static void a_stream_is_kept_until_its_time_is_over(void)
{
	struct origins *t = origins_new();

	CU_ASSERT_EQUAL(origins_put(t, 7, 1, 0, 10 * S), 1);
	CU_ASSERT_EQUAL(version_at(t, 7, 10 * S - 1), 1);
	CU_ASSERT_EQUAL(version_at(t, 7, 10 * S), 0);
	CU_ASSERT_EQUAL(version_at(t, 8, 0), 0);
	origins_free(t);
}

static void a_stream_that_is_stated_again_is_kept_longer(void)
{
	struct origins *t = origins_new();

	origins_put(t, 7, 1, 0, 10 * S);
	CU_ASSERT_EQUAL(origins_put(t, 7, 1, 5 * S, 30 * S), 0);
	CU_ASSERT_EQUAL(version_at(t, 7, 20 * S), 1);
	/* A late statement does not shorten it. */
	origins_put(t, 7, 1, 6 * S, 8 * S);
	CU_ASSERT_EQUAL(version_at(t, 7, 20 * S), 1);
	CU_ASSERT_EQUAL(origins_count(t), 1);
	origins_free(t);
}

/* Two attempts with one id: neither version is taken for the other's. */
static void two_versions_of_one_key_are_none(void)
{
	struct origins *t = origins_new();

	origins_put(t, 7, 1, 0, 10 * S);
	CU_ASSERT_EQUAL(origins_put(t, 7, 2, 1, 10 * S), 1);
	CU_ASSERT_EQUAL(version_at(t, 7, 2), 0);
	CU_ASSERT_EQUAL(origins_put(t, 7, 1, 3, 10 * S), 0);
	CU_ASSERT_EQUAL(version_at(t, 7, 4), 0);
	origins_free(t);
}

static void a_full_table_forgets_the_one_stated_longest_ago(void)
{
	struct origins *t = origins_new();
	uint64_t key;

	for (key = 1; key <= ORIGIN_MAX; key++) origins_put(t, key, 1, (int64_t)key, 100 * S);
	origins_put(t, 1, 1, S, 100 * S);
	CU_ASSERT_EQUAL(origins_dropped(t), 0);
	origins_put(t, ORIGIN_MAX + 1, 1, S, 100 * S);
	CU_ASSERT_EQUAL(version_at(t, 1, 2 * S), 1);
	CU_ASSERT_EQUAL(version_at(t, 2, 2 * S), 0);
	CU_ASSERT_EQUAL(version_at(t, ORIGIN_MAX + 1, 2 * S), 1);
	CU_ASSERT(origins_count(t) <= ORIGIN_MAX);
	CU_ASSERT(origins_dropped(t) > 0);
	origins_free(t);
}

static void what_has_expired_makes_room(void)
{
	struct origins *t = origins_new();
	uint64_t key;

	for (key = 1; key <= 4 * (uint64_t)ORIGIN_MAX; key++) {
		int64_t now = (int64_t)key * 1000;

		origins_put(t, key, 1, now, now + 1000 * (ORIGIN_MAX / 2));
	}
	CU_ASSERT_EQUAL(origins_dropped(t), 0);
	CU_ASSERT(origins_count(t) <= ORIGIN_MAX / 2 + 1);
	origins_free(t);
}

static void count(const struct origin *o, void *n)
{
	*(int *)n += o->version == 1;
}

static void a_visit_calls_for_what_is_kept(void)
{
	struct origins *t = origins_new();
	uint64_t place = ORIGIN_NEWEST;
	int n = 0;

	origins_put(t, 1, 1, 0, 10 * S);
	origins_put(t, 2, 1, 0, 20 * S);
	origins_put(t, 2, 1, 1, 20 * S);
	CU_ASSERT_EQUAL(origins_visit(t, &place, 10, 15 * S, count, &n), 0);
	CU_ASSERT_EQUAL(n, 1);
	CU_ASSERT_EQUAL(origins_visit(t, &place, 10, 15 * S, count, &n), 0);
	CU_ASSERT_EQUAL(n, 1);
	origins_free(t);
}

#define STREAMS 100

/* What is stated between two parts is newer than all that is left. */
static void a_visit_in_parts_misses_nothing(void)
{
	struct origins *t = origins_new();
	uint64_t key, place = ORIGIN_NEWEST;
	int n = 0, parts = 1;

	for (key = 1; key <= STREAMS; key++) origins_put(t, key, 1, 0, 10 * S);
	while (origins_visit(t, &place, 7, 0, count, &n)) {
		origins_put(t, STREAMS + (uint64_t)parts++, 1, 0, 10 * S);
		CU_ASSERT(parts <= STREAMS);
	}
	CU_ASSERT_EQUAL(n, STREAMS);
	CU_ASSERT_EQUAL(parts, (STREAMS + 6) / 7);
	origins_free(t);
}

/* The places that a visit was to go on at have been used anew. */
static void a_visit_of_what_was_forgotten_ends(void)
{
	struct origins *t = origins_new();
	uint64_t key, place = ORIGIN_NEWEST;
	int n = 0;

	for (key = 1; key <= STREAMS; key++) origins_put(t, key, 1, 0, 10 * S);
	CU_ASSERT_EQUAL(origins_visit(t, &place, 7, 0, count, &n), 1);
	for (key = 1; key <= ORIGIN_MAX; key++) origins_put(t, STREAMS + key, 1, 0, 10 * S);
	CU_ASSERT_EQUAL(origins_visit(t, &place, 7, 0, count, &n), 0);
	CU_ASSERT_EQUAL(n, 7);
	origins_free(t);
}

static const struct check list[] = {
	{"a_stream_is_kept_until_its_time_is_over", a_stream_is_kept_until_its_time_is_over},
	{"a_stream_that_is_stated_again_is_kept_longer",
	 a_stream_that_is_stated_again_is_kept_longer},
	{"two_versions_of_one_key_are_none", two_versions_of_one_key_are_none},
	{"a_full_table_forgets_the_one_stated_longest_ago",
	 a_full_table_forgets_the_one_stated_longest_ago},
	{"what_has_expired_makes_room", what_has_expired_makes_room},
	{"a_visit_calls_for_what_is_kept", a_visit_calls_for_what_is_kept},
	{"a_visit_in_parts_misses_nothing", a_visit_in_parts_misses_nothing},
	{"a_visit_of_what_was_forgotten_ends", a_visit_of_what_was_forgotten_ends},
};

CHECK_MAIN(list)
