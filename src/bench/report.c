/* Reports of the results, as a table and as JSON. */
#include "load.h"
#include <stdio.h>
#include <stdlib.h>

static const char *const side_names[] = {"saddlehead", "direct"};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns percentile p (0 to 100) and sorts a; returns 0 if a is empty. */
static double load_percentile(GArray *a, double p)
{
	guint i;

	if (!a->len) return 0;
	qsort(a->data, a->len, sizeof(double), compare_doubles);
	i = (guint)(p / 100 * (a->len - 1) + 0.5);
	return g_array_index(a, double, i);
}

static void print_row(const char *side, const char *name, const struct load_stats *s)
{
	printf("%-10s  %-10s %6llu %6llu %5llu %5llu  %7.1f %7.1f  %7.1f %7.1f  %6.1f %6.1f "
	       "%6.1f %6.1f  "
	       "%6.1f\n",
	       side, name, (unsigned long long)s->sent, (unsigned long long)s->completed,
	       (unsigned long long)s->refused, (unsigned long long)s->failed,
	       load_percentile(s->first_token, 50) / 1e3,
	       load_percentile(s->first_token, 95) / 1e3, load_percentile(s->stall, 50) / 1e3,
	       load_percentile(s->stall, 95) / 1e3,
	       load_percentile(s->between_tokens, 50) / 1e3,
	       load_percentile(s->between_tokens, 95) / 1e3,
	       load_percentile(s->between_tokens, 99) / 1e3,
	       load_percentile(s->between_tokens, 99.9) / 1e3,
	       load_percentile(s->call, 95) / 1e3);
}

static void print_codes(const char *name, const struct load_stats *s)
{
	int i;

	for (i = 0; i < s->ncodes; i++)
		printf("  %s: %s %llu\n", name, s->code[i].code,
		       (unsigned long long)s->code[i].n);
}

/* Joins the samples of all groups of one side. offset: of their array in struct load_stats. */
static GArray *merged_samples(const struct load *l, enum load_side side, size_t offset)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(double)), *a;
	int g;

	for (g = 0; g < l->ngroups; g++) {
		a = *(GArray *const *)((const char *)&l->stats[side][g] + offset);
		g_array_append_vals(all, a->data, a->len);
	}
	return all;
}

static double merged_percentile(const struct load *l, enum load_side side, size_t offset,
				double p)
{
	GArray *a = merged_samples(l, side, offset);
	double v = load_percentile(a, p);

	g_array_free(a, TRUE);
	return v;
}

#define FIRST_TOKEN offsetof(struct load_stats, first_token)
#define BETWEEN_TOKENS offsetof(struct load_stats, between_tokens)

static void print_overhead(const struct load *l)
{
	double f = merged_percentile(l, LOAD_SADDLEHEAD, FIRST_TOKEN, 50),
	       fd = merged_percentile(l, LOAD_DIRECT, FIRST_TOKEN, 50);
	double b = merged_percentile(l, LOAD_SADDLEHEAD, BETWEEN_TOKENS, 99),
	       bd = merged_percentile(l, LOAD_DIRECT, BETWEEN_TOKENS, 99);

	printf("added to the first token, median: %.2f ms (ratio %.2f)\n", (f - fd) / 1e3,
	       f / fd);
	printf("added between tokens, 99th percentile: %.2f ms (ratio %.2f)\n", (b - bd) / 1e3,
	       b / bd);
}

void load_report(const struct load *l, uint64_t preemptions)
{
	int s, g;

	printf("%-10s  %-10s %6s %6s %5s %5s  %15s  %15s  %27s  %6s\n", "", "milliseconds", "",
	       "", "", "", "first token", "stall", "between tokens", "call");
	printf("%-10s  %-10s %6s %6s %5s %5s  %7s %7s  %7s %7s  %6s %6s %6s %6s  %6s\n", "side",
	       "group", "sent", "whole", "ref.", "brk.", "50", "95", "50", "95", "50", "95",
	       "99", "99.9", "95");
	for (s = 0; s < LOAD_SIDE_MAX; s++)
		for (g = 0; g < l->ngroups; g++)
			if (l->stats[s][g].sent)
				print_row(side_names[s], l->group[g].name, &l->stats[s][g]);
	for (g = 0; g < l->ngroups; g++)
		print_codes(l->group[g].name, &l->stats[LOAD_SADDLEHEAD][g]);
	printf("preemptions: %llu\n", (unsigned long long)preemptions);
	if (l->direct_share > 0) print_overhead(l);
}

static void print_json_times(const char *name, GArray *a, const char *end)
{
	printf("\"%s\":{\"n\":%u,\"p50\":%.3f,\"p95\":%.3f,\"p99\":%.3f,\"p999\":%.3f}%s", name,
	       a->len, load_percentile(a, 50) / 1e3, load_percentile(a, 95) / 1e3,
	       load_percentile(a, 99) / 1e3, load_percentile(a, 99.9) / 1e3, end);
}

static void print_json_group(const char *side, const char *name, const struct load_stats *s)
{
	int i;

	printf("{\"side\":\"%s\",\"group\":\"%s\",\"sent\":%llu,\"whole\":%llu,\"refused\":%"
	       "llu,"
	       "\"broken\":%llu,\"tokens\":%llu,\"codes\":{",
	       side, name, (unsigned long long)s->sent, (unsigned long long)s->completed,
	       (unsigned long long)s->refused, (unsigned long long)s->failed,
	       (unsigned long long)s->tokens);
	for (i = 0; i < s->ncodes; i++)
		printf("%s\"%s\":%llu", i ? "," : "", s->code[i].code,
		       (unsigned long long)s->code[i].n);
	printf("},");
	print_json_times("first_token_ms", s->first_token, ",");
	print_json_times("between_tokens_ms", s->between_tokens, ",");
	print_json_times("stall_ms", s->stall, ",");
	print_json_times("call_ms", s->call, "}");
}

void load_report_json(const struct load *l, uint64_t preemptions)
{
	int s, g, n = 0;

	printf("{\"groups\":[");
	for (s = 0; s < LOAD_SIDE_MAX; s++)
		for (g = 0; g < l->ngroups; g++) {
			if (!l->stats[s][g].sent) continue;
			if (n++) printf(",");
			print_json_group(side_names[s], l->group[g].name, &l->stats[s][g]);
		}
	printf("],\"preemptions\":%llu", (unsigned long long)preemptions);
	if (l->direct_share > 0)
		printf(",\"added\":{\"first_token_ms_p50\":%.3f,\"between_tokens_ms_p99\":%."
		       "3f}",
		       (merged_percentile(l, LOAD_SADDLEHEAD, FIRST_TOKEN, 50) -
			merged_percentile(l, LOAD_DIRECT, FIRST_TOKEN, 50)) /
			       1e3,
		       (merged_percentile(l, LOAD_SADDLEHEAD, BETWEEN_TOKENS, 99) -
			merged_percentile(l, LOAD_DIRECT, BETWEEN_TOKENS, 99)) /
			       1e3);
	printf("}\n");
}
