/* Faults drawn from the seed: kind, target and duration. */
#include "chaos.h"
#include "clock.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EFFECT_US 2000000 /* a fault may affect requests that begin this long after it */

static void record_fault(struct chaos *c, int64_t from, const char *what)
{
	struct chaos_window w = {.from_us = from, .to_us = clock_us() + EFFECT_US};

	g_strlcpy(w.what, what, sizeof w.what);
	g_array_append_val(c->windows, w);
	if (c->verbose) fprintf(stderr, "  fault: %s\n", what);
}

static int draw(struct chaos *c, int n)
{
	return g_rand_int_range(c->rand, 0, n);
}

static void sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

static void read_ready(struct chaos *c, int k)
{
	char *path = g_strdup_printf("%s/entry%d.ready", c->f->dir, k + 1);
	json_object *o = json_object_from_file(path);

	pthread_mutex_lock(&c->lock);
	if (o) {
		g_strlcpy(c->entry[k], json_text_at(o, "front"), sizeof c->entry[k]);
		g_strlcpy(c->admin[k], json_text_at(o, "admin"), sizeof c->admin[k]);
	}
	pthread_mutex_unlock(&c->lock);
	json_object_put(o);
	g_free(path);
}

static void restart(struct chaos *c, const char *name)
{
	char *cmd = g_strdup_printf("scripts/fleet restart --dir %s --name %s --build %s",
				    c->f->dir, name, getenv("B") ? getenv("B") : "build");
	char path[96], process[32];
	json_object *pids;
	FILE *f;
	long pid;

	if (system(cmd)) fprintf(stderr, "%s did not start again\n", name);
	snprintf(path, sizeof path, "%s/pids", c->f->dir);
	json_object_object_get_ex(c->f->json, "pids", &pids);
	f = fopen(path, "r");
	while (f && fscanf(f, "%31s %ld", process, &pid) == 2)
		json_object_object_add(pids, process, json_object_new_int64(pid));
	if (f) fclose(f);
	g_free(cmd);
}

static int wait_ended(struct chaos *c, const char *name)
{
	int i;

	for (i = 0; i < 1000; i++) {
		if (fleet_exited(c->f, name)) return 1;
		usleep(10000);
	}
	return 0;
}

static void stop_daemon(struct chaos *c, int sig, const char *how)
{
	int k = draw(c, c->f->entries);
	char name[32], what[64];
	int64_t from = clock_us();

	snprintf(name, sizeof name, "entry%d", k + 1);
	snprintf(what, sizeof what, "%s %s", how, name);
	fleet_signal(c->f, name, sig);
	if (!wait_ended(c, name)) fprintf(stderr, "%s did not end\n", name);
	sleep_ms(draw(c, 1000));
	restart(c, name);
	read_ready(c, k);
	record_fault(c, from, what);
}

static void freeze_daemon(struct chaos *c)
{
	char name[32], what[64];
	int64_t from = clock_us();

	snprintf(name, sizeof name, "entry%d", draw(c, c->f->entries) + 1);
	snprintf(what, sizeof what, "freeze %s", name);
	fleet_signal(c->f, name, SIGSTOP);
	sleep_ms(500 + draw(c, 3500));
	fleet_signal(c->f, name, SIGCONT);
	record_fault(c, from, what);
}

static void kill_backend(struct chaos *c, const char *kind, int n)
{
	char name[32], what[64];
	int64_t from = clock_us();

	snprintf(name, sizeof name, "%s%d", kind, draw(c, n) + 1);
	snprintf(what, sizeof what, "kill %s", name);
	fleet_signal(c->f, name, SIGKILL);
	wait_ended(c, name);
	sleep_ms(draw(c, 1500));
	restart(c, name);
	record_fault(c, from, what);
}

static void with_fault(struct chaos *c, const char *address, const char *on, const char *off,
		       int ms)
{
	int64_t from = clock_us();

	fleet_fault(address, on);
	sleep_ms(ms);
	fleet_fault(address, off);
	record_fault(c, from, on);
}

