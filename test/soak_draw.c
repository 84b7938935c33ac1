/* Draws the soak's faults from the seed: in bursts, with calm periods between them. */
#include "soak.h"

#define CYCLE_US 7000000   /* a burst, and a calm period long enough for its checks */
#define BURST_US 1500000   /* the faults of a burst begin within this time */
#define LONGEST_US 2500000 /* of a fault: leaves a calm period in its cycle */
#define SHORTEST_US 200000 /* of a fault: long enough to affect some connections and calls */
#define LONG_IN 8       /* one fault in so many outlasts the maximum age of cached state, 5 s */
#define LONG_US 6000000 /* by which it is extended */
#define MAX_BURST 6     /* faults in one burst */
#define GROWN_US 2000000   /* a large configuration stays at least this long, and is ... */
#define CHANGE_US 500000   /* ... changed no earlier than this after it was written ... */
#define CHANGED_US 1500000 /* ... and no later than this */
#define LATER_IN 3         /* each kind of draw_later is in one burst of so many */
#define SILENCE_DELAY_US 4500000 /* silence after a burst of planned faults */
#define FIRST_US 1000000 /* from the start to the first burst: calls are in flight by then */

static const char *const names[SOAK_FAULT_KINDS] = {"planned stop",
						    "engine leaves",
						    "keys change",
						    "route moves",
						    "kill",
						    "freeze",
						    "server dies",
						    "store",
						    "store, and entries lapse",
						    "store forgets",
						    "deaf watches",
						    "link to the store",
						    "link between entries",
						    "link to server",
						    "server misbehaves",
						    "configuration grows",
						    "silent for good",
						    "a request ends servers",
						    "server back under its id",
						    "entries by another writer",
						    "machine suspended",
						    "a server says something",
						    "no path to servers",
						    "store back from a copy",
						    "streams end inside events",
						    "another version joins",
						    "a segment ends engines",
						    "rush",
						    "resumptions refused"};

const char *soak_fault_name(enum soak_fault_kind k)
{
	return names[k];
}

static void draw_one(struct soak *s, int64_t burst_us, int only_planned)
{
	struct soak_fault f = {0};
	int kinds = only_planned ? SOAK_FIRST_UNPLANNED : SOAK_DRAWN_KINDS;

	f.kind = g_rand_int_range(s->rand, 0, kinds);
	f.from_us = burst_us + g_rand_int_range(s->rand, 0, BURST_US);
	f.to_us = f.from_us + g_rand_int_range(s->rand, SHORTEST_US, LONGEST_US);
	if (!g_rand_int_range(s->rand, 0, LONG_IN)) f.to_us += LONG_US;
	f.victim = g_rand_int_range(s->rand, 0, 1 << 16);
	f.variant = g_rand_int_range(s->rand, 0, 1 << 16);
	g_array_append_val(s->faults, f);
}

static void add(struct soak *s, enum soak_fault_kind kind, int64_t from_us, int64_t to_us,
		int variant)
{
	struct soak_fault f = {kind, from_us, to_us, .variant = variant};

	g_array_append_val(s->faults, f);
}

/* Draws a large configuration, and a small change while copies of it may still be in flight.
 * Connections go silent among other faults, or, in a burst of planned ones, after their effects
 * have been checked. */
static void draw_more(struct soak *s, GRand *rand, int64_t burst_us, int only_planned)
{
	int64_t at;

	if (only_planned || g_rand_boolean(rand)) {
		at = burst_us + g_rand_int_range(rand, 0, BURST_US);
		add(s, SOAK_GROW, at, at + g_rand_int_range(rand, GROWN_US, LONGEST_US), 0);
		at += g_rand_int_range(rand, CHANGE_US, CHANGED_US);
		add(s, SOAK_ROUTES, at, at, 0);
	}
	if (!g_rand_boolean(rand)) return;
	at = burst_us + g_rand_int_range(rand, 0, BURST_US) +
	     (only_planned ? SILENCE_DELAY_US : 0);
	add(s, SOAK_SILENCE, at, at, g_rand_int_range(rand, 0, 1 << 16));
}

/* Draws the newer kinds, each in some bursts. A request that crashes servers may continue in
 * the calm period; the others end before it. */
static void draw_later(struct soak *s, GRand *rand, int64_t burst_us)
{
	enum soak_fault_kind k;

	for (k = SOAK_CRASHER; k <= SOAK_SUSPEND; k++) {
		int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
		int64_t most = k == SOAK_CRASHER ? CYCLE_US : LONGEST_US;
		int64_t to = at + g_rand_int_range(rand, SHORTEST_US, most);
		struct soak_fault f = {k, at, to, .victim = g_rand_int_range(rand, 0, 1 << 16),
				       .variant = g_rand_int_range(rand, 0, 1 << 16)};

		if (!g_rand_int_range(rand, 0, LATER_IN)) g_array_append_val(s->faults, f);
	}
}

