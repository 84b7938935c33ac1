/* Tests of the decision core's rules, one by one. */
#include "check.h"
#include <saddlehead/core.h>
#include <string.h>

#define SVC 7
#define ENG 100

static struct core *c;
static int64_t now;

static struct core_order orders[256];
static int norders;

static void step(struct core_event *ev)
{
	ev->now_us = now;
	CU_ASSERT_EQUAL(core_step(c, ev), 0);
	for (norders = 0; norders < 256 && core_next(c, &orders[norders]);) norders++;
	core_check(c);
}

static void set_up(void)
{
	struct core_config cfg = {.reserve_tokens = 10,
				  .waiting_max = 100,
				  .engine_silent_us = 2000000,
				  .prompt_weight_pc = 100};

	now = 1000000;
	c = core_new(&cfg);
}

static void table(const struct core_group_row *row, uint32_t n)
{
	struct core_event ev = {.type = CORE_EV_TABLE};

	ev.u.table.row = row;
	ev.u.table.n = n;
	step(&ev);
}

static void load(uint64_t id, uint64_t steps, uint32_t used, uint32_t capacity,
		 uint32_t max_running)
{
	struct core_event ev = {.type = CORE_EV_LOAD};

	ev.u.load = (struct core_load){.engine = id,
				       .steps = steps,
				       .used_tokens = used,
				       .capacity_tokens = capacity,
				       .max_running = max_running};
	step(&ev);
}

static void engine(uint64_t id, int leaving)
{
	struct core_event ev = {.type = CORE_EV_ENGINE};

	ev.u.engine.id = id;
	ev.u.engine.service[0] = SVC;
	ev.u.engine.nservices = 1;
	ev.u.engine.leaving = leaving;
	step(&ev);
}

static void ticket(uint64_t group, uint64_t request, uint32_t prompt)
{
	struct core_event ev = {.type = CORE_EV_TICKET};

	ev.u.ticket = (struct core_ticket_info){.ref = {1, request},
						.group = group,
						.service = SVC,
						.prompt_tokens = prompt,
						.arrived_us = now,
						.deadline_us = now + 5000000};
	step(&ev);
}

static void done(uint64_t request, uint32_t generated)
{
	struct core_event ev = {.type = CORE_EV_DONE};

	ev.u.done.ref = (struct core_ref){1, request};
	ev.u.done.generated = generated;
	step(&ev);
}

static void tick(int64_t us)
{
	struct core_event ev = {.type = CORE_EV_TICK};

	now += us;
	step(&ev);
}

static void one_group(void)
{
	struct core_group_row row = {.id = 1, .weight = 1};

	set_up();
	table(&row, 1);
}

static int granted(uint64_t request)
{
	int i;

	for (i = 0; i < norders; i++)
		if (orders[i].type == CORE_GRANT && orders[i].ref.request == request) return 1;
	return 0;
}

static int refused(enum core_refusal why)
{
	return norders == 1 && orders[0].type == CORE_REFUSE && orders[0].why == why;
}

static void grants_when_there_is_room(void)
{
	one_group();
	engine(ENG, 0);
	ticket(1, 1, 100);
	CU_ASSERT_EQUAL(norders, 0); /* the engine has not sent a load report yet */
	load(ENG, 0, 0, 1000, 4);
	CU_ASSERT(granted(1));
	CU_ASSERT_EQUAL(orders[0].engine, ENG);
	CU_ASSERT_EQUAL(core_running(c), 1);
	core_free(c);
}

static void waits_for_memory(void)
{
	one_group();
	engine(ENG, 0);
	load(ENG, 0, 0, 300, 4);
	ticket(1, 1, 200);
	CU_ASSERT(granted(1));
	ticket(1, 2, 100);
	CU_ASSERT_EQUAL(norders, 0);
	done(1, 5);
	CU_ASSERT(granted(2));
	core_free(c);
}

/* A load report may not include recent grants yet; the core must still count them. */
static void counts_its_own_grants(void)
{
	one_group();
	engine(ENG, 0);
	load(ENG, 0, 0, 1000, 10);
	ticket(1, 1, 400);
	ticket(1, 2, 400);
	load(ENG, 0, 0, 1000, 10);
	ticket(1, 3, 400);
	CU_ASSERT_EQUAL(norders, 0);
	core_free(c);
}

static void least_loaded_engine_first(void)
{
	one_group();
	engine(ENG, 0);
	engine(ENG + 1, 0);
	load(ENG, 0, 500, 1000, 4);
	load(ENG + 1, 0, 100, 1000, 4);
	ticket(1, 1, 100);
	CU_ASSERT_EQUAL(orders[0].engine, ENG + 1);
	core_free(c);
}

static void leaving_and_silent_engines_get_nothing(void)
{
	one_group();
	engine(ENG, 1);
	load(ENG, 0, 0, 1000, 4);
	ticket(1, 1, 10);
	CU_ASSERT_EQUAL(norders, 0);
	engine(ENG, 0);
	CU_ASSERT(granted(1));
	tick(2500000);
	ticket(1, 2, 10);
	CU_ASSERT_EQUAL(norders, 0);
	load(ENG, 0, 0, 1000, 4);
	CU_ASSERT(granted(2));
	core_free(c);
}

