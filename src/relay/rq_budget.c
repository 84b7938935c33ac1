/* Repeats to a service: counted, and held back beyond this instance's part of them. */
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "rq_impl.h"
#include <saddlehead/roles.h>

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

void rq_note_reached(const struct leg *l)
{
	if (!l->from_copy && l->rq->reached++) met_add(MET_REPEATS, 1);
}

/* Once for each request: a silent one is looked at again and again. */
static void tell_held_back(struct rq *r, int parts)
{
	GString *g;

	if (r->held_back) return;
	r->held_back = 1;
	met_add(MET_REPEATS_HELD, 1);
	g = jlog_begin("relay", "repeat_held_back");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_int(g, "sends", r->sends);
	jlog_int(g, "used", budget_used(budget_of(r->service->name)));
	jlog_int(g, "parts", parts);
	jlog_end(g);
}

int rq_may_repeat(struct rq *r)
{
	struct budget_rule now = rule();
	int parts = roles_parts(mesh_known(), mesh_self_active());

	if (r->sends - r->unreached >= RQ_SENDS_MAX) return 0;
	if (budget_take(budget_of(r->service->name), &now, parts, ev_now())) return 1;
	tell_held_back(r, parts);
	return 0;
}
