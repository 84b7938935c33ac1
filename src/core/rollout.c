/* Stages of bringing in a version, and how much of the traffic a canary may get. */
#include <saddlehead/rollout.h>

/* Of an order's time the shift lasts so long at the least: a version that is bad under load
 * shows it then. */
#define SHIFT_MIN_PART 0.1
/* One that began after the order's time is over ends after so long. */
#define SHIFT_MAX_US 5000000
/* Of what is allowed, for canaries: the rest covers the shift of a version that turns bad
 * then. */
#define CANARY_SHARE_PART 0.75
#define CANARY_SLACK_PART 0.5

static int is_over(enum rollout_stage s)
{
	return s == ROLLOUT_ROLLED_BACK || s == ROLLOUT_COMPLETED;
}

static int64_t part_of(const struct rollout_state *s, double part)
{
	return (int64_t)((double)s->for_us * part);
}

static int may_complete(const struct rollout_state *s)
{
	if (s->shifted_us < part_of(s, SHIFT_MIN_PART)) return 0;
	if (!s->old_runs) return 1;
	if (s->age_us < s->for_us) return s->age_us >= part_of(s, ROLLOUT_DONE_PART);
	return s->shifted_us >= SHIFT_MAX_US;
}

enum rollout_stage rollout_next(const struct rollout_state *s)
{
	if (is_over(s->stage) || s->stage == ROLLOUT_UNKNOWN) return s->stage;
	if (s->verdict == ROLLOUT_BAD) return ROLLOUT_ROLLED_BACK;
	if (s->stage == ROLLOUT_SHIFT)
		return may_complete(s) ? ROLLOUT_COMPLETED : ROLLOUT_SHIFT;
	if (s->verdict == ROLLOUT_GOOD && s->age_us >= part_of(s, ROLLOUT_JUDGED_PART))
		return ROLLOUT_SHIFT;
	return s->stage;
}

int rollout_moves_off(const struct rollout_state *s)
{
	if (s->stage == ROLLOUT_COMPLETED) return 1;
	return s->stage == ROLLOUT_SHIFT && s->age_us >= part_of(s, ROLLOUT_MOVE_PART);
}

int rollout_may_expose(const struct rollout_use *u, double share, double slack)
{
	double most = (double)u->requests * share * CANARY_SHARE_PART;

	return (double)u->exposed + 1 <= most + slack * CANARY_SLACK_PART;
}
