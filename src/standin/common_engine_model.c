#include "engine_model.h"
#include "clock.h"
#include "hash.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ORPHAN_US 15000000 /* without a reader, a running generation ends after this */
#define LENGTH_MIN 8
#define LENGTH_SPREAD 200

void model_defaults(struct engine_config *c)
{
	*c = (struct engine_config){.capacity = 60000,
				    .max_running = 64,
				    .step_us = 8000,
				    .stream_us = 50,
				    .prefill_us = 20,
				    .load_ms = 100,
				    .lag_ms = 100};
}

static void remove_seq(GPtrArray *a, struct seq *q)
{
	g_ptr_array_remove(a, q);
}

static void release(struct engine_model *m, struct seq *q)
{
	m->used -= q->used;
	q->used = 0;
	remove_seq(m->running, q);
}

static void end_seq(struct engine_model *m, struct seq *q, enum seq_state how)
{
	if (q->state == SEQ_RUNNING) release(m, q);
	if (q->state == SEQ_WAITING) remove_seq(m->waiting, q);
	q->state = how;
	q->left_us = q->ended_us = clock_us();
}

/* Returns the number of prompt tokens in cached blocks, and caches the other blocks. */
static uint32_t cache_lookup(struct engine_model *m, const char *prompt)
{
	size_t at, n = strlen(prompt);
	uint32_t hit = 0, i;
	uint64_t h;

	for (at = CACHE_BLOCK_BYTES; at <= n; at += CACHE_BLOCK_BYTES) {
		h = hash_bytes(prompt, at);
		for (i = 0; i < CACHE_BLOCKS && m->cache[i] != h; i++)
			;
		if (i < CACHE_BLOCKS) {
			hit += CACHE_BLOCK_BYTES / 4;
			continue;
		}
		m->cache[m->cache_next++ % CACHE_BLOCKS] = h;
		m->cache_seq++;
	}
	return hit;
}

/* Orders the queue by priority; front puts q before others of its priority, not behind them. */
static void enqueue(struct engine_model *m, struct seq *q, int front)
{
	struct seq *x;
	guint i;

	for (i = 0; i < m->waiting->len; i++) {
		x = m->waiting->pdata[i];
		if (x->priority < q->priority || (front && x->priority == q->priority)) break;
	}
	q->state = SEQ_WAITING;
	g_ptr_array_insert(m->waiting, (gint)i, q);
}

static int admit(struct engine_model *m, int64_t now)
{
	uint32_t need;
	struct seq *q;

	if (!m->waiting->len || (int)m->running->len >= m->cfg.max_running) return 0;
	q = m->waiting->pdata[0];
	need = q->prompt_tokens + q->generated;
	if (m->used + need > (uint32_t)m->cfg.capacity) return 0;
	g_ptr_array_remove_index(m->waiting, 0);
	q->state = SEQ_RUNNING;
	q->used = need;
	q->ready_us = now + (int64_t)(need - q->cached) * m->cfg.prefill_us;
	m->used += need;
	g_ptr_array_add(m->running, q);
	return 1;
}

/* Preempts the newest sequence of the lowest priority: it loses its memory and waits again. */
static void preempt(struct engine_model *m)
{
	struct seq *q, *victim = NULL;
	guint i;

	for (i = 0; i < m->running->len; i++) {
		q = m->running->pdata[i];
		if (!victim || q->priority < victim->priority ||
		    (q->priority == victim->priority && q->added_us > victim->added_us))
			victim = q;
	}
	if (!victim) return;
	release(m, victim);
	victim->preempted++;
	m->preemptions++;
	enqueue(m, victim, 1);
}

static void generate_tokens(struct engine_model *m, int64_t now)
{
	struct seq *q;
	guint i;

	while (m->running->len > 1 && m->used + m->running->len > (uint32_t)m->cfg.capacity)
		preempt(m);
	for (i = 0; i < m->running->len;) {
		q = m->running->pdata[i];
		if (q->ready_us > now) {
			i++;
			continue;
		}
		q->generated++;
		q->used++;
		m->used++;
		if (q->generated >= q->length)
			end_seq(m, q, SEQ_DONE);
		else
			i++;
	}
}

