/* Health of backend servers from the outcomes of exchanges, and whether they may get work. */
#include "be.h"
#include "clock.h"
#include "jlog.h"

#define FAILURE_WEIGHT 0.25  /* weight of the newest exchange: three failures in a row eject */
#define FAILURE_RATE_MAX 0.5 /* a server with a higher rate is ejected */
#define FAILURE_RATE_RETRY 0.4 /* after an ejection: one more failure ejects it again */
/* Bad outcomes in a row, of different instances, that eject: one may be chance. */
#define BAD_STREAK 2
#define SELF 0 /* this instance's number among those whose outcomes are counted */
#define EJECT_FIRST_US 1000000 /* doubled with each further ejection, up to EJECT_MAX_US */
#define EJECT_MAX_US 8000000   /* after it, requests show whether the server has recovered */
#define EJECT_SHARE 2          /* at most one in this many servers of a service is ejected */
#define BUSY_US 100000         /* slots of plain calls are free again after some tens of ms */
#define FULL_US 300000         /* some streams end within it, and a move takes 200 ms */

int64_t be_last_resort_us;

static int may_eject(const struct be *b, int64_t now)
{
	const GPtrArray *list = be_of_service(b->service);
	uint32_t i, usable = 0, ejected = 0;

	for (i = 0; i < list->len; i++) {
		const struct be *o = g_ptr_array_index(list, i);

		if (o->state != BE_READY || o->drained_us || o->blocked_us) continue;
		usable++;
		if (o->ejected_until_us > now) ejected++;
	}
	return (ejected + 1) * EJECT_SHARE <= usable;
}

static void eject(struct be *b, const char *why)
{
	int64_t now = clock_us();
	GString *g;

	if (b->state != BE_READY || b->ejected_until_us > now || !may_eject(b, now)) return;
	b->eject_us = b->eject_us ? MIN(b->eject_us * 2, EJECT_MAX_US) : EJECT_FIRST_US;
	b->ejected_until_us = now + b->eject_us;
	b->failure_rate = FAILURE_RATE_RETRY;
	g = jlog_begin("fleet", "backend_ejected");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "why", why);
	jlog_int(g, "for_ms", b->eject_us / 1000);
	jlog_end(g);
}

/* If only one instance fails, it may itself be cut off: its bad outcomes count once until
 * another instance has one too. */
static void add_bad_outcome(struct be *b, uint32_t instance)
{
	if (b->bad_streak && b->last_bad_by == instance) return;
	b->last_bad_by = instance;
	if (++b->bad_streak >= BAD_STREAK) eject(b, "fails at several instances");
}

void be_apply_outcomes(struct be *b, uint32_t instance, struct be_outcomes since)
{
	if (since.good) b->bad_streak = 0;
	if (since.bad) add_bad_outcome(b, instance);
}

void be_succeeded(struct be *b, int64_t took_us)
{
	b->outcomes.good++;
	b->bad_streak = 0;
	b->refused = 0;
	b->failure_rate *= 1 - FAILURE_WEIGHT;
	if (b->failure_rate < FAILURE_WEIGHT) b->eject_us = 0;
	b->ejected_until_us = 0;
	if (took_us) latency_observe(&b->latency, took_us, clock_us());
}

static void add_failure(struct be *b, const char *why)
{
	b->failure_rate += FAILURE_WEIGHT * (1 - b->failure_rate);
	if (b->failure_rate > FAILURE_RATE_MAX) eject(b, why);
}

void be_answered_error(struct be *b)
{
	add_failure(b, "answers with failures");
}

void be_failed(struct be *b, const char *why)
{
	b->outcomes.bad++;
	add_bad_outcome(b, SELF);
	add_failure(b, why);
}

void be_refused_connection(struct be *b)
{
	static const char why[] = "takes no connections";

	b->refused = 1;
	be_failed(b, why);
	eject(b, why);
}

void be_rejected_request(struct be *b)
{
	b->busy_until_us = clock_us() + BUSY_US;
}

void be_memory_full(struct be *b)
{
	b->full_until_us = clock_us() + FULL_US;
}

int64_t be_usable_in(const struct be *b, int64_t now)
{
	if (b->state != BE_READY || b->unreadable) return INT64_MAX;
	if (b->drained_us || b->blocked_us) return INT64_MAX;
	return MAX(MAX(MAX(b->ejected_until_us, b->busy_until_us), b->suspect_until_us) - now,
		   0);
}

int be_usable(const struct be *b, int64_t now)
{
	return be_usable_in(b, now) == 0;
}

int be_last_resort(const struct be *b, int64_t now)
{
	if (b->unreadable || b->drained_us || b->blocked_us) return 0;
	if (b->state == BE_READY) return 1;
	return b->state == BE_GONE && now - b->state_since_us < be_last_resort_us;
}