static void ceilings_hold(void)
{
	struct core_group_row row = {
		.id = 1, .weight = 1, .ceil_running = 1, .limit_running = 1, .ceil_waiting = 1};

	set_up();
	table(&row, 1);
	engine(ENG, 0);
	load(ENG, 0, 0, 10000, 10);
	ticket(1, 1, 10);
	CU_ASSERT(granted(1));
	ticket(1, 2, 10);
	CU_ASSERT_EQUAL(norders, 0);
	ticket(1, 3, 10);
	CU_ASSERT(refused(CORE_REF_WAITING_CEILING));
	CU_ASSERT(orders[0].retry_after_ms > 0);
	done(1, 1);
	CU_ASSERT(granted(2));
	core_free(c);
}

/* The group's share of its ceiling limits its running requests: none at first, then some. */
static void a_share_is_what_may_run(void)
{
	struct core_group_row row = {.id = 1, .weight = 1, .ceil_running = 10};
	struct core_event ev = {.type = CORE_EV_LIMIT};

	set_up();
	table(&row, 1);
	engine(ENG, 0);
	load(ENG, 0, 0, 10000, 10);
	ticket(1, 1, 10);
	ticket(1, 2, 10);
	CU_ASSERT_EQUAL(norders, 0);
	ev.u.limit.group = 1;
	ev.u.limit.running = 1;
	step(&ev);
	CU_ASSERT(granted(1) && !granted(2));
	ev.u.limit.running = 2;
	step(&ev);
	CU_ASSERT(granted(2));
	core_free(c);
}

static void rate_ceiling_holds(void)
{
	struct core_group_row row = {.id = 1, .weight = 1, .ceil_tokens_per_s = 100};

	set_up();
	table(&row, 1);
	engine(ENG, 0);
	load(ENG, 0, 0, 10000, 10);
	ticket(1, 1, 10);
	load(ENG, 300, 0, 10000, 10);
	ticket(1, 2, 10);
	CU_ASSERT_EQUAL(norders, 0);
	tick(1000000);
	CU_ASSERT_EQUAL(norders, 0);
	load(ENG, 300, 0, 10000, 10);
	tick(1500000);
	CU_ASSERT(granted(2));
	core_free(c);
}

/* A group that becomes busy after idling must not be compensated for the time it was idle. */
static void idling_banks_no_credit(void)
{
	struct core_group_row row[2] = {{.id = 1, .weight = 1}, {.id = 2, .weight = 1}};
	int i, second = 0;

	set_up();
	table(row, 2);
	engine(ENG, 0);
	load(ENG, 0, 0, 100000, 1);
	for (i = 0; i < 50; i++) {
		ticket(1, (uint64_t)i, 100);
		done((uint64_t)i, 100);
	}
	ticket(1, 1000, 100);
	for (i = 0; i < 10; i++) {
		ticket(2, 2000 + (uint64_t)i, 100);
		ticket(1, 3000 + (uint64_t)i, 100);
	}
	done(1000, 100);
	for (i = 0; i < 10; i++) {
		CU_ASSERT_EQUAL_FATAL(norders, 1);
		if (orders[0].ref.request < 3000) second++;
		done(orders[0].ref.request, 100);
	}
	CU_ASSERT(second >= 4 && second <= 6);
	core_free(c);
}

static void floors_come_before_weights(void)
{
	struct core_group_row row[2] = {{.id = 1, .weight = 100},
					{.id = 2, .weight = 1, .floor_running = 1}};

	set_up();
	table(row, 2);
	engine(ENG, 0);
	load(ENG, 0, 0, 100000, 1);
	ticket(1, 1, 10);
	ticket(1, 2, 10);
	ticket(2, 3, 5000);
	done(1, 10);
	CU_ASSERT(granted(3));
	core_free(c);
}

static void refuses_at_the_deadline(void)
{
	one_group();
	engine(ENG, 0);
	ticket(1, 1, 10);
	tick(4999999);
	CU_ASSERT_EQUAL(norders, 0);
	tick(1);
	CU_ASSERT(refused(CORE_REF_DEADLINE));
	CU_ASSERT_EQUAL(core_waiting(c), 0);
	core_free(c);
}

static void refuses_what_can_never_run(void)
{
	one_group();
	ticket(1, 1, 10);
	CU_ASSERT(refused(CORE_REF_NO_ENGINE));
	engine(ENG, 0);
	load(ENG, 0, 0, 1000, 4);
	ticket(1, 2, 995);
	CU_ASSERT(refused(CORE_REF_TOO_LONG));
	ticket(9, 3, 10);
	CU_ASSERT(refused(CORE_REF_NOT_ALLOWED));
	core_free(c);
}

