/* Divides the retry budget by properties that don't change when instances fail. */
#include <saddlehead/part.h>

static int widest_mbps(const struct roles_peer *p, int n)
{
	int i, widest = 0;

	for (i = 0; i < n; i++)
		if (p[i].link_mbps > widest) widest = p[i].link_mbps;
	return widest;
}

static int self_active(const struct roles_peer *p, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (p[i].self) return p[i].active;
	return 0;
}

/* Number of equal parts that the whole is divided into; self gets one. In a large fleet one
 * half goes to the instances that are active while all instances are up, as they receive nearly
 * all traffic. The other half is shared by all, since callers may use any instance. */
static int count_parts(struct roles_peer *p, int n)
{
	int i, widest = widest_mbps(p, n);

	if (n <= ROLES_ACTIVE) return n;
	for (i = 0; i < n; i++) {
		/* Counts instances that are down: an instance that replaced one of them would
		 * use the same part a second time. */
		p[i].state = ROLES_ALIVE;
		if (!p[i].link_mbps) p[i].link_mbps = widest;
	}
	roles_assign(p, n);
	return 2 * (self_active(p, n) ? ROLES_ACTIVE : n);
}

double part_of_self(const struct part_incarnation *inc, struct roles_peer *p, int n,
		    int64_t window_us, int64_t now_us)
{
	int64_t wait_us = inc->join_us + (inc->first_start ? 0 : window_us);

	if (inc->first_start && n == 1) return 1;
	if (now_us - inc->started_us < wait_us || (n > 1 && !inc->seen_others)) return 0;
	return 1.0 / count_parts(p, n);
}
