/*
 * Orders to bring in a version, and what follows from them here. Every instance keeps to its
 * own part of what canaries may get, judges by the answers of all, and stops at once where it
 * finds the version bad; that it is good is for those to say who write to the store.
 */
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "ro_impl.h"
#include <math.h>
#include <string.h>

#define TICK_US 100000
#define BROKE_US 1000000 /* what breaks off within it at one server counts once */
#define CANARIES_MIN 2   /* servers: one may fail by itself */
/* An order that others have known for so much longer than this instance was given before it
 * started, or while it was cut off. */
#define EARLIER_US 2000000
#define DRAW_US 200000 /* those who may write wait for so long at most: one of them is first */

static const struct entry_cfg *cfg;
static GHashTable *orders; /* service -> struct ro */
static struct ev_timer ticker;
static int64_t started_us;

struct ro *ro_find(const char *service)
{
	return orders ? g_hash_table_lookup(orders, service) : NULL;
}

void ro_each(void (*f)(struct ro *o, void *arg), void *arg)
{
	GHashTableIter it;
	gpointer o;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &o)) f(o, arg);
}

static int is_over(const struct ro *o)
{
	return o->stage == ROLLOUT_ROLLED_BACK || o->stage == ROLLOUT_COMPLETED;
}

/* ---- servers ---- */

static uint32_t part_of(const struct be *b)
{
	const struct ro *o = ro_find(b->service);

	if (!o || is_over(o)) return 0;
	return strcmp(b->version, o->target) ? RO_OLD : RO_NEW;
}

static int by_hash(const void *a, const void *b)
{
	uint32_t x = g_str_hash((*(struct be *const *)a)->id);
	uint32_t y = g_str_hash((*(struct be *const *)b)->id);

	return x < y ? -1 : x > y;
}

/* All instances choose the same few, which so get as much as servers of the old version: some
 * versions are bad under load alone. */
static void choose_canaries(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	GPtrArray *new = g_ptr_array_new();
	uint32_t i, most;

	for (i = 0; list && i < list->len; i++) {
		struct be *b = g_ptr_array_index(list, i);

		b->ro_part = part_of(b);
		if (b->ro_part == RO_NEW && !be_leaves(b)) g_ptr_array_add(new, b);
	}
	qsort(new->pdata, new->len, sizeof *new->pdata, by_hash);
	most = MAX((uint32_t)ceil(new->len *cfg->exposure_share), CANARIES_MIN);
	for (i = 0; i < new->len && i < most; i++)
		((struct be *)g_ptr_array_index(new, i))->ro_part = RO_CANARY;
	g_ptr_array_free(new, TRUE);
}

static int has_old(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->ro_part == RO_OLD && b->state == BE_READY) return 1;
	}
	return 0;
}

/* Versions but the target. */
static void bar_old(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (strcmp(b->version, o->target)) be_bar_version(o->service, b->version, 1);
	}
}

/* ---- requests ---- */

static int may_expose(const struct ro *o)
{
	double slack = 0;

	if (o->with_slack) slack = cfg->exposure_slack * mesh_part(cfg->retry_window_us);
	return rollout_may_expose(&o->use, cfg->exposure_share, slack);
}

uint32_t ro_parts(const char *service, int fresh)
{
	const struct ro *o = ro_find(service);

	if (!o) return RO_ANY;
	switch (o->stage) {
	case ROLLOUT_CANARY: return fresh && may_expose(o) ? RO_CANARY : RO_OLD;
	case ROLLOUT_SHIFT: return RO_NEW | RO_CANARY;
	case ROLLOUT_UNKNOWN: return RO_OLD;
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_COMPLETED:
	case ROLLOUT_STAGES: break;
	}
	return RO_ANY; /* what gets nothing any more is barred */
}

uint32_t ro_parts_else(const char *service)
{
	const struct ro *o = ro_find(service);

	if (!o) return RO_ANY;
	switch (o->stage) {
	case ROLLOUT_CANARY: return RO_OLD;
	case ROLLOUT_UNKNOWN: return has_old(o) ? RO_OLD : RO_ANY;
	case ROLLOUT_SHIFT:
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_COMPLETED:
	case ROLLOUT_STAGES: break;
	}
	return RO_ANY;
}

void ro_sent(const struct be *b, int first)
{
	struct ro *o = b->ro_part ? ro_find(b->service) : NULL;

	if (!o) return;
	o->use.requests += first != 0;
	if (b->ro_part == RO_OLD) return;
	o->use.exposed++;
	met_add(MET_CANARIES, 1);
}

void ro_ended(struct be *b, uint32_t route, enum ro_end how, int64_t took_us)
{
	struct ro *o = b->ro_part ? ro_find(b->service) : NULL;
	int64_t now = clock_us(), broke_us = b->broke_us;

	if (!o) return;
	if (how == RO_BROKE) {
		b->broke_us = now;
		if (now - broke_us < BROKE_US) return;
	}
	rollout_note(&o->own, route, b->ro_part == RO_OLD ? ROLLOUT_OLD : ROLLOUT_NEW,
		     how != RO_WELL, took_us);
	o->own_changed = 1;
}

uint32_t ro_own_old_runs(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	uint32_t i, n = 0;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->ro_part == RO_OLD) n += b->own.runs;
	}
	return n;
}

/* ---- stages ---- */

