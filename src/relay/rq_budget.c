/* Repeats to a service: counted, and held back beyond this instance's part of them. */
#include "mesh.h"
#include "rq_impl.h"

static struct budget_rule rule(void)
{
	return (struct budget_rule){rq_cfg->retry_window_us, rq_cfg->retry_ratio,
				    rq_cfg->retry_slack};
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
	struct budget_rule now = rule();

	budget_request(budget_of(r->service->name), &now, ev_now());
}

void rq_count_repeat(const struct rq *r)
{
	struct budget_rule now = rule();

	budget_spend(budget_of(r->service->name), &now, ev_now());
}

int rq_may_repeat(const struct rq *r)
{
	struct budget_rule now = rule();

	if (r->sends - r->unreached >= RQ_SENDS_MAX) return 0;
	return budget_take(budget_of(r->service->name), &now, mesh_known(), ev_now());
}
