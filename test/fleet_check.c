/* Starts, stops and checks the fleet of a test. */
#include "fleet_check.h"
#include <stdio.h>

struct fleet *fleet(int daemons, int engines, int services, const char *engine_options)
{
	struct fleet_options o = {.daemons = daemons,
				  .engines = engines,
				  .services = services,
				  .engine_options = engine_options};

	return fleet_start(&o);
}

void stop(struct fleet *f)
{
	CU_ASSERT_EQUAL(fleet_stop(f), 0);
}

void check_complete(struct stream *s, int n)
{
	stream_join(s);
	CU_ASSERT_EQUAL(s->events, n);
	CU_ASSERT(s->done && !s->error && !s->mixed && !s->out_of_order);
	if (s->events != n || !s->done)
		printf("  %d events, done %d, status %ld\n", s->events, s->done, s->status);
}

int all_have_version(void *arg)
{
	struct version *v = arg;
	int i, n = 0;

	for (i = 0; i < v->f->entries; i++) n += fleet_table_version(v->f->admin[i]) == v->want;
	return n == v->f->entries;
}
