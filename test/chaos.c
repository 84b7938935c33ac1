/* A chaos run: starts the fleet, callers and faults, and prints the result. */
#include "chaos.h"
#include "clock.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static void start(struct chaos *c, uint32_t seed, int seconds, int verbose)
{
	struct fleet_options o = {.daemons = 4,
				  .engines = 3,
				  .services = 2,
				  .engine_options = "--max-running 12 --capacity 8000",
				  .settings = "\"where\": {\"ttl_ms\": 300}"};
	int i;

	memset(c, 0, sizeof *c);
	c->seed = seed;
	c->seconds = seconds;
	c->verbose = verbose;
	c->f = fleet_start(&o);
	c->records = g_array_new(FALSE, TRUE, sizeof(struct chaos_record));
	c->windows = g_array_new(FALSE, TRUE, sizeof(struct chaos_window));
	c->rand = g_rand_new_with_seed(seed);
	pthread_mutex_init(&c->lock, NULL);
	for (i = 0; i < c->f->entries; i++) {
		strcpy(c->entry[i], c->f->entry[i]);
		strcpy(c->admin[i], c->f->admin[i]);
	}
}

/* Counts decreases of the table version at an instance, other than after its restart. */
static void *watch_versions(void *arg)
{
	struct chaos *c = arg;
	int64_t seen[FLEET_MAX] = {0}, v;
	char at[FLEET_MAX][64] = {""}, now[64];
	json_object *o;
	long s;
	int k;

	while (!c->over)
		for (k = 0; k < c->f->entries; k++) {
			pthread_mutex_lock(&c->lock);
			strcpy(now, c->admin[k]);
			pthread_mutex_unlock(&c->lock);
			if (strcmp(now, at[k])) seen[k] = 0;
			strcpy(at[k], now);
			o = fleet_call("GET", now, "/admin/v1/table/status", ADMIN_KEY, NULL,
				       &s);
			v = json_int_at(o, "version");
			json_object_put(o);
			if (s == 200 && v < seen[k]) c->went_back++;
			if (s == 200) seen[k] = v;
			usleep(20000);
		}
	return NULL;
}

struct chaos_result chaos_run(uint32_t seed, int seconds, int verbose)
{
	struct chaos_caller_arg arg[CHAOS_CALLERS];
	pthread_t t[CHAOS_CALLERS], versions;
	struct chaos_result r;
	struct chaos c;
	int i;

	start(&c, seed, seconds, verbose);
	pthread_create(&versions, NULL, watch_versions, &c);
	for (i = 0; i < CHAOS_CALLERS; i++) {
		arg[i] = (struct chaos_caller_arg){&c, i};
		pthread_create(&t[i], NULL, chaos_caller, &arg[i]);
	}
	chaos_faults(&c);
	chaos_end_faults(&c);
	sleep(1);
	c.over = 1;
	for (i = 0; i < CHAOS_CALLERS; i++) pthread_join(t[i], NULL);
	pthread_join(versions, NULL);
	r = chaos_check(&c);
	printf("seed %u: %d requests, %d whole; untouched by a fault %d, of them whole %d; "
	       "unsettled %d; broken promises %d; %u faults\n",
	       seed, r.requests, r.whole, r.untouched, r.untouched_whole, r.unsettled,
	       chaos_broken(&r), c.windows->len);
	if (chaos_broken(&r) && !verbose)
		for (i = 0; i < (int)c.windows->len; i++)
			printf("  fault: %s\n",
			       g_array_index(c.windows, struct chaos_window, i).what);
	fleet_stop(c.f);
	g_array_free(c.records, TRUE);
	g_array_free(c.windows, TRUE);
	g_rand_free(c.rand);
	return r;
}

int chaos_broken(const struct chaos_result *r)
{
	return r->twice + r->ran_though_refused + r->missing + r->bad + r->went_back +
	       r->diverged + r->leftover;
}
