/*
 * Running streams leave an engine that goes away. Either a running copy of the memory is kept
 * at another engine already (a backup), or the memory is moved on request: first while the
 * source runs, then the rest with the source stopped. The reader's stream goes on with the
 * event after the last one that it has.
 */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <errno.h>
#include <stddef.h>
#include <string.h>

#define SETTLE_US 400000     /* a prompt's memory crosses a link in 0.2 to 0.4 s */
#define AGAIN_US 40000       /* an order that came too early or too soon after another */
#define SOURCE_END_US 100000 /* the source's last events are under way */
#define ORDER_US 4000000 /* moves queue on their links; the source lives two seconds or so */
#define CONNECT_US 250000
#define CALM_US 60000   /* a part of a few tokens that took longer waited for other copies */
#define LAST_US 1200000 /* after the notice the source is stopped all the same */
#define TURN_MAX_US 1000000 /* engines leave some two seconds after their notice */
#define TRIES_MAX 12

static void log_move(const struct rq *r, const char *event, int status)
{
	const struct move *m = &r->move;
	GString *g = jlog_begin("relay", event);

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "from", m->source ? m->source->id : r->leg->be->id);
	jlog_str(g, "to", m->target ? m->target->id : NULL);
	if (status) jlog_int(g, "status", status);
	jlog_int(g, "tries", m->tries);
	jlog_str(g, "after_event", r->seen.id);
	jlog_end(g);
}

static void forget_ends(struct move *m)
{
	be_unref(m->source);
	be_unref(m->target);
	m->source = m->target = NULL;
}

static void ignore_end(struct hx *x, int err)
{
	(void)x; /* a copy that was not dropped runs out by itself */
	(void)err;
}

static void copy_drop(struct be *at, const char *name)
{
	GString *out = g_string_new(NULL);
	struct hx *x = hx_new(NULL);

	dl_write_drop(out, at, name);
	x->on_end = ignore_end;
	x->wait_us = ORDER_US;
	hx_start(x, &at->sa, out, CONNECT_US);
}

/* What was copied for a move that did not come to its end takes memory until it is dropped. */
static void drop_made(struct move *m)
{
	if (m->handle[0] && m->target) copy_drop(m->target, m->handle);
	m->handle[0] = '\0';
}

void move_stop(struct rq *r)
{
	struct move *m = &r->move;

	ev_stop(&m->timer);
	if (m->hx) hx_cancel(m->hx);
	m->hx = NULL;
	drop_made(m);
	m->stopped = 0;
	if (m->body) g_string_free(m->body, TRUE);
	m->body = NULL;
	forget_ends(m);
	m->state = MOVE_NONE;
}

static void go_on_at(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	r->move.state = MOVE_NEXT;
	rq_count_repeat(r);
	r->next = leg_start(r, b, copy_at, copy);
	if (!r->next) move_refused(r);
}

static int backup_usable(const struct rq *r)
{
	const struct be *b = r->leg->backup;

	return b && !r->leg->copy_bad && r->leg->first_us && be_usable(b, clock_us());
}

int move_to_backup(struct rq *r)
{
	struct be *b;

	if (r->move.state == MOVE_NEXT) return 0;
	if (!r->leg || !backup_usable(r)) return -ENOENT;
	move_stop(r);
	b = r->leg->backup;
	r->move.source = be_ref(r->leg->be);
	r->move.target = be_ref(b);
	log_move(r, "stream_to_backup", 0);
	go_on_at(r, b, r->leg->be, r->in.id);
	return 0;
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

static void order(struct rq *r, int last);

static void later(struct rq *r, int64_t in_us)
{
	r->move.state = MOVE_SETTLE;
	ev_in(&r->move.timer, in_us);
}

static void begin_copy(struct rq *r)
{
	struct move *m = &r->move;

	if (source_busy(r)) {
		later(r, AGAIN_US);
		return;
	}
	if (++m->tries > TRIES_MAX) {
		m->state = MOVE_NONE;
		return;
	}
	forget_ends(m);
	m->source = be_ref(r->leg->be);
	m->target = rq_pick(r, m->source, m->source);
	if (!m->target) {
		later(r, AGAIN_US);
		return;
	}
	be_ref(m->target);
	log_move(r, "stream_move", 0);
	m->state = MOVE_COPY;
	order(r, 0);
}

void move_go_on(struct rq *r)
{
	struct move *m = &r->move;
	int64_t whole_us;

	if (m->state != MOVE_SETTLE || m->timer.armed || !r->seen.count) return;
	if (!r->leg || !r->leg->hx || !r->leg->first_us) return;
	if (backup_usable(r)) {
		whole_us = r->leg->first_us + SETTLE_US;
		if (clock_us() >= whole_us)
			move_to_backup(r);
		else
			ev_at(&m->timer, whole_us);
		return;
	}
	if (r->service->moves) begin_copy(r);
}

static void on_timer(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, move.timer));

	switch (r->move.state) {
	case MOVE_SETTLE: move_go_on(r); return;
	case MOVE_LAST: order(r, 1); return;
	case MOVE_NONE:
	case MOVE_COPY:
	case MOVE_NEXT: return;
	}
}

void move_init(struct rq *r)
{
	r->move.timer.fire = on_timer;
}

