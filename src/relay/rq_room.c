/* Whether there is room for a request at a backend server, and when there will be. */
#include "be_ring.h"
#include "clock.h"
#include "rq_impl.h"

static void fill_forecast(struct forecast_engine *s, struct be *b, const struct rq *r,
			  int64_t now)
{
	struct be_load all = rq_load_of(b);
	uint32_t foreseen = all.held + all.backup;

	*s = (struct forecast_engine){
		.usable_in_us = rq_usable_in(b, r, now),
		.tokens = r->service->tokens,
		.used = all.used + all.inbound,
		.growth = foreseen > all.used ? foreseen - all.used : 0,
		.runs = all.runs,
		.token_us = rq_token_us(r),
	};
}

struct foreseen {
	const struct rq *r;
	int64_t now;
	struct forecast_engine s[PLACE_SERVERS_MAX];
	int n;
};

static int foresee(struct be *b, void *arg)
{
	struct foreseen *f = arg;

	fill_forecast(&f->s[f->n], b, f->r, f->now);
	if (f->s[f->n].usable_in_us != FORECAST_NEVER) f->n++;
	return f->n < PLACE_SERVERS_MAX;
}

int64_t rq_room_in(const struct rq *r, uint64_t before)
{
	static struct foreseen f;

	f.r = r;
	f.now = clock_us();
	f.n = 0;
	be_walk(r->service->name, rq_cfg->data_centre, rq_own_place(), foresee, &f);
	return forecast_wait_us(f.s, f.n, r->job.prompt + r->job.growth / 2, before);
}

int rq_fits(const struct rq *r, struct be *b)
{
	struct place_job now = {.prompt = r->job.prompt + rq_made(r), .growth = r->job.growth};
	struct place_server s;

	if (!r->service->engine) return 1;
	rq_fill_site(&s, b, r, b->zone, clock_us());
	return place_fits(&s, &now);
}

int rq_waits(const struct rq *r, struct be *b)
{
	struct place_server s;

	rq_fill_site(&s, b, r, b->zone, clock_us());
	return place_should_wait(&s, clock_us() - r->began_us, r->route->objective_us);
}

int rq_in_time(const struct rq *r, struct be *b)
{
	struct place_server s;

	if (r->service->engine) return 1;
	rq_fill_site(&s, b, r, rq_cfg->data_centre, clock_us());
	return place_call_in_time(&s, r->end_us - clock_us());
}
