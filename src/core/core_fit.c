/* Which engine a ticket runs on, with admission: where its memory fits, by the cost of
 * placement. */
#include "core_impl.h"
#include <saddlehead/place.h>

#define FULL_PERCENT \
	95 /* of an engine's memory: above it a request would soon preempt another */
/* Of the candidates of one choice; more of them don't lead to a noticeably cheaper engine. */
#define CANDIDATES_MAX PLACE_SERVERS_MAX

/* Others end while it grows: on average half of its growth is in use. */
double cfit_need(const struct core_ticket_info *i)
{
	return (double)i->prompt_tokens + i->generated + i->growth_tokens / 2.0;
}

/* Tickets that were granted and not reported yet count in addition to the reported load. */
static struct place_server describe(const struct cengine *e)
{
	return (struct place_server){
		.usable = 1,
		.slots = e->load.max_running,
		.runs = e->load.running + e->tickets->len,
		.prefill = e->load.prefill_tokens + (uint32_t)e->prompt_sum,
		.forecast = e->load.used_tokens + e->load.growth_tokens +
			    (uint32_t)(e->prompt_sum + e->growth_sum),
		.used = e->load.used_tokens + (uint32_t)(e->prompt_sum + e->growth_sum / 2),
		.tokens = e->load.capacity_tokens,
	};
}

static int fits(const struct core *c, const struct place_server *s, const struct cticket *t)
{
	struct place_job j = {.prompt = t->info.prompt_tokens + t->info.generated,
			      .growth = t->info.growth_tokens};

	if (s->slots && s->runs >= s->slots) return 0;
	return place_fits(s, &j) && !place_should_wait(s, c->now - t->info.arrived_us,
						       t->info.latest_us - t->info.arrived_us);
}

static int may_run_at(const struct core *c, const struct cservice *s, const struct cticket *t,
		      const struct cengine *e)
{
	if (e->id == t->info.excluded || !cengine_accepts(c, e)) return 0;
	return s->reserved != e || s->reserved_for == t;
}

struct cengine *cfit_pick(struct core *c, struct cservice *s, const struct cticket *t)
{
	struct place_server server[CANDIDATES_MAX];
	struct cengine *at[CANDIDATES_MAX];
	struct place_job j = {.prompt = t->info.prompt_tokens + t->info.generated,
			      .growth = t->info.growth_tokens};
	guint i, start = (guint)(t->ref.request * 2654435761u);
	int n = 0, k;

	for (i = 0; i < s->engines->len && n < CANDIDATES_MAX; i++) {
		struct cengine *e = s->engines->pdata[(start + i) % s->engines->len];

		if (!may_run_at(c, s, t, e)) continue;
		server[n] = describe(e);
		if (fits(c, &server[n], t)) at[n++] = e;
	}
	if (!n) return NULL;
	k = place_generation(server, n, &j, start);
	return k < 0 || k >= n ? NULL : at[k];
}

static double free_tokens(const struct cengine *e)
{
	struct place_server s = describe(e);

	return (double)s.tokens - s.used;
}

struct cengine *cfit_soonest(const struct core *c, const struct cservice *s,
			     const struct cticket *t)
{
	struct cengine *best = NULL;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		struct cengine *e = s->engines->pdata[i];

		if (e->id == t->info.excluded || !cengine_accepts(c, e)) continue;
		if (e->load.capacity_tokens < cfit_need(&t->info)) continue;
		if (!best || free_tokens(e) > free_tokens(best)) best = e;
	}
	return best;
}

double cfit_capacity(const struct core *c, const struct cservice *s, int whole)
{
	double sum = 0, each = s->mean_need > 1 ? s->mean_need : 1;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		const struct cengine *e = s->engines->pdata[i];
		double memory = (double)e->load.capacity_tokens * FULL_PERCENT / 100;
		double slots = e->load.max_running * each;

		if (!cengine_serves(c, e)) continue;
		if (whole && memory >= each) memory = (double)(uint32_t)(memory / each) * each;
		sum += e->load.max_running && slots < memory ? slots : memory;
	}
	return sum;
}

double cfit_used(const struct core *c, const struct cservice *s)
{
	double sum = 0;
	guint i;

	for (i = 0; i < s->engines->len; i++) {
		const struct cengine *e = s->engines->pdata[i];

		if (cengine_serves(c, e)) sum += describe(e).used;
	}
	return sum;
}
