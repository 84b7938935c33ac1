/* An engine's load reports: an event stream that is reopened with back-off when it breaks. */
#include "clock.h"
#include "eng.h"
#include "hash.h"
#include "met.h"
#include <json-c/json.h>
#include <pthread.h>
#include <string.h>

#define BACKOFF_MIN_US 100000
#define BACKOFF_MAX_US 2000000

struct eng_watch {
	atomic_int refs;
	struct mux *mux;
	char address[64];
	uint64_t id;
	int64_t silent_us, backoff_us;
	void (*on_load)(const struct core_load *l);
	void (*on_lost)(uint64_t engine);
	pthread_mutex_t lock;
	struct mux_xfer *xfer;
	int stopped, has_preemptions;
	uint64_t preemptions;
};

struct stream {
	struct eng_watch *w;
	struct sse sse;
};

static void open_stream(struct eng_watch *w, int64_t delay_us);

static void watch_unref(struct eng_watch *w)
{
	if (--w->refs) return;
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

static uint64_t get_uint64(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ? (uint64_t)json_object_get_int64(v) : 0;
}

static void count_preemptions(struct eng_watch *w, uint64_t now)
{
	if (w->has_preemptions && now > w->preemptions)
		met_add(MET_PREEMPTIONS, now - w->preemptions);
	w->preemptions = now;
	w->has_preemptions = 1;
}

static int on_event(struct sse *s, void *arg)
{
	struct eng_watch *w = arg;
	struct core_load l = {.engine = w->id};
	json_object *o;

	if (strcmp(s->event, "load")) return 0;
	o = json_tokener_parse(s->data->str);
	if (!o) return 0;
	l.steps = get_uint64(o, "steps");
	l.preemptions = get_uint64(o, "preemptions");
	l.used_tokens = (uint32_t)get_uint64(o, "used_tokens");
	l.capacity_tokens = (uint32_t)get_uint64(o, "capacity_tokens");
	l.running = (uint32_t)get_uint64(o, "running");
	l.max_running = (uint32_t)get_uint64(o, "max_running");
	l.step_us = (uint32_t)get_uint64(o, "step_us");
	json_object_put(o);
	count_preemptions(w, l.preemptions);
	met_add(MET_LOADS, 1);
	w->backoff_us = BACKOFF_MIN_US;
	w->on_load(&l);
	return 0;
}

static int on_data(struct mux_xfer *x, const char *p, size_t n)
{
	struct stream *s = x->user;

	return sse_feed(&s->sse, p, n, on_event, s->w);
}

static void on_done(struct mux_xfer *x, CURLcode rc, long status)
{
	struct stream *s = x->user;
	struct eng_watch *w = s->w;

	(void)rc;
	(void)status;
	w->on_lost(w->id);
	w->backoff_us = w->backoff_us * 2 > BACKOFF_MAX_US ? BACKOFF_MAX_US : w->backoff_us * 2;
	open_stream(w, (int64_t)(g_random_double() * (double)w->backoff_us));
}

static void on_free(struct mux_xfer *x)
{
	struct stream *s = x->user;

	sse_free(&s->sse);
	watch_unref(s->w);
	g_free(s);
}

static struct mux_xfer *stream_new(struct eng_watch *w, int64_t delay_us)
{
	char *url = g_strdup_printf("http://%s/v1/events", w->address);
	struct mux_xfer *x = mux_xfer_new(url);
	struct stream *s = g_new0(struct stream, 1);

	g_free(url);
	s->w = w;
	w->refs++;
	sse_init(&s->sse);
	x->user = s;
	x->on_data = on_data;
	x->on_done = on_done;
	x->on_free = on_free;
	x->stall_us = w->silent_us;
	x->start_us = clock_us() + delay_us;
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
	return x;
}

static void open_stream(struct eng_watch *w, int64_t delay_us)
{
	struct mux_xfer *x;

	pthread_mutex_lock(&w->lock);
	if (!w->stopped) {
		x = stream_new(w, delay_us);
		mux_xfer_unref(w->xfer);
		w->xfer = x;
		mux_submit(w->mux, x);
	}
	pthread_mutex_unlock(&w->lock);
}

struct eng_watch *eng_watch_new(struct mux *m, const char *address,
				void (*on_load)(const struct core_load *l),
				void (*on_lost)(uint64_t engine), int64_t silent_us)
{
	struct eng_watch *w = g_new0(struct eng_watch, 1);

	w->refs = 1;
	w->mux = m;
	g_strlcpy(w->address, address, sizeof w->address);
	w->id = hash_name(address);
	w->on_load = on_load;
	w->on_lost = on_lost;
	w->silent_us = silent_us;
	w->backoff_us = BACKOFF_MIN_US;
	pthread_mutex_init(&w->lock, NULL);
	open_stream(w, 0);
	return w;
}

void eng_watch_free(struct eng_watch *w)
{
	struct mux_xfer *x;

	pthread_mutex_lock(&w->lock);
	w->stopped = 1;
	x = w->xfer;
	w->xfer = NULL;
	pthread_mutex_unlock(&w->lock);
	if (x) mux_cancel(w->mux, x);
	mux_xfer_unref(x);
	watch_unref(w);
}
