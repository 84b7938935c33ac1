/* Checks the system's guarantees, from the stand-ins' journals and the callers' records. */
#include "chaos.h"
#include <stdio.h>
#include <string.h>

static void print_broken(const struct chaos_record *x, const char *what)
{
	static const char *const kinds[] = {"stream", "whole", "booking"};

	printf("  broken: %s %s: %s (last: %s)\n", kinds[x->kind], x->tag, what, x->last_code);
}

/* Counts the lines "WORD KEY ..." by key in all journals of a kind of process. */
static GHashTable *read_journals(struct chaos *c, const char *kind, int n, const char *word)
{
	GHashTable *t = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char path[128], line[512], w[32], key[256];
	FILE *f;
	int i;

	for (i = 1; i <= n; i++) {
		snprintf(path, sizeof path, "%s/%s%d.journal", c->f->dir, kind, i);
		f = fopen(path, "r");
		while (f && fgets(line, sizeof line, f)) {
			if (sscanf(line, "%31s %255s", w, key) != 2 || strcmp(w, word))
				continue;
			g_hash_table_replace(
				t, g_strdup(key),
				GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(t, key)) +
						1));
		}
		if (f) fclose(f);
	}
	return t;
}

static int affected(const struct chaos *c, const struct chaos_record *x)
{
	const struct chaos_window *w;
	guint i;

	for (i = 0; i < c->windows->len; i++) {
		w = &g_array_index(c->windows, struct chaos_window, i);
		if (x->from_us <= w->to_us && x->to_us >= w->from_us) return 1;
	}
	return 0;
}

static void check_booking(struct chaos_result *r, const struct chaos_record *x, int runs)
{
	if (runs > 1) {
		r->twice++;
		print_broken(x, "ran more than once");
	}
	if (runs && x->not_run) {
		r->ran_though_refused++;
		print_broken(x, "ran, though every answer said \"not run\"");
	}
	if (!runs && x->whole) {
		r->missing++;
		print_broken(x, "answered, though it never ran");
	}
}

static void check_generation(struct chaos_result *r, const struct chaos_record *x, int starts)
{
	if (x->bad) {
		r->bad++;
		print_broken(x, "out of order, mixed or not whole");
	}
	if (starts && x->not_run) {
		r->ran_though_refused++;
		print_broken(x, "was started, though every answer said \"not run\"");
	}
	if (!starts && x->whole) {
		r->missing++;
		print_broken(x, "answered, though nothing was started");
	}
}

static void check_records(struct chaos *c, struct chaos_result *r)
{
	GHashTable *runs = read_journals(c, "service", c->f->services, "run");
	GHashTable *starts = read_journals(c, "engine", c->f->engines, "start");
	const struct chaos_record *x;
	guint i;

	for (i = 0; i < c->records->len; i++) {
		x = &g_array_index(c->records, struct chaos_record, i);
		r->requests++;
		r->whole += x->whole;
		if (!affected(c, x)) {
			r->untouched++;
			r->untouched_whole += x->whole;
			if (!x->whole) print_broken(x, "not whole, though no fault touched it");
		}
		if (!x->whole && !x->lost && !x->not_run) {
			r->unsettled++;
			if (c->verbose)
				print_broken(x, "never got a final answer in its tries");
		}
		if (x->kind == CHAOS_BOOKING)
			check_booking(r, x, GPOINTER_TO_INT(g_hash_table_lookup(runs, x->tag)));
		else
			check_generation(r, x,
					 GPOINTER_TO_INT(g_hash_table_lookup(starts, x->tag)));
	}
	g_hash_table_unref(runs);
	g_hash_table_unref(starts);
}

static int versions_agree(void *arg)
{
	struct chaos *c = arg;
	int64_t first = fleet_table_version(c->admin[0]);
	int k;

	if (first < c->accepted) return 0;
	for (k = 1; k < c->f->entries; k++)
		if (fleet_table_version(c->admin[k]) != first) return 0;
	return 1;
}

static int no_requests_left(void *arg)
{
	struct chaos *c = arg;
	int k;

	for (k = 0; k < c->f->entries; k++)
		if (fleet_metric(c->admin[k], "saddlehead_running") ||
		    fleet_metric(c->admin[k], "saddlehead_waiting"))
			return 0;
	return 1;
}

struct chaos_result chaos_check(struct chaos *c)
{
	struct chaos_result r = {0};

	check_records(c, &r);
	if (await(versions_agree, c)) {
		r.diverged = 1;
		printf("  broken: the accepted table is not in force everywhere\n");
	}
	if (await(no_requests_left, c)) {
		r.leftover = 1;
		printf("  broken: a keeper still counts requests that ended\n");
	}
	r.went_back = (int)c->went_back;
	return r;
}