static void log_stage(const struct ro *o, const char *said_by)
{
	static const char *const names[ROLLOUT_STAGES] = {"unknown", "canary", "shift",
							  "rolled_back", "completed"};
	GString *g = jlog_begin("fleet", "rollout_stage");

	jlog_str(g, "service", o->service);
	jlog_str(g, "version", o->target);
	jlog_str(g, "stage", names[o->stage]);
	jlog_str(g, "said_by", said_by);
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

/* What the stage means for servers. */
static void apply(struct ro *o)
{
	struct rollout_state s = ro_state(o);

	choose_canaries(o);
	if (o->stage == ROLLOUT_ROLLED_BACK) be_bar_version(o->service, o->target, 1);
	if (rollout_moves_off(&s)) bar_old(o);
}

int ro_rise(struct ro *o, enum rollout_stage s, const char *said_by)
{
	if (s <= o->stage || s >= ROLLOUT_STAGES) return 0;
	o->stage = s;
	if (s == ROLLOUT_SHIFT) o->shift_us = clock_us();
	met_add(MET_ROLLBACKS, s == ROLLOUT_ROLLED_BACK);
	log_stage(o, said_by);
	apply(o);
	return 1;
}

struct rollout_state ro_state(const struct ro *o)
{
	int64_t now = clock_us();

	return (struct rollout_state){.stage = o->stage,
				      .age_us = now - o->began_us,
				      .for_us = o->for_us,
				      .shifted_us = o->shift_us ? now - o->shift_us : 0};
}

static void judge(struct ro *o)
{
	struct rollout_state s = ro_state(o);
	struct rollout_tally sum = {0};
	struct rollout_reason why;
	enum rollout_stage next;

	ro_sum(o, &sum);
	s.verdict = rollout_judge(&sum, s.age_us >= (int64_t)(s.for_us * ROLLOUT_LAST_PART), &why);
	s.old_runs = ro_old_runs(o);
	next = rollout_next(&s);
	if (next == o->stage) return;
	if (next == ROLLOUT_ROLLED_BACK) log_verdict(o, &why);
	/* One that finds it bad stops it; the rest is for those who write. */
	if (next != ROLLOUT_ROLLED_BACK && !mesh_watches()) return;
	if (next == ROLLOUT_COMPLETED) {
		ro_write_completed(o);
		return;
	}
	if (ro_rise(o, next, "this instance")) ro_tell_stage(o);
}

static void tick(struct ro *o, void *pending)
{
	if (!is_over(o)) {
		apply(o);
		ro_tell_own(o);
		judge(o);
	}
	ro_write_status(o);
	*(int *)pending |= !is_over(o) || o->written != o->stage;
}

static void on_tick(struct ev_timer *t)
{
	int pending = 0;

	ro_each(tick, &pending);
	if (pending) ev_in(t, TICK_US);
}

/* ---- orders ---- */

static void free_ro(gpointer p)
{
	struct ro *o = p;

	st_cancel(o->call);
	g_free(o->service);
	g_free(o->target);
	g_hash_table_destroy(o->told);
	g_free(o);
}

static void log_order(const struct ro *o)
{
	GString *g = jlog_begin("fleet", "rollout_ordered");

	jlog_str(g, "service", o->service);
	jlog_str(g, "version", o->target);
	jlog_int(g, "revision", (int64_t)o->order);
	jlog_int(g, "for_ms", o->for_us / 1000);
	jlog_end(g);
}

/* A version that was being brought in when another took its place was never found good. */
static void give_up(struct ro *o)
{
	if (!is_over(o)) be_bar_version(o->service, o->target, 1);
	g_hash_table_remove(orders, o->service);
}

static void begin(const char *service, const struct dl_rollout *d, uint64_t revision)
{
	struct ro *o = g_new0(struct ro, 1);

	o->service = g_strdup(service);
	o->target = g_strdup(d->target);
	o->order = revision;
	o->for_us = d->for_us;
	o->began_us = clock_us();
	o->next_us = o->began_us + g_random_int_range(0, DRAW_US);
	o->with_slack = o->began_us - started_us > cfg->join_us + EARLIER_US;
	o->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(orders, o->service, o);
	be_bar_version(service, o->target, 0);
	log_order(o);
	apply(o);
	if (!ticker.armed) ev_in(&ticker, TICK_US);
}

/* The same version again, which is on its way or in: nothing begins anew. */
static int goes_on(struct ro *o, const struct dl_rollout *d, uint64_t revision)
{
	if (!o || strcmp(o->target, d->target) || o->stage == ROLLOUT_ROLLED_BACK) return 0;
	o->order = revision;
	o->for_us = d->for_us;
	o->written = ROLLOUT_UNKNOWN;
	if (!ticker.armed) ev_in(&ticker, TICK_US);
	return 1;
}

static int on_order(const struct st_item *i)
{
	const char *service = dl_rollout_service(i->key);
	struct ro *o = ro_find(service);
	struct dl_rollout d;

	if (!i->value) { /* withdrawn: as if it were bad, but nobody is told so */
		if (o && !is_over(o)) give_up(o);
		return 0;
	}
	if (dl_read_rollout(i->value, i->len, service, &d)) return -1;
	if (goes_on(o, &d, i->revision)) return 0;
	if (o) give_up(o);
	begin(service, &d, i->revision);
	return 0;
}

void ro_start(const struct entry_cfg *c)
{
	cfg = c;
	started_us = clock_us();
	orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ro);
	ticker.fire = on_tick;
	be_ro_part = part_of;
	board_on_rollout = on_order;
	ro_mesh_start();
}
