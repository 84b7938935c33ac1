/* Compares the answers of two versions in the same period. */
#include <math.h>
#include <saddlehead/rollout.h>
#include <string.h>

#define FIRST_CLASS_US 5000.0
#define CLASS_FACTOR 1.5
#define SLOW_CLASSES 3 /* above the old version's median: at least 2.25 times as long */

/* A version is bad if its failure rate is significantly higher than BAD_TIMES (SLOW_TIMES) the
 * old version's plus a margin. Unrelated faults affect servers of both versions, and rarely
 * evenly. */
#define BAD_TIMES 2.0
#define BAD_MARGIN 0.04
#define SLOW_TIMES 1.5
#define SLOW_MARGIN 0.1
#define BAD_MIN 4 /* failed answers: fewer may be chance, whatever their rate */
#define CHANCE_MAX 1e-5
/* Answers of the old version that a comparison needs. */
#define OLD_MIN 20

#define GOOD_MIN 20 /* answers of the new version */
/* Answers of the new version on each route with at least a tenth of the old version's. */
#define GOOD_ROUTE_MIN 6
#define GOOD_ROUTE_PART 10
#define GOOD_LAST_MIN 10
#define GOOD_LAST_CLEAN_MIN 3 /* the same if none of them failed */

static int class_of(int64_t us)
{
	double k =
		us > FIRST_CLASS_US ? log((double)us / FIRST_CLASS_US) / log(CLASS_FACTOR) : 0;

	return k < ROLLOUT_TIMES - 1 ? (int)k : ROLLOUT_TIMES - 1;
}

static struct rollout_route *route_of(struct rollout_tally *t, uint32_t key)
{
	int i;

	for (i = 0; i < t->n; i++)
		if (t->route[i].key == key) return &t->route[i];
	if (t->n == ROLLOUT_ROUTES) return &t->route[t->n - 1];
	t->route[t->n].key = key;
	return &t->route[t->n++];
}

void rollout_record(struct rollout_tally *t, uint32_t route, enum rollout_side side, int bad,
		    int64_t took_us)
{
	struct rollout_count *c = &route_of(t, route)->of[side];

	c->answers++;
	c->bad += bad != 0;
	if (!bad && took_us >= 0) c->times[class_of(took_us)]++;
}

static void add_count(struct rollout_count *sum, const struct rollout_count *c)
{
	int i;

	sum->answers += c->answers;
	sum->bad += c->bad;
	for (i = 0; i < ROLLOUT_TIMES; i++) sum->times[i] += c->times[i];
}

void rollout_add(struct rollout_tally *sum, const struct rollout_tally *t)
{
	int i, side;

	for (i = 0; i < t->n; i++) {
		struct rollout_route *r = route_of(sum, t->route[i].key);

		for (side = 0; side < ROLLOUT_SIDES; side++)
			add_count(&r->of[side], &t->route[i].of[side]);
	}
}

/* Probability of at least k successes in n trials, each with probability p. */
static double binomial_tail(uint32_t n, uint32_t k, double p)
{
	double each, sum = 0;
	uint32_t i;

	if (!k) return 1;
	if (k > n || p <= 0) return 0;
	if (p >= 1) return 1;
	each = lgamma(n + 1.0) - lgamma(k + 1.0) - lgamma(n - k + 1.0);
	each = exp(each + k * log(p) + (n - k) * log1p(-p));
	for (i = k; i <= n && each > 0; i++) {
		sum += each;
		each *= (double)(n - i) / (i + 1) * p / (1 - p);
	}
	return sum;
}

struct share {
	uint32_t bad, all;
};

static int is_worse(struct share new, struct share old, double times, double margin)
{
	double tolerated = times * old.bad / old.all + margin;

	return new.bad >= BAD_MIN &&binomial_tail(new.all, new.bad, tolerated) < CHANCE_MAX;
}

