/* Parts of an allowance, by what does not change when instances die. */
#include <saddlehead/part.h>

static int widest(const struct roles_peer *p, int n)
{
	int i, most = 0;

	for (i = 0; i < n; i++)
		if (p[i].link_mbps > most) most = p[i].link_mbps;
	return most;
}

static int self_active(const struct roles_peer *p, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (p[i].self) return p[i].active;
	return 0;
}

/* Into how many equal parts the whole falls, of which self has one. In a large fleet half of
 * it goes to those that callers come to while nobody is away, who do nearly all; the others
 * share the other half, as callers may come to any of them. */
static int parts(struct roles_peer *p, int n)
{
	int i, most = widest(p, n);

	if (n <= ROLES_ACTIVE) return n;
	for (i = 0; i < n; i++) {
		/* Whoever took the place of one that is away would have its part twice. */
		p[i].state = ROLES_ALIVE;
		if (!p[i].link_mbps) p[i].link_mbps = most;
	}
	roles_choose(p, n);
	return 2 * (self_active(p, n) ? ROLES_ACTIVE : n);
}

double part_mine(const struct part_life *l, struct roles_peer *p, int n, int64_t window_us,
		 int64_t now_us)
{
	int64_t wait_us = l->join_us + (l->first_start ? 0 : window_us);

	if (l->first_start && n == 1) return 1;
	if (now_us - l->started_us < wait_us || (n > 1 && !l->heard)) return 0;
	return 1.0 / parts(p, n);
}
