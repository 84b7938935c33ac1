/* Table of requests and prompt segments under which servers crashed. */
#include "quar.h"
#include <errno.h>
#include <glib.h>
#include <string.h>

/* A wrongly quarantined request is free after a minute; one whose trial crashed a server costs
 * one server an hour. */
#define QUARANTINE_US 60000000LL
#define FAILED_TRIAL_US 3600000000LL

struct quar *quar_new(void)
{
	struct quar *q = g_new0(struct quar, 1);

	q->suspect = g_new0(struct quar_suspect, QUAR_SUSPECTS);
	q->evidence = g_new0(struct quar_evidence, QUAR_SUSPECTS);
	return q;
}

void quar_free(struct quar *q)
{
	g_free(q->suspect);
	g_free(q->evidence);
	g_free(q);
}

int quar_empty(const struct quar *q)
{
	return !q->n;
}

/* ---- crashes ---- */

const struct quar_crash *quar_crash_of(const struct quar *q, uint32_t crash)
{
	if (crash >= q->ncrashes || q->ncrashes - crash > QUAR_CRASH_LOG) return NULL;
	return &q->crash[crash % QUAR_CRASH_LOG];
}

static int same_crash(const struct quar_crash *e, const char *server, int64_t incarnation_ms)
{
	return e->incarnation_ms == incarnation_ms &&
	       !strncmp(e->server, server, sizeof e->server - 1);
}

/* Returns its serial number, or q->ncrashes if it is not kept. */
static uint32_t find_crash(const struct quar *q, const char *server, int64_t incarnation_ms)
{
	uint32_t first = q->ncrashes > QUAR_CRASH_LOG ? q->ncrashes - QUAR_CRASH_LOG : 0, i;

	for (i = q->ncrashes; i-- > first;)
		if (same_crash(&q->crash[i % QUAR_CRASH_LOG], server, incarnation_ms)) return i;
	return q->ncrashes;
}

int64_t quar_crash_time(const struct quar *q, const char *server, int64_t incarnation_ms)
{
	const struct quar_crash *e = quar_crash_of(q, find_crash(q, server, incarnation_ms));

	return e ? e->at_us : 0;
}

uint32_t quar_add_crash(struct quar *q, const char *server, int64_t incarnation_ms,
			const char *seen_by, int64_t at_us)
{
	uint32_t known = find_crash(q, server, incarnation_ms);
	struct quar_crash *e;

	if (known < q->ncrashes) return known;
	e = &q->crash[q->ncrashes % QUAR_CRASH_LOG];
	*e = (struct quar_crash){.incarnation_ms = incarnation_ms, .at_us = at_us};
	g_strlcpy(e->server, server, sizeof e->server);
	g_strlcpy(e->seen_by, seen_by, sizeof e->seen_by);
	return q->ncrashes++;
}

/* ---- suspects ---- */

const struct quar_suspect *quar_find(const struct quar *q, const struct fp *fp)
{
	uint32_t i;

	for (i = 0; i < q->n; i++)
		if (fp_equal(&q->suspect[i].fp, fp)) return &q->suspect[i];
	return NULL;
}

int quar_is_quarantined(const struct quar_suspect *s)
{
	return s->round > s->cleared;
}

int64_t quar_until_us(const struct quar_suspect *s)
{
	int failed_trial = s->round - s->cleared > 1;

	return s->quarantined_us + (failed_trial ? FAILED_TRIAL_US : QUARANTINE_US);
}

static int64_t last_us(const struct quar_suspect *s)
{
	int64_t run_us = s->nruns ? s->run[s->nruns - 1].at_us : 0;

	return MAX(run_us, s->quarantined_us);
}

/* Whether evicting a does less harm than evicting b. */
static int is_less_important(const struct quar_suspect *a, const struct quar_suspect *b)
{
	if (quar_is_quarantined(a) != quar_is_quarantined(b)) return quar_is_quarantined(b);
	if (a->nruns != b->nruns) return a->nruns < b->nruns;
	return last_us(a) < last_us(b);
}

static struct quar_suspect *least_important(struct quar *q)
{
	struct quar_suspect *found = &q->suspect[0];
	uint32_t i;

	for (i = 1; i < q->n; i++)
		if (is_less_important(&q->suspect[i], found)) found = &q->suspect[i];
	return found;
}

struct quar_suspect *quar_suspect_of(struct quar *q, const struct fp *fp)
{
	struct quar_suspect *s = (struct quar_suspect *)quar_find(q, fp);

	if (s) return s;
	s = q->n < QUAR_SUSPECTS ? &q->suspect[q->n++] : least_important(q);
	*s = (struct quar_suspect){.fp = *fp};
	return s;
}

static void append_run(struct quar_suspect *s, struct quar_run r)
{
	if (s->nruns == QUAR_RUNS) {
		memmove(&s->run[0], &s->run[1], sizeof s->run - sizeof s->run[0]);
		s->nruns--;
	}
	s->run[s->nruns++] = r;
}

uint32_t quar_hash(const struct fp *fp)
{
	uint32_t h = fp_hash(fp);

	return h ? h : 1;
}

/* Returns its run on the server that crashed; with *added set if that is new. NULL: the crash
 * is not kept any more. */
static struct quar_run *record_run(struct quar *q, const struct fp *fp, uint32_t crash,
				   int64_t ran_us, int *added)
{
	struct quar_crash *e = (struct quar_crash *)quar_crash_of(q, crash);
	struct quar_suspect *s;
	struct quar_run *r;

	*added = 0;
	if (!e) return NULL;
	s = quar_suspect_of(q, fp);
	if (quar_is_quarantined(s)) e->attributed_to = quar_hash(fp);
	r = (struct quar_run *)quar_run_on(s, crash);
	if (r) return r;
	*added = 1;
	append_run(s, (struct quar_run){.crash = crash, .at_us = e->at_us, .ran_us = ran_us});
	return &s->run[s->nruns - 1];
}

