/* Stages of a rollout, and the share of traffic for a canary. */
#include <saddlehead/rollout.h>

/* Minimum duration of ROLLOUT_SHIFT as a fraction of the order's time: a version that fails
 * under load shows it then. */
#define SHIFT_MIN_PART 0.1
/* A shift that reaches past the order's time ends after this long. */
#define SHIFT_MAX_US 5000000
/* Fractions of the allowed exposure for canaries: the rest covers the shift of a version that
 * fails only then. */
#define CANARY_SHARE_PART 0.75
#define CANARY_SLACK_PART 0.5

static int is_over(enum rollout_stage s)
{
	return s == ROLLOUT_ROLLED_BACK || s == ROLLOUT_COMPLETED;
}

static int64_t part_of(const struct rollout_state *s, double part)
{
	return (int64_t)((double)s->duration_us * part);
}

static int may_complete(const struct rollout_state *s)
{
	if (s->shifted_us < part_of(s, SHIFT_MIN_PART)) return 0;
	if (!s->old_runs) return 1;
	if (s->age_us < s->duration_us) return s->age_us >= part_of(s, ROLLOUT_DONE_PART);
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

int rollout_must_move(const struct rollout_state *s)
{
	if (s->stage == ROLLOUT_COMPLETED) return 1;
	return s->stage == ROLLOUT_SHIFT && s->age_us >= part_of(s, ROLLOUT_MOVE_PART);
}

int rollout_may_expose(const struct rollout_use *u, double share, double slack)
{
	double allowed = (double)u->requests * share * CANARY_SHARE_PART;

	return (double)u->exposed + 1 <= allowed + slack * CANARY_SLACK_PART;
}
