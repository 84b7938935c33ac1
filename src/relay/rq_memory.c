/* Whether a backend server has free memory for a request, and when one will. */
#include "be_ring.h"
#include "clock.h"
#include "rq_impl.h"

static void fill_forecast(struct forecast_engine *s, struct be *b, const struct rq *r,
			  int64_t now)
{
	struct be_load all = rq_total_load(b);
	uint32_t expected = all.forecast + all.replicas;

	*s = (struct forecast_engine){
		.usable_in_us = rq_usable_in(b, r, now),
		.tokens = r->service->tokens,
		.used = all.used + all.inbound,
		.growth = expected > all.used ? expected - all.used : 0,
		.runs = all.runs,
		.token_us = rq_token_us(r),
	};
}

struct engine_list {
	const struct rq *r;
	int64_t now;
	struct forecast_engine s[PLACE_SERVERS_MAX];
	int n;
};

static int add_engine(struct be *b, void *arg)
{
	struct engine_list *f = arg;

	fill_forecast(&f->s[f->n], b, f->r, f->now);
	if (f->s[f->n].usable_in_us != FORECAST_NEVER) f->n++;
	return f->n < PLACE_SERVERS_MAX;
}

int64_t rq_memory_free_in(const struct rq *r, uint64_t before)
{
	static struct engine_list f;

	f.r = r;
	f.now = clock_us();
	f.n = 0;
	be_walk(r->service->name, rq_cfg->data_centre, rq_walk_start(), add_engine, &f);
	return forecast_wait_us(f.s, f.n, r->job.prompt + r->job.growth / 2, before);
}

int rq_fits(const struct rq *r, struct be *b)
{
	struct place_job now = {.prompt = r->job.prompt + rq_tokens_made(r),
				.growth = r->job.growth};
	struct place_server s;

	if (!r->service->engine) return 1;
	rq_fill_server(&s, b, r, b->dc, clock_us());
	return place_fits(&s, &now);
}

int rq_should_wait(const struct rq *r, struct be *b)
{
	struct place_server s;

	rq_fill_server(&s, b, r, b->dc, clock_us());
	return place_should_wait(&s, clock_us() - r->began_us, r->route->objective_us);
}

int rq_can_answer_in_time(const struct rq *r, struct be *b)
{
	struct place_server s;

	if (r->service->engine) return 1;
	rq_fill_server(&s, b, r, rq_cfg->data_centre, clock_us());
	return place_call_in_time(&s, r->end_us - clock_us());
}
