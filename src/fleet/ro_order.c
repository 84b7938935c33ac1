/* Operators' orders to bring in a version: one for each service is in force, the newest. */
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "ro_impl.h"
#include <string.h>

/* An order that comes so soon after an instance's start may have been followed by its life
 * before, which used its part of the slack. */
#define SETTLED_US 2000000
#define DRAW_US                                                                      \
	200000 /* those who may write wait for so long at most: one of them is first \
		*/

void ro_free(gpointer p)
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
	if (!ro_is_over(o)) be_block_version(o->service, o->target, 1);
	ro_forget(o);
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
	o->with_slack = o->began_us - ro_started_us() > ro_cfg->join_us + SETTLED_US;
	o->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ro_add(o);
	be_block_version(service, o->target, 0);
	log_order(o);
	ro_apply(o);
}

/* The same version again, which is on its way or in: nothing begins anew. */
static int goes_on(struct ro *o, const struct dl_rollout *d, uint64_t revision)
{
	if (!o || strcmp(o->target, d->target) || o->stage == ROLLOUT_ROLLED_BACK) return 0;
	o->order = revision;
	o->for_us = d->for_us;
	o->written = ROLLOUT_UNKNOWN;
	ro_tick_soon();
	return 1;
}

int ro_on_order(const struct st_item *i)
{
	const char *service = dl_rollout_service(i->key);
	struct ro *o = ro_find(service);
	struct dl_rollout d;

	if (!i->value) { /* withdrawn: as if it were bad, but nobody is told so */
		if (o && !ro_is_over(o)) give_up(o);
		return 0;
	}
	if (dl_read_rollout(i->value, i->len, service, &d)) return -1;
	if (goes_on(o, &d, i->revision)) return 0;
	if (o) give_up(o);
	begin(service, &d, i->revision);
	return 0;
}
