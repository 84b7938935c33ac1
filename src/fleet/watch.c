/* Reads the platform's lists once and then watches them for changes. */
#include "watch_impl.h"
#include "cache.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "st_era.h"
#include <errno.h>
#include <stddef.h>

#define POLL_MS 1             /* returns changes made so far and waits for none */
#define WATCH_MS 20000        /* long, as each return costs a call */
#define RETRY_FIRST_US 100000 /* after a failed call, doubled up to RETRY_MAX_US */
#define RETRY_MAX_US 800000   /* the store's return must be noticed within a second */
#define FIRST_WAIT_US 2000000 /* on the fleet's first start: callers come seconds later */
/* How long the rest of a list of several pages is awaited from another instance, which serves
 * it in one piece where the store takes a call for each page. */
#define PEERS_WAIT_US 4000000
#define IDLE_CHECK_US 100000 /* how often an idle watcher checks whether it must call */
#define SETTLE_US \
	600000 /* after the start: heartbeats of other instances have arrived by then */
/* Pause after a change, so that changes made with it come in one reply. It is random, so that
 * one of the watching instances soon watches again. */
#define PAUSE_MIN_US 30000
#define PAUSE_MAX_US 130000

enum phase { LISTING, WATCHING };

struct watcher {
	struct dl_list list;
	enum phase phase;
	/* All changes up to this revision have been applied, removed keys included. */
	st_rev at;
	/* Changes after this one are cached; keys removed before it are not. */
	st_rev from;
	/* Set once the changes made since the listing, while nobody watched for this instance,
	 * were requested. */
	int caught_up;
	int polling;               /* call returns at once */
	int64_t awaiting_since_us; /* since when the list is awaited from peers; 0: it is not */
	struct st_call *call, *poll;
	struct ev_timer retry;
	int64_t retry_us;         /* delay of the last retry; 0: the last call succeeded */
	int64_t backoff_until_us; /* after a failed call, see may_call */
	GHashTable *listed;       /* keys on the pages so far */
	struct cache_revs base;   /* revisions cached before the listing */
	int requested; /* a listing was requested: what is cached may be a part of it */
};

#define WATCHERS_MAX 4 /* lists of the platform */

static struct watcher watchers[WATCHERS_MAX];
static int nwatchers;
static int64_t started_us; /* monotonic */
static int first_start;    /* of the whole fleet */

static void next_call(struct watcher *w);

static void retry_later(struct watcher *w)
{
	w->retry_us = w->retry_us ? MIN(w->retry_us * 2, RETRY_MAX_US) : RETRY_FIRST_US;
	w->backoff_until_us = clock_us() + mesh_backoff_us();
	ev_in(&w->retry, w->retry_us);
}

/* Applies a reply of the store; listed_us: when a listing was requested, 0 for other calls. */
static void apply_all(const struct st_reply *r, int64_t listed_us)
{
	size_t i;

	for (i = 0; i < r->n; i++) {
		cache_apply(&r->items[i], cache_platform);
		if (listed_us && dl_item_kind(r->items[i].key) == DL_CONF)
			cache_confirm(r->items[i].revision, listed_us);
	}
}

void watch_apply(const struct st_reply *r, int64_t listed_us)
{
	struct cache_revs base = cache_revs();

	apply_all(r, listed_us);
	mesh_publish(base);
}

/* Applies a reply with all changes of the list after w->at. */
static void apply_changes(const struct watcher *w, const struct st_reply *r)
{
	struct cache_revs base = cache_revs();
	st_rev upto = 0;
	size_t i;

	if (!r->n) return;
	apply_all(r, 0);
	for (i = 0; i < r->n; i++) upto = MAX(upto, r->items[i].revision);
	if (w->list.kind == DL_BACKEND) cache_set_complete(upto);
	mesh_publish(base);
}

static st_rev cached_revision(const struct watcher *w)
{
	struct cache_revs revs = cache_revs();

	return w->list.kind == DL_CONF ? revs.conf : revs.backends;
}

static void log_list(const struct watcher *w, const char *event)
{
	GString *g = jlog_begin("fleet", event);

	jlog_str(g, "list", w->list.prefix);
	jlog_int(g, "era", st_rev_era(w->at));
	jlog_int(g, "revision", st_rev_number(w->at));
	jlog_int(g, "known", st_rev_number(cached_revision(w)));
	jlog_end(g);
}

