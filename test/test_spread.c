/* Simulates a fleet in one process: thousands of servers change while messages are lost, hubs
 * restart and instances are partitioned. Once changes stop all instances must have the same
 * list, and the number of messages to one instance must not grow with the fleet. */
#include "check.h"
#include <saddlehead/spread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 10000
#define HUBS 19 /* the first members; the first WATCHERS of them watch the store */
#define WATCHERS 3
#define DCS 6
#define STEP_MS 50
#define BUSY_MS 20000
#define QUIET_MS 4000     /* time after which all must have caught up */
#define HEARTBEAT_STEPS 8 /* interval between hubs, and from primary hubs */
#define SLOW 3            /* factor on the interval for other hubs */
#define CHANGES 5         /* per step: 100 per second */
#define LOST 20           /* one message in this many is lost */

struct member {
	uint64_t complete;
	uint16_t *rev;     /* revision of each server, as it has it */
	int down, cut;     /* remaining steps */
	uint32_t fetch_in; /* steps until it fetches missing changes; 0: no fetch pending */
	uint32_t updates, heartbeats, fetched; /* messages received */
};

struct fleet {
	int n;
	struct member *m;
	uint16_t truth[SERVERS];
	uint16_t by_rev[65536]; /* revision -> server */
	uint64_t revision;
	uint32_t sent[HUBS];   /* updates sent */
	int assume_contiguous; /* treats updates as complete whatever came before */
};

static uint32_t seed;

static uint32_t drawn(uint32_t n)
{
	seed = seed * 1664525u + 1013904223u;
	return (uint32_t)((uint64_t)seed * n >> 32);
}

static uint32_t hash_of(int i)
{
	return (uint32_t)(i + 1) * 40503u * 2654435761u;
}

static uint32_t dc_of(int i)
{
	return 1 + (uint32_t)i % DCS;
}

static int is_reachable(const struct member *m)
{
	return !m->down && !m->cut;
}

/* Lists the other hubs in the view of hub. */
static int other_hubs(const struct fleet *f, int hub, struct spread_hub *out)
{
	int i, n = 0;

	for (i = 0; i < HUBS; i++)
		if (i != hub && !f->m[i].down)
			out[n++] = (struct spread_hub){hash_of(i), dc_of(i)};
	return n;
}

/* Copies the changes after one revision up to another from the sender. */
static void copy_changes(struct fleet *f, struct member *to, const struct member *from,
			 uint64_t after, uint64_t upto)
{
	uint64_t r;

	for (r = after + 1; r <= upto; r++) {
		int s = f->by_rev[r];

		if (from->rev[s] > to->rev[s]) to->rev[s] = from->rev[s];
	}
}

static int send_update(struct fleet *f, int to, int from, uint64_t after, uint64_t upto)
{
	struct member *m = &f->m[to];

	if (from < HUBS) f->sent[from]++;
	if (!is_reachable(m) || !is_reachable(&f->m[from]) || !drawn(LOST)) return 0;
	m->updates++;
	if (f->assume_contiguous && m->complete < after) m->complete = after;
	if (!spread_apply(&m->complete, after, upto)) {
		if (!m->fetch_in) m->fetch_in = 1 + drawn(6);
		return 0;
	}
	copy_changes(f, m, &f->m[from], after, upto);
	return 1;
}

static void forward(struct fleet *f, int hub, uint64_t after)
{
	struct spread_hub hubs[HUBS], self = {hash_of(hub), dc_of(hub)};
	int i, n = other_hubs(f, hub, hubs);
	uint64_t upto = f->m[hub].complete;

	if (upto <= after) return;
	for (i = HUBS; i < f->n; i++)
		if (spread_forwards(&self, hubs, n, hash_of(i), dc_of(i)))
			send_update(f, i, hub, after, upto);
}

