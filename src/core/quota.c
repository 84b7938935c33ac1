/* Divides a server's rate limit into shares and paces sends accordingly. */
#include <saddlehead/quota.h>

/* Partitions of the fleet that each use the whole sum: a network partition creates two. */
#define PARTITIONS 2
#define COLD_WINDOW_S 1
#define BRITTLE_WINDOW_S 1
/* Rejections by a request without room: its own, or that of another one whose place it took. */
#define BRITTLE_COST 2
/* Long enough to hold whole requests at limits below one per second. */
#define LIMIT_WINDOW_S 4
/* Capacity that a server is assumed to have beyond its announced limit. */
#define LIMIT_OVER 1.5
#define LIMIT_SLACK 5
#define DELAY_US 50000 /* variation of the network delay between requests */

static int window_s(const struct quota_bound *b)
{
	switch (b->kind) {
	case QUOTA_COLD: return COLD_WINDOW_S;
	case QUOTA_LIMIT: return LIMIT_WINDOW_S;
	case QUOTA_BRITTLE: return BRITTLE_WINDOW_S;
	case QUOTA_KINDS: break;
	}
	return 0;
}

int64_t quota_window_us(const struct quota_bound *b)
{
	return window_s(b) * INT64_C(1000000) + DELAY_US;
}

/* Whole requests: the limit, but at most the part of the capacity for one partition. */
static uint32_t capped_total(double limit, double capacity)
{
	double most = capacity / PARTITIONS;

	return (uint32_t)(most < limit ? most : limit);
}

uint32_t quota_sum(const struct quota_bound *b)
{
	const struct quota_cold *c = &b->of.cold;
	double limit;
	uint32_t sum;

	switch (b->kind) {
	case QUOTA_COLD: return capped_total(c->per_s, c->per_s * c->over + c->slack);
	case QUOTA_LIMIT:
		limit = b->of.limit.per_s * LIMIT_WINDOW_S;
		sum = capped_total(limit, limit * LIMIT_OVER + LIMIT_SLACK);
		return sum ? sum : 1;
	case QUOTA_BRITTLE:
		sum = (uint32_t)(b->of.brittle.per_s / (BRITTLE_COST * PARTITIONS));
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

int64_t quota_turn_us(const struct quota_bound *b, uint32_t sharers)
{
	return quota_window_us(b) * (sharers ? sharers : 1) / quota_sum(b);
}

void quota_set_share(struct quota_pace *p, uint32_t share, int64_t earlier_until_us,
		     int64_t now_us)
{
	if (!p->started)
		p->sent_us = earlier_until_us;
	else if (share && !p->share)
		p->sent_us = p->sent_us > now_us ? p->sent_us : now_us;
	p->started = 1;
	p->share = share;
}

/* Sends are evenly spaced, so that no window holds more than the share, wherever it begins. */
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

int64_t quota_slot_us(struct quota_server *s, int n, uint32_t ahead)
{
	int i, first;

	for (;;) {
		for (first = i = 0; i < n; i++)
			if (s[i].first_us < s[first].first_us) first = i;
		if (!n || s[first].first_us == QUOTA_NEVER) return QUOTA_NEVER;
		if (!ahead--) return s[first].first_us;
		s[first].first_us += s[first].gap_us;
	}
}
