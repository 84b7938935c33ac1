/* Operators' orders of rollouts. For each service the newest order is in force. */
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "ro_impl.h"
#include <string.h>

/* An order seen this soon after the start (beyond join_us) may have been followed by the
 * previous incarnation of this instance, which used its part of the slack. */
#define SETTLED_US 2000000
/* Maximum of the random delay before the first write, so that usually one writer is first. */
#define WRITE_JITTER_US 200000

void ro_free(gpointer p)
{
	struct ro *o = p;

	st_cancel(o->call);
	g_free(o->service);
	g_free(o->target);
	g_hash_table_destroy(o->peers);
	g_free(o);
}

static void log_order(const struct ro *o)
{
	GString *g = jlog_begin("fleet", "rollout_ordered");

	jlog_str(g, "service", o->service);
	jlog_str(g, "version", o->target);
	jlog_int(g, "revision", (int64_t)st_rev_number(o->order));
	jlog_int(g, "for_ms", o->duration_us / 1000);
	jlog_end(g);
}

/* Blocks a version that was replaced or withdrawn before it was found good. */
static void abandon(struct ro *o)
{
	if (!ro_is_over(o)) be_block_version(o->service, o->target, 1);
	ro_remove(o);
}

static void begin(const char *service, const struct dl_rollout *d, st_rev revision)
{
	struct ro *o = g_new0(struct ro, 1);

	o->service = g_strdup(service);
	o->target = g_strdup(d->target);
	o->order = revision;
	o->duration_us = d->duration_us;
	o->began_us = clock_us();
	o->next_us = o->began_us + g_random_int_range(0, WRITE_JITTER_US);
	o->with_slack = o->began_us - ro_started_us() > ro_cfg->join_us + SETTLED_US;
	o->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ro_add(o);
	be_block_version(service, o->target, 0);
	log_order(o);
	ro_apply(o);
}

/* Whether the operators want a version that was rolled back to be tried again. An order of a
 * later era is the same one: the store shows it again, or the operators wrote it again after
 * the store had lost it. */
static int is_another_try(const struct ro *o, st_rev revision)
{
	return o->stage == ROLLOUT_ROLLED_BACK && st_rev_era(revision) == st_rev_era(o->order);
}

/* A repeated order for the version of the current rollout continues it; returns 1 if so. Its
 * status is written again. */
static int continues(struct ro *o, const struct dl_rollout *d, st_rev revision)
{
	if (!o || strcmp(o->target, d->target) || is_another_try(o, revision)) return 0;
	o->order = revision;
	o->duration_us = d->duration_us;
	o->written = ROLLOUT_UNKNOWN;
	ro_schedule_tick();
	return 1;
}

int ro_on_order(const struct st_item *i)
{
	const char *service = dl_rollout_service(i->key);
	struct ro *o = ro_find(service);
	struct dl_rollout d;

	if (!i->value) { /* withdrawn: blocked like a bad version, without a status */
		if (o && !ro_is_over(o)) abandon(o);
		return 0;
	}
	if (dl_read_rollout(i->value, i->len, service, &d)) return -1;
	if (continues(o, &d, i->revision)) return 0;
	if (o) abandon(o);
	begin(service, &d, i->revision);
	return 0;
}
