/* The claims thread: batches the operations waiting for a shard into one write, within a rate
 * limit on writes. */
#include "claim_shard.h"
#include "clock.h"
#include "kv.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer.h"
#include "req.h"
#include "ring.h"
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <urcu.h>

#define RING_CAP 8192
#define BATCH_MAX 512 /* operations taken from the ring at once */
#define IDLE_US 50000
#define CONFLICTS_MAX 4      /* compare-and-swap attempts per commit */
#define BACKOFF_US 500000    /* after a failed read or write, claims are refused at once */
#define RETENTION_MS 600000  /* claims older than this are dropped */
#define CACHE_TTL_US 2000000 /* a shard not written for so long is read again before use */

struct job {
	uint64_t from, request;
	struct claim_op op;
	struct claim_reply reply;
};

struct home {
	struct claim_shard shard;
	int loaded;
	uint64_t version;
	double write_tokens; /* token bucket: writes allowed now */
	int64_t refilled_us, written_us;
	GPtrArray *waiting; /* of struct job */
};

static struct {
	struct ring ring;
	pthread_t thread;
	struct home home[CLAIM_SHARDS];
	int64_t backoff_until_us;
	uint32_t pending;
} claims;

static void job_free(struct job *j)
{
	g_free((char *)j->op.answer);
	g_free(j->reply.answer);
	g_free(j);
}

int claims_post(uint64_t from, uint64_t request, const struct claim_op *op)
{
	struct job *j = g_new0(struct job, 1);

	j->from = from;
	j->request = request;
	j->op = *op;
	j->op.answer = op->answer_len ? g_memdup2(op->answer, op->answer_len) : NULL;
	if (!ring_push(&claims.ring, j)) return 0;
	job_free(j);
	return -EAGAIN;
}

static void reply(struct job *j)
{
	struct wire_msg m = {.type = WIRE_CLAIMED};

	m.u.claimed.request = j->request;
	m.u.claimed.result = j->reply.result;
	m.u.claimed.status = (uint32_t)j->reply.status;
	strcpy(m.u.claimed.content, j->reply.content_type);
	m.u.claimed.answer = j->reply.answer;
	m.u.claimed.answer_len = j->reply.answer_len;
	ticket_send(j->from, &m);
	job_free(j);
}

static void reply_all(struct home *h)
{
	guint i;

	for (i = 0; i < h->waiting->len; i++) reply(h->waiting->pdata[i]);
	claims.pending -= h->waiting->len;
	g_ptr_array_set_size(h->waiting, 0);
}

static void fail_all(struct home *h)
{
	guint i;

	h->loaded = 0;
	for (i = 0; i < h->waiting->len; i++)
		((struct job *)h->waiting->pdata[i])->reply.result = CLAIM_UNAVAILABLE;
	reply_all(h);
}

static void shard_key(int shard, char out[48])
{
	snprintf(out, 48, "saddlehead/claims/%d", shard);
}

static int load(struct home *h, const char *key)
{
	char *text;
	size_t len;
	int rc = kv_get(key, &text, &len, &h->version, NULL);

	if (rc == -ENOENT) {
		h->version = 0;
		text = g_strdup("{}");
	} else if (rc) {
		return rc;
	}
	rc = claim_shard_parse(&h->shard, text);
	g_free(text);
	h->loaded = !rc;
	return rc;
}

static void apply_all(struct home *h, int64_t now_ms)
{
	struct job *j;
	guint i;

	claim_shard_expire(&h->shard, now_ms, RETENTION_MS);
	for (i = 0; i < h->waiting->len; i++) {
		j = h->waiting->pdata[i];
		g_free(j->reply.answer);
		claim_shard_apply(&h->shard, &j->op, now_ms, &j->reply);
	}
}

/* The answer to a write was lost. The write succeeded if the stored text is the one written;
 * the version is then up to date too. */
static int resolve_lost_write(struct home *h, const char *key, const char *text)
{
	char *now;
	size_t len;
	int same;

	met_retried(RETRY_PLATFORM);
	if (kv_get(key, &now, &len, &h->version, NULL)) return -EIO;
	same = !strcmp(now, text);
	g_free(now);
	return same ? 0 : -EIO;
}