/* Which instances watch for all is known once heartbeats of others, if there are any, have
 * arrived: with few members known every instance would be one that lists. */
static int must_watch(void)
{
	int unsettled = mesh_most_members() > 1 && clock_us() - started_us < SETTLE_US;

	if (unsettled && (first_start || mesh_count_live() == 1)) return 0;
	return mesh_watches_store();
}

/* Whether other instances have the lists, or watch for all and read them from the store. */
static int peers_have_or_list(void)
{
	return mesh_has_synced_hub() || !must_watch();
}

static int may_await_peers(const struct watcher *w)
{
	if (w->awaiting_since_us || w->list.kind != DL_BACKEND || w->base.backends) return 0;
	return mesh_most_members() > 1 && peers_have_or_list();
}

static void on_listed(const struct st_reply *r, void *user)
{
	struct watcher *w = user;
	size_t i;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc) {
		g_hash_table_remove_all(w->listed);
		retry_later(w);
		return;
	}
	w->retry_us = 0;
	if (g_hash_table_size(w->listed) && st_rev_era(r->revision) != st_rev_era(w->at)) {
		/* The pages so far were of a state that the store has lost. */
		g_hash_table_remove_all(w->listed);
		next_call(w);
		return;
	}
	if (!g_hash_table_size(w->listed)) {
		w->base = cache_revs();
		/* Pages are no snapshot: changes since the first page are watched for. */
		w->at = r->revision;
	}
	apply_all(r, r->sent_us);
	for (i = 0; i < r->n; i++) g_hash_table_add(w->listed, g_strdup(r->items[i].key));
	if (r->more && r->n && may_await_peers(w)) {
		w->awaiting_since_us = clock_us();
		g_hash_table_remove_all(w->listed);
		ev_in(&w->retry, IDLE_CHECK_US);
		return;
	}
	if (r->more && r->n) {
		w->call = st_range(w->list.prefix, r->items[r->n - 1].key, on_listed, w);
		return;
	}
	g_ptr_array_unref(cache_apply_missing(w->list.prefix, w->listed, w->at));
	if (w->list.kind == DL_BACKEND) cache_set_complete(w->at);
	g_hash_table_remove_all(w->listed);
	log_list(w, "list_read");
	w->phase = WATCHING;
	w->from = w->at;
	w->caught_up = 0;
	mesh_heartbeat_now(); /* the updates below do not continue from the peers' revisions */
	mesh_publish(w->base);
	next_call(w);
}

/* The store has compacted the changes since w->at: only a listing shows them. */
static void relist(struct watcher *w)
{
	w->phase = LISTING;
	w->requested = 1;
	w->retry_us = 0;
	next_call(w);
}

static void on_watched(const struct st_reply *r, void *user)
{
	struct watcher *w = user;

	w->call = NULL;
	watch_note_reply(r);
	if (r->rc == -ESTALE) {
		relist(w);
		return;
	}
	if (r->rc) {
		retry_later(w);
		return;
	}
	w->retry_us = 0;
	w->caught_up = 1;
	apply_changes(w, r);
	if (r->revision > w->at) w->at = r->revision;
	if (r->n)
		ev_in(&w->retry, g_random_int_range(PAUSE_MIN_US, PAUSE_MAX_US));
	else
		next_call(w);
}

/* Whether changes may be missing: those since the listing were not requested, or updates came
 * that do not continue from w->at. Another instance's listing does not show keys removed before
 * it. */
static int has_gap(const struct watcher *w)
{
	return !w->caught_up || cached_revision(w) > w->at;
}

/* Only hubs poll: standby instances forward to nobody, and there are hundreds of them. */
static int must_poll(const struct watcher *w)
{
	return has_gap(w) && mesh_self_hub() && mesh_has_synced_hub();
}

/* Whether peers have served the complete list that this instance would request. */
static int has_list_from_peers(const struct watcher *w)
{
	return (!w->requested || w->awaiting_since_us) && cached_revision(w);
}

static int awaits_peers(const struct watcher *w)
{
	if (!w->awaiting_since_us || clock_us() - w->awaiting_since_us >= PEERS_WAIT_US)
		return 0;
	return peers_have_or_list();
}

/* On the fleet's first start there is time to get the lists from the few that watch. */
static int peers_will_forward(void)
{
	return first_start && clock_us() - started_us < FIRST_WAIT_US && !must_watch();
}

/* A watch may break because of its connection: the first retry is made even if this instance
 * should not call the store. */
