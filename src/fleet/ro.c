/*
 * Rollouts of new versions. Every instance keeps to its own part of the canary requests, judges
 * by the results of all instances, and rolls back at once if it finds the version bad. Only the
 * instances that write to the store advance a good version.
 */
#include "cache.h"
#include "clock.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "ro_impl.h"

#define TICK_US 100000

const struct entry_cfg *ro_cfg;
static GHashTable *orders; /* service -> struct ro */
static struct ev_timer ticker;
static int64_t started_us;

struct ro *ro_find(const char *service)
{
	return orders ? g_hash_table_lookup(orders, service) : NULL;
}

void ro_add(struct ro *o)
{
	g_hash_table_insert(orders, o->service, o);
	ro_schedule_tick();
}

void ro_remove(struct ro *o)
{
	g_hash_table_remove(orders, o->service);
}

void ro_schedule_tick(void)
{
	if (!ticker.armed) ev_in(&ticker, TICK_US);
}

int64_t ro_started_us(void)
{
	return started_us;
}

void ro_each(void (*f)(struct ro *o, void *arg), void *arg)
{
	GHashTableIter it;
	gpointer o;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &o)) f(o, arg);
}

int ro_is_over(const struct ro *o)
{
	return o->stage == ROLLOUT_ROLLED_BACK || o->stage == ROLLOUT_COMPLETED;
}

static void log_stage(const struct ro *o, const char *reported_by)
{
	static const char *const names[ROLLOUT_STAGES] = {"unknown", "canary", "shift",
							  "rolled_back", "completed"};
	GString *g = jlog_begin("fleet", "rollout_stage");

	jlog_str(g, "service", o->service);
	jlog_str(g, "version", o->target);
	jlog_str(g, "stage", names[o->stage]);
	jlog_str(g, "said_by", reported_by);
	jlog_int(g, "age_ms", (clock_us() - o->began_us) / 1000);
	jlog_int(g, "requests", (int64_t)o->use.requests);
	jlog_int(g, "exposed", (int64_t)o->use.exposed);
	jlog_end(g);
}

static void log_verdict(const struct ro *o, const struct rollout_reason *why)
{
	GString *g = jlog_begin("fleet", "rollout_version_bad");

	jlog_str(g, "service", o->service);
	jlog_str(g, "version", o->target);
	jlog_str(g, "by", why->slow ? "slow answers" : "bad answers");
	jlog_int(g, "route", why->route);
	jlog_int(g, "new_bad", why->new_bad);
	jlog_int(g, "new_all", why->new_all);
	jlog_int(g, "old_bad", why->old_bad);
	jlog_int(g, "old_all", why->old_all);
	jlog_end(g);
}

void ro_apply(struct ro *o)
{
	struct rollout_state s = ro_state(o);

	ro_choose_canaries(o);
	if (o->stage == ROLLOUT_ROLLED_BACK) be_block_version(o->service, o->target, 1);
	if (rollout_must_move(&s)) ro_block_old(o);
}

int ro_advance(struct ro *o, enum rollout_stage s, const char *reported_by)
{
	if (s <= o->stage || s >= ROLLOUT_STAGES) return 0;
	o->stage = s;
	if (s == ROLLOUT_SHIFT) o->shift_us = clock_us();
	met_add(MET_ROLLBACKS, s == ROLLOUT_ROLLED_BACK);
	log_stage(o, reported_by);
	ro_apply(o);
	return 1;
}

struct rollout_state ro_state(const struct ro *o)
{
	int64_t now = clock_us();

	return (struct rollout_state){.stage = o->stage,
				      .age_us = now - o->began_us,
				      .duration_us = o->duration_us,
				      .shifted_us = o->shift_us ? now - o->shift_us : 0};
}

static void judge(struct ro *o)
{
	struct rollout_state s = ro_state(o);
	struct rollout_tally sum = {0};
	struct rollout_reason why;
	enum rollout_stage next;

	ro_sum_tallies(o, &sum);
	s.verdict = rollout_judge(
		&sum, s.age_us >= (int64_t)(s.duration_us * ROLLOUT_LAST_PART), &why);
	s.old_runs = ro_old_runs(o);
	next = rollout_next(&s);
	if (next == o->stage) return;
	if (next == ROLLOUT_ROLLED_BACK) log_verdict(o, &why);
	/* Any instance may roll back; only the writers advance it otherwise. */
	if (next != ROLLOUT_ROLLED_BACK && !mesh_watches_store()) return;
	if (next == ROLLOUT_COMPLETED) {
		ro_write_completed(o);
		return;
	}
	if (ro_advance(o, next, "this instance")) ro_send_stage(o);
}

static void tick(struct ro *o, void *pending)
{
	if (!ro_is_over(o)) {
		ro_apply(o);
		ro_send_own(o);
		judge(o);
	}
	ro_write_status(o);
	*(int *)pending |= !ro_is_over(o) || o->written != o->stage;
}

static void on_tick(struct ev_timer *t)
{
	int pending = 0;

	ro_each(tick, &pending);
	if (pending) ev_in(t, TICK_US);
}

void ro_start(const struct entry_cfg *c)
{
	ro_cfg = c;
	started_us = clock_us();
	orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ro_free);
	ticker.fire = on_tick;
	be_ro_role = ro_role_of;
	cache_on_rollout = ro_on_order;
	ro_mesh_start();
}
