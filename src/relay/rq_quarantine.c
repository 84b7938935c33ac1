/* Detects crashes of backend servers under requests, and decides whether those requests may be
 * tried again. */
#include "clock.h"
#include "met.h"
#include "quarantine.h"
#include "rq_impl.h"
#include <errno.h>
#include <stddef.h>

/* Whether a server crashed is found by a check of the path to it: a live server accepts a
 * connection within some ms, a crashed one refuses it. */
#define CHECK_TIMEOUT_US 400000
/* Time after a refusal for the remaining exchanges that the crash broke off to be noticed, and
 * for another instance to reach the server after all. */
#define COLLECT_US 30000
/* A stream that runs for so long after its first event counts as successful here: requests that
 * crash engines do so at their beginning. */
#define SUCCESS_AFTER_US 1000000
/* The last event must be newer: otherwise its engine may have crashed. */
#define EVENT_AGE_MAX_US 500000
/* By then, parallel runs of the same request have answered or crashed their servers. */
#define RETRY_SUSPECT_US 1000000

/* A server on which exchanges broke off. */
struct crash_check {
	struct ev_timer timer;
	struct be *be;
	GArray *runs; /* of struct quarantine_run */
	int64_t at_us;
	int crashed; /* it refuses connections */
};

static GPtrArray *checks;

static struct crash_check *find_check(const struct be *b)
{
	uint32_t i;

	for (i = 0; checks && i < checks->len; i++) {
		struct crash_check *ck = g_ptr_array_index(checks, i);

		if (ck->be == b) return ck;
	}
	return NULL;
}

static void on_check_done(struct ev_timer *t)
{
	struct crash_check *ck =
		(struct crash_check *)((char *)t - offsetof(struct crash_check, timer));

	if (ck->crashed)
		quarantine_note_crash(ck->be,
				      (const struct quarantine_run *)(void *)ck->runs->data,
				      (int)ck->runs->len, ck->at_us);
	g_ptr_array_remove_fast(checks, ck);
	be_unref(ck->be);
	g_array_free(ck->runs, TRUE);
	ev_free_later(ck);
}

static void mark_crashed(struct crash_check *ck)
{
	if (ck->crashed) return;
	ck->crashed = 1;
	ev_in(&ck->timer, COLLECT_US);
}

static struct crash_check *check_new(struct be *b)
{
	struct crash_check *ck = g_new0(struct crash_check, 1);

	ck->be = be_ref(b);
	ck->runs = g_array_new(FALSE, FALSE, sizeof(struct quarantine_run));
	ck->at_us = clock_us();
	ck->timer.fire = on_check_done;
	if (!checks) checks = g_ptr_array_new();
	g_ptr_array_add(checks, ck);
	ev_in(&ck->timer, CHECK_TIMEOUT_US);
	path_check(b);
	return ck;
}

/* Whether the server closed the connection without a notice that it leaves. */
static int may_have_crashed(const struct be *b, int err)
{
	return !be_is_leaving(b) && (err == -EPIPE || err == -ECONNRESET);
}

void att_note_broken(const struct attempt *att, int err)
{
	struct quarantine_run run = {.fp = *rq_fp(att->rq),
				     .ran_us = clock_us() - att->sent_us};
	struct crash_check *ck = find_check(att->be);

	if (!ck && !may_have_crashed(att->be, err)) return;
	if (!ck) ck = check_new(att->be);
	g_array_append_val(ck->runs, run);
}

void att_note_refused(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (ck) mark_crashed(ck);
}

void att_note_alive(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (!ck || !ck->crashed) return;
	ck->crashed = 0;
	ev_in(&ck->timer, 0);
}

void rq_note_incarnation_end(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (ck) mark_crashed(ck);
}

static int is_unanswered(const struct rq *r)
{
	return r->attempt && r->attempt->hx && !r->attempt->answered;
}

static int counts_as_success(const struct rq *r)
{
	const struct attempt *att = r->attempt;

	if (!att || !att->hx || !att->first_us || clock_us() - r->event_us > EVENT_AGE_MAX_US)
		return 0;
	return r->event_us - att->first_us >= SUCCESS_AFTER_US;
}

/* Runs that broke off a moment ago and whose servers are still being checked. */
static uint32_t count_broken(const struct fp *fp)
{
	uint32_t i, k, n = 0;

	for (i = 0; checks && i < checks->len; i++) {
		const struct crash_check *ck = g_ptr_array_index(checks, i);

		for (k = 0; k < ck->runs->len; k++)
			n += fp_equal(&g_array_index(ck->runs, struct quarantine_run, k).fp,
				      fp);
	}
	return n;
}

static uint32_t count_unanswered(const struct fp *fp, const struct rq *except)
{
	uint32_t i, n = count_broken(fp);

	for (i = 0; i < rq_all->len; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (r != except && is_unanswered(r)) n += fp_equal(rq_fp(r), fp);
	}
	return n;
}

static uint32_t count_runs(const struct fp *fp, int *succeeded)
{
	uint32_t i;

	for (i = 0; i < rq_all->len && !*succeeded; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (counts_as_success(r)) *succeeded = fp_equal(rq_fp(r), fp);
	}
	return count_unanswered(fp, NULL);
}

static void on_quarantined(const struct fp *fp)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (fp_equal(rq_fp(r), fp)) rq_refuse_quarantined(r);
	}
}

void rq_note_success(struct rq *r)
{
	quarantine_note_success(rq_fp(r));
}

int rq_check_quarantine(struct rq *r)
{
	const struct fp *fp;

	if (!quarantine_has_suspects()) return 0;
	fp = rq_fp(r);
	switch (quarantine_check(fp, count_unanswered(fp, r))) {
	case QUAR_ALLOW: return 0;
	case QUAR_TRIAL: r->on_trial = 1; return 0;
	case QUAR_REFUSE: rq_refuse_quarantined(r); return 1;
	case QUAR_WAIT: break;
	}
	rq_refuse(r, REF_SUSPECT, RETRY_SUSPECT_US,
		  "servers crashed while it ran, and other runs of it are in flight");
	return 1;
}

void rq_quarantine_start(int first_start)
{
	static const struct quarantine_hooks hooks = {on_quarantined, count_runs};

	quarantine_start(first_start, &hooks);
}
