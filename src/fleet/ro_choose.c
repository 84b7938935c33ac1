/* Chooses servers during a rollout and counts the results of their exchanges. */
#include "clock.h"
#include "mesh.h"
#include "met.h"
#include "ro_impl.h"
#include <math.h>
#include <string.h>

#define BROKEN_US 1000000 /* exchanges that break within it at one server count once */
#define CANARIES_MIN 2    /* servers: a single one may fail for a reason of its own */

uint32_t ro_role_of(const struct be *b)
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

/* All instances choose the same few canaries, so that each gets as much load as a server of the
 * old version: some versions fail only under load. */
void ro_choose_canaries(const struct ro *o)
{
	const GPtrArray *list = be_of_service(o->service);
	GPtrArray *candidates = g_ptr_array_new();
	uint32_t i, max;

	for (i = 0; list && i < list->len; i++) {
		struct be *b = g_ptr_array_index(list, i);

		b->ro_role = ro_role_of(b);
		if (b->ro_role == RO_NEW && !be_is_leaving(b)) g_ptr_array_add(candidates, b);
	}
	g_ptr_array_sort(candidates, by_hash);
	max = MAX((uint32_t)ceil(candidates->len * ro_cfg->exposure_share), CANARIES_MIN);
	for (i = 0; i < candidates->len && i < max; i++)
		((struct be *)g_ptr_array_index(candidates, i))->ro_role = RO_CANARY;
	g_ptr_array_free(candidates, TRUE);
}

static int has_old(const struct ro *o)
{
	const GPtrArray *list = be_of_service(o->service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->ro_role == RO_OLD && b->state == BE_READY) return 1;
	}
	return 0;
}

void ro_block_old(const struct ro *o)
{
	const GPtrArray *list = be_of_service(o->service);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (strcmp(b->version, o->target)) be_block_version(o->service, b->version, 1);
	}
}

static int may_send_canary(const struct ro *o)
{
	double slack = 0;

	if (o->with_slack) slack = ro_cfg->exposure_slack * mesh_part(ro_cfg->retry_window_us);
	return rollout_may_expose(&o->use, ro_cfg->exposure_share, slack);
}

uint32_t ro_allowed(const char *service, int fresh)
{
	const struct ro *o = ro_find(service);

	if (!o) return RO_ANY;
	switch (o->stage) {
	case ROLLOUT_CANARY: return fresh && may_send_canary(o) ? RO_CANARY : RO_OLD;
	case ROLLOUT_SHIFT: return RO_NEW | RO_CANARY;
	case ROLLOUT_UNKNOWN: return RO_OLD;
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_COMPLETED:
	case ROLLOUT_STAGES: break;
	}
	return RO_ANY; /* a version that must get no requests is blocked */
}

uint32_t ro_allowed_fallback(const char *service)
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

void ro_note_sent(const struct be *b, int first)
{
	struct ro *o = b->ro_role ? ro_find(b->service) : NULL;

	if (!o) return;
	o->use.requests += first != 0;
	if (b->ro_role == RO_OLD) return;
	o->use.exposed++;
	met_add(MET_CANARY_REQUESTS, 1);
}

void ro_note_result(struct be *b, uint32_t route, enum ro_result result, int64_t took_us)
{
	struct ro *o = b->ro_role ? ro_find(b->service) : NULL;
	int64_t now = clock_us(), broke_us = b->last_broken_us;

	if (!o) return;
	if (result == RO_BROKEN) {
		b->last_broken_us = now;
		if (now - broke_us < BROKEN_US) return;
	}
	rollout_record(&o->own, route, b->ro_role == RO_OLD ? ROLLOUT_OLD : ROLLOUT_NEW,
		       result != RO_OK, took_us);
	o->own_changed = 1;
}

uint32_t ro_own_old_runs(const struct ro *o)
{
	const GPtrArray *list = be_of_service(o->service);
	uint32_t i, n = 0;

	for (i = 0; list && i < list->len; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		if (b->ro_role == RO_OLD) n += b->own.runs;
	}
	return n;
}
