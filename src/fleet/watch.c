/* The platform's lists are read once and then watched for changes; their age is confirmed. */
#include "watch.h"
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include <errno.h>
#include <stddef.h>

#define WATCH_MS 20000           /* a call that waits: each return is paid for */
#define RETRY_FIRST_US 100000    /* after a failed call, doubled up to ... */
#define RETRY_MAX_US 800000      /* ... this: the store's return must be seen within a second */
#define CONFIRM_US 900000        /* the age at which the configuration is confirmed anew ... */
#define CONFIRM_SPREAD_US 900000 /* ... and up to so much more: one asks for all */
#define CONFIRM_TICK_US 100000   /* how often its age is looked at */
#define IDLE_LOOK_US 100000      /* how often one that does not watch looks whether it must */
#define SETTLE_US 600000   /* after the start: by then others are heard if they are there */
#define REST_MIN_US 30000  /* after news: what changes with it comes in the same return, ... */
#define REST_MAX_US 130000 /* ... and of those who watch one is back soon */

enum phase { LISTING, WATCHING };

struct watcher {
	const char *prefix;
	enum phase phase;
	uint64_t at; /* changes up to this revision are applied */
	struct st_call *call;
	struct ev_timer retry;
	int64_t wait_us;
	GHashTable *listed;
	struct board_revs base; /* what was known before the listing */
	int once;               /* lists, and does not go on to watch */
};

#define WATCHERS_MAX 4

static struct watcher watchers[WATCHERS_MAX], checkers[WATCHERS_MAX];
static int nwatchers;
static struct st_call *confirming;
static struct ev_timer confirm_timer;
static int64_t confirm_age_us, confirm_not_before_us;
static uint64_t confirming_revision;
static int64_t started_us;
static int up; /* the store answered the last call, whoever made it */

static void next(struct watcher *w);

static void set_up(int now_up, int rc)
{
	GString *g;

	if (up == now_up) return;
	up = now_up;
	mesh_set_store_up(up);
	mesh_beat_now();
	g = jlog_begin("fleet", up ? "store_regained" : "store_lost");
	if (!up) jlog_int(g, "error", rc);
	jlog_end(g);
}

void watch_note_reply(const struct st_reply *r)
{
	met_add(MET_KV_CALLS, 1);
	switch (r->rc) {
	case 0:
	case -ENOENT:
	case -ECANCELED:
	case -ESTALE: set_up(1, 0); return;
	default: met_add(MET_KV_ERRORS, 1); set_up(0, r->rc);
	}
}

static void try_later(struct watcher *w)
{
	w->wait_us = w->wait_us ? MIN(w->wait_us * 2, RETRY_MAX_US) : RETRY_FIRST_US;
	ev_in(&w->retry, w->wait_us);
}

/* Takes what the store said; listed_us: a listing that was asked for then, else 0. */
static void apply_all(const struct st_reply *r, int64_t listed_us)
{
	size_t i;

	for (i = 0; i < r->n; i++) {
		board_apply(&r->items[i], "platform");
		if (listed_us && dl_item_kind(r->items[i].key) == DL_CONF)
			board_confirm(r->items[i].revision, listed_us);
	}
}

static void apply_and_pass_on(const struct st_reply *r, int64_t listed_us)
{
	struct board_revs base = board_revs();

	apply_all(r, listed_us);
	mesh_pass_on(base);
}

static void on_listed(const struct st_reply *r, void *user)
{
	struct watcher *w = user;
	size_t i;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc) {
		g_hash_table_remove_all(w->listed);
		if (!w->once) try_later(w);
		return;
	}
	w->wait_us = 0;
	if (!g_hash_table_size(w->listed)) w->base = board_revs();
	/* Pages are no snapshot: what changed since the first one is watched from there. */
	if (!g_hash_table_size(w->listed)) w->at = r->at;
	apply_all(r, r->sent_us);
	for (i = 0; i < r->n; i++) g_hash_table_add(w->listed, g_strdup(r->items[i].key));
	if (r->more && r->n) {
		w->call = st_range(w->prefix, r->items[r->n - 1].key, on_listed, w);
		return;
	}
	board_apply_missing(w->prefix, w->listed, w->at);
	g_hash_table_remove_all(w->listed);
	mesh_pass_on(w->base);
	if (w->once) return;
	w->phase = WATCHING;
	next(w);
}