/* A watcher receives all changes that it does not have and sends them to the hubs. */
static void watch_store(struct fleet *f, int w)
{
	struct member *m = &f->m[w];
	uint64_t after = m->complete, r;
	int i;

	if (!is_reachable(m) || after == f->revision) return;
	for (r = after + 1; r <= f->revision; r++)
		if (f->truth[f->by_rev[r]] > m->rev[f->by_rev[r]])
			m->rev[f->by_rev[r]] = f->truth[f->by_rev[r]];
	m->complete = f->revision;
	for (i = 0; i < HUBS; i++) {
		uint64_t before = f->m[i].complete;

		if (i != w && send_update(f, i, w, after, m->complete)) forward(f, i, before);
	}
	forward(f, w, after);
}

/* A member that learns of a later revision than its own fetches it. */
static void send_heartbeat(struct fleet *f, int hub, int to, int step)
{
	struct spread_hub hubs[HUBS], self = {hash_of(hub), dc_of(hub)};
	int n = other_hubs(f, hub, hubs);
	int fast = to < HUBS || spread_is_primary(&self, hubs, n, hash_of(to));

	if (!fast && (step / HEARTBEAT_STEPS + to) % SLOW) return;
	if (!is_reachable(&f->m[hub]) || !is_reachable(&f->m[to])) return;
	f->m[to].heartbeats++;
	if (f->m[to].complete < f->m[hub].complete && !f->m[to].fetch_in)
		f->m[to].fetch_in = 1 + drawn(6);
}

static void fetch(struct fleet *f, int i)
{
	struct member *m = &f->m[i];
	const struct member *from = &f->m[drawn(HUBS)];

	if (!m->fetch_in || !is_reachable(m) || --m->fetch_in) return;
	if (!is_reachable(from) || from->complete <= m->complete) return;
	m->fetched++;
	copy_changes(f, m, from, m->complete, from->complete);
	spread_apply(&m->complete, m->complete, from->complete);
}

static void change(struct fleet *f)
{
	int s = (int)drawn(SERVERS);

	f->revision++;
	f->by_rev[f->revision] = (uint16_t)s;
	f->truth[s] = (uint16_t)f->revision;
}

/* Hubs restart with empty lists, one at a time; once a tenth of the other members is
 * partitioned. */
static void inject_faults(struct fleet *f, int step)
{
	int i;

	for (i = 0; i < f->n; i++) {
		if (f->m[i].down && !--f->m[i].down) {
			memset(f->m[i].rev, 0, SERVERS * sizeof *f->m[i].rev);
			f->m[i].complete = 0;
		}
		if (f->m[i].cut) f->m[i].cut--;
	}
	if (step % 40 == 20) f->m[drawn(HUBS)].down = 14;
	if (step != 200) return;
	for (i = HUBS; i < f->n; i++)
		if (!drawn(10)) f->m[i].cut = 60;
}

static void run_step(struct fleet *f, int step, int busy)
{
	int i, k;

	for (i = 0; busy && i < CHANGES; i++) change(f);
	if (busy) inject_faults(f, step);
	for (i = 0; i < WATCHERS; i++)
		if ((step + i) % 2 == 0) watch_store(f, i);
	for (i = 0; i < HUBS && step % HEARTBEAT_STEPS == 0; i++)
		for (k = 0; k < f->n; k++)
			if (k != i) send_heartbeat(f, i, k, step);
	for (i = 0; i < f->n; i++) fetch(f, i);
}

/* Number of members whose list differs from the store's. */
static int count_differing(const struct fleet *f)
{
	int i, n = 0;

	for (i = 0; i < f->n; i++)
		n += f->m[i].complete != f->revision ||
		     memcmp(f->m[i].rev, f->truth, sizeof f->truth) != 0;
	return n;
}

static struct fleet *run_fleet(int n, int assume_contiguous)
{
	struct fleet *f = calloc(1, sizeof *f);
	int i, step, steps = (BUSY_MS + QUIET_MS) / STEP_MS;

	seed = (uint32_t)n;
	f->n = n;
	f->assume_contiguous = assume_contiguous;
	f->m = calloc(n, sizeof *f->m);
	for (i = 0; i < n; i++) f->m[i].rev = calloc(SERVERS, sizeof *f->m[i].rev);
	for (step = 0; step < steps; step++) run_step(f, step, step < BUSY_MS / STEP_MS);
	return f;
}

