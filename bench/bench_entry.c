/* Requests through one real entry: processor time per event and call, memory per connection and
 * stream. The environment is that of the tests (pw.h). */
#include "pw.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Numbers of each; the printed figures are for one. */
#define STREAMS 200
#define STREAM_EVENTS 400
#define CALLS 3000
#define CALLS_AT_ONCE 10
#define IDLE 500 /* connections */

static double cpu_s(struct pw_entry *e)
{
	return pw_metric(e, "saddlehead_process_cpu_seconds_total");
}

static double rss_kb(const struct pw_entry *e)
{
	char path[64], line[256];
	double v = 0;
	FILE *f;

	snprintf(path, sizeof path, "/proc/%d/status", e->pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof line, f))
		if (!strncmp(line, "VmRSS:", 6)) v = atof(line + 6);
	if (f) fclose(f);
	return v;
}

static void calls(struct pw_entry *e)
{
	struct pw_call *c[CALLS_AT_ONCE];
	double before = cpu_s(e);
	int64_t added = 0;
	int i, k, good = 0;

	for (i = 0; i < CALLS / CALLS_AT_ONCE; i++) {
		for (k = 0; k < CALLS_AT_ONCE; k++)
			c[k] = pw_request(e, "POST", "/unsafe/", 5000);
		for (k = 0; k < CALLS_AT_ONCE; k++) {
			pw_call_wait(c[k], 5000);
			good += c[k]->status == 200;
			added += c[k]->ended_us - c[k]->began_us;
		}
	}
	printf("entry_calls_answered %d\n", good);
	printf("entry_us_per_call %.1f\n", (cpu_s(e) - before) / CALLS * 1e6);
	printf("entry_call_ms_mean %.2f\n", (double)added / CALLS / 1000);
}

static void streams(struct pw_entry *e)
{
	struct pw_call *c[STREAMS];
	double before = cpu_s(e), rss = rss_kb(e);
	int i, whole = 0;

	for (i = 0; i < STREAMS; i++) c[i] = pw_request(e, "POST", "/chat/", 60000);
	pw_run(1000);
	printf("entry_kb_per_stream %.2f\n", (rss_kb(e) - rss) / STREAMS);
	for (i = 0; i < STREAMS; i++) {
		pw_call_wait(c[i], 60000);
		whole += pw_stream_complete(c[i], STREAM_EVENTS);
	}
	printf("entry_streams_whole %d\n", whole);
	printf("entry_us_per_event %.2f\n",
	       (cpu_s(e) - before) / (STREAMS * STREAM_EVENTS) * 1e6);
	printf("entry_rss_mb %.1f\n", rss_kb(e) / 1024);
}

static void idle(struct pw_entry *e)
{
	struct cn *c = g_new0(struct cn, IDLE);
	double rss = rss_kb(e), before;
	struct sockaddr_in at;
	int i;

	pw_address(e, PW_FRONT, &at);
	for (i = 0; i < IDLE; i++) {
		c[i].on_data = pw_ignore_data;
		c[i].on_end = pw_ignore_end;
		cn_connect(&c[i], &at);
	}
	pw_run(300);
	printf("entry_kb_per_idle_connection %.2f\n", (rss_kb(e) - rss) / IDLE);
	before = cpu_s(e);
	pw_run(2000);
	printf("entry_idle_core_percent %.2f\n", (cpu_s(e) - before) / 2 * 100);
	for (i = 0; i < IDLE; i++) cn_close(&c[i]);
	pw_run(50);
	g_free(c);
}

int main(void)
{
	struct pw_server *s;
	struct pw_entry *e;

	pw_init();
	pw_conf.timeout_ms = 60000;
	pw_conf.tokens = 100000000; /* this measures the entry, not waits for memory */
	pw_conf.version = 2;
	pw_conf_write();
	s = pw_server_add("llm", 1);
	s->events = STREAM_EVENTS;
	s->event_ms = 15;
	pw_server_add("app", 0)->work_ms = 1;
	pw_server_add("app", 0)->work_ms = 1;
	e = pw_entry_ready();
	printf("entry_idle_rss_mb %.1f\n", rss_kb(e) / 1024);
	idle(e);
	calls(e);
	streams(e);
	pw_end();
	return 0;
}