static void engine_fault(struct chaos *c)
{
	static const char *const on[] = {"{\"cut_after\":7,\"cut\":3}",
					 "{\"cross\":3}",
					 "{\"refuse\":1}",
					 "{\"freeze\":1}",
					 "{\"delay_ms\":800}",
					 "{\"slow\":6}"};
	static const char off[] =
		"{\"cut_after\":0,\"cut\":0,\"cross\":0,\"refuse\":0,\"freeze\":0,"
		"\"delay_ms\":0,\"slow\":1}";

	with_fault(c, c->f->engine[draw(c, c->f->engines)], on[draw(c, 6)], off,
		   300 + draw(c, 1500));
}

static void service_fault(struct chaos *c)
{
	static const char *const on[] = {"{\"lose_answers\":2}", "{\"refuse\":2}",
					 "{\"delay_ms\":700}"};

	with_fault(c, c->f->service[draw(c, c->f->services)], on[draw(c, 3)],
		   "{\"lose_answers\":0,\"refuse\":0,\"delay_ms\":0}", 300 + draw(c, 1000));
}

static void platform_fault(struct chaos *c)
{
	static const char *const on[] = {"{\"down\":1}", "{\"hang\":1}", "{\"lose_answers\":4}",
					 "{\"stale_reads\":1}", "{\"slow_ms\":300}"};

	with_fault(c, c->f->kv, on[draw(c, 5)],
		   "{\"down\":0,\"hang\":0,\"lose_answers\":0,\"stale_reads\":0,\"slow_ms\":0}",
		   500 + draw(c, 2500));
}

/* One of two concurrent edits by operators; consecutive edits go to different daemons. */
static void *operator_edits(void *arg)
{
	struct chaos *c = arg;
	char at[64], body[64];
	json_object *o;
	int64_t v;
	long s;

	pthread_mutex_lock(&c->lock);
	strcpy(at, c->admin[c->edits++ % c->f->entries]);
	snprintf(body, sizeof body, "{\"weight\":%d}", (int)(1 + c->edits % 50));
	pthread_mutex_unlock(&c->lock);
	o = fleet_call("PATCH", at, "/admin/v1/groups/packing", ADMIN_KEY, body, &s);
	v = s == 200 ? json_int_at(o, "version") : 0;
	json_object_put(o);
	pthread_mutex_lock(&c->lock);
	if (v > c->accepted) c->accepted = v;
	pthread_mutex_unlock(&c->lock);
	return NULL;
}

static void edit_concurrently(struct chaos *c)
{
	pthread_t t[2];
	int i;

	for (i = 0; i < 2; i++) pthread_create(&t[i], NULL, operator_edits, c);
	for (i = 0; i < 2; i++) pthread_join(t[i], NULL);
}

static void run_fault(struct chaos *c, int which)
{
	switch (which) {
	case 0: stop_daemon(c, SIGKILL, "kill"); return;
	case 1: stop_daemon(c, SIGTERM, "drain"); return;
	case 2: freeze_daemon(c); return;
	case 3: kill_backend(c, "engine", c->f->engines); return;
	case 4: kill_backend(c, "service", c->f->services); return;
	case 5:
	case 6: engine_fault(c); return;
	case 7: service_fault(c); return;
	default: platform_fault(c);
	}
}

struct together {
	struct chaos *c;
	int which;
};

static void *platform_thread(void *arg)
{
	platform_fault(arg);
	return NULL;
}

void chaos_faults(struct chaos *c)
{
	int64_t end = clock_us() + (int64_t)c->seconds * 1000000;
	pthread_t t;

	while (clock_us() < end) {
		int which = draw(c, 10), twice = draw(c, 4) == 0 && which < 8;

		/* Some faults occur together with a fault of the platform. */
		if (twice) pthread_create(&t, NULL, platform_thread, c);
		run_fault(c, which);
		if (twice) pthread_join(t, NULL);
		edit_concurrently(c);
		sleep_ms(c->seconds > 20 ? 1000 + draw(c, 6000) : draw(c, 1000));
	}
}

void chaos_end_faults(struct chaos *c)
{
	int i;

	fleet_fault(
		c->f->kv,
		"{\"down\":0,\"hang\":0,\"lose_answers\":0,\"stale_reads\":0,\"slow_ms\":0}");
	for (i = 0; i < c->f->engines; i++)
		fleet_fault(c->f->engine[i], "{\"cut\":0,\"cross\":0,\"refuse\":0,\"freeze\":0,"
					     "\"delay_ms\":0,\"slow\":1}");
}
