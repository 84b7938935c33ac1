/* A short fixed set of soak runs, and each seed that ever failed with a line on its cause. */
#include "check.h"
#include "soak.h"

static void seed(uint32_t s, int seconds)
{
	CU_ASSERT_EQUAL(soak_run(s, seconds, SOAK_FIRST_KINDS), 0);
}

static void soak_seed_1(void)
{
	seed(1, 15);
}

/* Streams taken early in a planned stop were cut at its end: an engine's pace was a constant.
 */
static void soak_seed_4(void)
{
	seed(4, 19);
}

/* Planned stops, engines that leave and keys that change, all within two seconds. */
static void soak_seed_12(void)
{
	seed(12, 17);
}

/* An entry stayed frozen longer than the checks knew: of two freezes the first ends with the
 * last. */
static void soak_seed_1002(void)
{
	seed(1002, 26);
}

/* Connections to engines fell silent for good: resumable streams that had begun stayed on them
 * until their time was over, and were cut. */
static void soak_seed_80(void)
{
	seed(80, 8);
}

/* With requests that end servers, servers back under their ids, entries by other writers,
 * machines that are suspended. */
static void soak_seed_301(void)
{
	CU_ASSERT_EQUAL(soak_run(301, 15, SOAK_LATER_KINDS), 0);
}

/* All engines ended in half a second under one request; an instance whose machine was suspended
 * meanwhile woke, judged before it had read others' word, and blamed what everybody sends. */
static void soak_seed_431(void)
{
	CU_ASSERT_EQUAL(soak_run(431, 25, SOAK_LATER_KINDS), 0);
}

/* The same of instances whose links were cut. */
static void soak_seed_440(void)
{
	CU_ASSERT_EQUAL(soak_run(440, 8, SOAK_LATER_KINDS), 0);
}

/* All links between instances fell silent for good and were not opened anew: each blamed what
 * everybody sends by the ends of servers that it had seen alone. */
static void soak_seed_738(void)
{
	CU_ASSERT_EQUAL(soak_run(738, 22, SOAK_ALL_KINDS), 0);
}

/* Word of an end was lost with a link that was disturbed for 0.6 s, and told by nobody again.
 */
static void soak_seed_724(void)
{
	CU_ASSERT_EQUAL(soak_run(724, 22, SOAK_ALL_KINDS), 0);
}

/* With servers that name limits, leave by their answers, and ask for rest. */
static void soak_seed_501(void)
{
	CU_ASSERT_EQUAL(soak_run(501, 15, SOAK_ALL_KINDS), 0);
}

static const struct check list[] = {
	{"soak_seed_1", soak_seed_1},     {"soak_seed_4", soak_seed_4},
	{"soak_seed_12", soak_seed_12},   {"soak_seed_1002", soak_seed_1002},
	{"soak_seed_80", soak_seed_80},   {"soak_seed_301", soak_seed_301},
	{"soak_seed_431", soak_seed_431}, {"soak_seed_440", soak_seed_440},
	{"soak_seed_738", soak_seed_738}, {"soak_seed_724", soak_seed_724},
	{"soak_seed_501", soak_seed_501},
};
CHECK_MAIN(list)
