/* The soak's faults are drawn from the seed: in bursts, with calm between them. */
#include "soak.h"

#define CYCLE_US 7000000   /* a burst, and calm long enough for what must hold in calm times */
#define BURST_US 1500000   /* within it the faults of a burst begin */
#define LONGEST_US 2500000 /* of a fault: calm is left after it in its cycle */
#define SHORTEST_US 200000 /* the same: some connections and calls fall into it */
#define LONG_IN 8          /* one fault in so many outlasts what beliefs may be old: 5 s */
#define LONG_US 6000000    /* so much longer does it last */
#define BURST_MOST 6       /* faults of one burst */
#define GROWN_US 2000000   /* a large configuration stays at least so long, and is ... */
#define CHANGE_US 500000   /* ... changed no earlier than so long after it came ... */
#define CHANGED_US 1500000 /* ... and no later than so long */
#define LATER_IN 3         /* each of the kinds that came last is in one burst of so many */
#define ALONE_US 4500000   /* after a burst of planned faults */
#define FIRST_US 1000000   /* from the start to the first burst: calls are under way by then */

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
						    "a server says something"};

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

/* A large configuration, and a small change while copies of it may still be under way.
 * Connections go silent among other faults, or when what planned ones did has been seen. */
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
	at = burst_us + g_rand_int_range(rand, 0, BURST_US) + (only_planned ? ALONE_US : 0);
	add(s, SOAK_SILENCE, at, at, g_rand_int_range(rand, 0, 1 << 16));
}

/* Each in some bursts: a request that ends servers goes on into the calm, the others end as all
 * do. */
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

/* Long enough for a limit to be counted. */
static void draw_notices(struct soak *s, GRand *rand, int64_t burst_us)
{
	int64_t at = burst_us + g_rand_int_range(rand, 0, BURST_US);
	struct soak_fault f = {SOAK_NOTICE, at, at + CYCLE_US - BURST_US,
			       .victim = g_rand_int_range(rand, 0, 1 << 16),
			       .variant = g_rand_int_range(rand, 0, 1 << 16)};

	if (g_rand_boolean(rand)) g_array_append_val(s->faults, f);
}

void soak_draw_faults(struct soak *s, int seconds)
{
	GRand *more = g_rand_new_with_seed(s->seed);   /* what s->rand draws stays as it is */
	GRand *later = g_rand_new_with_seed(~s->seed); /* the same of more */
	GRand *notices = g_rand_new_with_seed(s->seed + 1); /* and of later */
	int64_t at;
	int i, n, only_planned;

	s->faults = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	for (at = FIRST_US; at + CYCLE_US / 2 < seconds * 1000000LL; at += CYCLE_US) {
		n = g_rand_int_range(s->rand, 1, BURST_MOST + 1);
		only_planned = g_rand_boolean(s->rand);
		for (i = 0; i < n; i++) draw_one(s, s->began_us + at, only_planned);
		draw_more(s, more, s->began_us + at, only_planned);
		if (s->kinds >= SOAK_LATER_KINDS) draw_later(s, later, s->began_us + at);
		if (s->kinds >= SOAK_ALL_KINDS) draw_notices(s, notices, s->began_us + at);
	}
	g_rand_free(notices);
	g_rand_free(later);
	g_rand_free(more);
}
