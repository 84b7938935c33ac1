/* Copies a stream's memory on order: part by part while the source runs, and the last part with
 * the source stopped. */
#include "bx.h"
#include "clock.h"
#include "met.h"
#include "pace.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

#define SOURCE_END_US 100000 /* time for the source's last events to arrive */
/* Moves queue on their links; the source runs for two seconds or so. */
#define ORDER_TIMEOUT_US 4000000
#define ORDER_ANSWER_MAX 65536 /* bytes: the answer holds a name and a number */
#define ABSENT_US 100000       /* reading a prompt takes some hundred ms ... */
#define ABSENT_DOUBLINGS 3     /* ... and a run that is over does not come back */
/* A copy of a few tokens that takes longer has waited for other copies. */
#define QUICK_COPY_US 60000
/* Longest wait before the source's rate limit is checked again. */
#define RATE_RECHECK_US 100000
/* Time after the notice to leave from which on the source is stopped in any case. */
#define FINAL_COPY_DUE_US 1200000

static void ignore_end(struct hx *x, int err)
{
	(void)x; /* a copy that was not dropped expires by itself */
	(void)err;
}

/* Asks the server to delete the copy, unless its rate limit allows no request now: then the
 * copy expires by itself. */
static void drop_copy_at(struct be *at, const char *name)
{
	GString *out;
	struct hx *x;

	if (pace_wait_us(at, conf_service(cache_conf(), at->service), clock_us())) return;
	out = g_string_new(NULL);
	x = hx_new(NULL);
	dl_write_release(out, at, name);
	x->on_end = ignore_end;
	x->wait_us = ORDER_TIMEOUT_US;
	bx_start_own(x, at, out, RQ_CONNECT_US);
}

void move_drop_copy(struct move *m)
{
	if (m->handle[0] && m->target) drop_copy_at(m->target, m->handle);
	m->handle[0] = '\0';
}

/* One move at a time from each engine: moves share its link, and the first should complete
 * soon. */
static int source_busy(const struct rq *r)
{
	uint32_t i;

	for (i = 0; i < rq_all->len; i++) {
		const struct rq *o = g_ptr_array_index(rq_all, i);

		if (o == r || !o->attempt || o->attempt->be != r->attempt->be) continue;
		if (o->move.state == MOVE_COPYING || o->move.state == MOVE_FINAL_COPY) return 1;
	}
	return 0;
}

void move_copy_begin(struct rq *r)
{
	struct move *m = &r->move;

	if (source_busy(r)) {
		move_postpone(r, MOVE_RETRY_US);
		return;
	}
	if (++m->tries > MOVE_TRIES_MAX) {
		m->state = MOVE_NONE;
		att_recount(r->attempt); /* instances later in the order need not wait for it */
		return;
	}
	move_clear_servers(m);
	m->source = be_ref(r->attempt->be);
	m->target = rq_pick_move_target(r, m->source);
	if (!m->target) {
		move_postpone(r, MOVE_RETRY_US);
		return;
	}
	be_ref(m->target);
	move_count_inbound(m, r->job.prompt + rq_tokens_made(r));
	m->refusals = 0;
	move_log(r, "stream_move", 0);
	m->state = MOVE_COPYING;
	move_order_copy(r, 0);
}

/* The engine has made a new copy, with another handle, or has continued the present one. Drops
 * the copy that is replaced. */
static void replace_handle(struct move *m, const struct dl_move_reply *moved)
{
	if (strcmp(m->handle, moved->handle)) move_drop_copy(m);
	g_strlcpy(m->handle, moved->handle, sizeof m->handle);
}

/* While other copies queue on the links, the final part would wait for them with the source
 * stopped. So further parts are copied with the source running, until one completes quickly or
 * time is short. */
static int may_copy_again(const struct rq *r)
{
	if (clock_us() - r->move.ordered_us < QUICK_COPY_US) return 0;
	return be_leaving_for_us(r->move.source) < FINAL_COPY_DUE_US;
}

/* The source has preempted the run for lack of memory: there is nothing to copy until the
 * prompt has been read again. Or the run is over, and its end was lost. */
