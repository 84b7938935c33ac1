/* The platform's lists are read once and then watched for changes. */
#include "watch_impl.h"
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include <errno.h>
#include <stddef.h>

#define GLANCE_MS 1           /* what has changed, and nothing that may */
#define WATCH_MS 20000        /* a call that waits: each return is paid for */
#define RETRY_FIRST_US 100000 /* after a failed call, doubled up to ... */
#define RETRY_MAX_US 800000   /* ... this: the store's return must be seen within a second */
#define FIRST_WAIT_US 2000000 /* of the fleet's first start: callers come seconds later */
/* What a long list has beyond its first page is waited for so long: another instance hands it
 * on in one piece, where the store is asked for each page. */
#define REST_WAIT_US 4000000
#define IDLE_LOOK_US 100000 /* how often one that does not watch looks whether it must */
#define SETTLE_US 600000    /* after the start: by then others are heard if they are there */
#define REST_MIN_US 30000   /* after news: what changes with it comes in the same return, ... */
#define REST_MAX_US 130000  /* ... and of those who watch one is back soon */

enum phase { LISTING, WATCHING };

struct watcher {
	struct dl_list list; /* of the keys that begin so */
	enum phase phase;
	/* All changes up to this revision have come, the keys that went among them. */
	uint64_t at;
	/* Of changes after this one: what went before it is not known here by its key. */
	uint64_t from;
	/* What changed while this one had listed, and nobody watched for it, was asked for. */
	int covered;
	int glancing;    /* its call waits for nothing */
	int64_t left_us; /* since when others are waited for to hand on the rest; 0: they are
			    not */
	struct st_call *call, *glance;
	struct ev_timer retry;
	int64_t wait_us;        /* before the last retry; 0: the last call went well */
	int64_t rest_until_us;  /* the store failed: this one asks no sooner unless it is to */
	GHashTable *listed;     /* keys that the pages so far had */
	struct board_revs base; /* what was known before the listing */
	int begun;              /* a listing was asked for: what is known may be a part of it */
};

#define WATCHERS_MAX 4 /* lists that the platform may have */

static struct watcher watchers[WATCHERS_MAX];
static int nwatchers;
static int64_t started_us; /* monotonic */
static int first_start;    /* of the whole fleet */

static void next(struct watcher *w);

static void try_later(struct watcher *w)
{
	w->wait_us = w->wait_us ? MIN(w->wait_us * 2, RETRY_MAX_US) : RETRY_FIRST_US;
	w->rest_until_us = clock_us() + mesh_rest_us();
	ev_in(&w->retry, w->wait_us);
}

/* Takes what the store said; listed_us: a listing that was asked for then, else 0. */
static void apply_all(const struct st_reply *r, int64_t listed_us)
{
	size_t i;

	for (i = 0; i < r->n; i++) {
		board_apply(&r->items[i], board_platform);
		if (listed_us && dl_item_kind(r->items[i].key) == DL_CONF)
			board_confirm(r->items[i].revision, listed_us);
	}
}

void watch_apply(const struct st_reply *r, int64_t listed_us)
{
	struct board_revs base = board_revs();

	apply_all(r, listed_us);
	mesh_pass_on(base);
}

/* All changes of the list since the revision w->at, up to the last of them. */
static void apply_changes(const struct watcher *w, const struct st_reply *r)
{
	struct board_revs base = board_revs();
	uint64_t upto = 0;
	size_t i;

	if (!r->n) return;
	apply_all(r, 0);
	for (i = 0; i < r->n; i++) upto = MAX(upto, r->items[i].revision);
	if (w->list.kind == DL_BACKEND) board_complete(upto);
	mesh_pass_on(base);
}

static uint64_t known_revision(const struct watcher *w)
{
	struct board_revs revs = board_revs();

	return w->list.kind == DL_CONF ? revs.conf : revs.backends;
}

