/* saddlehead-bench: sends a reproducible load to a fleet and reports the results. */
#include "load.h"
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

struct options {
	char *fleet, *preset;
	int seconds, seed, json, out_tokens, quiet;
	double rate, direct;
};

static int parse_options(int argc, const char **argv, struct options *o)
{
	struct poptOption table[] = {
		{"fleet", 'f', POPT_ARG_STRING, &o->fleet, 0, "the fleet's fleet.json", "FILE"},
		{"preset", 'p', POPT_ARG_STRING, &o->preset, 0,
		 "roasting, calendar, both or streams", "NAME"},
		{"seconds", 's', POPT_ARG_INT, &o->seconds, 0,
		 "duration of the load in seconds", "N"},
		{"rate", 'r', POPT_ARG_DOUBLE, &o->rate, 0, "requests per second", "N"},
		{"seed", 0, POPT_ARG_INT, &o->seed, 0, "seed of the random generator", "N"},
		{"direct-share", 0, POPT_ARG_DOUBLE, &o->direct, 0,
		 "share of generations sent directly to engines, for comparison", "0..1"},
		{"out-tokens", 0, POPT_ARG_INT, &o->out_tokens, 0,
		 "length of every answer in tokens", "N"},
		{"json", 'j', POPT_ARG_NONE, &o->json, 0, "print JSON", NULL},
		{"quiet", 'q', POPT_ARG_NONE, &o->quiet, 0, "print no progress", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext("saddlehead-bench", argc, argv, table, 0);
	const char *cmd;
	int rc;

	poptSetOtherOptionHelp(ctx, "[OPTION...] run");
	rc = poptGetNextOpt(ctx);
	if (rc < -1)
		fprintf(stderr, "saddlehead-bench: %s: %s\n", poptBadOption(ctx, 0),
			poptStrerror(rc));
	cmd = poptGetArg(ctx);
	if (rc == -1 && (!cmd || strcmp(cmd, "run"))) {
		fprintf(stderr,
			"saddlehead-bench: the command \"run\" is missing; see --help\n");
		rc = -2;
	}
	poptFreeContext(ctx);
	return rc < -1 ? -1 : 0;
}

static int check_options(const struct options *o)
{
	if (!o->fleet)
		fprintf(stderr, "saddlehead-bench: --fleet is missing\n");
	else if (o->seconds < 1 || !(o->rate > 0) || o->direct < 0 || o->direct > 1)
		fprintf(stderr, "saddlehead-bench: --seconds, --rate or --direct-share is out "
				"of range\n");
	else
		return 0;
	return -1;
}

static void init_load(struct load *l, const struct options *o)
{
	int s, g;

	l->rate = o->rate;
	l->seconds = o->seconds;
	l->direct_share = o->direct;
	l->out_tokens = o->out_tokens;
	l->quiet = o->quiet;
	l->rand = g_rand_new_with_seed((guint32)o->seed);
	pthread_mutex_init(&l->lock, NULL);
	for (s = 0; s < LOAD_SIDE_MAX; s++)
		for (g = 0; g < l->ngroups; g++) {
			l->stats[s][g].first_token = g_array_new(FALSE, FALSE, sizeof(double));
			l->stats[s][g].between_tokens =
				g_array_new(FALSE, FALSE, sizeof(double));
			l->stats[s][g].stall = g_array_new(FALSE, FALSE, sizeof(double));
			l->stats[s][g].call = g_array_new(FALSE, FALSE, sizeof(double));
		}
	curl_global_init(CURL_GLOBAL_ALL);
	l->mux = mux_new("load", 65536);
}

int main(int argc, const char **argv)
{
	struct options o = {.seconds = 10, .rate = 20, .seed = 1};
	static struct load l;
	uint64_t before, preemptions;
	json_object *fleet;

	if (parse_options(argc, argv, &o) || check_options(&o)) return 2;
	if (load_preset(&l, o.preset ? o.preset : "both")) {
		fprintf(stderr, "saddlehead-bench: %s: no such preset\n", o.preset);
		return 2;
	}
	fleet = json_object_from_file(o.fleet);
	if (!fleet || load_read_fleet(&l, fleet)) {
		fprintf(stderr, "saddlehead-bench: %s is not a fleet.json\n", o.fleet);
		return 2;
	}
	rcu_register_thread();
	init_load(&l, &o);
	before = load_preemptions(&l);
	load_run(&l);
	preemptions = load_preemptions(&l) - before;
	mux_free(l.mux);
	if (o.json)
		load_report_json(&l, preemptions);
	else
		load_report(&l, preemptions);
	json_object_put(fleet);
	rcu_unregister_thread();
	return 0;
}
