#include "admit_step.h"

/* Then the views of keeper and entry differ lastingly, as in a rollout that allows the entry
 * few servers. */
#define REGRANTS_MAX 3

static enum admit_step first_step(const struct admit_view *v)
{
	/* Without a usable server it waits for one here. */
	if (!v->fleet_wide || !v->has_server) return ADMIT_LOCALLY;
	return v->fits && v->is_first ? ADMIT_SEND : ADMIT_ASK;
}

static enum admit_step after_grant(const struct admit_view *v)
{
	if (v->has_server && v->fits) return ADMIT_SEND;
	return v->regrants < REGRANTS_MAX ? ADMIT_ASK_AGAIN : ADMIT_GIVE_UP;
}

enum admit_step admit_step(const struct admit_view *v)
{
	switch (v->state) {
	case RQ_ADM_NONE: return first_step(v);
	case RQ_ADM_ASKED: return ADMIT_STAY;
	case RQ_ADM_GRANTED: return after_grant(v);
	case RQ_ADM_LOCAL: break;
	}
	return ADMIT_LOCALLY;
}

int admit_keeper_lacks(enum core_refusal why)
{
	switch (why) {
	case CORE_REF_NOT_ALLOWED: /* no row for the workspace */
	case CORE_REF_NO_ENGINE:
	case CORE_REF_TOO_LONG: /* for the memory that its configuration states */ return 1;
	case CORE_REF_WAITING_CEILING:
	case CORE_REF_FULL:
	case CORE_REF_DEADLINE:
	case CORE_REF_APPOINTMENT:
	case CORE_REF_NO_TIME:
	case CORE_REF_EARLY:
	case CORE_REF_LATE: return 0;
	}
	return 0;
}
