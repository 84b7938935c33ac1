/* How sound backend servers are, as this instance's own exchanges with them tell, and whether
 * they may get work. */
#include "be.h"
#include "clock.h"
#include "jlog.h"

#define FAILING_STEP 0.25 /* weight of the newest exchange: three failures in a row eject */
#define FAILING_MOST 0.5  /* part of its exchanges that fail: beyond, it is ejected */
#define FAILING_BACK 0.4  /* after that: one more failure ejects it again */
#define ANSWER_STEP 0.2   /* weight of the newest answer's time: five or so count */
#define ANSWERS_ENOUGH 5  /* fewer may all have been slow by chance */
#define BAD_ROW 2 /* bad ends in a row, of two instances, that eject: one may be chance */
#define SELF 0    /* this instance among those whose ends are counted */
#define EJECT_FIRST_US 1000000 /* then doubled each time, up to ... */
#define EJECT_MAX_US 8000000   /* ... this: real work finds out whether it has recovered */
#define EJECT_SHARE 2          /* at most one in so many of a service is ejected */
#define BUSY_US 100000         /* places of plain calls are free again after some tens of ms */
#define FULL_US 300000         /* some streams end in that time, and a move takes 200 ms */

int64_t be_need_us;

static void note_answer(struct be *b, int64_t took_us)
{
	if (b->answer_us)
		b->answer_us = b->answer_us * (1 - ANSWER_STEP) + took_us * ANSWER_STEP;
	else
		b->answer_us = took_us;
	b->answers++;
}

double be_answer_doubt(const struct be *b)
{
	return b->answers >= ANSWERS_ENOUGH ? 0 : 1 - (double)b->answers / ANSWERS_ENOUGH;
}

static int may_eject(const struct be *b, int64_t now)
{
	const GPtrArray *list = be_of(b->service);
	uint32_t i, usable = 0, out = 0;

	for (i = 0; i < list->len; i++) {
		const struct be *o = g_ptr_array_index(list, i);

		if (o->state != BE_READY || o->drained_us || o->barred_us) continue;
		usable++;
		if (o->ejected_until_us > now) out++;
	}
	return (out + 1) * EJECT_SHARE <= usable;
}

static void eject(struct be *b, const char *why)
{
	int64_t now = clock_us();
	GString *g;

	if (b->state != BE_READY || b->ejected_until_us > now || !may_eject(b, now)) return;
	b->eject_us = b->eject_us ? MIN(b->eject_us * 2, EJECT_MAX_US) : EJECT_FIRST_US;
	b->ejected_until_us = now + b->eject_us;
	b->failing = FAILING_BACK;
	g = jlog_begin("fleet", "backend_ejected");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "why", why);
	jlog_int(g, "for_ms", b->eject_us / 1000);
	jlog_end(g);
}

/* An instance that alone fails may be cut off itself: what it sees counts once until somebody
 * else fails there, too. */
static void note_bad(struct be *b, uint32_t by)
{
	if (b->bad_row && b->bad_by == by) return;
	b->bad_by = by;
	if (++b->bad_row >= BAD_ROW) eject(b, "fails at several instances");
}

void be_heard(struct be *b, uint32_t instance, struct be_ends since)
{
	if (since.good) b->bad_row = 0;
	if (since.bad) note_bad(b, instance);
}

void be_succeeded(struct be *b, int64_t took_us)
{
	b->ends.good++;
	b->bad_row = 0;
	b->refused = 0;
	b->failing *= 1 - FAILING_STEP;
	if (b->failing < FAILING_STEP) b->eject_us = 0;
	b->ejected_until_us = 0;
	if (took_us) note_answer(b, took_us);
}

static void count_failure(struct be *b, const char *why)
{
	b->failing += FAILING_STEP * (1 - b->failing);
	if (b->failing > FAILING_MOST) eject(b, why);
}

void be_answered_badly(struct be *b)
{
	count_failure(b, "answers with failures");
}

void be_failed(struct be *b, const char *why)
{
	b->ends.bad++;
	note_bad(b, SELF);
	count_failure(b, why);
}

void be_refused_connection(struct be *b)
{
	static const char why[] = "takes no connections";

	b->refused = 1;
	be_failed(b, why);
	eject(b, why);
}

void be_turned_away(struct be *b)
{
	b->busy_until_us = clock_us() + BUSY_US;
}

void be_no_room(struct be *b)
{
	b->full_until_us = clock_us() + FULL_US;
}

int64_t be_usable_in(const struct be *b, int64_t now)
{
	if (b->state != BE_READY || b->unreadable) return INT64_MAX;
	if (b->drained_us || b->barred_us) return INT64_MAX;
	return MAX(MAX(MAX(b->ejected_until_us, b->busy_until_us), b->suspect_until_us) - now,
		   0);
}

int be_usable(const struct be *b, int64_t now)
{
	return be_usable_in(b, now) == 0;
}

int be_last_resort(const struct be *b, int64_t now)
{
	if (b->unreadable || b->drained_us || b->barred_us) return 0;
	if (b->state == BE_READY) return 1;
	return b->state == BE_GONE && now - b->since_us < be_need_us;
}