static void log_list(const struct watcher *w, const char *event)
{
	GString *g = jlog_begin("fleet", event);

	jlog_str(g, "list", w->list.prefix);
	jlog_int(g, "revision", w->at);
	jlog_int(g, "known", known_revision(w));
	jlog_end(g);
}

/* Who watches for all is known once others are heard; where none are named there are none. */
static int must_watch(void)
{
	int alone = mesh_live() == 1 && mesh_known() > 1;

	if (alone && clock_us() - started_us < SETTLE_US) return 0;
	return mesh_watches();
}

/* Some watch for all, and list whole what no other instance has. */
static int others_have_or_list(void)
{
	return mesh_is_informed() || !must_watch();
}

static int may_leave_rest(const struct watcher *w)
{
	if (w->left_us || w->list.kind != DL_BACKEND || w->base.backends) return 0;
	return mesh_known() > 1 && others_have_or_list();
}

static void on_listed(const struct st_reply *r, void *user)
{
	struct watcher *w = user;
	size_t i;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc) {
		g_hash_table_remove_all(w->listed);
		try_later(w);
		return;
	}
	w->wait_us = 0;
	if (!g_hash_table_size(w->listed)) {
		w->base = board_revs();
		/* Pages are no snapshot: what changed since the first is watched from there. */
		w->at = r->revision;
	}
	apply_all(r, r->sent_us);
	for (i = 0; i < r->n; i++) g_hash_table_add(w->listed, g_strdup(r->items[i].key));
	if (r->more && r->n && may_leave_rest(w)) {
		w->left_us = clock_us();
		g_hash_table_remove_all(w->listed);
		ev_in(&w->retry, IDLE_LOOK_US);
		return;
	}
	if (r->more && r->n) {
		w->call = st_range(w->list.prefix, r->items[r->n - 1].key, on_listed, w);
		return;
	}
	g_ptr_array_unref(board_apply_missing(w->list.prefix, w->listed, w->at));
	if (w->list.kind == DL_BACKEND) board_complete(w->at);
	g_hash_table_remove_all(w->listed);
	log_list(w, "list_read");
	w->phase = WATCHING;
	w->from = w->at;
	w->covered = 0;
	mesh_beat_now(); /* what is passed on then does not go on from what others know */
	mesh_pass_on(w->base);
	next(w);
}

/* The store has forgotten what changed: nothing but a listing of its own tells. */
static void list_anew(struct watcher *w)
{
	w->phase = LISTING;
	w->begun = 1;
	w->wait_us = 0;
	next(w);
}

static void on_watched(const struct st_reply *r, void *user)
{
	struct watcher *w = user;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc == -ESTALE) {
		list_anew(w);
		return;
	}
	if (r->rc) {
		try_later(w);
		return;
	}
	w->wait_us = 0;
	w->covered = 1;
	apply_changes(w, r);
	if (r->revision > w->at) w->at = r->revision;
	if (r->n)
		ev_in(&w->retry, g_random_int_range(REST_MIN_US, REST_MAX_US));
	else
		next(w);
}

/* Something came that does not go on from what is known: another instance's listing does not
 * tell of keys that went before it. */
static int has_gap(const struct watcher *w)
{
	return !w->covered || known_revision(w) > w->at;
}

/* One that stands by sends to nobody, and hundreds of them would ask. */
static int must_glance(const struct watcher *w)
{
	return has_gap(w) && mesh_self_hub() && mesh_is_informed();
}

/* Others have handed on whole what this one would list. */
static int has_from_others(const struct watcher *w)
{
	return (!w->begun || w->left_us) && known_revision(w);
}

static int waits_for_rest(const struct watcher *w)
{
	if (!w->left_us || clock_us() - w->left_us >= REST_WAIT_US) return 0;
	return others_have_or_list();
}

/* On the first start all have time to get the lists from the few that watch. */
static int others_will_tell(void)
{
	return first_start && clock_us() - started_us < FIRST_WAIT_US && !must_watch();
}

/* A watch that breaks may be its connection's fault: it is tried once more at once. */
static int tries_anew(const struct watcher *w)
{
	return w->phase == WATCHING && w->wait_us == RETRY_FIRST_US;
}