static void end_orphans(struct engine_model *m, int64_t now)
{
	struct seq *q;
	guint i;

	for (i = 0; i < m->running->len;) {
		q = m->running->pdata[i];
		if (!q->readers && now - q->left_us > ORPHAN_US)
			end_seq(m, q, SEQ_CANCELLED);
		else
			i++;
	}
}

static void take_snapshot(struct engine_model *m, int64_t now)
{
	m->snapshots[m->nsnapshots++ % SNAPSHOTS] =
		(struct snapshot){.at_us = now,
				  .steps = m->steps,
				  .preemptions = m->preemptions,
				  .used = m->used,
				  .running = m->running->len,
				  .waiting = m->waiting->len};
}

static int64_t step(struct engine_model *m)
{
	int64_t now = clock_us();

	while (admit(m, now))
		;
	if (m->running->len) {
		generate_tokens(m, now);
		m->steps++;
	}
	end_orphans(m, now);
	take_snapshot(m, now);
	pthread_cond_broadcast(&m->stepped);
	return (m->cfg.step_us + (int64_t)m->running->len * m->cfg.stream_us) *
	       (m->slow ? m->slow : 1);
}

static void *run(void *arg)
{
	struct engine_model *m = arg;
	int64_t next = clock_us(), now;

	for (;;) {
		while (m->frozen) usleep(5000);
		pthread_mutex_lock(&m->lock);
		next += step(m);
		pthread_mutex_unlock(&m->lock);
		now = clock_us();
		if (next > now)
			usleep((useconds_t)(next - now));
		else
			next = now;
	}
	return NULL;
}

void model_start(struct engine_model *m)
{
	pthread_t t;

	pthread_mutex_init(&m->lock, NULL);
	pthread_cond_init(&m->stepped, NULL);
	m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	m->waiting = g_ptr_array_new();
	m->running = g_ptr_array_new();
	m->all = g_ptr_array_new();
	pthread_create(&t, NULL, run, m);
	pthread_detach(t);
}

/* Output length as a hash of the prompt, unknown to the caller; one in 16 is eight times as
 * long. */
static uint32_t draw_length(const char *prompt)
{
	uint64_t h = hash_bytes(prompt, strlen(prompt));
	uint32_t n = LENGTH_MIN + h % LENGTH_SPREAD;

	return h >> 32 & 15 ? n : n * 8;
}

struct seq *model_add(struct engine_model *m, const struct seq_start *s)
{
	struct seq *q = g_new0(struct seq, 1);

	pthread_mutex_lock(&m->lock);
	if (s->id)
		g_strlcpy(q->id, s->id, sizeof q->id);
	else
		g_snprintf(q->id, sizeof q->id, "local-%llu",
			   (unsigned long long)++m->last_local_id);
	q->prompt_tokens = (uint32_t)strlen(s->prompt) / 4 + 1;
	if (g_hash_table_contains(m->by_id, q->id) ||
	    q->prompt_tokens >= (uint32_t)m->cfg.capacity) {
		pthread_mutex_unlock(&m->lock);
		g_free(q);
		return NULL;
	}
	g_snprintf(q->tag, sizeof q->tag, "%08x", (unsigned)hash_name(q->id));
	q->chat = s->chat;
	q->priority = s->priority;
	q->length = s->length ? s->length : draw_length(s->prompt);
	q->limited = s->max_tokens && s->max_tokens < q->length;
	if (q->limited) q->length = s->max_tokens;
	q->cached = cache_lookup(m, s->prompt);
	q->readers = 1;
	q->added_us = clock_us();
	g_hash_table_insert(m->by_id, q->id, q);
	g_ptr_array_add(m->all, q);
	enqueue(m, q, 0);
	pthread_mutex_unlock(&m->lock);
	return q;
}

struct seq *model_find(struct engine_model *m, const char *id)
{
	struct seq *q;

	pthread_mutex_lock(&m->lock);
	q = g_hash_table_lookup(m->by_id, id);
	if (q && q->state == SEQ_CANCELLED) q = NULL;
	if (q) q->readers++;
	pthread_mutex_unlock(&m->lock);
	return q;
}

