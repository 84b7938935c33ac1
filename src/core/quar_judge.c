/* Finds the requests and prompt segments that caused servers to crash. */
#include "quar.h"
#include <math.h>
#include <string.h>

/* A request is quarantined if the probability of its crashes by chance is below this: a large
 * fleet runs some 100 million requests a week, about one in 100 of which is on a server that
 * crashes. */
#define CHANCE_MAX 1e-8
/* Suspects that ran on the same servers are distinguished if the log probability of one is
 * lower by this much ... */
#define LOG_MARGIN 3.0
/* ... or else by this many crashes: by then they would have been placed on different servers.
 */
#define AMBIGUOUS_MAX 5
/* Suspects are dropped this long after their last crash: callers retry within some minutes. */
#define KEEP_US 600000000LL
/* A quarantined request that was not retried this long after its quarantine ran out is dropped.
 */
#define KEEP_QUARANTINED_US 3600000000LL

static const struct quar_evidence *evidence_of(const struct quar *q,
					       const struct quar_suspect *s)
{
	return &q->evidence[s - q->suspect];
}

/* For comparing suspects: a segment that ever came through is less likely. */
static double log_likelihood(const struct quar *q, const struct quar_suspect *s)
{
	double log_chance = evidence_of(q, s)->log_chance;

	return fp_is_segment(&s->fp) && s->success_us ? log_chance + LOG_MARGIN : log_chance;
}

/* Crashes that count against a, of servers where b ran too. */
static int common_crashes(const struct quar *q, const struct quar_suspect *a,
			  const struct quar_suspect *b)
{
	const struct quar_evidence *v = evidence_of(q, a);
	int i, n = 0;

	for (i = 0; i < a->nruns; i++)
		n += v->counts[i] && quar_run_on(b, a->run[i].crash) != NULL;
	return n;
}

/* Whether the request was seen to have the segment. */
static int has_segment(const struct quar_suspect *request, const struct quar_suspect *segment)
{
	uint32_t hash = quar_hash(&request->fp);
	int i;

	for (i = 0; i < segment->nruns; i++)
		if (segment->run[i].request == hash) return 1;
	return 0;
}

/* Whether another suspect ran on the same servers each time and is about as likely to be the
 * cause. A request is not compared with its own segments: those are blamed only if servers
 * crash under another request, too. */
static int is_ambiguous(const struct quar *q, const struct quar_suspect *s)
{
	double most = log_likelihood(q, s) + LOG_MARGIN;
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		const struct quar_suspect *o = &q->suspect[i];

		if (o == s || quar_is_quarantined(o) || log_likelihood(q, o) >= most) continue;
		if (common_crashes(q, s, o) < QUAR_THRESHOLD) continue;
		if (!has_segment(s, o) && !has_segment(o, s)) return 1;
	}
	return 0;
}

/* Whether servers crashed under two requests with the segment. */
static int has_two_requests(const struct quar *q, const struct quar_suspect *s)
{
	const struct quar_evidence *v = evidence_of(q, s);
	uint32_t first = 0;
	int i;

	for (i = 0; i < s->nruns; i++) {
		if (!v->counts[i]) continue;
		if (first && s->run[i].request != first) return 1;
		first = s->run[i].request;
	}
	return 0;
}

static int must_quarantine(const struct quar *q, const struct quar_suspect *s)
{
	const struct quar_evidence *v = evidence_of(q, s);

	if (quar_is_quarantined(s) || v->n < QUAR_THRESHOLD) return 0;
	if (v->log_chance > log(CHANCE_MAX)) return 0;
	if (fp_is_segment(&s->fp) && !has_two_requests(q, s)) return 0;
	return v->n >= AMBIGUOUS_MAX || !is_ambiguous(q, s);
}

/* Of suspects that are equally likely all instances choose the same. */
static int is_likelier(const struct quar *q, const struct quar_suspect *a,
		       const struct quar_suspect *b)
{
	double log_a = log_likelihood(q, a), log_b = b ? log_likelihood(q, b) : 0;

	if (log_a != log_b || !b) return log_a < log_b;
	return memcmp(a->fp.byte, b->fp.byte, sizeof a->fp.byte) < 0;
}

static struct quar_suspect *strongest(struct quar *q)
{
	struct quar_suspect *found = NULL;
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		struct quar_suspect *s = &q->suspect[i];

		if (is_likelier(q, s, found) && must_quarantine(q, s)) found = s;
	}
	return found;
}

static void quarantine(struct quar *q, struct quar_suspect *s, int64_t now_us)
{
	s->round++;
	s->quarantined_us = now_us;
	s->cut_off = q->cut_off;
	quar_attribute(q, s, 1);
}

/* Ends quarantines of segments that s explains as well: they were blamed while nothing told
 * them from it. */
static void release_explained(struct quar *q, const struct quar_suspect *s,
			      void (*report)(const struct quar_suspect *s, void *arg),
			      void *arg)
{
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		struct quar_suspect *o = &q->suspect[i];

		if (o == s || !quar_is_quarantined(o)) continue;
		if (!fp_is_segment(&o->fp) || !quar_covers(s, o)) continue;
		quar_release(q, o);
		report(o, arg);
	}
}

/* Whether the trial run that it was allowed crashed a server. */
static int failed_trial(const struct quar_suspect *s)
{
	if (!quar_is_quarantined(s) || !s->nruns) return 0;
	return s->run[s->nruns - 1].at_us >= quar_until_us(s);
}

static int is_expired(const struct quar_suspect *s, int64_t now_us)
{
	int64_t last_us = s->nruns ? s->run[s->nruns - 1].at_us : 0;

	if (s->round) return now_us > quar_until_us(s) + KEEP_QUARANTINED_US;
	return now_us - last_us > KEEP_US;
}

static void forget_expired(struct quar *q, int64_t now_us)
{
	uint32_t i;

	for (i = q->n; i-- > 0;)
		if (is_expired(&q->suspect[i], now_us)) q->suspect[i] = q->suspect[--q->n];
}

void quar_judge_since(struct quar *q, int64_t since_us)
{
	q->since_us = since_us;
}

void quar_set_cut_off(struct quar *q, int cut_off)
{
	q->cut_off = cut_off;
}

void quar_judge(struct quar *q, uint32_t servers, int64_t settled_us, int64_t now_us,
		void (*report)(const struct quar_suspect *s, void *arg), void *arg)
{
	struct quar_suspect *s;
	uint32_t i;

	q->settled_us = settled_us;
	forget_expired(q, now_us);
	for (i = 0; i < q->n; i++) {
		if (!failed_trial(&q->suspect[i])) continue;
		quarantine(q, &q->suspect[i], now_us);
		report(&q->suspect[i], arg);
	}
	/* Each verdict changes what counts against the others. */
	for (quar_weigh(q, servers); (s = strongest(q)); quar_weigh(q, servers)) {
		if (fp_is_segment(&s->fp)) release_explained(q, s, report, arg);
		quarantine(q, s, now_us);
		report(s, arg);
	}
}
