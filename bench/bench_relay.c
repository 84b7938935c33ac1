/* One daemon with 500 running streams: processor time per token, memory, threads. */
#include "fleet.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STREAMS 500
#define MEASURE_S 5
#define IDLE_S 2

static long status_field(long pid, const char *name)
{
	char path[64], line[256];
	long v = 0;
	FILE *f;

	snprintf(path, sizeof path, "/proc/%ld/status", pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof line, f))
		if (!strncmp(line, name, strlen(name))) v = atol(line + strlen(name) + 1);
	if (f) fclose(f);
	return v;
}

static int all_open(void *admin)
{
	return fleet_metric(admin, "saddlehead_open_requests") >= STREAMS * 0.98;
}

int main(void)
{
	struct fleet_options o = {
		.daemons = 1,
		.engines = 4,
		.services = 1,
		.engine_options =
			"--max-running 200 --step-us 30000 --stream-us 0 --capacity 3000000",
		.settings = "\"where\": {\"ttl_ms\": 300}"};
	struct fleet *f = fleet_start(&o);
	long pid = (long)json_int_at(f->json, "pids.entry1"), idle = status_field(pid, "VmRSS");
	double cpu, tokens, idle_cpu;
	FILE *load;
	char *cmd;

	json_object_put(fleet_call("PATCH", f->admin[0], "/admin/v1/groups/members", ADMIN_KEY,
				   "{\"ceilings\":{\"running\":1000,\"waiting\":1000}}",
				   &(long){0}));
	cmd = g_strdup_printf(
		"%s/saddlehead-bench run --fleet %s/fleet.json --preset streams -q --rate %d "
		"--seconds 2 --out-tokens 500 >/dev/null",
		getenv("B") ? getenv("B") : "build", f->dir, STREAMS / 2 + 20);
	idle_cpu = fleet_metric(f->admin[0], "saddlehead_process_cpu_seconds_total");
	sleep(IDLE_S);
	idle_cpu = fleet_metric(f->admin[0], "saddlehead_process_cpu_seconds_total") - idle_cpu;
	printf("idle_core_percent %.2f\n", idle_cpu / IDLE_S * 100);
	load = popen(cmd, "r");
	if (await(all_open, (void *)f->admin[0])) return 1;
	cpu = fleet_metric(f->admin[0], "saddlehead_process_cpu_seconds_total");
	tokens = fleet_metric(f->admin[0], "saddlehead_tokens_total");
	sleep(MEASURE_S);
	cpu = fleet_metric(f->admin[0], "saddlehead_process_cpu_seconds_total") - cpu;
	tokens = fleet_metric(f->admin[0], "saddlehead_tokens_total") - tokens;
	printf("relay_streams %.0f\n", fleet_metric(f->admin[0], "saddlehead_open_requests"));
	printf("relay_tokens_per_s %.0f\n", tokens / MEASURE_S);
	printf("relay_us_per_token %.2f\n", cpu / tokens * 1e6);
	printf("relay_rss_mb %.1f\n", (double)status_field(pid, "VmRSS") / 1024);
	printf("relay_idle_rss_mb %.1f\n", (double)idle / 1024);
	printf("relay_threads %ld\n", status_field(pid, "Threads"));
	pclose(load);
	fleet_stop(f);
	g_free(cmd);
	return 0;
}
