/* Sending a request to the backend server that was chosen for it. */
#include "bx.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"

#define LEFT_MIN_US 2000 /* with less time left nothing is sent any more */
#define PRIORITY_STEP 3  /* workspaces before routes: three ranks of routes in each */

void leg_free(struct leg *l)
{
	if (!l) return;
	if (l->hx) hx_cancel(l->hx);
	if (l->backup && !l->copy_freed) leg_leave_copy(l);
	leg_count_out(l);
	be_unref(l->be);
	evs_free(&l->evs);
	ev_free_later(l);
}

int rq_rank(const struct rq *r)
{
	int group =
		r->group && r->group->priority >= 0 ? r->group->priority : PRIORITY_STEP - 1;

	return MIN(group * PRIORITY_STEP + MIN(r->route->priority, PRIORITY_STEP - 1),
		   RQ_PRIORITY_MAX);
}

/* As engines are told it; -1: another server, which isn't. */
static int priority(const struct rq *r)
{
	return r->service->engine ? rq_rank(r) : -1;
}

static GString *write_request(const struct leg *l, const char *copy_at, const char *copy)
{
	const struct rq *r = l->rq;
	GString *out = g_string_sized_new(1024 + r->h->body->len);
	struct dl_send s = {
		.backend = l->be->id,
		.group = r->group ? r->group->name : NULL,
		.deadline_us = r->end_us - clock_us(),
		.priority = copy ? 0 : priority(r),
		.replica_at = l->backup ? l->backup->address : NULL,
		.copy_at = copy_at,
		.copy = copy,
		.resume_after = r->seen.id[0] ? r->seen.id : NULL,
	};

	dl_write_request(out, &r->h->hp.head, r->h->body, &s);
	return out;
}

static void log_sent(const struct leg *l, const char *copy)
{
	const struct rq *r = l->rq;
	struct be_load all;
	GString *g;

	if (!r->service->engine && r->sends < 2) return; /* its end tells as much */
	all = rq_load_of(l->be);
	g = jlog_begin("relay", "request_sent");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_str(g, "backend", l->be->id);
	jlog_str(g, "backup", l->backup ? l->backup->id : NULL);
	jlog_str(g, "copy", copy);
	jlog_str(g, "after_event", r->seen.id[0] ? r->seen.id : NULL);
	jlog_int(g, "send", r->sends);
	jlog_int(g, "prompt", r->job.prompt);
	jlog_int(g, "growth", r->job.growth);
	jlog_int(g, "unread", all.unread);
	jlog_int(g, "held", all.held);
	jlog_int(g, "copies", all.backup);
	jlog_int(g, "runs", all.runs);
	jlog_end(g);
}

struct leg *leg_start(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	struct leg *l = g_new0(struct leg, 1);
	int rc;

	l->rq = r;
	l->be = be_ref(b);
	l->from_copy = copy != NULL;
	l->reading = r->service->engine && !copy;
	l->sent_us = clock_us();
	if (r->service->backups) l->backup = rq_pick_backup(l);
	if (l->backup) be_ref(l->backup);
	evs_init(&l->evs);
	r->sends++;
	leg_note_cold(l);
	ro_note_sent(b, r->sends == 1);
	log_sent(l, copy);
	l->hx = hx_new(l);
	l->hx->on_connected = leg_on_up;
	l->hx->on_head = leg_on_head;
	l->hx->on_body = leg_on_body;
	l->hx->on_end = leg_on_end;
	leg_count_in(l);
	rc = bx_start(l->hx, b, write_request(l, copy_at ? copy_at->address : NULL, copy),
		      RQ_CONNECT_US);
	if (!rc) return l;
	l->hx = NULL;
	leg_free(l);
	return NULL;
}

/* The newest configuration may have moved the route or taken the key since the request came. */
static int still_allowed(struct rq *r)
{
	struct conf *c = board_conf();

	if (c != r->conf && !rq_key_known(r, c)) {
		rq_refuse(r, REF_UNAUTHORIZED, 0, "the key was taken away");
		return 0;
	}
	if (rq_confirmed(r)) return 1;
	rq_refuse(r, REF_PLATFORM_DOWN, RETRY_LATER_US, "the configuration is not confirmed");
	return 0;
}

void rq_refuse_drained(struct rq *r)
{
	rq_refuse(r, REF_DC_DRAINED, RETRY_LATER_US,
		  "its servers are in data centres that are drained");
}

void rq_place(struct rq *r)
{
	const struct be *last = r->leg ? r->leg->be : NULL;
	struct be *b;

	if (!mesh_is_awake()) {
		rq_refuse(r, REF_NO_TABLE, RETRY_SOON_US,
			  "this instance stood still and has not heard from others since");
		return;
	}
	if (!still_allowed(r) || rq_is_held_off(r)) return;
	b = rq_pick(r, last);
	if (!b && last) b = rq_pick(r, NULL);
	if (rq_wait(r, b)) return;
	if (!b && be_only_drained(r->service->name)) {
		rq_refuse_drained(r);
		return;
	}
	if (!b && rq_wait_turn(r)) return;
	if (!b) {
		rq_refuse(r, REF_NO_ENGINE, RETRY_LATER_US,
			  "no usable backend server is known");
		return;
	}
	if (r->end_us - clock_us() < LEFT_MIN_US || !rq_in_time(r, b)) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "too little time is left");
		return;
	}
	if (r->service->engine) rq_count_placed();
	leg_free(r->leg);
	r->leg = leg_start(r, b, NULL, NULL);
	if (!r->leg) rq_refuse(r, REF_INTERNAL, RETRY_LATER_US, "no connection can be made");
}
