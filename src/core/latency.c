/* Moving average of a server's answer times, and how far it is to be trusted. */
#include <math.h>
#include <saddlehead/latency.h>

#define NEWEST_WEIGHT 0.2 /* about five answers determine the average */
/* As RFC 6298 has them for the timeout of a retransmission. */
#define DEV_FACTOR 4
#define DEV_FIRST_SHARE 0.5 /* deviation of the first sample, as a share of it */
#define SAMPLES_MIN 5       /* fewer may all be slow by chance */
/* The weight of earlier samples falls by e in this time without an answer. A server that gets
 * no calls because it was slow shows only by calls that it has recovered. */
#define DECAY_US 5000000
/* A timeout after less than this share of the expected time is no evidence for it. */
#define TIMEOUT_SHARE 0.5

static double weight_of_earlier(const struct latency *l, int64_t now_us)
{
	return exp(-(double)(now_us - l->at_us) / DECAY_US);
}

void latency_observe(struct latency *l, int64_t took_us, int64_t now_us)
{
	double earlier = (1 - NEWEST_WEIGHT) * weight_of_earlier(l, now_us);
	double took = (double)took_us;

	if (l->samples) {
		l->dev_us = l->dev_us * earlier + fabs(took - l->us) * (1 - earlier);
		l->us = l->us * earlier + took * (1 - earlier);
	} else {
		l->dev_us = took * DEV_FIRST_SHARE;
		l->us = took;
	}
	l->at_us = now_us;
	l->samples++;
}

void latency_observe_timeout(struct latency *l, int64_t waited_us, int64_t now_us)
{
	double expected = l->us * (1 - latency_uncertainty(l, now_us));

	if ((double)waited_us >= expected * TIMEOUT_SHARE) l->at_us = now_us;
}

double latency_most_us(const struct latency *l)
{
	return l->us + DEV_FACTOR * l->dev_us;
}

double latency_uncertainty(const struct latency *l, int64_t now_us)
{
	double certainty = l->samples < SAMPLES_MIN ? (double)l->samples / SAMPLES_MIN : 1;

	return 1 - certainty * weight_of_earlier(l, now_us);
}