int quar_add_run(struct quar *q, const struct fp *fp, uint32_t crash, int64_t ran_us)
{
	int added;
	struct quar_run *r = record_run(q, fp, crash, ran_us, &added);

	if (r) r->ran_us = MIN(r->ran_us, ran_us);
	return added;
}

int quar_add_segment_run(struct quar *q, const struct fp *fp, uint32_t crash, int64_t ran_us,
			 const struct fp *request)
{
	int added;
	struct quar_run *r = record_run(q, fp, crash, ran_us, &added);

	/* Each instance reports the sum of its own runs, possibly several times. */
	if (r) r->ran_us = MAX(r->ran_us, ran_us);
	if (added) r->request = quar_hash(request);
	return added;
}

void quar_attribute(struct quar *q, const struct quar_suspect *s, int attributed)
{
	uint32_t hash = quar_hash(&s->fp);
	int i;

	for (i = 0; i < s->nruns; i++) {
		struct quar_crash *e = (struct quar_crash *)quar_crash_of(q, s->run[i].crash);

		if (!e) continue;
		if (attributed)
			e->attributed_to = hash;
		else if (e->attributed_to == hash)
			e->attributed_to = 0;
	}
}

/* Ends the quarantine; the crashes under it are not attributed to it any more. */
static void release(struct quar *q, struct quar_suspect *s, uint32_t cleared)
{
	quar_attribute(q, s, 0);
	s->cleared = cleared;
	s->nruns = 0;
}

void quar_release(struct quar *q, struct quar_suspect *s)
{
	release(q, s, s->round);
}

/* Whether a run that succeeded at at_us refutes the verdict: it succeeded after the quarantine
 * began, or so late before it that too few crashes are left to count, and the instance that set
 * the quarantine had not received that. */
static int is_exonerated(const struct quar *q, const struct quar_suspect *s, int64_t at_us)
{
	if (at_us > s->quarantined_us - QUAR_SUCCESS_US) return 1;
	return s->nruns >= QUAR_THRESHOLD && quar_count(q, s) < QUAR_THRESHOLD;
}

int quar_add_success(struct quar *q, const struct fp *fp, int64_t at_us)
{
	struct quar_suspect *s = (struct quar_suspect *)quar_find(q, fp);
	int counted;

	if (!s || at_us <= s->success_us) return 0;
	counted = quar_count(q, s);
	s->success_us = at_us;
	if (quar_is_quarantined(s) && is_exonerated(q, s, at_us)) {
		release(q, s, s->round);
		return 2;
	}
	return quar_count(q, s) < counted;
}

int quar_refute(struct quar *q, const struct fp *fp)
{
	struct quar_suspect *s = (struct quar_suspect *)quar_find(q, fp);

	if (!s || !quar_is_quarantined(s) || !s->success_us) return 0;
	if (!is_exonerated(q, s, s->success_us)) return 0;
	quar_release(q, s);
	return 1;
}

int quar_merge(struct quar *q, const struct fp *fp, uint32_t round, uint32_t cleared,
	       int64_t quarantined_us)
{
	struct quar_suspect *s;

	if (!round || cleared > round) return 0;
	s = quar_suspect_of(q, fp);
	if (round <= s->round && cleared <= s->cleared) return 0;
	if (round > s->round) {
		s->quarantined_us = quarantined_us;
		s->cut_off = 0;
	}
	s->round = MAX(s->round, round);
	if (cleared > s->cleared) release(q, s, cleared);
	if (quar_is_quarantined(s)) quar_attribute(q, s, 1);
	return 1;
}

int quar_clear(struct quar *q, const struct fp *fp, int64_t now_us)
{
	struct quar_suspect *s = (struct quar_suspect *)quar_find(q, fp);

	if (!s || !quar_is_quarantined(s)) return -ENOENT;
	release(q, s, s->round);
	s->success_us = now_us;
	return 0;
}

enum quar_action quar_check(const struct quar *q, const struct fp *fp, uint32_t in_flight,
			    int64_t now_us)
{
	const struct quar_suspect *s = quar_find(q, fp);
	int counted;

	if (!s) return QUAR_ALLOW;
	if (quar_is_quarantined(s)) {
		if (now_us < quar_until_us(s) || in_flight) return QUAR_REFUSE;
		return QUAR_TRIAL;
	}
	counted = quar_count(q, s);
	if (!counted) return QUAR_ALLOW;
	/* Each run in flight may crash one more server. One run is let through however many
	 * have crashed. */
	return MIN(counted, QUAR_THRESHOLD - 1) + in_flight >= QUAR_THRESHOLD ? QUAR_WAIT
									      : QUAR_ALLOW;
}

void quar_each(const struct quar *q, void (*f)(const struct quar_suspect *s, void *arg),
	       void *arg)
{
	uint32_t i;

	for (i = 0; i < q->n; i++) f(&q->suspect[i], arg);
}

uint64_t quar_digest(const struct quar *q)
{
	uint64_t sum = 0, part;
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		const struct quar_suspect *s = &q->suspect[i];

		if (!s->round) continue;
		memcpy(&part, s->fp.byte, sizeof part);
		sum ^= (part | 1) * (2654435761u * (uint64_t)s->round + s->cleared);
	}
	return sum;
}