/* A store that fails is asked by a few, and for one list: hundreds that each go on asking it
 * for all are thousands of calls in the seconds in which it is weakest. */
static int may_ask(const struct watcher *w)
{
	if (watch_store_up() || tries_anew(w) || clock_us() >= w->rest_until_us) return 1;
	return mesh_asks_store() && !board_conf() && w->list.kind == DL_CONF;
}

static void watch(struct watcher *w, int64_t wait_ms)
{
	w->glancing = wait_ms == GLANCE_MS;
	log_list(w, "watch_began");
	w->call = st_watch(w->list.prefix, w->at, wait_ms, on_watched, w);
}

static void next(struct watcher *w)
{
	if (w->call) return;
	if (w->phase == LISTING && has_from_others(w)) {
		w->phase = WATCHING;
		w->at = w->from = known_revision(w);
		w->covered = 1; /* whoever told it tells what went, too */
	}
	if (!may_ask(w) || (w->phase == LISTING && (others_will_tell() || waits_for_rest(w)))) {
		ev_in(&w->retry, IDLE_LOOK_US);
		return;
	}
	if (w->phase == LISTING) {
		w->begun = 1;
		w->call = st_range(w->list.prefix, NULL, on_listed, w);
		return;
	}
	if (must_watch() || tries_anew(w))
		watch(w, WATCH_MS);
	else if (must_glance(w))
		watch(w, GLANCE_MS);
	else
		ev_in(&w->retry, IDLE_LOOK_US);
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

int watch_receives_conf(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].list.kind == DL_CONF && watchers[i].call &&
		    st_received(watchers[i].call))
			return 1;
	return 0;
}

void watch_anew(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].phase == WATCHING) start_again(&watchers[i]);
}

static struct watcher *backends_watcher(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].list.kind == DL_BACKEND) return &watchers[i];
	return NULL;
}

static void on_glanced(const struct st_reply *r, void *user)
{
	struct watcher *w = user;

	w->glance = NULL;
	watch_note_reply(r);
	if (r->rc == -ESTALE) {
		w->phase = LISTING;
		w->begun = 1;
		start_again(w);
		return;
	}
	if (r->rc) return;
	apply_changes(w, r);
	w->at = MAX(w->at, r->revision);
}

void watch_glance(void)
{
	struct watcher *w = backends_watcher();

	if (!w || w->phase != WATCHING || w->glance) return;
	w->glance = st_watch(w->list.prefix, w->at, GLANCE_MS, on_glanced, w);
}

uint64_t watch_backends_from(void)
{
	const struct watcher *w = backends_watcher();

	return w ? w->from : 0;
}

void watch_told(enum dl_item kind, uint64_t after, uint64_t upto)
{
	int i;

	for (i = 0; after && i < nwatchers; i++) {
		struct watcher *w = &watchers[i];

		if (w->list.kind == kind && w->at >= after) w->at = MAX(w->at, upto);
	}
}

/* Others watch for this instance by now: its own call would stay for as long as nothing
 * changes. */
static void leave_to_others(struct watcher *w)
{
	if (w->phase != WATCHING || !w->call || w->glancing || must_watch()) return;
	if (!mesh_is_informed()) return;
	w->covered = 0; /* what the store has not answered yet may not have come from others */
	start_again(w);
}

void watch_leave_to_others(void)
{
	int i;

	for (i = 0; i < nwatchers; i++) leave_to_others(&watchers[i]);
}

static void init_watcher(struct watcher *w, struct dl_list list)
{
	w->list = list;
	w->retry.fire = on_retry;
	w->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void watch_start(int first)
{
	int i;

	first_start = first;
	started_us = clock_us();
	for (i = 0; i < WATCHERS_MAX && dl_lists[i].prefix; i++) {
		init_watcher(&watchers[i], dl_lists[i]);
		watch_check_add(dl_lists[i]);
		nwatchers++;
		next(&watchers[i]);
	}
	watch_confirm_start();
}
