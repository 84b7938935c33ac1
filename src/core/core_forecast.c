/* How long a ticket is expected to wait. Work is memory times time: what a request takes of
 * engines is its tokens for as long as it runs. */
#include "core_impl.h"
#include <math.h>

#define USUAL_US 60000000.0 /* averaging time of usual use: several rushes long */
/* Before the first arrival none is assumed for so long: a first one is not taken for many. */
#define OBSERVED_US 500000
#define NEED_WEIGHT 0.05 /* of one ticket in the mean need */
/* Part of the supply that grants are expected to use until it is measured: between the end of
 * a run and the next grant pass some ms. */
#define EFFICIENCY 0.9
#define EFFICIENCY_MIN 0.3
#define EFFICIENCY_MAX 1.2
#define MEASURE_US 300000     /* shortest span that efficiency is measured over */
#define MEASURED_US 2000000.0 /* averaging time of efficiency */
#define ASSUMED_US 500000.0   /* the first value counts as if measured for so long */
#define PAUSE_US 1000000      /* a rush is over when nothing has waited for so long */
#define LEAST_LEFT 0.2        /* part of the supply that more urgent arrivals leave, at least */

double cforecast_work(const struct core_ticket_info *i)
{
	return cfit_need(i) * (double)i->run_us;
}

double cforecast_cost(const struct core_ticket_info *i)
{
	return (double)i->prompt_tokens + i->growth_tokens;
}

uint32_t cforecast_class(uint32_t rank)
{
	if (rank == 0) return 0;
	if (rank <= 2) return 1;
	return rank <= 5 ? 2 : 3;
}

#define CAPACITY_US 10000 /* an engine that falls silent is noticed after so long */

static double capacity(const struct core *c, struct cservice *s)
{
	if (!s->capacity_us || c->now - s->capacity_us > CAPACITY_US) {
		s->capacity = cfit_capacity(c, s, 0);
		s->capacity_us = c->now;
	}
	return s->capacity;
}

double cforecast_supply(const struct core *c, struct cservice *s)
{
	/* Only until it is measured: with requests of different size the whole ones that fit
	 * vary with their mean. */
	if (s->efficiency <= 0) return cfit_capacity(c, s, 1) * EFFICIENCY;
	return capacity(c, s) * s->efficiency;
}

/* Part of the averaging time for which arrivals have been observed. */
double cforecast_observed(const struct core *c, const struct cservice *s)
{
	double us = (double)(c->now - s->first_us) + OBSERVED_US;

	return us > 5 * CRECENT_US ? 1 : 1 - exp(-us / CRECENT_US);
}

/* What is left of a recent rate of arrivals. */
static double recency(const struct core *c, const struct cservice *s)
{
	return exp(-(double)(c->now - s->arrivals.at_us) / CRECENT_US);
}

void cforecast_arrived(struct core *c, struct cqueue *q, const struct core_ticket_info *i)
{
	struct cservice *s = q->service;
	double need = cfit_need(i), work = cforecast_work(i), left = recency(c, s);
	uint32_t k;

	if (!s->first_us) s->first_us = c->now;
	for (k = 0; k <= CORE_RANKS; k++) s->arrivals.rate[k] *= left;
	s->arrivals.at_us = c->now;
	s->arrivals.rate[MIN(i->rank, CORE_RANKS)] += work / CRECENT_US;
	s->mean_need =
		s->mean_need > 0 ? s->mean_need + NEED_WEIGHT * (need - s->mean_need) : need;
	cahead_arrived(c, q, work, cforecast_cost(i));
	cahead_time_allowed(s, i->latest_us - c->now);
}

static void measure(struct core *c, struct cservice *s)
{
	double span = (double)(c->now - s->measured_us), part, weight;
	double most = capacity(c, s) * span;

	if (span < MEASURE_US || most <= 0) return;
	part = CLAMP(s->granted_work / most, EFFICIENCY_MIN, EFFICIENCY_MAX);
	s->measured_span_us += span;
	weight = MAX(1 - exp(-span / MEASURED_US), span / (s->measured_span_us + ASSUMED_US));
	if (s->efficiency <= 0) s->efficiency = cforecast_supply(c, s) / capacity(c, s);
	s->efficiency += weight * (part - s->efficiency);
	s->measured_us = c->now;
	s->granted_work = 0;
}

/* Runs that began together end together, so that grants come in batches, and between them the
 * queue stands still. Returns the work by which grants lag behind an even rate; its mean over a
 * few seconds is 0. */
static double lag(const struct core *c, struct cservice *s)
{
	double left = exp(-(double)(c->now - s->lag_us) / MEASURED_US);

	if (!s->lag_us) return 0;
	return s->lag * left + cforecast_supply(c, s) * MEASURED_US * (1 - left);
}