/* How long the moves of other instances that come first will take on the engine's link. */
static int64_t turn_us(const struct rq *r)
{
	uint64_t bits = (uint64_t)mesh_bare_before(r->leg->be) * r->service->token_bytes * 8;
	int64_t us = r->service->link_mbps > 0 ? (int64_t)(bits / r->service->link_mbps) : 0;

	return MIN(us, TURN_MAX_US);
}

void move_begin(struct rq *r)
{

	if (!r->service->engine || r->route->resumable) return;
	if (r->route->kind != CONF_STREAM || r->move.state != MOVE_NONE) return;
	if (!r->service->moves && !r->service->backups) return;
	r->move.state = MOVE_SETTLE;
	r->move.tries = 0;
	if (!r->leg->backup || r->leg->copy_bad) ev_in(&r->move.timer, turn_us(r));
	move_go_on(r);
}

/* The source has stopped and its memory is at the target, or still at the source. */
static void use_handle(struct rq *r)
{
	struct move *m = &r->move;

	go_on_at(r, m->target, m->source, m->handle);
}

static void lost(struct rq *r, const char *why)
{
	move_stop(r);
	if (r->leg->hx) return; /* the source still runs: nothing is lost yet */
	r->runs++;
	rq_fail(r, REF_STREAM_LOST, why);
}

/* An engine names a copy anew, or goes on with the one that it has named. */
static void drop_unless_same(struct move *m, const struct dl_moved *moved)
{
	if (strcmp(m->handle, moved->handle)) drop_made(m);
	g_strlcpy(m->handle, moved->handle, sizeof m->handle);
}

/* While other copies are before it on the links, the last part would wait for them with the
 * source stopped: the next part is copied with the source running, until one goes quickly or
 * the time is short. */
static int may_copy_again(const struct rq *r)
{
	int64_t now = clock_us();

	if (now - r->move.ordered_us < CALM_US) return 0;
	return now - r->move.source->since_us < LAST_US;
}

static void on_copied(struct rq *r, int status, const struct dl_moved *moved)
{
	drop_unless_same(&r->move, moved);
	switch (status) {
	case 200:
		if (may_copy_again(r)) {
			order(r, 0);
			return;
		}
		r->move.state = MOVE_LAST;
		order(r, 1);
		return;
	default: later(r, AGAIN_US);
	}
}

static void on_last(struct rq *r, int status, const struct dl_moved *moved)
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
			use_handle(r);
		return;
	}
	if (status == 409 && ++m->tries <= TRIES_MAX) {
		ev_in(&m->timer, AGAIN_US);
		return;
	}
	if (m->stopped) {
		/* No room there: the memory is kept at the source, which may go on with it. */
		be_unref(m->target);
		m->target = be_ref(m->source);
		use_handle(r);
		return;
	}
	if (r->leg->hx)
		later(r, AGAIN_US);
	else
		lost(r, "the source stopped and its memory was not moved");
}

static void on_order_end(struct hx *x, int err)
{
	struct rq *r = x->user;
	struct move *m = &r->move;
	struct dl_moved moved = {.handle = "", .events = -1};
	int status = err ? 0 : x->hp.head.status;

	m->hx = NULL;
	if (!err) dl_read_moved(m->body->str, m->body->len, &moved);
	log_move(r, m->state == MOVE_COPY ? "move_copied" : "move_stopped", err ? err : status);
	if (m->state == MOVE_COPY)
		on_copied(r, status, &moved);
	else
		on_last(r, status, &moved);
}

static int on_order_body(struct hx *x, const char *p, size_t n)
{
	struct rq *r = x->user;

	if (r->move.body->len + n > 65536) return -EMSGSIZE;
	g_string_append_len(r->move.body, p, n);
	return 0;
}

static void order(struct rq *r, int last)
{
	struct move *m = &r->move;
	GString *out = g_string_new(NULL);

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
	if (!hx_start(m->hx, &m->source->sa, out, CONNECT_US)) return;
	m->hx = NULL;
	later(r, AGAIN_US);
}

int move_source_ended(struct rq *r)
{
	struct move *m = &r->move;

	switch (m->state) {
	case MOVE_NEXT: return 1;
	case MOVE_LAST:
		if (m->hx) return 1;
		if (!m->stopped) break;
		ev_stop(&m->timer);
		use_handle(r);
		return 1;
	case MOVE_NONE:
	case MOVE_SETTLE:
	case MOVE_COPY: break;
	}
	move_stop(r);
	return 0;
}

void move_answered(struct rq *r)
{
	struct leg *old = r->leg;

	r->leg = r->next;
	r->next = NULL;
	if (old->backup == r->leg->be) old->copy_freed = 1; /* the copy was taken over */
	leg_free(old);
	log_move(r, "stream_went_on", 0);
	r->move.handle[0] = '\0';
	move_stop(r);
}

/* The copy can't be used: the source goes on if it still runs, or is asked again. */
void move_refused(struct rq *r)
{
	struct move *m = &r->move;
	int by_handle = m->stopped;

	leg_free(r->next);
	r->next = NULL;
	log_move(r, "copy_refused", 0);
	if (r->leg->hx && !by_handle) {
		r->leg->copy_bad = 1;
		leg_recount(r->leg);
		if (r->leg->be->state == BE_READY)
			move_stop(r);
		else
			later(r, AGAIN_US);
		return;
	}
	if (by_handle && m->target != m->source && ++m->tries <= TRIES_MAX) {
		be_unref(m->target);
		m->target = be_ref(m->source);
		use_handle(r);
		return;
	}
	lost(r, "the copy of its memory could not be used");
}
