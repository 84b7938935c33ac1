/* Each instance has a part of the slots of a brittle server, which shrinks when it is rejected.
 * Places that others leave free are drawn by lot, as the others' loads are known late:
 * instances that have work would all take the same ones. */
#include "room.h"
#include "clock.h"
#include "mesh.h"
#include <saddlehead/quota.h>

/* Part of the slots up to which any instance may use them, as one over this: the rest is for
 * those whose parts they are. */
#define SPARE_DIVISOR 2
/* Part of the free places that one draw gives away on the average, as one over this. */
#define DRAW_DIVISOR 2
#define DRAW_US 50000  /* between two draws; others' loads are known by then */
#define WAIT_US 200000 /* where none of this instance's exchanges is to end */
#define WAIT_MIN_US 10000
/* After a rejection no instance uses free places for so long, for twice as long after the next
 * one. */
#define HOLD_US 1000000
#define HOLD_MAX_US 8000000
#define MULTIPLIER 2654435761u /* odd, with bits set throughout the word */

static int own_part(const struct be *b)
{
	struct mesh_rank r = mesh_rank(b);

	return (int)quota_share(b->slots, r.sharers, r.rank);
}

int room_own(const struct be *b)
{
	int part = own_part(b);

	return b->room.own == BE_ROOM_UNKNOWN ? part : MIN(part, b->room.own);
}

/* 0 to n - 1, the same until the next draw. */
static uint32_t draw(uint32_t seed, int64_t now, uint32_t n)
{
	uint32_t x = (seed ^ (uint32_t)(now / DRAW_US) * MULTIPLIER) * MULTIPLIER;

	x = (x ^ x >> 15) * MULTIPLIER;
	return (x ^ x >> 13) % n;
}

/* Whether a draw gave this instance a place that the parts of others leave free. */
static int may_use_spare(const struct be *b, uint32_t runs)
{
	uint32_t taken = runs + b->others.runs - 1, most = b->slots / SPARE_DIVISOR;
	int64_t now = clock_us();
	struct mesh_rank r;

	if (taken >= most || now < b->room.spare_from_us) return 0;
	r = mesh_rank(b);
	return !r.busy || draw(r.order, now, r.busy * DRAW_DIVISOR) < most - taken;
}

int room_is_beyond(const struct be *b, uint32_t runs)
{
	if (!be_is_brittle(b)) return 0;
	return (int)runs > room_own(b) && !may_use_spare(b, runs);
}

uint32_t room_risk_takers(const struct be *b, uint32_t runs)
{
	uint32_t sharers = mesh_rank(b).sharers;

	if (b->room.own == BE_ROOM_UNKNOWN || (int)runs > own_part(b)) return 0;
	return CLAMP(b->room.rejections, 1, MIN(sharers, MAX(b->slots, 1)));
}

int64_t room_wait_us(const struct be *b)
{
	if (!b->own.runs || !room_own(b)) return WAIT_US;
	return MAX((int64_t)(b->latency.us / b->own.runs), WAIT_MIN_US);
}

void room_reset(struct be *b)
{
	b->room = (struct be_room){.own = BE_ROOM_UNKNOWN};
}

static void add_rejection(struct be *b)
{
	struct be_room *m = &b->room;
	int64_t now = clock_us(), calm_us = now - m->spare_from_us;

	if (calm_us > HOLD_MAX_US) m->rejections = 0;
	m->rejections++;
	if (calm_us < 0) return;
	m->hold_us = calm_us < m->hold_us ? MIN(2 * m->hold_us, HOLD_MAX_US) : HOLD_US;
	m->spare_from_us = now + m->hold_us;
}

void room_rejected(struct be *b)
{
	b->outcomes.rejected++;
	if (!be_is_brittle(b)) return;
	if ((int)b->own.runs <= room_own(b)) b->room.own = MAX((int)b->own.runs - 1, 0);
	add_rejection(b);
}

void room_rejected_others(struct be *b, uint32_t n)
{
	while (be_is_brittle(b) && n--) add_rejection(b);
}

void room_grew(struct be *b)
{
	if (b->room.own == BE_ROOM_UNKNOWN) return;
	if (++b->room.own >= own_part(b)) b->room.own = BE_ROOM_UNKNOWN;
}
