/* A stream's memory is copied on order: part by part while the source runs, and the last part
 * with the source stopped. */
#include "bx.h"
#include "clock.h"
#include "met.h"
#include "pace.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

#define SOURCE_END_US 100000 /* the source's last events are under way */
#define ORDER_US 4000000 /* moves queue on their links; the source lives two seconds or so */
#define ORDER_ANSWER_MAX 65536 /* bytes: it holds a name and a number */
#define NOT_RUNNING_US 100000  /* a prompt is read in some hundred ms */
#define CALM_US 60000 /* a part of a few tokens that took longer waited for other copies */
#define MOVE_PACED_US 100000 /* how often an order waits anew for its turn at the source */
#define LAST_US 1200000      /* after the notice the source is stopped all the same */

static void ignore_end(struct hx *x, int err)
{
	(void)x; /* a copy that was not dropped runs out by itself */
	(void)err;
}

/* Not where the server bears only so many requests: the copy runs out by itself. */
static void copy_drop(struct be *at, const char *name)
{
	GString *out;
	struct hx *x;

	if (pace_wait_us(at, conf_service(board_conf(), at->service), clock_us())) return;
	out = g_string_new(NULL);
	x = hx_new(NULL);
	dl_write_release(out, at, name);
	x->on_end = ignore_end;
	x->wait_us = ORDER_US;
	bx_start(x, at, out, RQ_CONNECT_US);
}

void move_drop_copy(struct move *m)
{
	if (m->handle[0] && m->target) copy_drop(m->target, m->handle);
	m->handle[0] = '\0';
}

/* One move at a time from each engine: they share its link, and the first should be whole. */
static int source_busy(const struct rq *r)
{
	uint32_t i;

	for (i = 0; i < rq_all->len; i++) {
		const struct rq *o = g_ptr_array_index(rq_all, i);

		if (o == r || !o->leg || o->leg->be != r->leg->be) continue;
		if (o->move.state == MOVE_COPY || o->move.state == MOVE_LAST) return 1;
	}
	return 0;
}

void move_copy_begin(struct rq *r)
{
	struct move *m = &r->move;

	if (source_busy(r)) {
		move_later(r, MOVE_AGAIN_US);
		return;
	}
	if (++m->tries > MOVE_TRIES_MAX) {
		m->state = MOVE_NONE;
		leg_recount(r->leg); /* others need not wait for it */
		return;
	}
	move_forget_ends(m);
	m->source = be_ref(r->leg->be);
	m->target = rq_pick_target(r, m->source);
	if (!m->target) {
		move_later(r, MOVE_AGAIN_US);
		return;
	}
	be_ref(m->target);
	move_count_inbound(m, r->job.prompt + rq_made(r));
	m->refusals = 0;
	move_log(r, "stream_move", 0);
	m->state = MOVE_COPY;
	move_order(r, 0);
}

/* An engine names a copy anew, or goes on with the one that it has named. */
static void drop_unless_same(struct move *m, const struct dl_move_reply *moved)
{
	if (strcmp(m->handle, moved->handle)) move_drop_copy(m);
	g_strlcpy(m->handle, moved->handle, sizeof m->handle);
}

/* While other copies are before it on the links, the last part would wait for them with the
 * source stopped: the next part is copied with the source running, until one goes quickly or
 * the time is short. */
static int may_copy_again(const struct rq *r)
{
	if (clock_us() - r->move.ordered_us < CALM_US) return 0;
	return be_left_for_us(r->move.source) < LAST_US;
}

/* Its engine has put it off for lack of memory: there is nothing to copy until it is read
 * anew. */
static void not_running(struct rq *r)
{
	met_add(MET_PREEMPTIONS, 1);
	if (be_leaves(r->move.source))
		move_later(r, NOT_RUNNING_US);
	else
		move_stop(r);
}

/* Where the rest finds no room it goes on at its source, if it still may then: one that
 * nothing drives away runs to its end there. */
static int may_stop(const struct rq *r)
{
	const struct be *b = r->move.source;

	return !b->drained_us || be_may_go_on(b) || b->state != BE_READY;
}

static void on_copied(struct rq *r, int status, const struct dl_move_reply *moved)
{
	drop_unless_same(&r->move, moved);
	switch (status) {
	case 200:
		if (may_copy_again(r)) {
			move_order(r, 0);
			return;
		}
		if (!may_stop(r)) {
			move_stop(r);
			return;
		}
		r->move.state = MOVE_LAST;
		move_order(r, 1);
		return;
	case 404: not_running(r); return;
	case 503: be_no_room(r->move.target); /* fall through */
	default: move_later(r, MOVE_AGAIN_US);
	}
}

static void on_last(struct rq *r, int status, const struct dl_move_reply *moved)
{
	struct move *m = &r->move;

	if (moved->handle[0]) {
		g_strlcpy(m->handle, moved->handle, sizeof m->handle);
		m->stopped = 1;
	}
	if (status == 200 && m->stopped) {
		if (r->leg->hx)
			ev_in(&m->timer, SOURCE_END_US);
		else
			move_use_handle(r);
		return;
	}
	if (status == 409 && ++m->tries <= MOVE_TRIES_MAX) {
		ev_in(&m->timer, MOVE_AGAIN_US);
		return;
	}
	if (m->stopped) {
		/* No room there. */
		move_use_source(r);
		return;
	}
	if (r->leg->hx)
		move_later(r, MOVE_AGAIN_US);
	else
		move_lost(r, "the source stopped and its memory was not moved");
}

static void on_order_end(struct hx *x, int err)
{
	struct rq *r = x->user;
	struct move *m = &r->move;
	struct dl_move_reply moved = {.handle = ""};
	int status = err ? 0 : x->hp.head.status;

	m->hx = NULL;
	if (!err) dl_read_move_reply(m->body->str, m->body->len, &moved);
	move_log(r, m->state == MOVE_COPY ? "move_copied" : "move_stopped", err ? err : status);
	if (m->state == MOVE_COPY)
		on_copied(r, status, &moved);
	else
		on_last(r, status, &moved);
}

static int on_order_body(struct hx *x, const char *p, size_t n)
{
	struct rq *r = x->user;

	if (r->move.body->len + n > ORDER_ANSWER_MAX) return -EMSGSIZE;
	g_string_append_len(r->move.body, p, n);
	return 0;
}

void move_order(struct rq *r, int last)
{
	struct move *m = &r->move;
	int64_t wait_us = pace_wait_us(m->source, r->service, clock_us());
	GString *out;

	if (wait_us) {
		ev_in(&m->timer, MIN(wait_us, MOVE_PACED_US));
		return;
	}
	out = g_string_new(NULL);
	if (m->body)
		g_string_truncate(m->body, 0);
	else
		m->body = g_string_new(NULL);
	dl_write_move(out, m->source, r->in.id, m->target->address, last);
	m->ordered_us = clock_us();
	m->hx = hx_new(r);
	m->hx->on_body = on_order_body;
	m->hx->on_end = on_order_end;
	m->hx->wait_us = ORDER_US;
	if (!bx_start(m->hx, m->source, out, RQ_CONNECT_US)) return;
	m->hx = NULL;
	move_later(r, MOVE_AGAIN_US);
}
