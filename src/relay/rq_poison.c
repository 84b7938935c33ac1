/* Backend servers that end untold under requests: seen here, and what it means for the tries of
 * these requests. */
#include "clock.h"
#include "met.h"
#include "quarantine.h"
#include "rq_impl.h"
#include <errno.h>
#include <stddef.h>

/* Whether a server ended is found out by a connection to it: one that is there takes it in some
 * ms, one that ended refuses it. */
#define FIND_OUT_US 400000
/* After that the last exchanges that it ended have been noticed, too. */
#define COLLECT_US 30000
/* A stream that goes on for so long after its first event has come through as far as its engine
 * is concerned: what ends engines does so as it begins. */
#define BEGUN_US 1000000
#define FLOWING_US 500000 /* its last event is no older: else its engine may have ended */
/* Runs of the same under way have answered by then, or ended their servers. */
#define RETRY_SUSPECT_US 1000000

/* A server on which exchanges broke off. */
struct crash_check {
	struct cn probe;
	struct ev_timer timer;
	struct be *be;
	GArray *run; /* of struct poison_run */
	int64_t at_us;
	int ended; /* it takes no connections */
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

static void on_found_out(struct ev_timer *t)
{
	struct crash_check *ck =
		(struct crash_check *)((char *)t - offsetof(struct crash_check, timer));

	if (ck->ended)
		quarantine_note_crash(ck->be,
				      (const struct quarantine_run *)(void *)ck->run->data,
				      (int)ck->run->len, ck->at_us);
	g_ptr_array_remove_fast(checks, ck);
	cn_reset(&ck->probe);
	be_unref(ck->be);
	g_array_free(ck->run, TRUE);
	ev_free_later(ck);
}

static void has_ended(struct crash_check *ck)
{
	if (ck->ended) return;
	ck->ended = 1;
	ev_in(&ck->timer, COLLECT_US);
}

static void on_probe_up(struct cn *c)
{
	cn_reset(c); /* it lives: its connections alone were reset */
}

static void on_probe_data(struct cn *c, const char *p, size_t n)
{
	(void)c;
	(void)p;
	(void)n;
}

static void on_probe_end(struct cn *c, int err)
{
	cn_reset(c);
	if (err == -ECONNREFUSED) has_ended((struct crash_check *)c);
}

static struct crash_check *check_new(struct be *b)
{
	struct crash_check *ck = g_new0(struct crash_check, 1);

	ck->be = be_ref(b);
	ck->run = g_array_new(FALSE, FALSE, sizeof(struct quarantine_run));
	ck->at_us = clock_us();
	ck->timer.fire = on_found_out;
	ck->probe = (struct cn){
		.on_connected = on_probe_up, .on_data = on_probe_data, .on_end = on_probe_end};
	if (!checks) checks = g_ptr_array_new();
	g_ptr_array_add(checks, ck);
	ev_in(&ck->timer, FIND_OUT_US);
	met_add(MET_PROBES, 1);
	if (cn_connect(&ck->probe, &b->sa) == -ECONNREFUSED) has_ended(ck);
	return ck;
}

/* Closed by the server's side, with no word before that it leaves. */
static int may_have_ended(const struct be *b, int err)
{
	return !be_leaves(b) && (err == -EPIPE || err == -ECONNRESET);
}

void leg_note_broken(const struct leg *l, int err)
{
	struct quarantine_run run = {.fp = *rq_fp(l->rq), .ran_us = clock_us() - l->sent_us};
	struct crash_check *ck = find_check(l->be);

	if (!ck && !may_have_ended(l->be, err)) return;
	if (!ck) ck = check_new(l->be);
	g_array_append_val(ck->run, run);
}

void leg_note_refused(const struct leg *l)
{
	struct crash_check *ck = find_check(l->be);

	if (ck) has_ended(ck);
}

void leg_note_life_over(const struct be *b)
{
	struct crash_check *ck = find_check(b);

	if (ck) has_ended(ck);
}

static int is_unanswered(const struct rq *r)
{
	return r->leg && r->leg->hx && !r->leg->answered;
}

static int has_come_through(const struct rq *r)
{
	const struct leg *l = r->leg;

	if (!l || !l->hx || !l->first_us || clock_us() - r->event_us > FLOWING_US) return 0;
	return r->event_us - l->first_us >= BEGUN_US;
}

/* Runs that broke off a moment ago: whether their servers ended is being found out. */
static uint32_t count_broken(const struct fp *fp)
{
	uint32_t i, k, n = 0;

	for (i = 0; checks && i < checks->len; i++) {
		const struct crash_check *ck = g_ptr_array_index(checks, i);

		for (k = 0; k < ck->run->len; k++)
			n += fp_equal(&g_array_index(ck->run, struct quarantine_run, k).fp, fp);
	}
	return n;
}

static uint32_t count_unanswered(const struct fp *fp, const struct rq *but)
{
	uint32_t i, n = count_broken(fp);

	for (i = 0; i < rq_all->len; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (r != but && is_unanswered(r)) n += fp_equal(rq_fp(r), fp);
	}
	return n;
}

static uint32_t look(const struct fp *fp, int *through)
{
	uint32_t i;

	for (i = 0; i < rq_all->len && !*through; i++) {
		struct rq *r = g_ptr_array_index(rq_all, i);

		if (has_come_through(r)) *through = fp_equal(rq_fp(r), fp);
	}
	return count_unanswered(fp, NULL);
}

static void on_blocked(const struct fp *fp)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (fp_equal(rq_fp(r), fp)) rq_block(r);
	}
}

void rq_came_through(struct rq *r)
{
	quarantine_note_success(rq_fp(r));
}

int rq_is_held_off(struct rq *r)
{
	const struct fp *fp;

	if (!quarantine_has_suspects()) return 0;
	fp = rq_fp(r);
	switch (quarantine_check(fp, count_unanswered(fp, r))) {
	case QUAR_FREE: return 0;
	case QUAR_TRIAL: r->on_trial = 1; return 0;
	case QUAR_BLOCKED: rq_block(r); return 1;
	case QUAR_WAIT: break;
	}
	rq_refuse(r, REF_SUSPECT, RETRY_SUSPECT_US,
		  "servers ended while it ran, and others of it are under way");
	return 1;
}

void rq_poison_start(int first_start)
{
	static const struct quarantine_hooks hooks = {on_blocked, look};

	quarantine_start(first_start, &hooks);
}
