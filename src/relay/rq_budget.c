/* Retries to a service: counted, and denied beyond this instance's part of the retry budget. */
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "rq_impl.h"

/* This instance's part of the retries that all instances may send. */
static struct budget_rule current_rule(void)
{
	double slack = rq_cfg->retry_slack * mesh_part(rq_cfg->retry_window_us);

	return (struct budget_rule){rq_cfg->retry_window_us, rq_cfg->retry_ratio, slack};
}

static struct budget *budget_of(const char *service)
{
	static GHashTable *budgets;
	struct budget *b;

	if (!budgets) budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b = g_hash_table_lookup(budgets, service);
	if (b) return b;
	b = g_new0(struct budget, 1);
	g_hash_table_insert(budgets, g_strdup(service), b);
	return b;
}

void rq_count_request(const struct rq *r)
{
	struct budget_rule now = current_rule();

	budget_request(budget_of(r->service->name), &now, ev_now());
}

static void count_retry(const struct rq *r)
{
	struct budget_rule now = current_rule();

	budget_spend(budget_of(r->service->name), &now, ev_now());
}

/* A send may wait for memory, or try servers that can't be reached, for long after it was
 * counted as a retry; then it is counted again. */
static void count_if_late(struct rq *r)
{
	struct budget_rule now = current_rule();

	if (ev_now() - r->retry_counted_us > budget_delay_us(&now)) count_retry(r);
	r->retry_counted_us = ev_now();
}

void att_note_reached(const struct attempt *att)
{
	struct rq *r = att->rq;

	if (att->from_copy || !r->reached_count++) return;
	met_add(MET_RETRIES, 1);
	count_if_late(r);
}

void rq_note_copy_refused(struct rq *r)
{
	if (!r->copies_refused++) count_retry(r); /* later ones: when asked for */
}

/* Logged once for each request, as the budget is asked again at every check of a silent one. */
static void log_retry_denied(struct rq *r)
{
	GString *g;

	if (r->retry_denied) return;
	r->retry_denied = 1;
	met_add(MET_RETRIES_DENIED, 1);
	g = jlog_begin("relay", "repeat_held_back");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_int(g, "sends", r->sends);
	jlog_int(g, "used", budget_used(budget_of(r->service->name)));
	jlog_int(g, "part_permille", (int64_t)(mesh_part(rq_cfg->retry_window_us) * 1000));
	jlog_end(g);
}

static int spend_budget(struct rq *r, enum budget_use use)
{
	struct budget_rule now = current_rule();

	if (budget_take(budget_of(r->service->name), &now, use, ev_now())) return 1;
	log_retry_denied(r);
	return 0;
}

int rq_may_retry(struct rq *r)
{
	if (r->sends - r->unreached_count >= RQ_SENDS_MAX) return 0;
	if (!r->reached_count) return r->sends < RQ_CONNECTS_MAX;
	if (!spend_budget(r, BUDGET_RETRY)) return 0;
	r->retry_counted_us = ev_now();
	return 1;
}

int rq_may_resume_from_copy(struct rq *r)
{
	return !r->copies_refused || spend_budget(r, BUDGET_STREAM);
}
