/* Stand-in for the platform's key-value service: compare-and-swap, leases, watches, rate
 * limits. Faults are set by POST /fault and never random. */
#include "clock.h"
#include "common.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KV_PATH "/v1/kv/"
#define THREADS 1000
#define VALUE_MAX (1u << 20)

struct entry {
	char *data, *previous;
	size_t len, previous_len;
	uint64_t version, previous_version;
	int64_t expires_us; /* 0: it has no lease */
};

struct bucket {
	double tokens, rate;
	int64_t refilled_us;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GHashTable *entries;
	uint64_t version;
	struct bucket reads, writes;
	uint64_t nreads, nwrites, refused;
	/* faults */
	int down, hang, lose_answers, stale_reads;
	int cut; /* a value is sent without its length, and its second half is missing */
	int64_t slow_ms;
} kv = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int take_token(struct bucket *b)
{
	int64_t now = clock_us();

	b->tokens += (double)(now - b->refilled_us) / 1e6 * b->rate;
	if (b->tokens > b->rate) b->tokens = b->rate;
	b->refilled_us = now;
	if (b->tokens < 1) return 0;
	b->tokens -= 1;
	return 1;
}

static void entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->data);
	g_free(e->previous);
	g_free(e);
}

static struct entry *find(const char *key)
{
	struct entry *e = g_hash_table_lookup(kv.entries, key);

	if (!e || !e->expires_us || clock_us() < e->expires_us) return e;
	g_hash_table_remove(kv.entries, key);
	return NULL;
}

static int parse_etag(struct mg_connection *c, const char *name, uint64_t *v)
{
	const char *h = mg_get_header(c, name);

	if (!h) return 0;
	if (*h == '"') h++;
	*v = *h == '*' ? 0 : strtoull(h, NULL, 10);
	return 1;
}

static void send_half(struct mg_connection *c, const char *data, size_t n, const char *head)
{
	mg_printf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", head);
	mg_write(c, data, n / 2);
	mg_disable_keep_alive(c);
}

static int send_value(struct mg_connection *c, const struct entry *e)
{
	int stale = kv.stale_reads && e->previous;
	char head[64];
	char *copy;
	size_t n = stale ? e->previous_len : e->len;

	g_snprintf(head, sizeof head, "ETag: \"%llu\"\r\n",
		   (unsigned long long)(stale ? e->previous_version : e->version));
	copy = g_memdup2(stale ? e->previous : e->data, n + 1);
	pthread_mutex_unlock(&kv.lock);
	if (kv.cut)
		send_half(c, copy, n, head);
	else
		http_send(c, 200, "application/octet-stream", copy, n, head);
	g_free(copy);
	pthread_mutex_lock(&kv.lock);
	return 200;
}

/* Waits until the key's version is above after, the store is down, or wait_ms have passed. */
static struct entry *wait_newer(const char *key, uint64_t after, int64_t wait_ms)
{
	struct timespec ts = clock_monotonic_spec(clock_us() + wait_ms * 1000);
	struct entry *e;

	for (;;) {
		e = find(key);
		if (kv.down || (e && e->version > after)) return e;
		if (pthread_cond_timedwait(&kv.changed, &kv.lock, &ts)) return find(key);
	}
}

static int do_get(struct mg_connection *c, const char *key)
{
	uint64_t after = (uint64_t)standin_param(c, "after", 0);
	int64_t wait_ms = standin_param(c, "wait_ms", 0);
	struct entry *e =
		wait_ms && !kv.stale_reads ? wait_newer(key, after, wait_ms) : find(key);

	if (!e) return standin_send(c, 404, "{}");
	if (wait_ms && !kv.stale_reads && e->version <= after)
		return http_send(c, 304, "text/plain", "", 0, NULL);
	return send_value(c, e);
}

static int matches(struct mg_connection *c, const struct entry *e)
{
	uint64_t want;

	if (parse_etag(c, "If-Match", &want)) return e && e->version == want;
	if (parse_etag(c, "If-None-Match", &want)) return !e;
	return 1;
}

static uint64_t store(const char *key, struct entry *e, char *data, size_t n, int64_t ttl_ms)
{
	if (!e) {
		e = g_new0(struct entry, 1);
		g_hash_table_insert(kv.entries, g_strdup(key), e);
	}
	g_free(e->previous);
	e->previous = e->data;
	e->previous_len = e->len;
	e->previous_version = e->version;
	e->data = data;
	e->len = n;
	e->version = ++kv.version;
	e->expires_us = ttl_ms ? clock_us() + ttl_ms * 1000 : 0;
	pthread_cond_broadcast(&kv.changed);
	return e->version;
}

