/* Watches documents in the platform's store. Each document is watched by WATCHERS_PER_DC
 * instances in each data centre; the others receive it from their peers. Failed watches are
 * retried with exponential back-off and full jitter. */
#include "clock.h"
#include "docs.h"
#include "hash.h"
#include "kv.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer.h"
#include "view.h"
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu.h>

#define WATCHERS_PER_DC 2 /* for each document */
#define BACKOFF_MIN_US 50000
#define BACKOFF_MAX_US 3000000
#define SEED_WAIT_US 1000000
#define FETCH_SPREAD_US 4000000
#define POLL_US 100000
#define KEY_BYTES 32

struct watch {
	int doc;
	atomic_int in_flight;
	int64_t next_start_us, backoff_us;
	GString *body;
	uint64_t version;
	int framed; /* the answer states where it ends */
	struct mux_xfer *xfer;
};

static struct {
	pthread_t thread;
	struct watch watch[WIRE_DOCS_MAX];
	int n, key_created;
	int64_t started_us;
} platform;

static int on_data(struct mux_xfer *x, const char *p, size_t n)
{
	struct watch *w = x->user;

	if (w->body->len + n > WIRE_FRAME_MAX) return -1;
	g_string_append_len(w->body, p, (gssize)n);
	return 0;
}

static void on_header(struct mux_xfer *x, const char *line, size_t n)
{
	struct watch *w = x->user;

	w->framed |= kv_is_framing(line, n);
	if (n < 6 || strncasecmp(line, "ETag:", 5)) return;
	line += 5;
	while (*line == ' ' || *line == '"') line++;
	w->version = strtoull(line, NULL, 10);
}

/* Full jitter: a random delay between 0 and us. */
static int64_t random_delay(int64_t us)
{
	return (int64_t)(g_random_double() * (double)us);
}

static void back_off(struct watch *w)
{
	met_add(MET_KV_ERRORS, 1);
	met_retried(RETRY_PLATFORM);
	w->backoff_us = w->backoff_us * 2 > BACKOFF_MAX_US ? BACKOFF_MAX_US : w->backoff_us * 2;
	w->next_start_us = clock_us() + random_delay(w->backoff_us);
}

static void on_done(struct mux_xfer *x, CURLcode rc, long status)
{
	struct watch *w = x->user;

	if (w->next_start_us < clock_us()) w->next_start_us = clock_us();
	if (rc == CURLE_OK && status == 200 && w->framed) {
		/* The store returned an older version at once instead of waiting for a newer
		 * one: back off, or the watch would become a busy loop. */
		if (docs_update(w->doc, w->version, w->body->str, w->body->len))
			w->backoff_us = BACKOFF_MIN_US;
		else if (w->version < docs_version(w->doc))
			back_off(w);
	} else if (rc == CURLE_OK && (status == 304 || status == 404)) {
		w->backoff_us = BACKOFF_MIN_US;
	} else {
		back_off(w);
	}
	w->in_flight = 0;
}

static void watch_start(struct watch *w, int wait)
{
	struct mux_xfer *x = kv_watch(docs_key(w->doc), docs_version(w->doc), wait);

	if (!x) return;
	g_string_truncate(w->body, 0);
	w->version = 0;
	w->framed = 0;
	w->in_flight = 1;
	x->user = w;
	x->on_data = on_data;
	x->on_header = on_header;
	x->on_done = on_done;
	mux_xfer_unref(w->xfer);
	w->xfer = x;
	if (mux_submit(node.platform, x)) w->in_flight = 0;
}

/* Whether this instance watches the document: it is among the WATCHERS_PER_DC live instances of
 * its data centre with the highest rendezvous hash. */
static int is_watcher(const struct view *v, int doc)
{
	uint64_t own_score = hash_score(docs_id(doc), node.self.id);
	uint32_t i, higher = 0;

	for (i = 0; i < v->nmembers; i++) {
		if (v->member[i].id == node.self.id || v->member[i].state != MBR_ALIVE)
			continue;
		if (strcmp(v->member[i].dc, node.self.dc)) continue;
		if (hash_score(docs_id(doc), v->member[i].id) > own_score) higher++;
	}
	return higher < WATCHERS_PER_DC;
}

/* Creates the event key if this instance has none. kv_put writes only if the key does not
 * exist, so losing the race to another instance is harmless. */
static void create_event_key(void)
{
	GString *hex = g_string_new(NULL);
	uint64_t version = 0;
	struct err e;
	int i;

	if (docs_version(node.doc_event_key) || platform.key_created) return;
	for (i = 0; i < KEY_BYTES / 4; i++) g_string_append_printf(hex, "%08x", g_random_int());
	platform.key_created =
		kv_put(DOC_EVENT_KEY, hex->str, hex->len, 0, &version, &e) != -EIO;
	g_string_free(hex, TRUE);
}

/* Before its seeds have sent it the member list, an instance would rank first for every
 * document: for SEED_WAIT_US it starts no watches while it has no other member. */
static int awaiting_seeds(const struct view *v, int64_t now)
{
	return v->nmembers == 1 && node.cfg.seeds.n && now - platform.started_us < SEED_WAIT_US;
}

static void start_watches(void)
{
	struct view *v = view_get();
	int64_t now = clock_us();
	int i, watcher;

	if (!v) return;
	for (i = 0; i < platform.n && !awaiting_seeds(v, now); i++) {
		struct watch *w = &platform.watch[i];

		if (w->in_flight || now < w->next_start_us) continue;
		watcher = is_watcher(v, w->doc);
		if (!watcher && docs_version(w->doc)) continue;
		watch_start(w, watcher);
		/* Not a watcher, but no version yet: a single read without waiting, and the
		 * next one later, so that a peer can deliver it meanwhile. */
		if (!watcher) w->next_start_us = now + random_delay(FETCH_SPREAD_US);
	}
	view_unref(v);
	create_event_key();
}

static void *run(void *arg)
{
	struct timespec ts = {0, POLL_US * 1000};

	(void)arg;
	rcu_register_thread();
	while (!node.stopping) {
		start_watches();
		nanosleep(&ts, NULL);
	}
	rcu_unregister_thread();
	return NULL;
}

void platform_start(void)
{
	int i;

	platform.n = docs_count();
	platform.started_us = clock_us();
	for (i = 0; i < platform.n; i++) {
		platform.watch[i] = (struct watch){.doc = i, .backoff_us = BACKOFF_MIN_US};
		platform.watch[i].body = g_string_new(NULL);
	}
	pthread_create(&platform.thread, NULL, run, NULL);
	pthread_setname_np(platform.thread, "platform");
}

void platform_stop(void)
{
	int i;

	pthread_join(platform.thread, NULL);
	for (i = 0; i < platform.n; i++)
		if (platform.watch[i].xfer) mux_cancel(node.platform, platform.watch[i].xfer);
}
