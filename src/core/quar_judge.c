/* Finds the requests that caused servers to crash. */
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
/* A request is quarantined if the probability of its crashes by chance is below this: a large
 * fleet runs some 100 million requests a week, about one in 100 of which is on a server that
 * crashes. */
#define CHANCE_MAX 1e-8
/* Requests that ran on the same servers are distinguished if the log probability of one is
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

static uint32_t first_crash(const struct quar *q)
{
	return q->ncrashes > QUAR_CRASH_LOG ? q->ncrashes - QUAR_CRASH_LOG : 0;
}

/* Crashes are stored in the order in which they were reported, which may differ from their
 * times by this much; backward scans continue for this long. */
#define LATE_US 10000000

static const struct quar_run *run_on(const struct quar_suspect *s, uint32_t crash)
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
		const struct quar_run *r = run_on(s, i);

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

static int counts(const struct quar *q, const struct quar_suspect *s, const struct quar_run *r)
{
	const struct quar_crash *e = quar_crash_of(q, r->crash);

	if (!e || (e->attributed && !quar_is_quarantined(s))) return 0;
	if (s->success_us && r->at_us <= s->success_us + QUAR_SUCCESS_US) return 0;
	return may_be_cause(q, s, r);
}

int quar_count(const struct quar *q, const struct quar_suspect *s)
{
	int i, n = 0;

	for (i = 0; i < s->nruns; i++) n += counts(q, s, &s->run[i]);
	return n;
}

/* Rate of crashes per server and microsecond about that time on servers where it did not run.
 */
static double base_rate(const struct quar *q, const struct quar_suspect *s, int64_t at_us,
			uint32_t servers)
{
	double n = 0;
	uint32_t i;

	for (i = q->ncrashes; i-- > first_crash(q);) {
		const struct quar_crash *e = quar_crash_of(q, i);
		int64_t ago_us = at_us - e->at_us;

		if (ago_us > RATE_WINDOW_US + LATE_US) break;
		if (e->attributed || run_on(s, i)) continue;
		if (ago_us < RATE_WINDOW_US && ago_us >= -SIMULTANEOUS_US) n++;
	}
	return 1 / SERVER_MTBF_US + n / ((double)RATE_WINDOW_US * MAX(servers, 1));
}

static int is_settled(const struct quar *q, const struct quar_run *r)
{
	return r->at_us <= q->settled_us;
}

static int count_settled(const struct quar *q, const struct quar_suspect *s)
{
	int i, n = 0;

	for (i = 0; i < s->nruns; i++)
		n += is_settled(q, &s->run[i]) && counts(q, s, &s->run[i]);
	return n;
}

/* Natural logarithm of the probability that the crashes that count happened by chance. */
static double log_chance(const struct quar *q, const struct quar_suspect *s, uint32_t servers)
{
	double sum = 0;
	int i;

	for (i = 0; i < s->nruns; i++) {
		const struct quar_run *r = &s->run[i];

		if (!is_settled(q, r) || !counts(q, s, r)) continue;
		sum += log(MIN(1, base_rate(q, s, r->at_us, servers) *
					  (double)(MAX(r->ran_us, 0) + DETECT_US)));
	}
	return sum;
}

static int common_crashes(const struct quar *q, const struct quar_suspect *a,
			  const struct quar_suspect *b)
{
	int i, n = 0;

	for (i = 0; i < a->nruns; i++)
		n += counts(q, a, &a->run[i]) && run_on(b, a->run[i].crash) != NULL;
	return n;
}

/* Whether another request ran on the same servers each time and is about as likely to be the
 * cause. */
static int is_ambiguous(const struct quar *q, const struct quar_suspect *s, double log_s,
			uint32_t servers)
{
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		const struct quar_suspect *o = &q->suspect[i];

		if (o == s || quar_is_quarantined(o)) continue;
		if (common_crashes(q, s, o) < QUAR_THRESHOLD) continue;
		if (log_chance(q, o, servers) < log_s + LOG_MARGIN) return 1;
	}
	return 0;
}

static int must_quarantine(const struct quar *q, const struct quar_suspect *s, double log_s,
			   uint32_t servers)
{
	int n = count_settled(q, s);

	if (quar_is_quarantined(s) || n < QUAR_THRESHOLD || log_s > log(CHANCE_MAX)) return 0;
	return n >= AMBIGUOUS_MAX || !is_ambiguous(q, s, log_s, servers);
}

static struct quar_suspect *strongest(struct quar *q, uint32_t servers)
{
	struct quar_suspect *found = NULL;
	double least = 0;
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		struct quar_suspect *s = &q->suspect[i];
		double log_s;

		if (s->nruns < QUAR_THRESHOLD || quar_is_quarantined(s)) continue;
		log_s = log_chance(q, s, servers);
		if (log_s >= least || !must_quarantine(q, s, log_s, servers)) continue;
		least = log_s;
		found = s;
	}
	return found;
}

static void quarantine(struct quar *q, struct quar_suspect *s, int64_t now_us)
{
	s->round++;
	s->quarantined_us = now_us;
	quar_attribute(q, s, 1);
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
	while ((s = strongest(q, servers))) {
		quarantine(q, s, now_us);
		report(s, arg);
	}
}