static void source_lacks_run(struct rq *r)
{
	struct attempt *att = r->attempt;

	met_add(MET_PREEMPTIONS, 1);
	if (be_is_leaving(r->move.source))
		move_postpone(r, (int64_t)ABSENT_US << MIN(att->absences, ABSENT_DOUBLINGS));
	else
		move_reset(r);
	att->absences++;
}

/* Whether the source may be stopped. If the target has no memory for the rest, the stream
 * resumes at its source, which a drained data centre may no longer allow; a stream that nothing
 * else forces away then finishes where it is. */
static int may_stop_source(const struct rq *r)
{
	const struct be *b = r->move.source;

	return !b->drained_us || be_may_continue(b) || b->state != BE_READY;
}

static void on_copied(struct rq *r, int status, const struct dl_move_reply *moved)
{
	replace_handle(&r->move, moved);
	switch (status) {
	case 200:
		r->attempt->absences = 0;
		if (may_copy_again(r)) {
			move_order_copy(r, 0);
			return;
		}
		if (!may_stop_source(r)) {
			move_reset(r);
			return;
		}
		r->move.state = MOVE_FINAL_COPY;
		move_order_copy(r, 1);
		return;
	case 404: source_lacks_run(r); return;
	case 503: be_memory_full(r->move.target); /* fall through */
	default: move_postpone(r, MOVE_RETRY_US);
	}
}

static void on_final_copied(struct rq *r, int status, const struct dl_move_reply *moved)
{
	struct move *m = &r->move;

	if (status && status != 200 && !moved->handle[0]) r->attempt->stop_ordered = 0;
	if (moved->handle[0]) {
		g_strlcpy(m->handle, moved->handle, sizeof m->handle);
		m->source_stopped = 1;
	}
	if (status == 200 && m->source_stopped) {
		if (r->attempt->hx)
			ev_in(&m->timer, SOURCE_END_US);
		else
			move_resume_at_target(r);
		return;
	}
	if (status == 409 && ++m->tries <= MOVE_TRIES_MAX) {
		ev_in(&m->timer, MOVE_RETRY_US);
		return;
	}
	if (m->source_stopped) {
		/* The target has no free memory. */
		move_resume_at_source(r);
		return;
	}
	if (r->attempt->hx)
		move_postpone(r, MOVE_RETRY_US);
	else if (status == 404 && r->attempt->may_be_complete)
		att_stream_done(r->attempt, NULL); /* the run was over before the order came */
	else
		move_fail(r, "the source stopped and its memory was not moved");
}

static void on_order_end(struct hx *x, int err)
{
	struct rq *r = x->user;
	struct move *m = &r->move;
	struct dl_move_reply moved = {.handle = ""};
	int status = err ? 0 : x->hp.head.status;

	m->hx = NULL;
	if (!err) dl_read_move_reply(m->body->str, m->body->len, &moved);
	move_log(r, m->state == MOVE_COPYING ? "move_copied" : "move_stopped",
		 err ? err : status);
	if (m->state == MOVE_COPYING)
		on_copied(r, status, &moved);
	else
		on_final_copied(r, status, &moved);
}

static int on_order_body(struct hx *x, const char *p, size_t n)
{
	struct rq *r = x->user;

	if (r->move.body->len + n > ORDER_ANSWER_MAX) return -EMSGSIZE;
	g_string_append_len(r->move.body, p, n);
	return 0;
}

void move_order_copy(struct rq *r, int final)
{
	struct move *m = &r->move;
	int64_t wait_us = pace_wait_us(m->source, r->service, clock_us());
	GString *out;

	if (wait_us) {
		ev_in(&m->timer, MIN(wait_us, RATE_RECHECK_US));
		return;
	}
	out = g_string_new(NULL);
	if (m->body)
		g_string_truncate(m->body, 0);
	else
		m->body = g_string_new(NULL);
	dl_write_move(out, m->source, r->in.id, m->target->address, final);
	if (final) r->attempt->stop_ordered = 1;
	m->ordered_us = clock_us();
	m->hx = hx_new(r);
	m->hx->on_body = on_order_body;
	m->hx->on_end = on_order_end;
	m->hx->wait_us = ORDER_TIMEOUT_US;
	if (!bx_start_own(m->hx, m->source, out, RQ_CONNECT_US)) return;
	m->hx = NULL;
	move_postpone(r, MOVE_RETRY_US);
}
