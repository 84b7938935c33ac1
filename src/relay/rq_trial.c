/* The single run of a request whose quarantine, or that of one of its segments, has run out. It
 * waits until the instance that grants such runs has answered. */
#include "clock.h"
#include "quarantine.h"
#include "rq_impl.h"
#include <errno.h>
#include <stddef.h>

/* Several round trips between regions. */
#define ANSWER_US 200000

static void on_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, trial_timer));

	rq_refuse_quarantined(r, &r->trial_fp);
}

int rq_begin_trial(struct rq *r, const struct fp *fp)
{
	int rc;

	if (r->sends)
		rc = -EBUSY; /* it ran before */
	else
		rc = r->on_trial ? 0 : quarantine_ask_trial(fp); /* allowed, then queued */
	if (!rc) {
		r->on_trial = 1;
		return 0;
	}
	if (rc != -EINPROGRESS) {
		rq_refuse_quarantined(r, fp);
		return 1;
	}
	r->trial_fp = *fp;
	r->trial_timer.fire = on_timer;
	ev_in(&r->trial_timer, ANSWER_US);
	return 1;
}

static struct rq *find_waiting(const struct fp *fp)
{
	uint32_t i;

	for (i = 0; i < rq_all->len; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (r->trial_timer.armed && fp_equal(&r->trial_fp, fp)) return r;
	}
	return NULL;
}

void rq_on_trial_answer(const struct fp *fp, int granted)
{
	struct rq *r = find_waiting(fp);

	if (!r) return;
	ev_stop(&r->trial_timer);
	if (!granted) {
		rq_refuse_quarantined(r, fp);
		return;
	}
	r->on_trial = 1;
	rq_place(r);
}
