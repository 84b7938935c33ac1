/* What is known of the path to each backend server, and whom failures are blamed on. */
#include "path.h"
#include "clock.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "path_check.h"
#include <errno.h>

/* The path to all is taken to be lost once so many servers in a row were reached only through
 * another instance. One alone may have a fault of its own. */
#define LOST_AROUND 2
/* The same once so many were not reached from here, and no other instance could tell more: it
 * may have no path either. Some servers may end at once for a cause of their own. */
#define LOST_UNREACHED 4
/* Number of servers in a row not reached from which on others are tried at once, and how many:
 * together LOST_UNREACHED. */
#define DOUBT_SERVERS 2
#define DOUBT_TRIES 2
/* Between two attempts to reach a server on a lost path. */
#define RECHECK_US 1000000
/* Work is sent elsewhere until the verdict, which takes some ms. */
#define CHECK_BUSY_US 50000

void (*path_on_verdict)(struct be *b, enum path_verdict v);
void (*path_on_refused)(struct be *b);
void (*path_on_lost)(void);

static int lost;        /* the path to all servers */
static int64_t lost_us; /* when it was found to be lost */
/* Servers in a row that were found to be reached only through another instance. */
static int around_streak;
/* Servers to which no connection from here came up, since one last came up to any server. */
static int unreached;
static uint32_t unreached_series = 1; /* servers of an earlier one count no more */
static int64_t tried_us;              /* when others were last tried for it */
/* Requests are sent again once the path is lost, which must not happen within the end of an
 * exchange of one of them. */
static struct ev_timer lost_timer;
static struct ev_timer recheck_timer;

static void log_path(const char *event, const struct be *b)
{
	GString *g = jlog_begin("fleet", event);

	if (b) {
		jlog_str(g, "backend", b->id);
		jlog_str(g, "service", b->service);
		jlog_str(g, "data_centre", b->dc);
	}
	jlog_end(g);
}

static void start_rechecks(void)
{
	if (!recheck_timer.armed) ev_in(&recheck_timer, RECHECK_US);
}

static void set_lost(int is_lost)
{
	if (lost == is_lost) return;
	lost = is_lost;
	if (lost) lost_us = clock_us();
	log_path(lost ? "path_lost" : "path_back", NULL);
	met_set(MET_G_PATH_LOST, lost);
	mesh_set_path_lost(lost);
	if (lost) start_rechecks();
}

static void set_around(struct be *b, int around)
{
	if (b->path.around == around) return;
	b->path.around = around;
	/* Of each server only while the others are reached. */
	if (!lost) log_path(around ? "backend_path_lost" : "backend_path_back", b);
	if (around) start_rechecks();
}

/* Exchanges with all servers are direct again, until one of them fails. */
static void path_to_all_back(void)
{
	uint32_t i;

	for (i = 0; i < be_all()->len; i++)
		((struct be *)g_ptr_array_index(be_all(), i))->path.around = 0;
	set_lost(0);
}

void path_connected(struct be *b)
{
	b->path.up_us = clock_us();
	around_streak = unreached = 0;
	unreached_series++;
	set_around(b, 0);
	if (lost) path_to_all_back();
}

int path_is_lost_since(int64_t at_us)
{
	return lost && lost_us <= at_us;
}

int path_is_around(const struct be *b)
{
	return lost || b->path.around || path_check_failed_here(b);
}

/* ---- blame ---- */

/* Failures of the server itself count, and are told to other instances. */
static void settle(struct be *b)
{
	int n = b->path.failures;

	if (!n) return;
	b->path.failures = 0;
	if (b->path.refused) {
		b->path.refused = 0;
		be_refused_connection(b);
		n--;
	}
	for (; n > 0; n--) be_failed(b, b->path.why);
	mesh_load_changed(b); /* the message about the end of the exchange has left by now */
}

void path_blame(struct be *b, const char *why, int64_t since_us)
{
	if (b->path.up_us > since_us) {
		be_failed(b, why);
		return;
	}
	b->path.why = why;
	b->path.failures++;
	path_check(b);
}

void path_blame_unreached(struct be *b, int err)
{
	b->path.why = "not reached";
	b->path.failures++;
	if (err == -ECONNREFUSED) b->path.refused = 1;
	b->busy_until_us = MAX(b->busy_until_us, clock_us() + CHECK_BUSY_US);
	path_check_around(b, err);
}

