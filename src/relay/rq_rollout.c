/* What a request's exchange tells of its server's version. */
#include "clock.h"
#include "pace.h"
#include "ro.h"
#include "rq_impl.h"

/* Of a stream the time to its first event: how long the rest takes is the request's. */
static int64_t took_us(const struct leg *l)
{
	if (l->from_copy || l->was_cold) return -1;
	return (l->first_us ? l->first_us : clock_us()) - l->sent_us;
}

void leg_note_cold(struct leg *l)
{
	l->was_cold = pace_cold_until_us(l->be, l->rq->service, clock_us()) != 0 ||
		      l->be->cold_until_us > clock_us();
}

void leg_tell_version(const struct leg *l, enum ro_result how)
{
	ro_note_result(l->be, g_str_hash(l->rq->route->name), how, took_us(l));
}
