/* Which backend servers bear only so many requests, and when this instance may send them its
 * next one. */
#include "pace.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"

/* A server that nobody has heard of for so long may be asked by those without a share, one
 * after the other: whoever has one may be away, or have nothing to ask. */
#define UNASKED_US 8000000
#define UNASKED_STEP_US 1000000 /* its answer is told to all meanwhile */

/* How often it is looked whether what was sent after a rest has been answered. */
#define RESUME_LOOK_US 10000
/* After it nothing waits for a server any more that comes back from its rest. */
#define RESUMED_US 100000
/* Exchanges at once with which it is over its rest, where it has fewer places. */
#define RESUMED_MIN 4u

static double cold_over = 1, cold_slack;
static int64_t started_us;

void pace_start(void)
{
	started_us = clock_us();
}

void pace_set_cold(double over, double slack)
{
	cold_over = over;
	cold_slack = slack;
}

/* When it was last back from where it got no work. */
static int64_t back_us(const struct be *b, int64_t now)
{
	int64_t at = b->back_us;

	if (b->ejected_until_us <= now) at = MAX(at, b->ejected_until_us);
	if (b->suspect_until_us <= now) at = MAX(at, b->suspect_until_us);
	return at;
}

int64_t pace_cold_until_us(const struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t back = back_us(b, now), until = b->cold_until_us;

	if (!s || s->cold_per_s <= 0) return 0;
	if (back) until = MAX(until, back + s->cold_us);
	return until > now ? until : 0;
}

/* 0: nothing of the kind bounds it now. */
static int bound_of(const struct be *b, const struct conf_service *s, enum quota_kind kind,
		    int64_t now, struct quota_bound *out)
{
	out->kind = kind;
	switch (kind) {
	case QUOTA_COLD:
		if (!pace_cold_until_us(b, s, now)) return 0;
		out->of.cold = (struct quota_cold){s->cold_per_s, cold_over, cold_slack};
		return 1;
	case QUOTA_LIMIT: out->of.limit.per_s = b->limit.per_s; return be_limited(b);
	case QUOTA_KINDS: break;
	}
	return 0;
}

/* Until when this instance may have sent to it without keeping to the bound. */
static int64_t begun_us(const struct be *b, enum quota_kind kind)
{
	return kind == QUOTA_LIMIT ? MAX(b->limited_us, started_us) : started_us;
}

static struct quota_pace *pace_now(struct be *b, const struct quota_bound *of, int64_t now)
{
	struct quota_pace *p = &b->pace[of->kind];
	struct mesh_rank r = mesh_rank(b);

	quota_set_share(p, quota_share(quota_sum(of), r.sharers, r.rank), begun_us(b, of->kind),
			now);
	return p;
}

/* An instance without a share. */
static int64_t unasked_wait_us(const struct be *b, int64_t now)
{
	int64_t after = UNASKED_US + mesh_rank(b).rank * (int64_t)UNASKED_STEP_US;

	return MAX(b->limit.to_us + after - now, 0);
}

static int64_t wait_us(struct be *b, const struct conf_service *s, const struct quota_bound *of,
		       int64_t now)
{
	int64_t wait = quota_wait_us(pace_now(b, of, now), of, now);

	switch (of->kind) {
	case QUOTA_COLD: return MIN(wait, pace_cold_until_us(b, s, now) - now);
	case QUOTA_LIMIT: return wait == QUOTA_NEVER ? unasked_wait_us(b, now) : wait;
	case QUOTA_KINDS: break;
	}
	return wait;
}

static int64_t rest_wait_us(struct be *b, int64_t now)
{
	struct be_rest *r = &b->rest;

	if (!r->until_us) return 0;
	if (now < r->until_us) return r->until_us - now;
	if (r->under_way < r->most) return 0;
	r->full_us = now;
	return RESUME_LOOK_US;
}