static struct share bad_share(const struct rollout_count *c)
{
	return (struct share){c->bad, c->answers};
}

static uint32_t timed_answers(const struct rollout_count *c)
{
	uint32_t n = 0;
	int i;

	for (i = 0; i < ROLLOUT_TIMES; i++) n += c->times[i];
	return n;
}

static int median(const struct rollout_count *c)
{
	uint32_t half = timed_answers(c) / 2, n = 0;
	int i;

	for (i = 0; i < ROLLOUT_TIMES - 1; i++) {
		n += c->times[i];
		if (n > half) break;
	}
	return i;
}

/* Answers in class from or a slower one. */
static struct share slow_share(const struct rollout_count *c, int from)
{
	struct share s = {0, timed_answers(c)};
	int i;

	for (i = from; i < ROLLOUT_TIMES; i++) s.bad += c->times[i];
	return s;
}

static void set_reason(struct rollout_reason *why, uint32_t route, int slow, struct share new,
		       struct share old)
{
	*why = (struct rollout_reason){route, slow, new.bad, new.all, old.bad, old.all};
}

/* Judges one route, or all together. */
static int is_bad(const struct rollout_route *r, struct rollout_reason *why)
{
	const struct rollout_count *old = &r->of[ROLLOUT_OLD], *new = &r->of[ROLLOUT_NEW];
	int from = median(old) + SLOW_CLASSES;

	set_reason(why, r->key, 0, bad_share(new), bad_share(old));
	if (old->answers >= OLD_MIN &&
	    is_worse(bad_share(new), bad_share(old), BAD_TIMES, BAD_MARGIN))
		return 1;
	if (timed_answers(old) < OLD_MIN || from >= ROLLOUT_TIMES) return 0;
	set_reason(why, r->key, 1, slow_share(new, from), slow_share(old, from));
	return is_worse(slow_share(new, from), slow_share(old, from), SLOW_TIMES, SLOW_MARGIN);
}

static int is_covered(const struct rollout_tally *t, uint32_t old_answers)
{
	int i;

	for (i = 0; i < t->n; i++) {
		const struct rollout_count *of = t->route[i].of;

		if (of[ROLLOUT_OLD].answers * GOOD_ROUTE_PART < old_answers) continue;
		if (of[ROLLOUT_NEW].answers < GOOD_ROUTE_MIN) return 0;
	}
	return 1;
}

static int is_good(const struct rollout_tally *t, const struct rollout_route *all, int last)
{
	const struct rollout_count *new = &all->of[ROLLOUT_NEW];

	if (new->answers >= GOOD_MIN && is_covered(t, all->of[ROLLOUT_OLD].answers)) return 1;
	if (!last) return 0;
	return new->answers >= GOOD_LAST_MIN ||
	       (new->answers >= GOOD_LAST_CLEAN_MIN && !new->bad);
}

enum rollout_verdict rollout_judge(const struct rollout_tally *t, int last,
				   struct rollout_reason *why)
{
	struct rollout_route all = {0};
	int i, side;

	for (i = 0; i < t->n; i++) {
		if (is_bad(&t->route[i], why)) return ROLLOUT_BAD;
		for (side = 0; side < ROLLOUT_SIDES; side++)
			add_count(&all.of[side], &t->route[i].of[side]);
	}
	/* Answer times are not compared over all routes: the mix of routes may differ between
	 * the versions. */
	set_reason(why, 0, 0, bad_share(&all.of[ROLLOUT_NEW]), bad_share(&all.of[ROLLOUT_OLD]));
	if (why->old_all >= OLD_MIN &&
	    is_worse(bad_share(&all.of[ROLLOUT_NEW]), bad_share(&all.of[ROLLOUT_OLD]),
		     BAD_TIMES, BAD_MARGIN))
		return ROLLOUT_BAD;
	return is_good(t, &all, last) ? ROLLOUT_GOOD : ROLLOUT_OPEN;
}
