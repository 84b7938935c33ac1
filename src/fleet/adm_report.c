/* What operators see of the services that this instance keeps. */
#include "adm_impl.h"
#include "cache.h"
#include "hash.h"
#include "jsonw.h"
#include "met.h"

#define WORKSPACES_MAX 16 /* shown by name; the others are summed */
#define SERVICES_MAX 100  /* in one answer */

/* ---- metrics ---- */

struct workspace_cost {
	const char *name;
	uint64_t group;
	double tokens;
};

static void add_cost(const struct adm_kept *k, void *arg)
{
	struct workspace_cost *w = arg;

	w->tokens += core_group_service(k->core, w->group);
}

static void collect(GArray *costs, const char *name, const char *group)
{
	struct workspace_cost w = {.name = name, .group = hash_name(group)};

	adm_keeper_each(add_cost, &w);
	if (w.tokens > 0) g_array_append_val(costs, w);
}

static gint by_cost(gconstpointer a, gconstpointer b)
{
	double x = ((const struct workspace_cost *)a)->tokens;
	double y = ((const struct workspace_cost *)b)->tokens;

	return (x < y) - (x > y);
}

static void write_cost(GString *out, const char *name, double tokens)
{
	g_string_append(out, "saddlehead_admission_cost_tokens{workspace=");
	jsonw_str(out, name);
	g_string_append_printf(out, "} %.0f\n", tokens);
}

/* A gauge: a workspace may pass from the sum of the others to those shown by name. */
static void write_costs(GString *out)
{
	GArray *costs = g_array_new(FALSE, FALSE, sizeof(struct workspace_cost));
	const struct conf *c = cache_conf();
	double others = 0;
	uint32_t i;

	collect(costs, "(none)", "");
	for (i = 0; c && i < c->groups->len; i++) {
		const struct conf_group *g = g_ptr_array_index(c->groups, i);

		collect(costs, g->name, g->name);
	}
	g_array_sort(costs, by_cost);
	g_string_append(out, "# TYPE saddlehead_admission_cost_tokens gauge\n");
	for (i = 0; i < costs->len; i++) {
		const struct workspace_cost *w =
			&g_array_index(costs, struct workspace_cost, i);

		if (i < WORKSPACES_MAX)
			write_cost(out, w->name, w->tokens);
		else
			others += w->tokens;
	}
	write_cost(out, "(others)", others);
	g_array_unref(costs);
}

static void write_appointments(GString *out, const char *outcome, uint64_t n)
{
	g_string_append_printf(out,
			       "saddlehead_admission_appointments_total{outcome=\"%s\"} "
			       "%" G_GUINT64_FORMAT "\n",
			       outcome, (guint64)n);
}

void adm_write_metrics(GString *out)
{
	struct core_admission_stats s;

	adm_keeper_stats(&s);
	g_string_append(out, "# TYPE saddlehead_admission_appointments_total counter\n");
	write_appointments(out, "given", s.given);
	write_appointments(out, "kept", s.kept);
	write_appointments(out, "missed", s.missed);
	write_appointments(out, "lapsed", s.lapsed);
	write_costs(out);
}

/* ---- GET /waiting ---- */

static void write_time(GString *out, int64_t us)
{
	if (us == INT64_MAX)
		g_string_append(out, "null");
	else
		g_string_append_printf(out, "%" G_GINT64_FORMAT, us / 1000);
}

static void write_ranks(GString *out, const struct adm_kept *k,
			const struct core_service_stats *s)
{
	struct core_admission_stats all;
	int i;

	core_admission_stats(k->core, &all);
	for (i = 0; i < CORE_RANK_CLASSES; i++) {
		g_string_append_printf(
			out, "%s{\"rank\":\"%s\",\"waiting\":%u,\"forecast_ms\":", i ? "," : "",
			met_rank_name(i), all.waiting[i]);
		write_time(out, s->wait_us[i]);
		g_string_append_c(out, '}');
	}
}

struct kept_list {
	GString *out;
	int n;
};

static void write_kept(const struct adm_kept *k, void *arg)
{
	struct kept_list *l = arg;
	struct core_service_stats s;

	if (l->n >= SERVICES_MAX) return;
	core_service_stats(k->core, k->id, &s);
	g_string_append(l->out, l->n++ ? ",{\"service\":" : "{\"service\":");
	jsonw_str(l->out, k->service);
	g_string_append_printf(l->out,
			       ",\"waiting\":%u,\"supply_tokens\":%.0f,\"promised_token_s\":"
			       "%.0f,\"appointments\":%u,\"ranks\":[",
			       core_waiting(k->core), s.supply_tokens, s.promised_work / 1e6,
			       s.appointments);
	write_ranks(l->out, k, &s);
	g_string_append(l->out, "]}");
}

void adm_write_kept(GString *out)
{
	struct kept_list l = {.out = out};

	g_string_append_c(out, '[');
	adm_keeper_each(write_kept, &l);
	g_string_append_c(out, ']');
}