static int retries_at_once(const struct watcher *w)
{
	return w->phase == WATCHING && w->retry_us == RETRY_FIRST_US;
}

/* A failing store is called by few instances, and only for the configuration: hundreds that
 * retry every list would make thousands of calls in the seconds in which it is weakest. */
static int may_call(const struct watcher *w)
{
	if (watch_store_up() || retries_at_once(w) || clock_us() >= w->backoff_until_us)
		return 1;
	return mesh_retries_store() && !cache_conf() && w->list.kind == DL_CONF;
}

/* The store may have given out revisions beyond w->at again by now. Then a watch from there is
 * not told that the history is gone, and waits for the next change. */
static int is_of_lost_era(const struct watcher *w)
{
	return st_rev_era(w->at) < st_era();
}

static void watch(struct watcher *w, int64_t wait_ms)
{
	w->polling = wait_ms == POLL_MS;
	log_list(w, "watch_began");
	w->call = st_watch(w->list.prefix, w->at, wait_ms, on_watched, w);
}

static void next_call(struct watcher *w)
{
	if (w->call) return;
	if (w->phase == LISTING && has_list_from_peers(w)) {
		w->phase = WATCHING;
		w->at = w->from = cached_revision(w);
		w->caught_up = 1; /* whoever served the list forwards removals too */
	}
	if (!may_call(w) ||
	    (w->phase == LISTING && (peers_will_forward() || awaits_peers(w)))) {
		ev_in(&w->retry, IDLE_CHECK_US);
		return;
	}
	if (w->phase == LISTING) {
		w->requested = 1;
		w->call = st_range(w->list.prefix, NULL, on_listed, w);
		return;
	}
	if ((must_watch() || retries_at_once(w)) && is_of_lost_era(w))
		relist(w);
	else if (must_watch() || retries_at_once(w))
		watch(w, WATCH_MS);
	else if (must_poll(w))
		watch(w, POLL_MS);
	else
		ev_in(&w->retry, IDLE_CHECK_US);
}

static void on_retry(struct ev_timer *t)
{
	next_call((struct watcher *)((char *)t - offsetof(struct watcher, retry)));
}

static void restart(struct watcher *w)
{
	st_cancel(w->call);
	w->call = NULL;
	ev_stop(&w->retry);
	next_call(w);
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

void watch_restart(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].phase == WATCHING) restart(&watchers[i]);
}

void watch_leave_lost_era(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].phase == WATCHING && watchers[i].call &&
		    is_of_lost_era(&watchers[i]))
			restart(&watchers[i]);
}

static struct watcher *backends_watcher(void)
{
	int i;

	for (i = 0; i < nwatchers; i++)
		if (watchers[i].list.kind == DL_BACKEND) return &watchers[i];
	return NULL;
}

static void on_polled(const struct st_reply *r, void *user)
{
	struct watcher *w = user;

	w->poll = NULL;
	watch_note_reply(r);
	if (r->rc == -ESTALE) {
		w->phase = LISTING;
		w->requested = 1;
		restart(w);
		return;
	}
	if (r->rc) return;
	apply_changes(w, r);
	w->at = MAX(w->at, r->revision);
}

void watch_poll(void)
{
	struct watcher *w = backends_watcher();

	if (!w || w->phase != WATCHING || w->poll) return;
	w->poll = st_watch(w->list.prefix, w->at, POLL_MS, on_polled, w);
}

st_rev watch_backends_from(void)
{
	const struct watcher *w = backends_watcher();

	return w ? w->from : 0;
}

void watch_forwarded(enum dl_item kind, st_rev after, st_rev upto)
{
	int i;

	for (i = 0; after && i < nwatchers; i++) {
		struct watcher *w = &watchers[i];

		if (w->list.kind == kind && w->at >= after) w->at = MAX(w->at, upto);
	}
}

/* Ends the watch if others watch for this instance by now: otherwise the call would stay open
 * until something changes. */
static void release(struct watcher *w)
{
	if (w->phase != WATCHING || !w->call || w->polling || must_watch()) return;
	if (!mesh_has_synced_hub()) return;
	w->caught_up = 0; /* changes not answered yet may not come from peers */
	restart(w);
}

void watch_release(void)
{
	int i;

	for (i = 0; i < nwatchers; i++) release(&watchers[i]);
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
		next_call(&watchers[i]);
	}
	watch_confirm_start();
}
