/* Requests through a tunnel against direct ones: delay, processor time of both instances, and
 * memory of the helper. The environment is that of the tests (pw.h). */
#include "partition.h"
#include "pw.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS 2000
#define STREAMS 100
#define STREAM_EVENTS 200
#define START_EACH_MS 15 /* prompts are read one after the other */

static struct pw_entry *e[2]; /* one that loses its path, and its helper */

static double cpu_s(void)
{
	return pw_metric(e[0], "saddlehead_process_cpu_seconds_total") +
	       pw_metric(e[1], "saddlehead_process_cpu_seconds_total");
}

static double rss_kb(const struct pw_entry *one)
{
	char path[64], line[256];
	double v = 0;
	FILE *f;

	snprintf(path, sizeof path, "/proc/%d/status", one->pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof line, f))
		if (!strncmp(line, "VmRSS:", 6)) v = atof(line + 6);
	if (f) fclose(f);
	return v;
}

static void calls(const char *name)
{
	double before = cpu_s();
	int64_t took = 0;
	int i, good = 0;

	for (i = 0; i < CALLS; i++) {
		struct pw_call *c = pw_request(e[0], "POST", "/unsafe/", 5000);

		pw_call_wait(c, 5000);
		good += c->status == 200;
		took += c->ended_us - c->began_us;
	}
	printf("%s_calls_answered %d\n", name, good);
	printf("%s_call_ms_mean %.2f\n", name, (double)took / CALLS / 1000);
	printf("%s_us_per_call %.1f\n", name, (cpu_s() - before) / CALLS * 1e6);
}

static void streams(const char *name)
{
	struct pw_call *c[STREAMS];
	double before = cpu_s(), rss = rss_kb(e[1]);
	int i, whole = 0;

	for (i = 0; i < STREAMS; i++) {
		c[i] = pw_request(e[0], "POST", "/chat/", 60000);
		pw_run(START_EACH_MS);
	}
	printf("%s_helper_kb_per_stream %.2f\n", name, (rss_kb(e[1]) - rss) / STREAMS);
	for (i = 0; i < STREAMS; i++) {
		pw_call_wait(c[i], 60000);
		whole += pw_stream_complete(c[i], STREAM_EVENTS);
	}
	printf("%s_streams_whole %d\n", name, whole);
	printf("%s_us_per_event %.2f\n", name,
	       (cpu_s() - before) / (STREAMS * STREAM_EVENTS) * 1e6);
}

int main(void)
{
	union sigval lost = {.sival_int = PARTITION_VALUE(PARTITION_SILENT, 0)};
	struct pw_server *s;
	int i;

	pw_init();
	pw_entry_program = "test/entry_jump";
	pw_conf.timeout_ms = 60000;
	pw_conf.tokens = 100000000;
	pw_conf.version = 2;
	pw_conf_write();
	s = pw_server_add("llm", 1);
	s->events = STREAM_EVENTS;
	s->event_ms = 15;
	for (i = 0; i < 2; i++) pw_server_add("app", 0)->work_ms = 1;
	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(1000);
	calls("direct");
	streams("direct");
	sigqueue(e[0]->pid, SIGUSR1, lost);
	pw_run(100);
	for (i = 0; i < 20; i++) pw_call_wait(pw_request(e[0], "POST", "/safe/", 2000), 3000);
	pw_call_wait(pw_request(e[0], "POST", "/chat/", 6000), 7000);
	calls("tunnel");
	streams("tunnel");
	pw_end();
	return 0;
}
