/* Whether a request may run, as servers crashed under it or under one of its segments, and how
 * many like it run here. */
#include "clock.h"
#include "quarantine.h"
#include "rq_impl.h"

/* A stream that runs for so long after its first event counts as successful here: requests that
 * crash engines do so at their beginning. */
#define SUCCESS_AFTER_US 1000000
/* The last event must be newer: otherwise its engine may have crashed. */
#define EVENT_AGE_MAX_US 500000
/* By then, parallel runs of the same request have answered or crashed their servers. */
#define RETRY_SUSPECT_US 1000000

int att_has_run_long(const struct attempt *att)
{
	return att->first_us && att->rq->event_us - att->first_us >= SUCCESS_AFTER_US;
}

static int has_fp(struct rq *r, const struct fp *fp)
{
	if (fp_is_segment(fp)) return fp_is_among(r->in.segment, r->in.nsegments, fp);
	return fp_equal(rq_fp(r), fp);
}

/* Whether it runs and may still crash its server. */
static int is_unproven(const struct rq *r)
{
	const struct attempt *att = r->attempt;

	return r->next || (att && att->hx && !att_has_run_long(att));
}

static int counts_as_success(const struct rq *r)
{
	const struct attempt *att = r->attempt;

	if (!att || !att->hx || clock_us() - r->event_us > EVENT_AGE_MAX_US) return 0;
	return att_has_run_long(att);
}

/* Unproven runs other than of except, and those that broke off a moment ago and whose servers
 * are still being checked. */
static uint32_t count_unproven(const struct fp *fp, const struct rq *except)
{
	uint32_t i, n = crash_count_checks(fp);

	for (i = 0; i < rq_all->len; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (r != except && is_unproven(r)) n += has_fp(r, fp);
	}
	return n;
}

static void add_count(GHashTable *suspects, const struct fp *fp, int unproven, int succeeded)
{
	struct quarantine_count *c = g_hash_table_lookup(suspects, fp);

	if (!c) return;
	c->unproven += (uint32_t)unproven;
	c->succeeded |= succeeded;
}

static void count_broken(const struct fp *fp, void *suspects)
{
	add_count(suspects, fp, 1, 0);
}

static void count_runs(GHashTable *suspects)
{
	uint32_t i;
	int k;

	crash_each_run(count_broken, suspects);
	for (i = 0; i < rq_all->len; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);
		int unproven = is_unproven(r), succeeded = counts_as_success(r);

		if (!unproven && !succeeded) continue;
		add_count(suspects, rq_fp(r), unproven, succeeded);
		for (k = 0; k < r->in.nsegments; k++)
			add_count(suspects, &r->in.segment[k], unproven, succeeded);
	}
}

static void on_quarantined(const struct fp *fp)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (has_fp(r, fp)) rq_refuse_quarantined(r, fp);
	}
}

void att_note_success(const struct attempt *att, int prompt_read)
{
	struct rq *r = att->rq;
	int64_t now = clock_us();
	int i;

	/* The rest of a stream is too short to tell: others may have crashed before it. */
	if (att->resumed && !att_has_run_long(att)) return;
	quarantine_note_success(rq_fp(r), now);
	if (!prompt_read) return;
	for (i = 0; i < r->in.nsegments; i++) quarantine_note_success(&r->in.segment[i], now);
}

static enum quar_action check_fp(struct rq *r, const struct fp *fp)
{
	return quarantine_check(fp, count_unproven(fp, r));
}

/* The strictest of what the request and its segments are allowed; *fp: which of them that is.
 */
static enum quar_action check_all(struct rq *r, const struct fp **fp)
{
	enum quar_action most = check_fp(r, rq_fp(r));
	int i;

	*fp = rq_fp(r);
	for (i = 0; i < r->in.nsegments; i++) {
		enum quar_action a = check_fp(r, &r->in.segment[i]);

		if (a <= most) continue;
		most = a;
		*fp = &r->in.segment[i];
	}
	return most;
}

static void refuse_suspect(struct rq *r, const struct fp *fp)
{
	char name[FP_SEGMENT], why[160];

	if (!fp_is_segment(fp)) {
		rq_refuse(r, REF_SUSPECT, RETRY_SUSPECT_US,
			  "servers crashed while it ran: it may not run beside others now");
		return;
	}
	fp_format_segment(fp, name);
	g_snprintf(why, sizeof why,
		   "servers crashed under requests with segment %s, others with it are in "
		   "flight",
		   name);
	rq_refuse(r, REF_SEGMENT_SUSPECT, RETRY_SUSPECT_US, why);
}

int rq_is_held_back(struct rq *r)
{
	const struct fp *fp;

	return quarantine_has_suspects() && check_all(r, &fp) != QUAR_ALLOW;
}

int rq_check_quarantine(struct rq *r)
{
	const struct fp *fp;

	if (!quarantine_has_suspects()) return 0;
	switch (check_all(r, &fp)) {
	case QUAR_ALLOW: return 0;
	case QUAR_TRIAL: return rq_begin_trial(r, fp);
	case QUAR_REFUSE: rq_refuse_quarantined(r, fp); return 1;
	case QUAR_WAIT: break;
	}
	refuse_suspect(r, fp);
	return 1;
}

void rq_quarantine_start(const struct entry_cfg *c)
{
	static const struct quarantine_hooks hooks = {on_quarantined, count_runs,
						      rq_on_trial_answer};

	quarantine_start(c, &hooks);
}
