/* Bounds the bytes buffered for slow callers. Answers are buffered so that their servers can be
 * read on: a server that is not read for seconds breaks off. */
#include "hs_hold.h"
#include "clock.h"

#define SCAN_US 100000
#define STALLED_US 1000000  /* without progress: such callers are ended first */
#define EACH_MAX (1u << 20) /* bytes of one caller: some thousand events */
#define FREE_PART 4         /* below 1/FREE_PART of the limit only EACH_MAX applies */

static struct hs_listener *listener;
static size_t max_bytes, buffered;
static void (*on_end)(struct hs *h);
static struct ev_timer scan_timer;

int hs_may_hold(const struct hs *h)
{
	size_t mine = cn_pending(&h->cn);

	if (mine > EACH_MAX) return 0;
	return buffered < max_bytes / FREE_PART || mine < EACH_MAX / 8;
}

/* Sums up the buffered bytes and notes which callers made progress since the last scan. */
static void scan(int64_t now)
{
	uint32_t i;

	buffered = 0;
	for (i = 0; i < listener->conns->len; i++) {
		struct hs *h = g_ptr_array_index(listener->conns, i);

		buffered += cn_pending(&h->cn);
		if (h->cn.sent != h->sent_seen || !cn_pending(&h->cn)) h->progress_us = now;
		h->sent_seen = h->cn.sent;
	}
}

/* The caller with the most buffered bytes, among the stalled ones or among all. */
static struct hs *largest(int64_t now, int stalled_only)
{
	struct hs *found = NULL;
	uint32_t i;

	for (i = 0; i < listener->conns->len; i++) {
		struct hs *h = g_ptr_array_index(listener->conns, i);

		if (stalled_only && now - h->progress_us < STALLED_US) continue;
		if (!found || cn_pending(&h->cn) > cn_pending(&found->cn)) found = h;
	}
	return found && cn_pending(&found->cn) ? found : NULL;
}

static void end_some(int64_t now)
{
	while (buffered > max_bytes) {
		struct hs *h = largest(now, 1);

		if (!h) h = largest(now, 0);
		if (!h) return;
		buffered -= cn_pending(&h->cn);
		on_end(h);
	}
}

static void on_scan(struct ev_timer *t)
{
	int64_t now = clock_us();

	ev_in(t, SCAN_US);
	scan(now);
	end_some(now);
}

void hs_hold_start(struct hs_listener *l, size_t bytes, void (*end)(struct hs *h))
{
	listener = l;
	max_bytes = bytes;
	on_end = end;
	scan_timer.fire = on_scan;
	ev_in(&scan_timer, SCAN_US);
}
