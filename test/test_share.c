/* Tests of shares of a ceiling: with any loss or delay of messages, shares that have not lapsed
 * stay within the ceiling. */
#include "check.h"
#include "share.h"
#include <stdlib.h>
#include <string.h>

#define HOLDERS 5
#define CEILING 20

static struct share_home home;

static uint32_t request(uint64_t member, uint32_t held, uint32_t running, uint32_t demand,
			int64_t now)
{
	struct share_request a = {.held = held, .running = running, .demand = demand};

	return share_grant(&home, member, &a, CEILING, now);
}

static void reset_home(void)
{
	memset(&home, 0, sizeof home);
	home.created_us = -SHARE_GRACE_US;
}

static void one_holder_gets_it_all(void)
{
	reset_home();
	CU_ASSERT_EQUAL(request(1, 0, 0, 1, 0), CEILING);
}

static void two_that_want_more_end_up_with_halves(void)
{
	uint32_t a = 0, b = 0;
	int64_t t;

	reset_home();
	for (t = 0; t < 10; t++) {
		a = request(1, a, a, 100, t * 1000000);
		b = request(2, b, b, 100, t * 1000000);
		/* Requests above a lowered share end over time. */
		CU_ASSERT(a + b <= CEILING);
	}
	CU_ASSERT_EQUAL(a, CEILING / 2);
	CU_ASSERT_EQUAL(b, CEILING / 2);
}

static void small_demand_leaves_the_rest(void)
{
	uint32_t a = 0, b = 0;
	int64_t t;

	reset_home();
	for (t = 0; t < 5; t++) {
		a = request(1, a, 0, 3, t * 1000000);
		b = request(2, b, 0, 100, t * 1000000);
	}
	CU_ASSERT_EQUAL(a, 3);
	CU_ASSERT_EQUAL(b, 17);
}

static void a_lapsed_share_is_given_again(void)
{
	reset_home();
	CU_ASSERT_EQUAL(request(1, 0, 0, 100, 0), CEILING);
	CU_ASSERT_EQUAL(request(2, 0, 0, 100, 1000000), 0);
	CU_ASSERT_EQUAL(request(2, 0, 0, 100, SHARE_TTL_HOME_US), CEILING);
}

static void a_new_home_confirms_and_gives_nothing(void)
{
	memset(&home, 0, sizeof home);
	CU_ASSERT_EQUAL(request(1, 6, 6, 100, 0), 6);
	CU_ASSERT_EQUAL(request(2, 0, 0, 100, 100000), 0);
	CU_ASSERT_EQUAL(request(2, 0, 0, 100, SHARE_GRACE_US), 10);
}

struct holder {
	uint32_t share, running, waiting;
	int64_t until;
};

static uint32_t usable(const struct holder *x, int64_t now)
{
	return now < x->until ? x->share : 0;
}

/* Requests and responses are lost or delayed at random; each holder runs no more than its
 * share. */
static void never_over_the_ceiling(void)
{
	struct holder x[HOLDERS];
	int64_t now = 0;
	uint32_t sum;
	int i, k;

	srand(3);
	reset_home();
	memset(x, 0, sizeof x);
	for (i = 0; i < 200000; i++) {
		struct holder *h = &x[rand() % HOLDERS];

		now += rand() % 20000;
		h->waiting += rand() % 3 == 0;
		if (rand() % 10 == 0) {
			int64_t asked = now;
			uint32_t got;

			if (rand() % 4 == 0) continue; /* the request is lost */
			now += rand() % 2000;
			got = request((uint64_t)(h - x) + 1, usable(h, asked), h->running,
				      h->running + h->waiting, now);
			if (rand() % 4 == 0)
				continue; /* the response is lost: the old share stays valid */
			h->share = got;
			h->until = asked + SHARE_TTL_HOLDER_US;
		}
		while (h->waiting && h->running < usable(h, now)) {
			h->waiting--;
			h->running++;
		}
		if (h->running && rand() % 3 == 0) h->running--;
		for (sum = 0, k = 0; k < HOLDERS; k++) sum += x[k].running;
		if (sum > CEILING) break;
	}
	CU_ASSERT_EQUAL(i, 200000);
}

static const struct check list[] = {
	{"one_holder_gets_it_all", one_holder_gets_it_all},
	{"two_that_want_more_end_up_with_halves", two_that_want_more_end_up_with_halves},
	{"small_demand_leaves_the_rest", small_demand_leaves_the_rest},
	{"a_lapsed_share_is_given_again", a_lapsed_share_is_given_again},
	{"a_new_home_confirms_and_gives_nothing", a_new_home_confirms_and_gives_nothing},
	{"never_over_the_ceiling", never_over_the_ceiling},
};
CHECK_MAIN(list)
