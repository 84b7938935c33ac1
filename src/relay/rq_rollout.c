/* Evidence about the versions of servers from the exchanges of requests. */
#include "clock.h"
#include "pace.h"
#include "ro.h"
#include "rq_impl.h"

/* For a stream the time to its first event: the rest depends on the request. -1: no evidence of
 * speed. */
static int64_t took_us(const struct attempt *att)
{
	if (att->from_copy || att->was_cold) return -1;
	return (att->first_us ? att->first_us : clock_us()) - att->sent_us;
}

void att_note_cold(struct attempt *att)
{
	att->was_cold = pace_cold_until_us(att->be, att->rq->service, clock_us()) != 0 ||
			att->be->cold_until_us > clock_us();
}

void att_report_outcome(const struct attempt *att, enum ro_result how)
{
	ro_note_result(att->be, g_str_hash(att->rq->route->name), how, took_us(att));
}