static void free_fleet(struct fleet *f)
{
	int i;

	for (i = 0; i < f->n; i++) free(f->m[i].rev);
	free(f->m);
	free(f);
}

static const int sizes[] = {300, 985, 3000};

static void all_know_the_same_once_it_is_quiet(void)
{
	int k;

	for (k = 0; k < 3; k++) {
		struct fleet *f = run_fleet(sizes[k], 0);

		CU_ASSERT_EQUAL(count_differing(f), 0);
		free_fleet(f);
	}
}

/* Guards against a fault seen on a full day of a large fleet: a later update was treated as
 * including all earlier ones. */
static void news_taken_for_more_than_they_tell_leave_holes(void)
{
	struct fleet *f = run_fleet(300, 1);

	CU_ASSERT(count_differing(f) > 0);
	free_fleet(f);
}

static void count(const struct fleet *f, double *per_member, uint32_t *most_of_hub)
{
	uint64_t sum = 0;
	int i;

	for (i = HUBS; i < f->n; i++)
		sum += f->m[i].updates + f->m[i].heartbeats + f->m[i].fetched;
	*per_member = (double)sum / (f->n - HUBS);
	for (*most_of_hub = 0, i = 0; i < HUBS; i++)
		if (f->sent[i] > *most_of_hub) *most_of_hub = f->sent[i];
}

static void what_one_is_told_does_not_grow_with_the_fleet(void)
{
	double first = 0, each;
	uint32_t most;
	int k;

	for (k = 0; k < 3; k++) {
		struct fleet *f = run_fleet(sizes[k], 0);

		count(f, &each, &most);
		fprintf(stderr,
			"%d members: %.0f messages into one in %d s, %u news out of a hub\n",
			sizes[k], each, (BUSY_MS + QUIET_MS) / 1000, most);
		if (!k) first = each;
		CU_ASSERT(each < first * 1.1);
		free_fleet(f);
	}
}

/* Each standby instance gets its updates from one hub, of its own data centre if possible, and
 * the hubs serve about the same number of instances. */
static void each_that_stands_by_has_one_hub(void)
{
	struct spread_hub hubs[HUBS], rest[HUBS];
	int counts[HUBS], k, i, h, j, failed;

	for (failed = 0; failed <= 12; failed += 6) {
		for (k = 0; k < 3; k++) {
			memset(counts, 0, sizeof counts);
			for (h = 0; h < HUBS; h++)
				hubs[h] = (struct spread_hub){hash_of(h), dc_of(h)};
			for (i = HUBS; i < sizes[k]; i++) {
				int mine = 0, primaries = 0;

				for (h = failed; h < HUBS; h++) {
					int n = 0, is;

					for (j = failed; j < HUBS; j++)
						if (j != h) rest[n++] = hubs[j];
					is = spread_forwards(&hubs[h], rest, n, hash_of(i),
							     dc_of(i));
					mine += is;
					counts[h] += is;
					primaries += spread_is_primary(&hubs[h], rest, n,
								       hash_of(i));
					if (is) CU_ASSERT_EQUAL(hubs[h].dc, dc_of(i));
				}
				CU_ASSERT_EQUAL(mine, 1);
				CU_ASSERT_EQUAL(primaries, SPREAD_PRIMARIES);
			}
			for (h = failed; h < HUBS; h++)
				CU_ASSERT(counts[h] < 2.5 * sizes[k] / (HUBS - failed) + 8);
		}
	}
}

static const struct check list[] = {
	{"all_know_the_same_once_it_is_quiet", all_know_the_same_once_it_is_quiet},
	{"news_taken_for_more_than_they_tell_leave_holes",
	 news_taken_for_more_than_they_tell_leave_holes},
	{"what_one_is_told_does_not_grow_with_the_fleet",
	 what_one_is_told_does_not_grow_with_the_fleet},
	{"each_that_stands_by_has_one_hub", each_that_stands_by_has_one_hub},
};

CHECK_MAIN(list)
