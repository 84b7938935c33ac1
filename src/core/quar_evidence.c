/* Weighs the crashes that count against requests and prompt segments: what is known of others
 * on the same servers, and at the same time, may excuse them. */
#include "quar.h"
#include <glib.h>
#include <math.h>

/* Crashes this close together have one cause: a rack that fails takes its servers down within
 * some ms, and each is detected some ms later. */
#define SIMULTANEOUS_US 100000
/* The rate of crashes with other causes is measured over this time before a crash. */
#define RATE_WINDOW_US 30000000
/* While servers crash one after the other, requests that are sent from one to the next run
 * there for only some ms: such a run did not crash its server, another cause did. */
#define CHAIN_US 20000
/* Assumed mean time between crashes of a server in any case: at the beginning of a bad minute
 * few crashes have been seen yet. */
#define SERVER_MTBF_US 300000000.0
/* Shortest run that is distinguished: connecting and detecting a crash take some ms. */
#define DETECT_US 50000

static uint32_t first_crash(const struct quar *q)
{
	return q->ncrashes > QUAR_CRASH_LOG ? q->ncrashes - QUAR_CRASH_LOG : 0;
}

/* Crashes are stored in the order in which they were reported, which may differ from their
 * times by this much; backward scans continue for this long. */
#define LATE_US 10000000

const struct quar_run *quar_run_on(const struct quar_suspect *s, uint32_t crash)
{
	int i;

	for (i = 0; i < s->nruns; i++)
		if (s->run[i].crash == crash) return &s->run[i];
	return NULL;
}

/* A group of simultaneous crashes, and where the request ran. */
struct crash_group {
	int64_t first_us;
	int all;          /* servers */
	int with_request; /* of them, servers where it ran */
	int begun_before; /* of these, servers where it had begun before the first crash */
};

/* Allows for the delay of crash reports. */
static int began_before(const struct quar_run *r, int64_t us)
{
	return r->at_us - r->ran_us < us - DETECT_US;
}

static struct crash_group group_of(const struct quar *q, const struct quar_suspect *s,
				   int64_t at_us)
{
	struct crash_group m = {.first_us = at_us};
	uint32_t i, last = q->ncrashes;

	for (i = q->ncrashes; i-- > first_crash(q);) {
		int64_t ago_us = at_us - quar_crash_of(q, i)->at_us;

		if (ago_us > LATE_US) break;
		if (ABS(ago_us) > SIMULTANEOUS_US) continue;
		m.all++;
		m.first_us = MIN(m.first_us, quar_crash_of(q, i)->at_us);
		last = i;
	}
	for (i = last; i < q->ncrashes; i++) {
		const struct quar_run *r = quar_run_on(s, i);

		if (!r || ABS(r->at_us - at_us) > SIMULTANEOUS_US) continue;
		m.with_request++;
		m.begun_before += began_before(r, m.first_us);
	}
	return m;
}

/* Whether the request may have caused the crash: it was on all servers that crashed
 * simultaneously, or it was in flight on at least half of them, this one included, before the
 * first one crashed. A request that was only sent on from one to the next did not. */
static int may_be_cause(const struct quar *q, const struct quar_suspect *s,
			const struct quar_run *r)
{
	struct crash_group m = group_of(q, s, r->at_us);

	if (r->ran_us < CHAIN_US && r->at_us - r->ran_us >= m.first_us) return 0;
	if (m.with_request == m.all) return 1;
	return m.begun_before * 2 >= m.all && began_before(r, m.first_us);
}

int quar_covers(const struct quar_suspect *s, const struct quar_suspect *o)
{
	int i;

	if (o->nruns < QUAR_THRESHOLD) return 0; /* too little is known of it here */
	for (i = 0; i < o->nruns; i++)
		if (!quar_run_on(s, o->run[i].crash)) return 0;
	return 1;
}

static int has_unattributed_run(const struct quar *q, const struct quar_suspect *s)
{
	int i;

	for (i = 0; i < s->nruns; i++) {
		const struct quar_crash *e = quar_crash_of(q, s->run[i].crash);

		if (e && !e->attributed_to) return 1;
	}
	return 0;
}

static const struct quar_suspect *quarantined_of(const struct quar *q, uint32_t hash)
{
	uint32_t i;

	for (i = 0; i < q->n; i++)
		if (quar_is_quarantined(&q->suspect[i]) && quar_hash(&q->suspect[i].fp) == hash)
			return &q->suspect[i];
	return NULL;
}

