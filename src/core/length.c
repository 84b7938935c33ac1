/* Guesses how long a generation becomes, from those that ended before. */
#include <math.h>
#include <saddlehead/forecast.h>
#include <saddlehead/length.h>

#define MEMORY 200.0       /* generations that are remembered: older ones fade */
#define PRIOR_N 3.0        /* how many observations the first guess is worth */
#define PRIOR_PART 0.3     /* of the caller's bound: the first guess of a length */
#define PRIOR_TOKENS 500.0 /* the same where there is no bound */
#define PRIOR_VAR 0.7      /* of ln(tokens): lengths differ twofold and more */
#define HINT_VAR 1.0       /* of ln(hint / tokens) until it is learnt */
#define VAR_MIN 0.01       /* of ln(tokens): nobody knows a length to a tenth */
#define PACE_STEP 0.1 /* weight of the newest generation: engines' load changes in seconds */
#define TAIL_MIN 1e-6 /* a part so small is computed too roughly to divide by */

static double fading(double n)
{
	return n < MEMORY ? n : MEMORY;
}

void length_observe(struct length_stats *s, uint32_t tokens, uint32_t hint)
{
	double x, d;

	if (!tokens) return;
	x = log(tokens);
	s->n = fading(s->n + 1);
	d = x - s->mean;
	s->mean += d / s->n;
	s->var += (d * (x - s->mean) - s->var) / s->n;
	if (!hint) return;
	d = log(hint) - x;
	s->hint_n = fading(s->hint_n + 1);
	s->hint_var += (d * d - s->hint_var) / s->hint_n;
}

static void learn(double *mean, double newest)
{
	if (newest <= 0) return;
	*mean = *mean > 0 ? *mean + (newest - *mean) * PACE_STEP : newest;
}

void length_observe_start(struct length_stats *s, int64_t took_us)
{
	learn(&s->start_us, (double)took_us);
}

void length_observe_wait(struct length_stats *s, int64_t waited_us, int64_t worked_out_us)
{
	if (worked_out_us > 0) learn(&s->wait_times, (double)waited_us / worked_out_us);
}

int64_t length_wait_us(const struct length_stats *s, int64_t worked_out_us)
{
	if (worked_out_us == FORECAST_NEVER || s->wait_times <= 0) return worked_out_us;
	return (int64_t)(worked_out_us * s->wait_times);
}

void length_observe_pace(struct length_stats *s, uint32_t tokens, int64_t took_us)
{
	if (tokens) learn(&s->token_us, (double)took_us / tokens);
}

static double blend(double known, double n, double guess)
{
	return (known * n + guess * PRIOR_N) / (n + PRIOR_N);
}

/* The normal distribution's upper tail. */
static double tail(double z)
{
	return 0.5 * erfc(z / sqrt(2.0));
}

/* The mean of a lognormal variable above made. */
static double mean_above(double mu, double var, double made)
{
	double sd = sqrt(var), z, p;

	if (made < 1) return exp(mu + var / 2);
	z = (log(made) - mu) / sd;
	p = tail(z);
	if (p < TAIL_MIN) return made * (1 + sd / 2);
	return exp(mu + var / 2) * tail(z - sd) / p;
}

uint32_t length_remaining(const struct length_stats *s, uint32_t hint, uint32_t most,
			  uint32_t made)
{
	double first = most ? most * PRIOR_PART : PRIOR_TOKENS;
	double mu = blend(s->mean, s->n, log(first + 1)), var = blend(s->var, s->n, PRIOR_VAR);
	double total;

	if (hint) {
		double hint_var = blend(s->hint_var, s->hint_n, HINT_VAR);
		double w = var / (var + hint_var + 1e-9);

		mu += w * (log(hint) - mu);
		var *= 1 - w;
	}
	if (var < VAR_MIN) var = VAR_MIN;
	total = mean_above(mu, var, made);
	if (most && total > most) total = most;
	return total > made ? (uint32_t)(total - made) : 0;
}
