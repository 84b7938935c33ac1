/* A short fixed set of chaos runs; they fail only if a guarantee is broken. */
#include "chaos.h"
#include "check.h"

static void seed(uint32_t s)
{
	struct chaos_result r = chaos_run(s, 8, 0);

	CU_ASSERT(r.requests > 0);
	CU_ASSERT_EQUAL(chaos_broken(&r), 0);
}

static void chaos_seed_1(void)
{
	seed(1);
}

static void chaos_seed_2(void)
{
	seed(2);
}

static void chaos_seed_3(void)
{
	seed(3);
}

static const struct check list[] = {
	{"chaos_seed_1", chaos_seed_1},
	{"chaos_seed_2", chaos_seed_2},
	{"chaos_seed_3", chaos_seed_3},
};
CHECK_MAIN(list)
