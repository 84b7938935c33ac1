#include "req.h"
#include "clock.h"
#include "met.h"
#include "slot.h"
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#define TOKENS_MAX 256 /* queued tokens at which the exchange pauses */
#define TOKENS_WAKE 64 /* the same that wake the thread when the answer is not streamed */

struct req {
	atomic_int refs;
	uint64_t handle;
	pthread_mutex_t lock;
	pthread_cond_t ready;
	struct req_msg *first, **last;
	uint32_t tokens, urgent; /* queued messages: tokens, and all others */
	uint32_t wake_at;        /* queued tokens at which the request's thread wakes */
	struct mux *paused_mux;
	struct mux_xfer *paused;
	struct sink *sink;
	_Atomic uint64_t keeper;
};

static pthread_mutex_t table_lock = PTHREAD_MUTEX_INITIALIZER;
static struct slot_table table;

struct req *req_new(uint32_t limit)
{
	struct req *r;
	pthread_condattr_t attr;

	r = g_new0(struct req, 1);
	r->refs = 1;
	r->wake_at = 1;
	r->last = &r->first;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->ready, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&table_lock);
	if (table.count < limit) r->handle = slot_add(&table, r);
	pthread_mutex_unlock(&table_lock);
	if (r->handle) return r;
	req_unref(r);
	return NULL;
}

uint64_t req_handle(const struct req *r)
{
	return r->handle;
}

void req_ref(struct req *r)
{
	r->refs++;
}

static void free_msgs(struct req_msg *m)
{
	struct req_msg *next;

	for (; m; m = next) {
		next = m->next;
		g_free(m);
	}
}

void req_unref(struct req *r)
{
	if (--r->refs) return;
	free_msgs(r->first);
	mux_xfer_unref(r->paused);
	sink_free(r->sink);
	pthread_mutex_destroy(&r->lock);
	pthread_cond_destroy(&r->ready);
	g_free(r);
}

void req_close(struct req *r)
{
	pthread_mutex_lock(&table_lock);
	slot_remove(&table, r->handle);
	pthread_mutex_unlock(&table_lock);
	req_unref(r);
}

uint32_t req_count(void)
{
	uint32_t n;

	pthread_mutex_lock(&table_lock);
	n = table.count;
	pthread_mutex_unlock(&table_lock);
	return n;
}

struct req_msg *req_msg_new(enum req_msg_type type, uint32_t attempt, const char *data,
			    uint32_t len)
{
	struct req_msg *m = g_malloc0(sizeof *m + len + 1);

	m->type = type;
	m->attempt = attempt;
	m->len = len;
	if (len) memcpy(m->data, data, len);
	return m;
}

/* Tokens alone wake the thread only from wake_at on. */
static int should_wake(const struct req *r)
{
	return r->urgent || r->tokens >= r->wake_at;
}

static void append_locked(struct req *r, struct req_msg *m)
{
	*r->last = m;
	r->last = &m->next;
	if (m->type == REQ_TOKEN)
		r->tokens++;
	else
		r->urgent++;
	if (should_wake(r)) pthread_cond_signal(&r->ready);
}

void req_post(struct req *r, struct req_msg *m)
{
	pthread_mutex_lock(&r->lock);
	append_locked(r, m);
	pthread_mutex_unlock(&r->lock);
}

void req_set_sink(struct req *r, struct sink *s, int each)
{
	r->sink = s;
	r->wake_at = each ? 1 : TOKENS_WAKE;
}

struct sink *req_lock_sink(struct req *r)
{
	pthread_mutex_lock(&r->lock);
	return r->sink;
}

void req_unlock_sink(struct req *r)
{
	pthread_mutex_unlock(&r->lock);
}

static int should_pause(const struct req *r)
{
	return r->tokens >= TOKENS_MAX || (r->sink && r->sink->out->len > SINK_OUT_MAX);
}