static int answer_write(struct mg_connection *c, uint64_t version)
{
	char head[64];

	if (kv.lose_answers > 0) {
		kv.lose_answers--;
		mg_disable_keep_alive(c);
		return 200; /* nothing is sent before the connection is closed */
	}
	g_snprintf(head, sizeof head, "ETag: \"%llu\"\r\n", (unsigned long long)version);
	return http_send(c, 200, "application/json", "{}", 2, head);
}

static int do_put(struct mg_connection *c, const char *key, char *data, size_t n)
{
	struct entry *e = find(key);

	if (matches(c, e))
		return answer_write(c, store(key, e, data, n, standin_param(c, "ttl_ms", 0)));
	g_free(data);
	return standin_send(c, 412, "{}");
}

static int do_delete(struct mg_connection *c, const char *key)
{
	struct entry *e = find(key);

	if (!e || !matches(c, e)) return standin_send(c, e ? 412 : 404, "{}");
	g_hash_table_remove(kv.entries, key);
	pthread_cond_broadcast(&kv.changed);
	return answer_write(c, ++kv.version);
}

static int check_limits(struct mg_connection *c, int write)
{
	int ok = take_token(write ? &kv.writes : &kv.reads);

	if (write)
		kv.nwrites++;
	else
		kv.nreads++;
	if (kv.down) return standin_send(c, 503, "{}");
	if (ok) return 0;
	kv.refused++;
	return standin_send(c, 429, "{}");
}

static int on_kv(struct mg_connection *c, void *arg)
{
	const struct mg_request_info *i = mg_get_request_info(c);
	const char *key = i->local_uri + strlen(KV_PATH);
	int write = strcmp(i->request_method, "GET") != 0,
	    put = !strcmp(i->request_method, "PUT");
	enum refusal why;
	char *data = NULL;
	size_t n = 0;
	int status;

	(void)arg;
	if (put && !(data = http_body(c, VALUE_MAX, &n, &why)))
		return standin_send(c, 413, "{}");
	if (kv.slow_ms) usleep((useconds_t)kv.slow_ms * 1000);
	while (kv.hang) usleep(10000);
	pthread_mutex_lock(&kv.lock);
	status = check_limits(c, write);
	if (status)
		g_free(data);
	else if (put)
		status = do_put(c, key, data, n);
	else
		status = write ? do_delete(c, key) : do_get(c, key);
	pthread_mutex_unlock(&kv.lock);
	return status;
}

static int on_fault(struct mg_connection *c, void *arg)
{
	json_object *o = standin_body(c);

	(void)arg;
	pthread_mutex_lock(&kv.lock);
	kv.down = (int)standin_int(o, "down", kv.down);
	kv.hang = (int)standin_int(o, "hang", kv.hang);
	kv.lose_answers = (int)standin_int(o, "lose_answers", kv.lose_answers);
	kv.stale_reads = (int)standin_int(o, "stale_reads", kv.stale_reads);
	kv.cut = (int)standin_int(o, "cut", kv.cut);
	kv.slow_ms = standin_int(o, "slow_ms", kv.slow_ms);
	pthread_cond_broadcast(&kv.changed);
	pthread_mutex_unlock(&kv.lock);
	json_object_put(o);
	return standin_send(c, 200, "{}");
}

static int on_journal(struct mg_connection *c, void *arg)
{
	(void)arg;
	return standin_send(c, 200, "{\"reads\":%llu,\"writes\":%llu,\"refused\":%llu}",
			    (unsigned long long)kv.nreads, (unsigned long long)kv.nwrites,
			    (unsigned long long)kv.refused);
}

int main(int argc, const char **argv)
{
	struct standin_options o = {0};
	int reads = 2000, writes = 100;
	struct poptOption table[] = {
		STANDIN_OPTIONS(&o),
		{"reads", 0, POPT_ARG_INT, &reads, 0, "reads a second that are served", "N"},
		{"writes", 0, POPT_ARG_INT, &writes, 0, "writes a second that are served", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	pthread_condattr_t attr;
	struct mg_context *ctx;

	standin_parse("standin-kv", argc, argv, table);
	standin_block_signals();
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&kv.changed, &attr);
	kv.entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	kv.reads = (struct bucket){reads, reads, clock_us()};
	kv.writes = (struct bucket){writes, writes, clock_us()};
	ctx = standin_serve(&o, THREADS);
	mg_set_request_handler(ctx, KV_PATH, on_kv, NULL);
	mg_set_request_handler(ctx, "/fault$", on_fault, NULL);
	mg_set_request_handler(ctx, "/journal$", on_journal, NULL);
	standin_ready(&o, ctx);
	standin_wait();
	_exit(0);
}
