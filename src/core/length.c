/* Estimates the length of a generation from earlier ones. */
#include <math.h>
#include <saddlehead/forecast.h>
#include <saddlehead/length.h>

#define SAMPLES_MAX 200.0  /* effective sample size: older generations decay */
#define PRIOR_N 3.0        /* weight of the prior, in observations */
#define PRIOR_SHARE 0.3    /* prior of a length, as a share of the caller's limit */
#define PRIOR_TOKENS 500.0 /* prior of a length without a limit */
/* Prior variance of ln(tokens): lengths differ by a factor of two and more. */
#define PRIOR_VAR 0.7
#define HINT_VAR 1.0 /* prior variance of ln(hint / tokens) */
/* Lower bound of the variance of ln(tokens): no length is predictable to 10 percent. */
#define VAR_MIN 0.01
/* Weight of the newest sample: the load of engines changes within seconds. */
#define MEAN_WEIGHT 0.1
#define TAIL_MIN 1e-6 /* tails below this are too imprecise to divide by */

static double capped(double n)
{
	return n < SAMPLES_MAX ? n : SAMPLES_MAX;
}

void length_observe(struct length_stats *s, uint32_t tokens, uint32_t hint)
{
	double x, d;

	if (!tokens) return;
	x = log(tokens);
	s->n = capped(s->n + 1);
	d = x - s->mean;
	s->mean += d / s->n;
	s->var += (d * (x - s->mean) - s->var) / s->n;
	if (!hint) return;
	d = log(hint) - x;
	s->hint_n = capped(s->hint_n + 1);
	s->hint_var += (d * d - s->hint_var) / s->hint_n;
}

static void update_mean(double *mean, double newest)
{
	if (newest <= 0) return;
	*mean = *mean > 0 ? *mean + (newest - *mean) * MEAN_WEIGHT : newest;
}

void length_observe_first_token(struct length_stats *s, int64_t took_us)
{
	update_mean(&s->first_token_us, (double)took_us);
}

void length_observe_wait(struct length_stats *s, int64_t waited_us, int64_t forecast_us)
{
	if (forecast_us > 0) update_mean(&s->wait_factor, (double)waited_us / forecast_us);
}

int64_t length_corrected_wait_us(const struct length_stats *s, int64_t forecast_us)
{
	if (forecast_us == FORECAST_NEVER || s->wait_factor <= 0) return forecast_us;
	return (int64_t)(forecast_us * s->wait_factor);
}

void length_observe_pace(struct length_stats *s, uint32_t tokens, int64_t took_us)
{
	if (tokens) update_mean(&s->token_us, (double)took_us / tokens);
}

static double blend(double observed, double n, double prior)
{
	return (observed * n + prior * PRIOR_N) / (n + PRIOR_N);
}

/* Upper tail of the standard normal distribution. */
static double upper_tail(double z)
{
	return 0.5 * erfc(z / sqrt(2.0));
}

/* Mean of a lognormal variable, given that it exceeds generated. */
static double mean_above(double mu, double var, double generated)
{
	double sd = sqrt(var), z, p;

	if (generated < 1) return exp(mu + var / 2);
	z = (log(generated) - mu) / sd;
	p = upper_tail(z);
	if (p < TAIL_MIN) return generated * (1 + sd / 2);
	return exp(mu + var / 2) * upper_tail(z - sd) / p;
}

uint32_t length_remaining(const struct length_stats *s, uint32_t hint, uint32_t max_tokens,
			  uint32_t generated)
{
	double first = max_tokens ? max_tokens * PRIOR_SHARE : PRIOR_TOKENS;
	double mu = blend(s->mean, s->n, log(first + 1)), var = blend(s->var, s->n, PRIOR_VAR);
	double total;

	if (hint) {
		double hint_var = blend(s->hint_var, s->hint_n, HINT_VAR);
		double w = var / (var + hint_var + 1e-9);

		mu += w * (log(hint) - mu);
		var *= 1 - w;
	}
	if (var < VAR_MIN) var = VAR_MIN;
	total = mean_above(mu, var, generated);
	if (max_tokens && total > max_tokens) total = max_tokens;
	return total > generated ? (uint32_t)(total - generated) : 0;
}