int req_add_token(struct req *r, uint32_t attempt, uint32_t offset, const char *data,
		  uint32_t len)
{
	int64_t now = clock_us();
	struct req_msg *m;
	int pause;

	pthread_mutex_lock(&r->lock);
	if (r->sink && r->sink->fd >= 0) {
		if (r->sink->attempt == attempt) {
			sink_count_token(r->sink, offset, now);
			sink_add_event(r->sink, offset, data, len);
		} else {
			met_add(MET_ANSWERS_DROPPED, 1);
		}
	} else {
		m = req_msg_new(REQ_TOKEN, attempt, data, len);
		m->u.token.offset = offset;
		m->u.token.at_us = now;
		append_locked(r, m);
	}
	pause = should_pause(r);
	pthread_mutex_unlock(&r->lock);
	return pause;
}

void req_flush_tokens(struct req *r, uint32_t attempt)
{
	struct sink *s;

	pthread_mutex_lock(&r->lock);
	s = r->sink;
	if (s && s->fd >= 0 && s->attempt == attempt && s->out->len && sink_write(s) &&
	    !s->reader_blocked) {
		s->reader_blocked = 1;
		append_locked(r, req_msg_new(REQ_READER_BLOCKED, 0, NULL, 0));
	}
	pthread_mutex_unlock(&r->lock);
}

int req_post_to(uint64_t handle, struct req_msg *m)
{
	struct req *r;

	pthread_mutex_lock(&table_lock);
	r = slot_get(&table, handle);
	if (r) r->refs++;
	pthread_mutex_unlock(&table_lock);
	if (!r) {
		g_free(m);
		return -ENOENT;
	}
	req_post(r, m);
	req_unref(r);
	return 0;
}

void req_set_keeper(struct req *r, uint64_t keeper)
{
	r->keeper = keeper;
}

int req_has_keeper(uint64_t handle, uint64_t keeper)
{
	struct req *r;
	int held;

	pthread_mutex_lock(&table_lock);
	r = slot_get(&table, handle);
	held = r && r->keeper == keeper;
	pthread_mutex_unlock(&table_lock);
	return held;
}

void req_broadcast(enum req_msg_type type)
{
	uint32_t i;

	pthread_mutex_lock(&table_lock);
	for (i = 0; i < table.cap; i++)
		if (table.entry[i].item)
			req_post(table.entry[i].item, req_msg_new(type, 0, NULL, 0));
	pthread_mutex_unlock(&table_lock);
}

static int sink_may_resume(const struct sink *s)
{
	return !s || s->out->len <= SINK_OUT_MAX / 2;
}

/* When the ring is full, the exchange stays paused and the next req_wait retries. */
static void resume(struct req *r, struct mux *mux, struct mux_xfer *x)
{
	if (!x) return;
	if (!mux_resume(mux, x)) {
		mux_xfer_unref(x);
		return;
	}
	pthread_mutex_lock(&r->lock);
	r->paused = x;
	pthread_mutex_unlock(&r->lock);
}

struct req_msg *req_wait(struct req *r, int64_t deadline_us)
{
	struct timespec ts = clock_monotonic_spec(deadline_us);
	struct mux_xfer *x;
	struct req_msg *m;

	pthread_mutex_lock(&r->lock);
	while (!should_wake(r))
		if (pthread_cond_timedwait(&r->ready, &r->lock, &ts) == ETIMEDOUT) break;
	m = r->first;
	r->first = NULL;
	r->last = &r->first;
	r->tokens = r->urgent = 0;
	x = sink_may_resume(r->sink) ? r->paused : NULL;
	if (x) r->paused = NULL;
	pthread_mutex_unlock(&r->lock);
	resume(r, r->paused_mux, x);
	return m;
}

void req_set_paused(struct req *r, struct mux *m, struct mux_xfer *x)
{
	met_add(MET_READER_PAUSES, 1);
	mux_xfer_ref(x);
	pthread_mutex_lock(&r->lock);
	mux_xfer_unref(r->paused);
	r->paused = x;
	r->paused_mux = m;
	pthread_mutex_unlock(&r->lock);
}