/* Notices last long enough to count the requests under a rate limit. */
static void draw_notices(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	struct soak_fault f = {SOAK_NOTICE, at, at + CYCLE_US - BURST_US,
			       .victim = g_rand_int_range(rand, 0, 1 << 16),
			       .variant = g_rand_int_range(rand, 0, 1 << 16)};

	if (g_rand_boolean(rand)) g_array_append_val(s->faults, f);
}

/* Entries of the fault by the bits of victim; a path is lost long enough to be found out. */
static void draw_recovery(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	struct soak_fault path = {SOAK_PATH, at, at + CYCLE_US - BURST_US,
				  .victim = g_rand_int_range(rand, 1, 1 << SOAK_ENTRIES),
				  .variant = g_rand_int_range(rand, 0, 1 << 16)};
	struct soak_fault back = {.kind = SOAK_RETURN, .from_us = at};

	back.to_us = at + g_rand_int_range(rand, SHORTEST_US, LONGEST_US);
	if (g_rand_boolean(rand)) g_array_append_val(s->faults, path);
	if (!g_rand_int_range(rand, 0, LATER_IN)) g_array_append_val(s->faults, back);
}

static void draw_streams(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	struct soak_fault endings = {SOAK_ENDINGS, at,
				     at + g_rand_int_range(rand, SHORTEST_US, LONGEST_US),
				     .victim = g_rand_int_range(rand, 0, 1 << 16),
				     .variant = g_rand_int_range(rand, 0, 1 << 16)};

	if (g_rand_boolean(rand)) g_array_append_val(s->faults, endings);
	at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	if (g_rand_boolean(rand)) add(s, SOAK_VERSIONS, at, at, 0);
}

/* Like a request that crashes servers it may continue in the calm period. */
static void draw_segments(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);

	if (g_rand_boolean(rand))
		add(s, SOAK_SEGMENT, at, at + g_rand_int_range(rand, SHORTEST_US, CYCLE_US), 0);
}

/* Long enough for the first of its refused callers to return in it. */
static void draw_rush(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);

	add(s, SOAK_RUSH, at, at + g_rand_int_range(rand, LONGEST_US, CYCLE_US / 2), 0);
}

/* Beside each burst's other faults, some of which break streams. */
static void draw_refusal(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	struct soak_fault f = {SOAK_REFUSAL, at,
			       at + g_rand_int_range(rand, SHORTEST_US, LONGEST_US),
			       .victim = g_rand_int_range(rand, 0, 1 << 16),
			       .variant = g_rand_int_range(rand, 0, 1 << 16)};

	g_array_append_val(s->faults, f);
}

void soak_draw_faults(struct soak *s, int seconds)
{
	GRand *more = g_rand_new_with_seed(s->seed);   /* leaves s->rand's draws as they are */
	GRand *later = g_rand_new_with_seed(~s->seed); /* nor those of more */
	GRand *notices = g_rand_new_with_seed(s->seed + 1);  /* nor those of later */
	GRand *recovery = g_rand_new_with_seed(s->seed + 2); /* nor those of notices */
	GRand *streams = g_rand_new_with_seed(s->seed + 3);  /* nor those of recovery */
	GRand *segments = g_rand_new_with_seed(s->seed + 5); /* nor those of streams, take_up */
	GRand *refusals = g_rand_new_with_seed(s->seed + 7); /* nor those of segments, rush */
	int64_t at;
	int i, n, only_planned;

	s->faults = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	for (at = FIRST_US; at + CYCLE_US / 2 < seconds * 1000000LL; at += CYCLE_US) {
		n = g_rand_int_range(s->rand, 1, MAX_BURST + 1);
		only_planned = g_rand_boolean(s->rand);
		for (i = 0; i < n; i++) draw_one(s, s->began_us + at, only_planned);
		draw_more(s, more, s->began_us + at, only_planned);
		if (s->kinds >= SOAK_LATER_KINDS) draw_later(s, later, s->began_us + at);
		if (s->kinds >= SOAK_NOTICE_KINDS) draw_notices(s, notices, s->began_us + at);
		if (s->kinds >= SOAK_RECOVERY_KINDS)
			draw_recovery(s, recovery, s->began_us + at);
		if (s->kinds >= SOAK_STREAM_KINDS) draw_streams(s, streams, s->began_us + at);
		if (s->rush) draw_rush(s, s->rush, s->began_us + at);
		if (s->kinds >= SOAK_SEGMENT_KINDS)
			draw_segments(s, segments, s->began_us + at);
		if (s->kinds >= SOAK_ALL_KINDS) draw_refusal(s, refusals, s->began_us + at);
	}
	g_rand_free(refusals);
	g_rand_free(segments);
	g_rand_free(streams);
	g_rand_free(recovery);
	g_rand_free(notices);
	g_rand_free(later);
	g_rand_free(more);
}
