/* Which servers get what while a version is brought in, and what their answers tell. */
#include "clock.h"
#include "mesh.h"
#include "met.h"
#include "ro_impl.h"
#include <math.h>
#include <string.h>

#define BROKE_US 1000000 /* what breaks off within it at one server counts once */
#define CANARIES_MIN 2   /* servers: one may fail by itself */

uint32_t ro_part_of(const struct be *b)
{
	const struct ro *o = ro_find(b->service);

	if (!o || ro_is_over(o)) return 0;
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
void ro_choose_canaries(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	GPtrArray *of_new = g_ptr_array_new();
	uint32_t i, most;

	for (i = 0; list && i < list->len; i++) {
		struct be *b = g_ptr_array_index(list, i);

		b->ro_part = ro_part_of(b);
		if (b->ro_part == RO_NEW && !be_leaves(b)) g_ptr_array_add(of_new, b);
	}
	qsort(of_new->pdata, of_new->len, sizeof *of_new->pdata, by_hash);
	most = MAX((uint32_t)ceil(of_new->len * ro_cfg->exposure_share), CANARIES_MIN);
	for (i = 0; i < of_new->len && i < most; i++)
		((struct be *)g_ptr_array_index(of_new, i))->ro_part = RO_CANARY;
	g_ptr_array_free(of_new, TRUE);
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
void ro_bar_old(const struct ro *o)
{
	const GPtrArray *list = be_of(o->service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (strcmp(b->version, o->target)) be_bar_version(o->service, b->version, 1);
	}
}

static int may_expose(const struct ro *o)
{
	double slack = 0;

	if (o->with_slack) slack = ro_cfg->exposure_slack * mesh_part(ro_cfg->retry_window_us);
	return rollout_may_expose(&o->use, ro_cfg->exposure_share, slack);
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
	met_add(MET_CANARY_REQUESTS, 1);
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
