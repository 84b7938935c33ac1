/* Answers that callers take slowly are kept here in part, and their servers read on: one that
 * is not read for seconds breaks off. */
#include "hs_hold.h"
#include "clock.h"

#define LOOK_US 100000
#define STILL_US 1000000    /* without a byte taken: others may go first for it */
#define EACH_MAX (1u << 20) /* bytes: of one caller, some thousand events */
#define FREE_PART 4         /* below such a part of all nobody is made to wait */

static struct hs_listener *listener;
static size_t most, held;
static void (*on_end)(struct hs *h);
static struct ev_timer looker;

int hs_may_hold(const struct hs *h)
{
	size_t mine = cn_pending(&h->cn);

	if (mine > EACH_MAX) return 0;
	return held < most / FREE_PART || mine < EACH_MAX / 8;
}

/* Sums up what is held, and notes who has taken nothing since the last look. */
static void look(int64_t now)
{
	uint32_t i;

	held = 0;
	for (i = 0; i < listener->conns->len; i++) {
		struct hs *h = g_ptr_array_index(listener->conns, i);

		held += cn_pending(&h->cn);
		if (h->cn.taken != h->taken_seen || !cn_pending(&h->cn)) h->still_us = now;
		h->taken_seen = h->cn.taken;
	}
}

/* Owed most among those that take nothing, or among all. */
static struct hs *worst(int64_t now, int still_alone)
{
	struct hs *found = NULL;
	uint32_t i;

	for (i = 0; i < listener->conns->len; i++) {
		struct hs *h = g_ptr_array_index(listener->conns, i);

		if (still_alone && now - h->still_us < STILL_US) continue;
		if (!found || cn_pending(&h->cn) > cn_pending(&found->cn)) found = h;
	}
	return found && cn_pending(&found->cn) ? found : NULL;
}

static void end_some(int64_t now)
{
	while (held > most) {
		struct hs *h = worst(now, 1);

		if (!h) h = worst(now, 0);
		if (!h) return;
		held -= cn_pending(&h->cn);
		on_end(h);
	}
}

static void on_look(struct ev_timer *t)
{
	int64_t now = clock_us();

	ev_in(t, LOOK_US);
	look(now);
	end_some(now);
}

void hs_hold_start(struct hs_listener *l, size_t bytes, void (*end)(struct hs *h))
{
	listener = l;
	most = bytes;
	on_end = end;
	looker.fire = on_look;
	ev_in(&looker, LOOK_US);
}