/* Tries once to write the batch: 0, -ECANCELED when another home has written, or another error.
 */
static int try_commit(struct home *h, const char *key)
{
	gsize len;
	char *text;
	int rc = h->loaded ? 0 : load(h, key);

	if (rc) return rc;
	apply_all(h, clock_wall_ms());
	if (!h->shard.dirty) return 0;
	text = claim_shard_format(&h->shard, &len);
	h->write_tokens -= 1;
	rc = kv_put(key, text, len, h->version, &h->version, NULL);
	if (rc == -EIO) rc = resolve_lost_write(h, key, text);
	g_free(text);
	if (rc)
		h->loaded = 0;
	else
		h->shard.dirty = 0;
	h->written_us = clock_us();
	return rc;
}

static void commit(int shard)
{
	struct home *h = &claims.home[shard];
	char key[48];
	int i, rc = -ECANCELED;

	shard_key(shard, key);
	/* Another home may have written since; only reading shows that. */
	if (clock_us() - h->written_us > CACHE_TTL_US) h->loaded = 0;
	for (i = 0; i < CONFLICTS_MAX && rc == -ECANCELED; i++) rc = try_commit(h, key);
	if (!rc) {
		reply_all(h);
		return;
	}
	if (rc == -EIO || rc == -EBUSY) claims.backoff_until_us = clock_us() + BACKOFF_US;
	fail_all(h);
}

static void refill_tokens(struct home *h, int64_t now)
{
	double rate = (double)node.cfg.claim_writes_per_s / CLAIM_SHARDS;

	h->write_tokens += (double)(now - h->refilled_us) / 1e6 * rate;
	if (h->write_tokens > rate) h->write_tokens = rate;
	h->refilled_us = now;
}

static void commit_due(void)
{
	int64_t now = clock_us();
	struct home *h;
	int i;

	for (i = 0; i < CLAIM_SHARDS; i++) {
		h = &claims.home[i];
		if (!h->waiting->len) continue;
		if (now < claims.backoff_until_us) {
			fail_all(h);
			continue;
		}
		refill_tokens(h, now);
		if (h->write_tokens >= 1) commit(i);
	}
}

static void *run(void *arg)
{
	void *item[BATCH_MAX];
	struct job *j;
	uint32_t i, n;

	(void)arg;
	rcu_register_thread();
	while (!node.stopping) {
		n = ring_wait(&claims.ring, item, BATCH_MAX,
			      clock_us() + (claims.pending ? 5000 : IDLE_US));
		for (i = 0; i < n; i++) {
			j = item[i];
			g_ptr_array_add(claims.home[claim_shard_of(j->op.key)].waiting, j);
		}
		claims.pending += n;
		commit_due();
	}
	rcu_unregister_thread();
	return NULL;
}

int claims_start(void)
{
	int i;

	if (ring_init(&claims.ring, RING_CAP, 0)) return -ENOMEM;
	for (i = 0; i < CLAIM_SHARDS; i++) {
		claim_shard_init(&claims.home[i].shard);
		claims.home[i].waiting = g_ptr_array_new();
		claims.home[i].write_tokens = 1;
		claims.home[i].refilled_us = clock_us();
	}
	if (pthread_create(&claims.thread, NULL, run, NULL)) return -EAGAIN;
	pthread_setname_np(claims.thread, "claims");
	return 0;
}

void claims_join(void)
{
	pthread_join(claims.thread, NULL);
}

void claims_free(void)
{
	void *item;
	int i;

	while (ring_take(&claims.ring, &item, 1)) job_free(item);
	for (i = 0; i < CLAIM_SHARDS; i++) {
		while (claims.home[i].waiting->len)
			job_free(g_ptr_array_steal_index(claims.home[i].waiting, 0));
		g_ptr_array_unref(claims.home[i].waiting);
		claim_shard_free(&claims.home[i].shard);
	}
	ring_free(&claims.ring);
}
