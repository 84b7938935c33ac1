/* A run of the soak: starts entries and servers, then runs callers and faults until the end. */
#include "soak.h"
#include "clock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 5         /* between checks for due actions */
#define START_MS 1500     /* entries connect to each other and read the lists */
#define POLL_US 100000    /* between readiness checks of an entry */
#define SETTLE_MS 4000    /* after the last fault, requests in flight end */
#define RECOVER_MS 12000  /* after the last fault, all entries serve again */
#define RESTART_PORT 7400 /* of restarted servers; lower ones: first incarnations */
#define RUSH_TOKENS 9000  /* memory of an engine: eight streams, those of the usual callers */
#define STORE_PROXY 100   /* first host of the entries' links to the store ... */
#define PEER_PROXY 120    /* ... and of the links of other entries to them */

static struct proxy *add_proxy(int ip, int port, const char *to_ip, int to_port)
{
	struct sockaddr_in at, to;

	pw_address_of(pw_ip(ip), port, &at);
	pw_address_of(to_ip, to_port, &to);
	return proxy_new(&at, &to);
}

static void start_entry(struct soak_entry *e, int i)
{
	GString *more = g_string_new(NULL);
	char store_ip[32];

	g_strlcpy(store_ip, pw_ip(PW_STORE_HOST), sizeof store_ip);
	e->store = add_proxy(STORE_PROXY + i, PW_STORE, store_ip, PW_STORE);
	g_string_append_printf(more, "ipAddress=%s\n", pw_ip(PEER_PROXY + i));
	g_string_append_printf(more, "seedNodes=%s:1\n", pw_ip(PEER_PROXY));
	g_string_append_printf(more, "platform.address=%s:%d\n", pw_ip(STORE_PROXY + i),
			       PW_STORE);
	/* A narrow link: serves one copy at a time, leaves watches to entries with wide ones.
	 */
	g_string_append_printf(more, "limits.linkMbps=%s\n", i % 2 ? "200.0" : "10.0");
	pw_settings(more->str);
	e->pw = pw_entry_start();
	e->peers = add_proxy(PEER_PROXY + i, PW_PEER, e->pw->ip, PW_PEER);
	g_string_free(more, TRUE);
}

static void start(struct soak *s, uint32_t seed, int seconds, enum soak_kinds kinds)
{
	int i;

	memset(s, 0, sizeof *s);
	pw_init();
	s->seed = seed;
	s->kinds = kinds;
	s->next_port = RESTART_PORT;
	if (kinds != SOAK_FIRST_KINDS) pw_entry_program = "test/entry_jump";
	s->rand = g_rand_new_with_seed(seed);
	s->take_up = g_rand_new_with_seed(seed + 4);
	s->calls = g_ptr_array_new_with_free_func(g_free);
	s->versions = g_array_new(FALSE, TRUE, sizeof(struct soak_version));
	s->crashers = g_array_sized_new(FALSE, TRUE, sizeof(struct soak_crasher), 64);
	s->segments = g_array_sized_new(FALSE, TRUE, sizeof(struct soak_segment), 64);
	s->key = 1;
	if (kinds >= SOAK_RUSH_KINDS && seed % 2) {
		s->rush = g_rand_new_with_seed(seed + 6);
		pw_conf.admission = "{\"scope\":\"fleet\"}";
		pw_conf.tokens = RUSH_TOKENS;
	}
	pw_conf.keys = "[\"k1\",\"r1\"]";
	pw_conf_write();
	for (i = 0; i < SOAK_ENGINES; i++) soak_add_server(s, "llm", 1);
	for (i = 0; i < 2; i++) soak_add_server(s, "app", 0);
	for (i = 0; i < 2; i++) soak_add_server(s, "app2", 0);
	for (i = 0; i < SOAK_ENTRIES; i++) start_entry(&s->entry[i], i);
	pw_run(START_MS);
	s->began_us = clock_us();
	s->end_us = s->began_us + seconds * 1000000LL;
	soak_draw_faults(s, seconds);
}

static void run_until(struct soak *s, int64_t until_us)
{
	int64_t step_us, now = clock_us();

	while (now < until_us) {
		step_us = now;
		soak_step_faults(s);
		soak_step_callers(s);
		soak_step_crasher(s);
		soak_step_segment(s);
		soak_step_versions(s);
		pw_run(STEP_MS);
		now = clock_us();
		if (now - step_us <= s->longest_step_us) continue;
		s->longest_step_us = now - step_us;
		s->longest_end_us = now;
	}
}