uint32_t model_wait(struct engine_model *m, struct seq *q, uint32_t from)
{
	uint32_t n;

	pthread_mutex_lock(&m->lock);
	while (q->generated <= from && q->state <= SEQ_RUNNING)
		pthread_cond_wait(&m->stepped, &m->lock);
	n = q->generated;
	pthread_mutex_unlock(&m->lock);
	return n;
}

void model_reader_left(struct engine_model *m, struct seq *q)
{
	pthread_mutex_lock(&m->lock);
	q->readers--;
	q->left_us = clock_us();
	pthread_mutex_unlock(&m->lock);
}

int model_cancel(struct engine_model *m, const char *id)
{
	struct seq *q;
	int started = -1;

	pthread_mutex_lock(&m->lock);
	q = g_hash_table_lookup(m->by_id, id);
	if (q) {
		started = q->state != SEQ_WAITING || q->generated > 0;
		if (q->state <= SEQ_RUNNING) end_seq(m, q, SEQ_CANCELLED);
		pthread_cond_broadcast(&m->stepped);
	}
	pthread_mutex_unlock(&m->lock);
	return started;
}

/* The newest snapshot that is at least lag_ms old, or else the oldest. */
static const struct snapshot *lagged_snapshot(const struct engine_model *m)
{
	int64_t until = clock_us() - (int64_t)m->cfg.lag_ms * 1000;
	const struct snapshot *s = NULL;
	uint32_t i;

	for (i = 0; i < SNAPSHOTS && i < m->nsnapshots; i++) {
		s = &m->snapshots[(m->nsnapshots - 1 - i) % SNAPSHOTS];
		if (s->at_us <= until) break;
	}
	return s;
}

void model_report(struct engine_model *m, GString *out, uint64_t *cache_seen)
{
	const struct snapshot *s;

	pthread_mutex_lock(&m->lock);
	s = lagged_snapshot(m);
	if (s)
		g_string_append_printf(
			out,
			"event: load\ndata: "
			"{\"steps\":%llu,\"preemptions\":%llu,\"used_tokens\":%u,"
			"\"capacity_tokens\":%d,\"running\":%u,\"waiting\":%u,\"max_running\":%"
			"d,"
			"\"step_us\":%d}\n\n",
			(unsigned long long)s->steps, (unsigned long long)s->preemptions,
			s->used, m->cfg.capacity, s->running, s->waiting, m->cfg.max_running,
			m->cfg.step_us);
	if (m->cache_seq > *cache_seen)
		g_string_append_printf(out,
				       "event: cache\ndata: {\"seq\":%llu,\"gap\":%llu}\n\n",
				       (unsigned long long)m->cache_seq,
				       (unsigned long long)(m->cache_seq - *cache_seen));
	*cache_seen = m->cache_seq;
	pthread_mutex_unlock(&m->lock);
}

void model_journal(struct engine_model *m, GString *out)
{
	static const char *const names[] = {"waiting", "running", "done", "cancelled"};
	const struct seq *q;
	guint i;

	pthread_mutex_lock(&m->lock);
	g_string_append_printf(out, "{\"preemptions\":%llu,\"used\":%u,\"generations\":[",
			       (unsigned long long)m->preemptions, m->used);
	for (i = 0; i < m->all->len; i++) {
		q = m->all->pdata[i];
		g_string_append_printf(
			out,
			"%s{\"id\":\"%s\",\"state\":\"%s\",\"tokens\":%u,\"length\":%u,"
			"\"preempted\":%u,\"from_us\":%lld,\"to_us\":%lld}",
			i ? "," : "", q->id, names[q->state], q->generated, q->length,
			q->preempted, (long long)q->added_us,
			(long long)(q->state > SEQ_RUNNING ? q->ended_us : INT64_MAX));
	}
	g_string_append(out, "]}");
	pthread_mutex_unlock(&m->lock);
}

int model_fence(struct engine_model *m, int64_t fence)
{
	int ok;

	pthread_mutex_lock(&m->lock);
	ok = !m->cfg.fenced || fence >= m->fence;
	if (ok) m->fence = fence;
	pthread_mutex_unlock(&m->lock);
	return ok;
}