/* ---- servers that are not reached ---- */

int path_may_try(const struct be *b)
{
	return b->state == BE_READY && !b->drained_us && !b->blocked_us && !b->unreadable;
}

/* A server at random; except: not of that series. */
static struct be *any_server(uint32_t except)
{
	const GPtrArray *all = be_all();
	uint32_t i, first = g_random_int();

	for (i = 0; i < all->len; i++) {
		struct be *b = g_ptr_array_index(all, (first + i) % all->len);

		if (path_may_try(b) && (!except || b->path.unreached_in != except)) return b;
	}
	return NULL;
}

static int is_lost(void)
{
	if (unreached >= LOST_UNREACHED) return 1;
	return unreached >= DOUBT_SERVERS && !any_server(unreached_series);
}

static void on_lost(struct ev_timer *t)
{
	(void)t;
	if (lost || !is_lost()) return;
	set_lost(1);
	if (path_on_lost) path_on_lost();
}

static void set_unreached(struct be *b)
{
	if (b->path.unreached_in == unreached_series) return;
	b->path.unreached_in = unreached_series;
	unreached++;
	if (is_lost()) ev_in(&lost_timer, 0);
}

/* It is down for others too, which says nothing of the path from here. */
static void set_reached(struct be *b)
{
	if (b->path.unreached_in != unreached_series) return;
	b->path.unreached_in = 0;
	unreached--;
}

static void try_others(void)
{
	int64_t now = clock_us();
	int i;

	if (lost || now - tried_us < RECHECK_US) return;
	tried_us = now;
	for (i = 0; i < DOUBT_TRIES; i++) {
		struct be *b = any_server(unreached_series);

		if (b) path_check_here(b);
	}
}

void path_unreached(struct be *b)
{
	set_unreached(b);
	if (unreached >= DOUBT_SERVERS) try_others();
}

void path_doubt(struct be *b)
{
	set_unreached(b);
	try_others();
}

/* ---- verdicts ---- */

static void on_around(struct be *b)
{
	b->path.failures = b->path.refused = 0;
	if (b->path.around) return;
	set_around(b, 1);
	if (++around_streak >= LOST_AROUND) set_lost(1);
}

void path_verdict_reached(struct be *b, enum path_verdict v)
{
	switch (v) {
	case PATH_DIRECT:
		path_connected(b);
		settle(b);
		break;
	case PATH_AROUND: on_around(b); break;
	case PATH_DOWN:
		settle(b);
		set_reached(b);
		break;
	case PATH_UNKNOWN: b->path.failures = b->path.refused = 0; break;
	}
	if (path_on_verdict) path_on_verdict(b, v);
}

/* ---- the way back ---- */

/* The server reached only around whose check is the longest ago; NULL: there is none. */
static struct be *oldest_around(void)
{
	struct be *oldest = NULL;
	uint32_t i;

	for (i = 0; i < be_all()->len; i++) {
		struct be *b = g_ptr_array_index(be_all(), i);

		if (!b->path.around || !path_may_try(b)) continue;
		if (!oldest || b->path.checked_us < oldest->path.checked_us) oldest = b;
	}
	return oldest;
}

/* Tries one server, so that few attempts are made: while none is reached any of them, else
 * those reached only around in turn, whether or not work is sent there. */
static void on_recheck(struct ev_timer *t)
{
	struct be *b = lost ? any_server(0) : oldest_around();

	if (!b && !lost) return;
	ev_in(t, RECHECK_US / 2 + g_random_int_range(0, RECHECK_US));
	if (!b) return;
	b->path.checked_us = clock_us();
	path_check(b);
}

/* Work is sent to b: it is worth a check of its own. */
void path_recheck(struct be *b)
{
	int64_t now = clock_us();

	if (lost || !b->path.around || now - b->path.checked_us < RECHECK_US) return;
	b->path.checked_us = now;
	path_check(b);
}

void path_start(void)
{
	static const struct mesh_path_hooks hooks = {path_is_around, path_may_try,
						     path_connected, path_doubt};

	mesh_set_path_hooks(&hooks);
	recheck_timer.fire = on_recheck;
	lost_timer.fire = on_lost;
}