static void on_watched(const struct st_reply *r, void *user)
{
	struct watcher *w = user;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc == -ESTALE) w->phase = LISTING;
	if (r->rc && r->rc != -ESTALE) {
		try_later(w);
		return;
	}
	w->wait_us = 0;
	apply_and_pass_on(r, 0);
	if (r->at > w->at) w->at = r->at;
	if (w->phase == WATCHING && r->n)
		ev_in(&w->retry, g_random_int_range(REST_MIN_US, REST_MAX_US));
	else
		next(w);
}

/* Others have passed on what came since; it is not asked for again. */
static void catch_up(struct watcher *w)
{
	struct board_revs revs = board_revs();
	int is_conf = dl_item_kind(w->prefix) == DL_CONF;

	w->at = MAX(w->at, is_conf ? revs.conf : revs.backends);
}

/* Who watches for all is known once others are heard; where none are named there are none. */
static int must_watch(void)
{
	int alone = mesh_live() == 1 && mesh_known() > 1;

	if (alone && clock_us() - started_us < SETTLE_US) return 0;
	return mesh_watches();
}

static void next(struct watcher *w)
{
	if (w->call) return;
	if (w->phase == LISTING) {
		w->call = st_range(w->prefix, NULL, on_listed, w);
		return;
	}
	if (!must_watch()) {
		ev_in(&w->retry, IDLE_LOOK_US);
		return;
	}
	catch_up(w);
	w->call = st_watch(w->prefix, w->at, WATCH_MS, on_watched, w);
}

static void on_retry(struct ev_timer *t)
{
	next((struct watcher *)((char *)t - offsetof(struct watcher, retry)));
}

static void start_again(struct watcher *w)
{
	st_cancel(w->call);
	w->call = NULL;
	ev_stop(&w->retry);
	next(w);
}

/* A watch that waits on a connection which the store has forgotten says nothing: when another
 * call shows changes that it did not tell, or the store comes back, it is made anew. */
static void watch_anew(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].phase == WATCHING) start_again(&watchers[i]);
}

/* Whoever confirms the configuration for all also lists the rest for all: watches that are
 * silent, or waited for by instances that are cut off, hide nothing for long. */
static void check_lists(void)
{
	int i;

	for (i = 0; i < nwatchers; i++) {
		if (dl_item_kind(watchers[i].prefix) == DL_CONF || checkers[i].call) continue;
		checkers[i].call = st_range(checkers[i].prefix, NULL, on_listed, &checkers[i]);
	}
}

/* Each instance waits another time, so that one asks for all. */
static int64_t draw_confirm_age(void)
{
	return CONFIRM_US + g_random_int_range(0, CONFIRM_SPREAD_US);
}

static void on_confirmed(const struct st_reply *r, void *user)
{
	int was_up = up;

	(void)user;
	confirming = NULL;
	watch_note_reply(r);
	if (!r->rc) board_confirm(confirming_revision, r->sent_us);
	if (r->rc == -ECANCELED) apply_and_pass_on(r, r->sent_us);
	if (r->rc && r->rc != -ECANCELED) {
		confirm_not_before_us = clock_us() + RETRY_FIRST_US * 3;
		return;
	}
	if (!was_up || r->rc == -ECANCELED) watch_anew();
	mesh_beat_now();
	check_lists();
	confirm_age_us = draw_confirm_age();
}

/* Asks whether the revision held here is still the newest: a condition without a change. */
static void confirm(void)
{
	struct st_change ask = {.if_key = dl_conf_key};

	confirming_revision = board_conf()->revision;
	ask.if_revision = confirming_revision;
	confirming = st_commit(&ask, on_confirmed, NULL);
}

/* Others watch for this instance by now: its own call would return once more, and be paid for.
 */
static void leave_to_others(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].phase == WATCHING && watchers[i].call && !must_watch())
			start_again(&watchers[i]);
}

static void on_confirm_tick(struct ev_timer *t)
{
	int64_t now = clock_us();

	ev_in(t, CONFIRM_TICK_US);
	leave_to_others();
	if (confirming || !board_conf() || now < confirm_not_before_us) return;
	if (now - board_confirmed_us() >= confirm_age_us) confirm();
}

void watch_start(void)
{
	int i;

	started_us = clock_us();
	for (i = 0; i < WATCHERS_MAX && dl_prefixes[i]; i++) {
		watchers[i] =
			(struct watcher){.prefix = dl_prefixes[i], .retry.fire = on_retry};
		watchers[i].listed =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		checkers[i] = watchers[i];
		checkers[i].once = 1;
		checkers[i].listed =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		nwatchers++;
		next(&watchers[i]);
	}
	confirm_age_us = draw_confirm_age();
	confirm_timer.fire = on_confirm_tick;
	ev_in(&confirm_timer, CONFIRM_TICK_US);
}
