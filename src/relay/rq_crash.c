/* Detects crashes of backend servers under requests: a server on which exchanges broke off is
 * checked until it is known whether it crashed. */
#include "clock.h"
#include "quarantine.h"
#include "rq_impl.h"
#include <errno.h>
#include <stddef.h>

/* Whether a server crashed is found by a check of the path to it: a live server accepts a
 * connection within some ms, a crashed one refuses it. */
#define CHECK_TIMEOUT_US 400000
/* Time after a refusal for the remaining exchanges that the crash broke off to be noticed, and
 * for another instance to reach the server after all. */
#define COLLECT_US 30000
/* By then after exchanges broke off the path that broke them is found to be lost. */
#define PATH_LOSS_US 100000

/* A server on which exchanges broke off. */
struct crash_check {
	struct ev_timer timer;
	struct be *be;
	GArray *runs; /* of struct quarantine_run */
	int64_t at_us;
	int crashed; /* it refuses connections */
	int alive;   /* another instance reaches it */
};

static GPtrArray *checks;

static struct crash_check *find_check(const struct be *b)
{
	uint32_t i;

	for (i = 0; checks && i < checks->len; i++) {
		struct crash_check *ck = g_ptr_array_index(checks, i);

		if (ck->be == b) return ck;
	}
	return NULL;
}

static void on_check_done(struct ev_timer *t)
{
	struct crash_check *ck =
		(struct crash_check *)((char *)t - offsetof(struct crash_check, timer));
	struct quarantine_run *run = (struct quarantine_run *)(void *)ck->runs->data;

	/* Where no server is reached, a refusal does not tell that this one crashed. */
	if (!ck->alive && path_is_lost_since(ck->at_us + PATH_LOSS_US))
		quarantine_note_broken(ck->be, run, (int)ck->runs->len, ck->at_us);
	else if (ck->crashed)
		quarantine_note_crash(ck->be, run, (int)ck->runs->len, ck->at_us);
	g_ptr_array_remove_fast(checks, ck);
	be_unref(ck->be);
	g_array_free(ck->runs, TRUE);
	ev_free_later(ck);
}

static void mark_crashed(struct crash_check *ck)
{
	if (ck->crashed) return;
	ck->crashed = 1;
	ev_in(&ck->timer, COLLECT_US);
}

static struct crash_check *check_new(struct be *b)
{
	struct crash_check *ck = g_new0(struct crash_check, 1);

	ck->be = be_ref(b);
	ck->runs = g_array_new(FALSE, FALSE, sizeof(struct quarantine_run));
	ck->at_us = clock_us();
	ck->timer.fire = on_check_done;
	if (!checks) checks = g_ptr_array_new();
	g_ptr_array_add(checks, ck);
	/* Without a path the check tells nothing. */
	ev_in(&ck->timer, path_is_lost_since(ck->at_us) ? COLLECT_US : CHECK_TIMEOUT_US);
	path_check(b);
	return ck;
}

/* Whether the server closed the connection without a notice that it leaves. */
static int may_have_crashed(const struct be *b, int err)
{
	return !be_is_leaving(b) && (err == -EPIPE || err == -ECONNRESET);
}

static struct quarantine_run *find_run(const struct crash_check *ck, const struct fp *fp)
{
	uint32_t i;

	for (i = 0; i < ck->runs->len; i++) {
		struct quarantine_run *r = &g_array_index(ck->runs, struct quarantine_run, i);

		if (fp_equal(&r->fp, fp)) return r;
	}
	return NULL;
}

/* Adds what a request with the segment had run to the sum. */
static void add_segment(struct crash_check *ck, const struct fp *segment,
			const struct quarantine_run *run)
{
	struct quarantine_run *sum = find_run(ck, segment), first = {.fp = *segment,
								     .ran_us = run->ran_us,
								     .request = run->fp};

	if (sum)
		sum->ran_us += run->ran_us;
	else
		g_array_append_val(ck->runs, first);
}

static void add_run(struct crash_check *ck, const struct attempt *att)
{
	const struct dl_request *in = &att->rq->in;
	struct quarantine_run run = {.fp = *rq_fp(att->rq),
				     .ran_us = clock_us() - att->sent_us};
	int i;

	g_array_append_val(ck->runs, run);
	for (i = 0; i < in->nsegments; i++) {
		if (att_has_run_long(att))
			quarantine_note_success(&in->segment[i], att->rq->event_us);
		else
			add_segment(ck, &in->segment[i], &run);
	}
}

void att_note_broken(const struct attempt *att, int err)
{
	struct crash_check *ck = find_check(att->be);

	if (!ck && !may_have_crashed(att->be, err)) return;
	if (!ck) ck = check_new(att->be);
	add_run(ck, att);
}

/* The requester knows the runs, but without a path not whether the server crashed. */
void rq_on_tunnel_broken(struct be *b, int err)
{
	if (!find_check(b) && may_have_crashed(b, err)) check_new(b);
}

void att_note_refused(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (ck) mark_crashed(ck);
}

void att_note_alive(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (!ck) return;
	ck->alive = 1;
	if (!ck->crashed) return;
	ck->crashed = 0;
	ev_in(&ck->timer, 0);
}

void rq_note_incarnation_end(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (ck) mark_crashed(ck);
}

uint32_t crash_count_checks(const struct fp *fp)
{
	uint32_t i, n = 0;

	for (i = 0; checks && i < checks->len; i++)
		n += find_run(g_ptr_array_index(checks, i), fp) != NULL;
	return n;
}

void crash_each_run(void (*f)(const struct fp *fp, void *arg), void *arg)
{
	uint32_t i, k;

	for (i = 0; checks && i < checks->len; i++) {
		const struct crash_check *ck = g_ptr_array_index(checks, i);

		for (k = 0; k < ck->runs->len; k++)
			f(&g_array_index(ck->runs, struct quarantine_run, k).fp, arg);
	}
}
