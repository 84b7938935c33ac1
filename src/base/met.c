#include "met.h"
#include "clock.h"
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define BUCKETS 20

/* Upper bounds in microseconds; the last bucket is +Inf. */
static const int64_t bounds[BUCKETS] = {
	500,   1000,  2000,   4000,   8000,   12000,  16000,   24000,   32000,    41000,
	50000, 75000, 100000, 200000, 400000, 800000, 1600000, 3200000, 10000000, INT64_MAX,
};

struct hist {
	atomic_uint_fast64_t bucket[BUCKETS];
	atomic_int_fast64_t sum_us;
};

struct met_group {
	char *name;
	struct hist hist[MET_HIST_MAX];
};

static const char *const count_names[MET_COUNT_MAX] = {
	"requests",
	"answered",
	"calls",
	"tokens",
	"tokens_duplicate_dropped",
	"caller_left",
	"answers_dropped",
	"preemptions",
	"grants",
	"tickets_in",
	"load_reports",
	"peer_bytes_in",
	"peer_bytes_out",
	"peer_messages_in",
	"peer_messages_out",
	"peer_dropped",
	"platform_calls",
	"platform_errors",
	"platform_over_budget",
	"table_changes",
	"reader_pauses",
	"engine_probes",
	"peer_fetches",
	"peer_fetches_refused",
	"peer_links_renewed",
	"peer_connections_idle",
	"repeats",
	"repeats_held_back",
	"backends_ended",
	"entries_unreadable",
	"requests_blocked",
	"cold_passed_over",
	"limit_passed_over",
	"rest_passed_over",
	"brittle_passed_over",
	"turns_waited",
	"notices_unread",
	"canary_requests",
	"rollbacks",
	"silent_connections",
	"streams_cut_short",
	"tunnels",
	"tunnels_failed",
	"tunnels_served",
	"path_checks",
	"eras_unread",
	"origins_told",
	"origins_asked",
	"origins_known",
	"origins_learnt",
	"trials_granted",
	"admission_asked",
	"admission_unanswered",
	"admission_decided_locally",
	"admission_granted",
	"admission_keeper_changes",
	"admission_tickets",
	"answers_too_large",
	"answers_unusual",
	"answers_late",
	"answers_over_memory",
};
static const char *const gauge_names[MET_GAUGE_MAX] = {
	"waiting",
	"running",
	"open_requests",
	"members",
	"engines_kept",
	"table_version",
	"draining",
	"watches",
	"active",
	"blocked",
	"drained_data_centres",
	"path_lost",
	"tunnels_open",
	"origins_kept",
	"held_answer_bytes",
};
static const char *const hist_names[MET_HIST_MAX] = {
	"first_token_seconds", "between_tokens_seconds",    "stall_seconds",
	"wait_seconds",        "wait_forecast_off_seconds",
};

static atomic_uint_fast64_t counts[MET_COUNT_MAX];
static atomic_uint_fast64_t refusals[REF_MAX];
static atomic_uint_fast64_t retries[RETRY_MAX];
static atomic_int_fast64_t gauges[MET_GAUGE_MAX];
static const char *const rank_names[MET_RANK_CLASSES] = {"0", "1-2", "3-5", "6+"};
static atomic_int_fast64_t rank_waiting[MET_RANK_CLASSES];
static struct hist rank_wait[MET_RANK_CLASSES];
static pthread_mutex_t groups_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *groups;

static void inc(atomic_uint_fast64_t *c, uint64_t n)
{
	atomic_fetch_add_explicit(c, n, memory_order_relaxed);
}

void met_add(enum met_count c, uint64_t n)
{
	inc(&counts[c], n);
}

uint64_t met_get(enum met_count c)
{
	return counts[c];
}

void met_refused(enum refusal r)
{
	inc(&refusals[r], 1);
}

void met_retried(enum retry r)
{
	inc(&retries[r], 1);
}

void met_set(enum met_gauge g, int64_t v)
{
	gauges[g] = v;
}

struct met_group *met_group(const char *name)
{
	struct met_group *g;

	pthread_mutex_lock(&groups_lock);
	if (!groups) groups = g_hash_table_new(g_str_hash, g_str_equal);
	g = g_hash_table_lookup(groups, name);
	if (!g) {
		g = g_new0(struct met_group, 1);
		g->name = g_strdup(name);
		g_hash_table_insert(groups, g->name, g);
	}
	pthread_mutex_unlock(&groups_lock);
	return g;
}