static void count_lag(struct core *c, struct cservice *s, double granted)
{
	s->lag = lag(c, s) - granted;
	s->lag_us = c->now;
}

void cforecast_granted(struct core *c, struct cservice *s, const struct core_ticket_info *i)
{
	if (!s->waiting) return;
	count_lag(c, s, cforecast_work(i));
	/* A span begins and ends with a grant, of which only the last counts. */
	if (!s->measured_us) {
		s->measured_us = c->now;
		s->granted_work = 0;
		return;
	}
	s->granted_work += cforecast_work(i);
	measure(c, s);
}

void cforecast_none_waits(struct cservice *s)
{
	s->measured_us = s->lag_us = 0;
	s->lag = 0;
}

void cforecast_waiting(struct core *c, struct cservice *s)
{
	if (!s->rush_us || c->now - s->waited_us > PAUSE_US) s->rush_us = c->now;
	s->waited_us = c->now;
}

void cforecast_observe_use(struct core *c, struct cservice *s)
{
	double used = cfit_used(c, s);

	if (!s->use_us)
		s->usual_use = used;
	else
		s->usual_use += (1 - exp(-(double)(c->now - s->use_us) / USUAL_US)) *
				(used - s->usual_use);
	s->use_us = c->now;
}

/* A rush that has lasted for some time is expected to last as long again. By Little's law the
 * tokens that are usually in use are the work that usually arrives. */
struct cforecast_arrivals cforecast_arrivals(const struct core *c, const struct cservice *s)
{
	struct cforecast_arrivals f = {.usual = s->usual_use};
	uint32_t k;

	for (k = 0; k <= CORE_RANKS; k++) f.recent += s->arrivals.rate[k];
	f.recent *= recency(c, s) / cforecast_observed(c, s);
	f.lasted_us = MAX((double)(c->now - s->rush_us), PAUSE_US);
	return f;
}

double cforecast_arrivals_at(const struct cforecast_arrivals *f, int64_t in_us)
{
	double passed = (double)in_us / f->lasted_us;

	if (f->recent <= f->usual) return f->recent;
	return passed >= 1 ? f->usual : f->recent + passed * (f->usual - f->recent);
}

static double more_urgent_rate(const struct core *c, const struct cservice *s,
			       const struct cticket *t)
{
	uint32_t k, rank = MIN(t->info.rank, CORE_RANKS);
	double sum = 0;

	if (t->queue->tier < CT_TIER_RANK) return 0;
	for (k = 0; k < rank; k++) sum += s->arrivals.rate[k];
	return sum > 0 ? sum * recency(c, s) / cforecast_observed(c, s) : 0;
}

/* Work of the tickets of its queue up to and including t: behind it are those that arrived
 * later, if another keeper admitted it first. */
static double own_work(const struct cticket *t)
{
	const struct cticket *p;
	double work = t->queue->work;

	for (p = t->queue->last; p != t; p = p->prev) work -= cforecast_work(&p->info);
	return work;
}

static int64_t until(double work, double rate)
{
	return work / rate < 1e15 ? (int64_t)(work / rate) : INT64_MAX;
}

/* Arrivals vary: the standard deviation of their work, of requests of the mean size, while t
 * may wait. */
static double deviation(const struct cticket *t, double rate)
{
	const struct cservice *s = t->queue->service;
	double each = s->mean_need * (double)t->info.run_us, reach = s->ahead.reach_us;

	return sqrt(MAX(rate, 0) * reach * (1 + reach / (2 * CRECENT_US)) * each);
}

/* t itself is counted with the work before it: the room that it gets becomes free in units of
 * whole requests. */
struct cforecast cforecast_of(const struct core *c, const struct cticket *t)
{
	struct cservice *s = t->queue->service;
	struct cforecast f = {.supply = cforecast_supply(c, s)};
	struct cahead_work ahead;
	double rate;
	uint32_t k;

	if (f.supply <= 0) return f;
	ahead = cahead_of(c, t);
	f.work = own_work(t) + ahead.waiting;
	for (k = 0; k < t->queue->tier; k++) f.work += s->tier_work[k];
	f.work -= lag(c, s);
	rate = more_urgent_rate(c, s, t) + ahead.rate;
	if (rate > 0) f.deviation = deviation(t, rate);
	f.rate = MAX(f.supply - rate, f.supply * LEAST_LEFT);
	return f;
}

int64_t cforecast_wait_us(const struct core *c, const struct cticket *t,
			  const struct cforecast *f, double caution)
{
	double work = MAX(f->work, 0) + caution * f->deviation;

	if (f->supply <= 0) return INT64_MAX;
	work = MAX(work, 0);
	if (t->queue->tier == CT_TIER_DUE) return until(work, f->rate);
	return cagenda_wait_us(&t->queue->service->agenda, c->now, work, f->rate);
}