/* The longest wait, and what for. */
static int64_t longest_wait_us(struct be *b, const struct conf_service *s, int64_t now,
			       enum pace_why *why)
{
	static const enum pace_why whys[QUOTA_KINDS] = {
		[QUOTA_COLD] = PACE_COLD, [QUOTA_LIMIT] = PACE_LIMIT};
	int64_t most = rest_wait_us(b, now), wait;
	struct quota_bound of;
	int kind;

	*why = most ? PACE_REST : PACE_FREE;
	for (kind = 0; kind < QUOTA_KINDS; kind++) {
		if (!bound_of(b, s, kind, now, &of)) continue;
		wait = wait_us(b, s, &of, now);
		if (wait <= most) continue;
		most = wait;
		*why = whys[kind];
	}
	return most;
}

int64_t pace_wait_us(struct be *b, const struct conf_service *s, int64_t now)
{
	enum pace_why why;

	return longest_wait_us(b, s, now, &why);
}

int pace_is_others(const struct be *b)
{
	return be_limited(b) && !b->pace[QUOTA_LIMIT].share;
}

enum pace_why pace_why(struct be *b, const struct conf_service *s, int64_t now)
{
	enum pace_why why;

	longest_wait_us(b, s, now, &why);
	return why;
}

/* Of one that comes back from its rest: as fast as it answers. */
static int64_t resume_gap_us(const struct be *b)
{
	if (!b->rest.until_us) return 0;
	return b->answer_us > 0 ? (int64_t)(b->answer_us / MAX(b->slots, 1)) : RESUME_LOOK_US;
}

int64_t pace_gap_us(struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t most = resume_gap_us(b);
	struct quota_bound of;
	int kind;

	for (kind = 0; kind < QUOTA_KINDS; kind++) {
		if (!bound_of(b, s, kind, now, &of)) continue;
		most = MAX(most, quota_window_us(&of) / MAX(pace_now(b, &of, now)->share, 1));
	}
	return most;
}

void pace_log(GString *line, struct be *b, const struct conf_service *s)
{
	static const char *const names[] = {"busy", "cold", "limit", "rest"};
	int64_t now = clock_us();
	enum pace_why why = pace_why(b, s, now);

	jlog_str(line, "why", names[why]);
	switch (why) {
	case PACE_WHYS:
	case PACE_FREE: return;
	case PACE_COLD: jlog_int(line, "share", b->pace[QUOTA_COLD].share); break;
	case PACE_LIMIT:
		jlog_int(line, "share", b->pace[QUOTA_LIMIT].share);
		jlog_int(line, "said_ms", (now - b->limit.to_us) / 1000);
		break;
	case PACE_REST: jlog_int(line, "said_ms", (now - b->rest.said_us) / 1000); return;
	}
	jlog_int(line, "sharers", mesh_rank(b).sharers);
}

void pace_sent(struct be *b, const struct conf_service *s)
{
	int64_t now = clock_us();
	struct quota_bound of;
	int kind;

	for (kind = 0; kind < QUOTA_KINDS; kind++)
		if (bound_of(b, s, kind, now, &of))
			quota_spend(pace_now(b, &of, now), &of, now);
}

/* ---- rest ---- */

void pace_rest(struct be *b, int64_t for_us)
{
	int64_t now = clock_us();
	GString *g = jlog_begin("fleet", "backend_rests");

	b->rest.until_us = MAX(b->rest.until_us, now + for_us);
	b->rest.said_us = now;
	b->rest.most = 1;
	jlog_str(g, "backend", b->id);
	jlog_int(g, "for_ms", for_us / 1000);
	jlog_end(g);
}

int pace_begins_after_rest(struct be *b)
{
	if (!b->rest.until_us || clock_us() < b->rest.until_us) return 0;
	b->rest.under_way++;
	return 1;
}

void pace_went_well(struct be *b)
{
	struct be_rest *r = &b->rest;

	if (r->most < MAX(b->slots, RESUMED_MIN))
		r->most++;
	else if (clock_us() - r->full_us > RESUMED_US)
		r->until_us = 0;
}

void pace_over_after_rest(struct be *b)
{
	b->rest.under_way--;
}
