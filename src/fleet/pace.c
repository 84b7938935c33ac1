/* Rate limits of backend servers, and when this instance may send them its next request. */
#include "pace.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "room.h"

/* A limited server without an answer for this long may be sent a request by instances without a
 * share, one after the other: those with a share may be down, or have no requests. */
#define SHARELESS_US 8000000
#define SHARELESS_STEP_US 1000000 /* its answer is sent to all within it */

/* How often to check whether requests sent after a back-off have been answered. */
#define RESUME_CHECK_US 10000
/* If no request had to wait for a server for this long, its back-off is over. */
#define RESUMED_US 100000
/* Exchanges in flight with which a back-off ends, for servers with fewer slots. */
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

/* When b last became available again after a time without work; 0: not since the start of this
 * instance. */
static int64_t last_available_us(const struct be *b, int64_t now)
{
	int64_t at = b->available_us;

	if (b->ejected_until_us <= now) at = MAX(at, b->ejected_until_us);
	if (b->suspect_until_us <= now) at = MAX(at, b->suspect_until_us);
	return at;
}

int64_t pace_cold_until_us(const struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t available_us = last_available_us(b, now), until = b->cold_until_us;

	if (!s || s->cold_per_s <= 0) return 0;
	if (available_us) until = MAX(until, available_us + s->cold_us);
	return until > now ? until : 0;
}

/* Returns 0 if no bound of the kind applies now. */
static int get_bound(const struct be *b, const struct conf_service *s, enum quota_kind kind,
		     int64_t now, struct quota_bound *out)
{
	out->kind = kind;
	switch (kind) {
	case QUOTA_COLD:
		if (!pace_cold_until_us(b, s, now)) return 0;
		out->of.cold = (struct quota_cold){s->cold_per_s, cold_over, cold_slack};
		return 1;
	case QUOTA_LIMIT: out->of.limit.per_s = b->limit.report.per_s; return be_is_limited(b);
	case QUOTA_BRITTLE:
		out->of.brittle.per_s = b->brittle.report.per_s;
		return room_is_beyond(b, b->own.runs + 1);
	case QUOTA_KINDS: break;
	}
	return 0;
}

/* Until when this instance or an earlier incarnation of it may have sent to b without
 * respecting the bound. */
static int64_t unpaced_until_us(const struct be *b, enum quota_kind kind)
{
	if (kind == QUOTA_BRITTLE) return MAX(b->brittle.changed_us, started_us);
	return kind == QUOTA_LIMIT ? MAX(b->limit.changed_us, started_us) : started_us;
}

static struct quota_pace *update_pace(struct be *b, const struct quota_bound *bound,
				      int64_t now)
{
	struct quota_pace *p = &b->pace[bound->kind];
	struct mesh_rank r = mesh_rank(b);

	quota_set_share(p, quota_share(quota_sum(bound), r.sharers, r.rank),
			unpaced_until_us(b, bound->kind), now);
	return p;
}

/* The wait of an instance without a share. */
static int64_t shareless_wait_us(const struct be *b, int64_t now)
{
	int64_t after = SHARELESS_US + mesh_rank(b).rank * (int64_t)SHARELESS_STEP_US;

	return MAX(b->limit.report.to_us + after - now, 0);
}

/* Until this instance's turn to risk a rejection. There are fewer rejections than instances, so
 * that shares of them would leave most instances none. */
static int64_t turn_wait_us(const struct be *b, const struct quota_bound *bound, int64_t now)
{
	int64_t sent_us = b->pace[QUOTA_BRITTLE].sent_us;
	int64_t from_us = unpaced_until_us(b, QUOTA_BRITTLE), turn;
	uint32_t takers = room_risk_takers(b, b->own.runs + 1);
	struct mesh_rank r = mesh_rank(b);

	if (!takers) return QUOTA_NEVER;
	turn = quota_turn_us(bound, takers);
	if (sent_us < from_us) sent_us = from_us + turn * (r.rank % takers) / takers;
	return MAX(sent_us + turn - now, 0);
}

static int64_t wait_us(struct be *b, const struct conf_service *s,
		       const struct quota_bound *bound, int64_t now)
{
	int64_t wait;

	if (bound->kind == QUOTA_BRITTLE)
		return MIN(turn_wait_us(b, bound, now), room_wait_us(b));
	wait = quota_wait_us(update_pace(b, bound, now), bound, now);
	switch (bound->kind) {
	case QUOTA_COLD: return MIN(wait, pace_cold_until_us(b, s, now) - now);
	case QUOTA_LIMIT: return wait == QUOTA_NEVER ? shareless_wait_us(b, now) : wait;
	case QUOTA_BRITTLE:
	case QUOTA_KINDS: break;
	}
	return wait;
}

static int64_t backoff_wait_us(struct be *b, int64_t now)
{
	struct be_backoff *o = &b->backoff;

	if (!o->until_us) return 0;
	if (now < o->until_us) return o->until_us - now;
	if (o->in_flight < o->max_in_flight) return 0;
	o->last_full_us = now;
	return RESUME_CHECK_US;
}