static int succeeded(const struct soak_call *k)
{
	return k->c->status == 200 && !k->c->err;
}

static int is_ready(const struct soak_entry *e)
{
	return pw_get(e->pw->ip, PW_READY, "/-/readiness", NULL) == 200;
}

/* Waits for the call; returns 1 if it was served. */
static int was_served(struct soak_call *k)
{
	pw_call_wait(k->c, (int)k->limit_ms);
	if (succeeded(k)) return 1;
	printf("  BROKEN not served again: entry %d kind %d status %d err %d\n", k->entry,
	       k->kind, k->c->status, k->c->err);
	return 0;
}

/* Sends a request of each kind to each entry once all are ready; returns how many failed. */
static int count_not_served(struct soak *s)
{
	int64_t until = clock_us() + RECOVER_MS * 1000LL;
	uint32_t first, i;
	enum soak_kind kind;
	int bad = 0;

	for (i = 0; i < SOAK_ENTRIES; i++)
		while (!is_ready(&s->entry[i]) && clock_us() < until)
			run_until(s, clock_us() + POLL_US);
	first = s->calls->len;
	for (i = 0; i < SOAK_ENTRIES; i++)
		for (kind = 0; kind < SOAK_KINDS; kind++) soak_send(s, kind, (int)i, 0);
	for (i = first; i < s->calls->len; i++)
		bad += !was_served(g_ptr_array_index(s->calls, i));
	return bad;
}

/* Prints how the callers of rushes fared. */
static void print_rush(const struct soak *s)
{
	int sent[2] = {0}, served[2] = {0};
	uint32_t i;

	for (i = 0; i < s->calls->len; i++) {
		const struct soak_call *k = g_ptr_array_index(s->calls, i);

		if (!k->body[0]) continue;
		sent[k->returned]++;
		served[k->returned] += succeeded(k);
	}
	printf("  rush: %d of %d served, %d of %d that returned\n", served[0], sent[0],
	       served[1], sent[1]);
}

static uint32_t count_succeeded(const struct soak *s)
{
	uint32_t i, n = 0;

	for (i = 0; i < s->calls->len; i++) n += succeeded(g_ptr_array_index(s->calls, i));
	return n;
}

static void finish(struct soak *s, int broken)
{
	int i;

	if (broken) {
		setenv("PW_KEEP", "1", 1);
		for (i = 0; i < SOAK_ENTRIES; i++)
			printf("  log of entry %d: %s\n", i, s->entry[i].pw->log);
	}
	for (i = 0; i < SOAK_ENTRIES; i++) {
		proxy_free(s->entry[i].store);
		proxy_free(s->entry[i].peers);
	}
	for (i = 0; i < s->nservers; i++) proxy_free(s->server[i].link);
	pw_end();
	g_ptr_array_free(s->calls, TRUE);
	g_array_free(s->faults, TRUE);
	g_array_free(s->versions, TRUE);
	g_array_free(s->crashers, TRUE);
	g_array_free(s->segments, TRUE);
	g_rand_free(s->rand);
	if (s->rush) g_rand_free(s->rush);
	pw_entry_program = "saddlehead-entry";
}

int soak_run(uint32_t seed, int seconds, enum soak_kinds kinds)
{
	static struct soak s;
	int broken;

	start(&s, seed, seconds, kinds);
	run_until(&s, s.end_us);
	soak_end_faults(&s);
	run_until(&s, clock_us() + SETTLE_MS * 1000LL);
	broken = count_not_served(&s);
	broken += soak_check(&s);
	if (s.rush) print_rush(&s);
	printf("seed %u: %u requests, %u whole, %u faults, broken promises %d\n", seed,
	       s.calls->len, count_succeeded(&s), s.faults->len, broken);
	/* Ends that it sees late while it stands still look like late answers. */
	if (broken)
		printf("  longest step of this process: %d ms, until %.3f\n",
		       (int)(s.longest_step_us / 1000),
		       (double)(s.longest_end_us - s.began_us) / 1e6);
	finish(&s, broken);
	return broken;
}