static void observe(struct hist *h, int64_t us)
{
	int i = 0;

	while (us > bounds[i]) i++;
	inc(&h->bucket[i], 1);
	atomic_fetch_add_explicit(&h->sum_us, us, memory_order_relaxed);
}

void met_observe(struct met_group *g, enum met_hist h, int64_t us)
{
	if (g) observe(&g->hist[h], us);
}

const char *met_rank_name(int class)
{
	return rank_names[class];
}

void met_rank_waiting(int class, int change)
{
	atomic_fetch_add_explicit(&rank_waiting[class], change, memory_order_relaxed);
}

void met_rank_waited(int class, int64_t us)
{
	observe(&rank_wait[class], us);
}

/* label: name="value". */
static void write_hist(GString *out, const char *name, const char *label,
		       const struct hist *hist)
{
	uint64_t total = 0;
	char le[24];
	int i;

	for (i = 0; i < BUCKETS; i++) {
		total += hist->bucket[i];
		if (bounds[i] == INT64_MAX)
			strcpy(le, "+Inf");
		else
			g_ascii_formatd(le, sizeof le, "%g", (double)bounds[i] / 1e6);
		g_string_append_printf(
			out, "saddlehead_%s_bucket{%s,le=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
			label, le, total);
	}
	g_string_append_printf(out, "saddlehead_%s_sum{%s} %g\n", name, label,
			       (double)hist->sum_us / 1e6);
	g_string_append_printf(out, "saddlehead_%s_count{%s} %" G_GUINT64_FORMAT "\n", name,
			       label, total);
}

static void write_group(GString *out, enum met_hist h, const struct met_group *g)
{
	char *label = g_strdup_printf("group=\"%s\"", g->name);

	write_hist(out, hist_names[h], label, &g->hist[h]);
	g_free(label);
}

static void write_ranks(GString *out)
{
	char label[32];
	int i;

	g_string_append(out, "# TYPE saddlehead_waiting_by_rank gauge\n");
	for (i = 0; i < MET_RANK_CLASSES; i++)
		g_string_append_printf(
			out, "saddlehead_waiting_by_rank{rank=\"%s\"} %" G_GINT64_FORMAT "\n",
			rank_names[i], (gint64)rank_waiting[i]);
	g_string_append(out, "# TYPE saddlehead_wait_by_rank_seconds histogram\n");
	for (i = 0; i < MET_RANK_CLASSES; i++) {
		g_snprintf(label, sizeof label, "rank=\"%s\"", rank_names[i]);
		write_hist(out, "wait_by_rank_seconds", label, &rank_wait[i]);
	}
}

static void write_hists(GString *out)
{
	GHashTableIter it;
	gpointer name, g;
	int h;

	pthread_mutex_lock(&groups_lock);
	for (h = 0; h < MET_HIST_MAX && groups; h++) {
		g_string_append_printf(out, "# TYPE saddlehead_%s histogram\n", hist_names[h]);
		g_hash_table_iter_init(&it, groups);
		while (g_hash_table_iter_next(&it, &name, &g)) write_group(out, h, g);
	}
	pthread_mutex_unlock(&groups_lock);
}

void met_write(GString *out)
{
	int i;

	for (i = 0; i < MET_COUNT_MAX; i++)
		g_string_append_printf(out,
				       "# TYPE saddlehead_%s_total "
				       "counter\nsaddlehead_%s_total %" G_GUINT64_FORMAT "\n",
				       count_names[i], count_names[i], (guint64)counts[i]);
	g_string_append(out, "# TYPE saddlehead_refused_total counter\n");
	for (i = 1; i < REF_MAX; i++)
		g_string_append_printf(
			out, "saddlehead_refused_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			refusal_info(i)->code, (guint64)refusals[i]);
	g_string_append(out, "# TYPE saddlehead_retried_total counter\n");
	for (i = 0; i < RETRY_MAX; i++)
		g_string_append_printf(
			out, "saddlehead_retried_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			retry_name(i), (guint64)retries[i]);
	for (i = 0; i < MET_GAUGE_MAX; i++)
		g_string_append_printf(
			out, "# TYPE saddlehead_%s gauge\nsaddlehead_%s %" G_GINT64_FORMAT "\n",
			gauge_names[i], gauge_names[i], (gint64)gauges[i]);
	g_string_append_printf(out,
			       "# TYPE saddlehead_process_cpu_seconds_total counter\n"
			       "saddlehead_process_cpu_seconds_total %.6f\n",
			       (double)clock_cpu_us() / 1e6);
	write_ranks(out);
	write_hists(out);
}
