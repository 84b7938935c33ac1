/* Shares of what servers bear for a while, and the pace that keeps to them. */
#include <saddlehead/quota.h>

#define VIEWS 2 /* parts of a fleet that share it on their own: a cut makes two */
#define COLD_WINDOW_S 1
#define LIMIT_WINDOW_S 4 /* holds whole requests of a limit below one a second, too */
/* What a server that names a limit is taken to bear beyond it. */
#define LIMIT_OVER 1.5
#define LIMIT_SLACK 5
#define LATE_US 50000 /* what requests may be delayed by one more than another on their way */

static int window_s(const struct quota_bound *b)
{
	switch (b->kind) {
	case QUOTA_COLD: return COLD_WINDOW_S;
	case QUOTA_LIMIT: return LIMIT_WINDOW_S;
	case QUOTA_KINDS: break;
	}
	return 0;
}

int64_t quota_window_us(const struct quota_bound *b)
{
	return window_s(b) * INT64_C(1000000) + LATE_US;
}

/* Whole requests: as many as it takes, and no more than a part of what it bears for each view.
 */
static uint32_t least(double takes, double bears)
{
	double most = bears / VIEWS;

	return (uint32_t)(most < takes ? most : takes);
}

uint32_t quota_sum(const struct quota_bound *b)
{
	const struct quota_cold *c = &b->of.cold;
	double takes;
	uint32_t sum;

	switch (b->kind) {
	case QUOTA_COLD: return least(c->per_s, c->per_s * c->over + c->slack);
	case QUOTA_LIMIT:
		takes = b->of.limit.per_s * LIMIT_WINDOW_S;
		sum = least(takes, takes * LIMIT_OVER + LIMIT_SLACK);
		return sum ? sum : 1;
	case QUOTA_KINDS: break;
	}
	return 0;
}

uint32_t quota_share(uint32_t sum, uint32_t sharers, uint32_t rank)
{
	if (!sharers || rank >= sharers) return 0;
	return sum / sharers + (rank < sum % sharers);
}

void quota_set_share(struct quota_pace *p, uint32_t share, int64_t begun_us, int64_t now_us)
{
	if (!p->begun)
		p->sent_us = begun_us;
	else if (share && !p->share)
		p->sent_us = p->sent_us > now_us ? p->sent_us : now_us;
	p->begun = 1;
	p->share = share;
}

/* Evenly spaced: no window has more than the share, wherever it begins. */
static int64_t gap_us(const struct quota_pace *p, const struct quota_bound *b)
{
	return quota_window_us(b) / p->share;
}

int64_t quota_wait_us(const struct quota_pace *p, const struct quota_bound *b, int64_t now_us)
{
	int64_t wait;

	if (!p->share) return QUOTA_NEVER;
	wait = p->sent_us + gap_us(p, b) - now_us;
	return wait > 0 ? wait : 0;
}

void quota_spend(struct quota_pace *p, const struct quota_bound *b, int64_t now_us)
{
	int64_t most = now_us + quota_window_us(b), next;

	next = p->share ? p->sent_us + gap_us(p, b) : now_us;
	if (next < now_us) next = now_us;
	p->sent_us = next < most ? next : most;
}

int64_t quota_turn_us(struct quota_site *s, int n, uint32_t before)
{
	int i, first;

	for (;;) {
		for (first = i = 0; i < n; i++)
			if (s[i].first_us < s[first].first_us) first = i;
		if (!n || s[first].first_us == QUOTA_NEVER) return QUOTA_NEVER;
		if (!before--) return s[first].first_us;
		s[first].first_us += s[first].gap_us;
	}
}