/* Whether s explains more than the quarantined segment: it ran wherever that one did, and on a
 * server that crashed without it. */
static int explains_more(const struct quar *q, const struct quar_suspect *s, uint32_t hash)
{
	const struct quar_suspect *o;

	if (!fp_is_segment(&s->fp) || !has_unattributed_run(q, s)) return 0;
	o = quarantined_of(q, hash);
	return o && fp_is_segment(&o->fp) && quar_covers(s, o);
}

/* Whether the crash is attributed to another suspect. A quarantined request does not excuse its
 * own segments: one of them may be the cause. */
static int is_excused(const struct quar *q, const struct quar_suspect *s,
		      const struct quar_run *r, const struct quar_crash *e)
{
	if (!e->attributed_to || quar_is_quarantined(s)) return 0;
	if (e->attributed_to == r->request) return 0;
	return !explains_more(q, s, e->attributed_to);
}

static int counts(const struct quar *q, const struct quar_suspect *s, const struct quar_run *r)
{
	const struct quar_crash *e = quar_crash_of(q, r->crash);

	if (!e || is_excused(q, s, r, e)) return 0;
	if (s->success_us && r->at_us <= s->success_us + QUAR_SUCCESS_US) return 0;
	return may_be_cause(q, s, r);
}

int quar_count(const struct quar *q, const struct quar_suspect *s)
{
	int i, n = 0;

	for (i = 0; i < s->nruns; i++) n += counts(q, s, &s->run[i]);
	return n;
}

/* ---- chance ---- */

static int is_in_window(int64_t at_us, const struct quar_crash *e)
{
	int64_t ago_us = at_us - e->at_us;

	return !e->attributed_to && ago_us < RATE_WINDOW_US && ago_us >= -SIMULTANEOUS_US;
}

/* Number of crashes that are attributed to nobody, in the window of each crash. */
static void count_windows(struct quar *q)
{
	uint32_t i, k;

	for (i = first_crash(q); i < q->ncrashes; i++) {
		int64_t at_us = quar_crash_of(q, i)->at_us;
		uint32_t *n = &q->in_window[i % QUAR_CRASH_LOG];

		*n = 0;
		for (k = q->ncrashes; k-- > first_crash(q);) {
			const struct quar_crash *e = quar_crash_of(q, k);

			if (at_us - e->at_us > RATE_WINDOW_US + LATE_US) break;
			*n += (uint32_t)is_in_window(at_us, e);
		}
	}
}

/* Rate of crashes per server and microsecond about the time of that run, on servers where it
 * did not run. */
static double base_rate(const struct quar *q, const struct quar_suspect *s,
			const struct quar_run *r, uint32_t servers)
{
	double n = q->in_window[r->crash % QUAR_CRASH_LOG];
	int i;

	for (i = 0; i < s->nruns; i++) {
		const struct quar_crash *e = quar_crash_of(q, s->run[i].crash);

		if (e && is_in_window(r->at_us, e)) n--;
	}
	return 1 / SERVER_MTBF_US + MAX(n, 0) / ((double)RATE_WINDOW_US * MAX(servers, 1));
}

/* Natural logarithm of the probability that a run was on a server that crashed by chance. */
static double log_chance(const struct quar *q, const struct quar_suspect *s,
			 const struct quar_run *r, uint32_t servers)
{
	double us = (double)(MAX(r->ran_us, 0) + DETECT_US);

	return log(MIN(1, base_rate(q, s, r, servers) * us));
}

static int is_excused_by_cut_off(const struct quar *q, const struct quar_suspect *s,
				 const struct quar_run *r)
{
	if (!q->cut_off || !s->success_us) return 0;
	return r->at_us <= s->success_us + QUAR_CUT_OFF_SUCCESS_US;
}

static struct quar_evidence weigh(const struct quar *q, const struct quar_suspect *s,
				  uint32_t servers)
{
	struct quar_evidence v = {0};
	int i;

	for (i = 0; i < s->nruns; i++) {
		const struct quar_run *r = &s->run[i];

		if (r->at_us < q->since_us || r->at_us > q->settled_us) continue;
		if (is_excused_by_cut_off(q, s, r) || !counts(q, s, r)) continue;
		v.counts[i] = 1;
		v.n++;
		v.log_chance += log_chance(q, s, r, servers);
	}
	return v;
}

void quar_weigh(struct quar *q, uint32_t servers)
{
	uint32_t i;

	count_windows(q);
	for (i = 0; i < q->n; i++) q->evidence[i] = weigh(q, &q->suspect[i], servers);
}
