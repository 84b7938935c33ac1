/* Repeats to a service: counted, and held back beyond this instance's part of them. */
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "rq_impl.h"

/* Of what all may repeat, this instance's part. */
static struct budget_rule rule(void)
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
	struct budget_rule now = rule();

	budget_request(budget_of(r->service->name), &now, ev_now());
}

static void count_repeat(const struct rq *r)
{
	struct budget_rule now = rule();

	budget_spend(budget_of(r->service->name), &now, ev_now());
}

/* A send may wait for room, or try servers that are not reached, after it was counted. */
static void count_late(struct rq *r)
{
	struct budget_rule now = rule();

	if (ev_now() - r->counted_us > budget_late_us(&now)) count_repeat(r);
	r->counted_us = ev_now();
}

void rq_note_reached(const struct leg *l)
{
	struct rq *r = l->rq;

	if (l->from_copy || !r->reached++) return;
	met_add(MET_RETRIES, 1);
	count_late(r);
}

void rq_note_copy_refused(struct rq *r)
{
	if (!r->copies_refused++) count_repeat(r); /* later ones were asked for */
}

/* Once for each request: a silent one is looked at again and again. */
static void tell_held_back(struct rq *r)
{
	GString *g;

	if (r->held_back) return;
	r->held_back = 1;
	met_add(MET_RETRIES_DENIED, 1);
	g = jlog_begin("relay", "repeat_held_back");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_int(g, "sends", r->sends);
	jlog_int(g, "used", budget_used(budget_of(r->service->name)));
	jlog_int(g, "part_permille", (int64_t)(mesh_part(rq_cfg->retry_window_us) * 1000));
	jlog_end(g);
}

static int take(struct rq *r, enum budget_use use)
{
	struct budget_rule now = rule();

	if (budget_take(budget_of(r->service->name), &now, use, ev_now())) return 1;
	tell_held_back(r);
	return 0;
}

int rq_may_repeat(struct rq *r)
{
	if (r->sends - r->unreached >= RQ_SENDS_MAX) return 0;
	if (!r->reached) return r->sends < RQ_CONNECTS_MAX;
	if (!take(r, BUDGET_REPEAT)) return 0;
	r->counted_us = ev_now();
	return 1;
}

int rq_may_go_on(struct rq *r)
{
	return !r->copies_refused || take(r, BUDGET_STREAM);
}