/* A failed request closes the engine until its next load report. */
static void a_failure_closes_the_engine_until_it_reports(void)
{
	struct core_event ev = {.type = CORE_EV_DONE};

	one_group();
	engine(ENG, 0);
	load(ENG, 0, 0, 1000, 4);
	ticket(1, 1, 10);
	ev.u.done.ref = (struct core_ref){1, 1};
	ev.u.done.failed = 1;
	step(&ev);
	ticket(1, 2, 10);
	CU_ASSERT_EQUAL(norders, 0);
	load(ENG, 0, 0, 1000, 4);
	CU_ASSERT(granted(2));
	core_free(c);
}

/* When the last engine is gone the waiting tickets are refused at once, so that their entries
 * ask elsewhere. */
static void strands_nobody(void)
{
	struct core_event ev = {.type = CORE_EV_ENGINE_GONE, .u.engine_gone = ENG};

	one_group();
	engine(ENG, 0);
	ticket(1, 1, 10);
	CU_ASSERT_EQUAL(norders, 0);
	step(&ev);
	CU_ASSERT(refused(CORE_REF_NO_ENGINE));
	core_free(c);
}

static void repeats_a_grant_that_was_lost(void)
{
	one_group();
	engine(ENG, 0);
	load(ENG, 0, 0, 1000, 4);
	ticket(1, 1, 10);
	CU_ASSERT(granted(1));
	ticket(1, 1, 10);
	CU_ASSERT(granted(1));
	CU_ASSERT_EQUAL(core_running(c), 1);
	core_free(c);
}

static void forgets_a_dead_entry(void)
{
	struct core_event ev = {.type = CORE_EV_ENTRY_GONE, .u.entry_gone = 1};

	one_group();
	engine(ENG, 0);
	load(ENG, 0, 0, 1000, 1);
	ticket(1, 1, 10);
	ticket(1, 2, 10);
	step(&ev);
	CU_ASSERT_EQUAL(core_waiting(c) + core_running(c), 0);
	core_free(c);
}

static void adopts_what_runs(void)
{
	struct core_event ev = {.type = CORE_EV_ADOPT};

	one_group();
	engine(ENG, 0);
	ev.u.ticket = (struct core_ticket_info){.ref = {1, 1},
						.group = 1,
						.service = SVC,
						.engine = ENG,
						.prompt_tokens = 500,
						.generated = 300};
	step(&ev);
	load(ENG, 1000, 0, 1000, 4);
	ticket(1, 2, 250);
	CU_ASSERT_EQUAL(norders, 0);
	done(1, 310);
	CU_ASSERT(granted(2));
	core_free(c);
}

/* Groups with weights 1:2:4, all backlogged, are served in that proportion. */
static void serves_by_weight(void)
{
	struct core_group_row row[3] = {
		{.id = 1, .weight = 1}, {.id = 2, .weight = 2}, {.id = 3, .weight = 4}};
	uint64_t i, req = 1;
	double s[3];

	set_up();
	table(row, 3);
	engine(ENG, 0);
	load(ENG, 0, 0, 1000000, 1);
	for (i = 0; i < 3; i++) ticket(i + 1, req++, 50);
	for (i = 0; i < 3; i++) ticket(i + 1, req++, 50);
	done(1, 50);
	for (i = 0; i < 2000; i++) {
		struct core_order o = orders[0];

		CU_ASSERT_EQUAL_FATAL(norders, 1);
		ticket((o.ref.request - 1) % 3 + 1, req + (o.ref.request - 1) % 3, 50);
		req += 3;
		done(o.ref.request, 50 + (uint32_t)(i % 37));
	}
	for (i = 0; i < 3; i++) s[i] = core_group_service(c, i + 1);
	CU_ASSERT(s[1] / s[0] > 1.94 && s[1] / s[0] < 2.06);
	CU_ASSERT(s[2] / s[0] > 3.88 && s[2] / s[0] < 4.12);
	core_free(c);
}

static const struct check list[] = {
	{"grants_when_there_is_room", grants_when_there_is_room},
	{"waits_for_memory", waits_for_memory},
	{"counts_its_own_grants", counts_its_own_grants},
	{"least_loaded_engine_first", least_loaded_engine_first},
	{"leaving_and_silent_engines_get_nothing", leaving_and_silent_engines_get_nothing},
	{"ceilings_hold", ceilings_hold},
	{"a_share_is_what_may_run", a_share_is_what_may_run},
	{"rate_ceiling_holds", rate_ceiling_holds},
	{"idling_banks_no_credit", idling_banks_no_credit},
	{"floors_come_before_weights", floors_come_before_weights},
	{"refuses_at_the_deadline", refuses_at_the_deadline},
	{"refuses_what_can_never_run", refuses_what_can_never_run},
	{"a_failure_closes_the_engine_until_it_reports",
	 a_failure_closes_the_engine_until_it_reports},
	{"strands_nobody", strands_nobody},
	{"repeats_a_grant_that_was_lost", repeats_a_grant_that_was_lost},
	{"forgets_a_dead_entry", forgets_a_dead_entry},
	{"adopts_what_runs", adopts_what_runs},
	{"serves_by_weight", serves_by_weight},
};
CHECK_MAIN(list)