/* The longest wait of all bounds, and which bound that is. */
static int64_t longest_wait_us(struct be *b, const struct conf_service *s, int64_t now,
			       enum pace_why *why)
{
	static const enum pace_why reasons[QUOTA_KINDS] = {[QUOTA_COLD] = PACE_COLD,
							   [QUOTA_LIMIT] = PACE_LIMIT,
							   [QUOTA_BRITTLE] = PACE_BRITTLE};
	int64_t most = backoff_wait_us(b, now), wait;
	struct quota_bound bound;
	int kind;

	*why = most ? PACE_BACKOFF : PACE_FREE;
	for (kind = 0; kind < QUOTA_KINDS; kind++) {
		if (!get_bound(b, s, kind, now, &bound)) continue;
		wait = wait_us(b, s, &bound, now);
		if (wait <= most) continue;
		most = wait;
		*why = reasons[kind];
	}
	return most;
}

int64_t pace_wait_us(struct be *b, const struct conf_service *s, int64_t now)
{
	enum pace_why why;

	return longest_wait_us(b, s, now, &why);
}

int pace_lacks_share(const struct be *b)
{
	return be_is_limited(b) && !b->pace[QUOTA_LIMIT].share;
}

enum pace_why pace_why(struct be *b, const struct conf_service *s, int64_t now)
{
	enum pace_why why;

	longest_wait_us(b, s, now, &why);
	return why;
}

/* After a back-off, requests are sent as fast as the server answers. */
static int64_t resume_gap_us(const struct be *b)
{
	if (!b->backoff.until_us) return 0;
	return b->latency.us > 0 ? (int64_t)(b->latency.us / MAX(b->slots, 1))
				 : RESUME_CHECK_US;
}

int64_t pace_gap_us(struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t most = resume_gap_us(b);
	struct quota_bound bound;
	int kind;

	for (kind = 0; kind < QUOTA_KINDS; kind++) {
		if (!get_bound(b, s, kind, now, &bound)) continue;
		if (kind == QUOTA_BRITTLE) {
			most = MAX(most, room_wait_us(b));
			continue;
		}
		most = MAX(most, quota_window_us(&bound) /
					 MAX(update_pace(b, &bound, now)->share, 1));
	}
	return most;
}

void pace_log(GString *line, struct be *b, const struct conf_service *s)
{
	static const char *const names[] = {"busy", "cold", "limit", "rest", "brittle"};
	int64_t now = clock_us();
	enum pace_why why = pace_why(b, s, now);

	jlog_str(line, "why", names[why]);
	switch (why) {
	case PACE_WHYS:
	case PACE_FREE: return;
	case PACE_COLD: jlog_int(line, "share", b->pace[QUOTA_COLD].share); break;
	case PACE_LIMIT:
		jlog_int(line, "share", b->pace[QUOTA_LIMIT].share);
		jlog_int(line, "said_ms", (now - b->limit.report.to_us) / 1000);
		break;
	case PACE_BACKOFF:
		jlog_int(line, "said_ms", (now - b->backoff.asked_us) / 1000);
		return;
	case PACE_BRITTLE:
		jlog_int(line, "room", room_own(b));
		jlog_int(line, "runs", b->own.runs);
		break;
	}
	jlog_int(line, "sharers", mesh_rank(b).sharers);
}

void pace_sent(struct be *b, const struct conf_service *s)
{
	int64_t now = clock_us();
	struct quota_bound bound;
	int kind;

	for (kind = 0; kind < QUOTA_KINDS; kind++) {
		if (kind == QUOTA_BRITTLE) continue;
		if (get_bound(b, s, kind, now, &bound))
			quota_spend(update_pace(b, &bound, now), &bound, now);
	}
	if (room_is_beyond(b, b->own.runs)) b->pace[QUOTA_BRITTLE].sent_us = now;
}

/* ---- back-off ---- */

void pace_backoff(struct be *b, int64_t for_us)
{
	int64_t now = clock_us();
	GString *g = jlog_begin("fleet", "backend_rests");

	b->backoff.until_us = MAX(b->backoff.until_us, now + for_us);
	b->backoff.asked_us = now;
	b->backoff.max_in_flight = 1;
	jlog_str(g, "backend", b->id);
	jlog_int(g, "for_ms", for_us / 1000);
	jlog_end(g);
}

int pace_begin_after_backoff(struct be *b)
{
	if (!b->backoff.until_us || clock_us() < b->backoff.until_us) return 0;
	b->backoff.in_flight++;
	return 1;
}

void pace_succeeded_after_backoff(struct be *b)
{
	struct be_backoff *o = &b->backoff;

	if (o->max_in_flight < MAX(b->slots, RESUMED_MIN))
		o->max_in_flight++;
	else if (clock_us() - o->last_full_us > RESUMED_US)
		o->until_us = 0;
}

void pace_end_after_backoff(struct be *b)
{
	b->backoff.in_flight--;
}
