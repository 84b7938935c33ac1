/* A short fixed set of soak runs, and each seed that has failed, with its cause. */
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

/* Streams accepted early in a planned stop were cut at its end: the pace of an engine was
 * assumed to be a constant. */
static void soak_seed_4(void)
{
	seed(4, 19);
}

/* Planned stops, leaving engines and changed keys, all within two seconds. */
static void soak_seed_12(void)
{
	seed(12, 17);
}

/* An entry was suspended for longer than the checks assumed: of two overlapping suspensions,
 * the first ends with the last. */
static void soak_seed_1002(void)
{
	seed(1002, 26);
}

/* Connections to engines fell silent permanently: resumable streams in progress stayed on them
 * until their time-out, and were cut. */
static void soak_seed_80(void)
{
	seed(80, 8);
}

/* Requests that crash servers, servers that restart under their ids, list entries by other
 * writers, suspended machines. */
static void soak_seed_301(void)
{
	CU_ASSERT_EQUAL(soak_run(301, 15, SOAK_LATER_KINDS), 0);
}

/* One request crashed all engines within half a second. An instance whose machine was suspended
 * meanwhile gave a verdict on resuming, before it had read the updates of others, and
 * quarantined the requests that all callers send. */
static void soak_seed_431(void)
{
	CU_ASSERT_EQUAL(soak_run(431, 25, SOAK_LATER_KINDS), 0);
}

/* The same fault at instances whose links were cut. */
static void soak_seed_440(void)
{
	CU_ASSERT_EQUAL(soak_run(440, 8, SOAK_LATER_KINDS), 0);
}

/* All links between instances fell silent permanently and were not reopened: each quarantined
 * the requests that all callers send, from only the server crashes that it had seen itself. */
static void soak_seed_738(void)
{
	CU_ASSERT_EQUAL(soak_run(738, 22, SOAK_NOTICE_KINDS), 0);
}

/* The report of a crash was lost on a link that failed for 0.6 s, and was not repeated. */
static void soak_seed_724(void)
{
	CU_ASSERT_EQUAL(soak_run(724, 22, SOAK_NOTICE_KINDS), 0);
}

/* Servers that announce rate limits, that they leave, or a back-off in their answers. */
static void soak_seed_501(void)
{
	CU_ASSERT_EQUAL(soak_run(501, 15, SOAK_NOTICE_KINDS), 0);
}

/* Entries without a path to servers, and a store that comes back from a copy. */
static void soak_seed_1201(void)
{
	CU_ASSERT_EQUAL(soak_run(1201, 15, SOAK_RECOVERY_KINDS), 0);
}

/* Streams that end well inside events, engines of several versions, and callers that take up
 * their streams. */
static void soak_seed_3002(void)
{
	CU_ASSERT_EQUAL(soak_run(3002, 15, SOAK_STREAM_KINDS), 0);
}

/* Prompt segments that crash engines: the requests that all callers send were blamed for them.
 */
static void soak_seed_7006(void)
{
	CU_ASSERT_EQUAL(soak_run(7006, 15, SOAK_SEGMENT_KINDS), 0);
}

/* Several times the callers on the streaming routes, with admission over the fleet, while
 * instances and engines end: what waits at their keeper is asked again, and nothing runs twice.
 */
static void soak_seed_8001(void)
{
	CU_ASSERT_EQUAL(soak_run(8001, 15, SOAK_RUSH_KINDS), 0);
}

/* Engines that answer with something else when they are to continue a stream: their answers
 * were written into the stream that the caller had a part of, or ended it. */
static void soak_seed_9204(void)
{
	CU_ASSERT_EQUAL(soak_run(9204, 15, SOAK_ALL_KINDS), 0);
}

static const struct check list[] = {
	{"soak_seed_1", soak_seed_1},       {"soak_seed_4", soak_seed_4},
	{"soak_seed_12", soak_seed_12},     {"soak_seed_1002", soak_seed_1002},
	{"soak_seed_80", soak_seed_80},     {"soak_seed_301", soak_seed_301},
	{"soak_seed_431", soak_seed_431},   {"soak_seed_440", soak_seed_440},
	{"soak_seed_738", soak_seed_738},   {"soak_seed_724", soak_seed_724},
	{"soak_seed_501", soak_seed_501},   {"soak_seed_1201", soak_seed_1201},
	{"soak_seed_3002", soak_seed_3002}, {"soak_seed_7006", soak_seed_7006},
	{"soak_seed_8001", soak_seed_8001}, {"soak_seed_9204", soak_seed_9204},
};
CHECK_MAIN(list)
