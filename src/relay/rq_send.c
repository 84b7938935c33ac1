/* Sends a request to the backend server chosen for it. */
#include "bx.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "room.h"
#include "rq_impl.h"

#define LEFT_MIN_US 2000 /* with less time left nothing is sent */
#define PRIORITY_STEP 3  /* ranks of routes within each rank of workspaces */

void att_free(struct attempt *att)
{
	if (!att) return;
	if (att->hx) hx_cancel(att->hx);
	if (att->replica && !att->replica_freed) att_leave_replica(att);
	att_count_out(att);
	held_set(att, 0);
	be_unref(att->be);
	evs_free(&att->evs);
	ev_free_later(att);
}

int rq_rank(const struct rq *r)
{
	int group =
		r->group && r->group->priority >= 0 ? r->group->priority : PRIORITY_STEP - 1;

	return MIN(group * PRIORITY_STEP + MIN(r->route->priority, PRIORITY_STEP - 1),
		   RQ_PRIORITY_MAX);
}

int rq_rank_class(const struct rq *r)
{
	return (int)core_rank_class((uint32_t)rq_rank(r));
}

/* The priority that engines receive; -1: other servers receive none. */
static int engine_priority(const struct rq *r)
{
	return r->service->engine ? rq_rank(r) : -1;
}

static GString *write_request(const struct attempt *att, const char *copy_at, const char *copy)
{
	const struct rq *r = att->rq;
	GString *out = g_string_sized_new(1024 + r->h->body->len);
	struct dl_send s = {
		.backend = att->be->id,
		.group = r->group ? r->group->name : NULL,
		.deadline_us = r->end_us - clock_us(),
		.priority = copy ? 0 : engine_priority(r),
		.replica_at = att->replica ? att->replica->address : NULL,
		.copy_at = copy_at,
		.copy = copy,
		.resume_after = r->seen.id[0] ? r->seen.id : NULL,
	};

	dl_write_request(out, &r->h->hp.head, r->h->body, &s);
	return out;
}

static void log_sent(const struct attempt *att, const char *copy)
{
	const struct rq *r = att->rq;
	struct be_load all;
	GString *g;

	if (!r->service->engine && r->sends < 2)
		return; /* the log line at its end states the same */
	all = rq_total_load(att->be);
	g = jlog_begin("relay", "request_sent");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_str(g, "backend", att->be->id);
	jlog_str(g, "version", att->be->version);
	jlog_str(g, "resumes", r->in.resumes);
	jlog_str(g, "backup", att->replica ? att->replica->id : NULL);
	jlog_str(g, "copy", copy);
	jlog_str(g, "after_event", r->seen.id[0] ? r->seen.id : NULL);
	jlog_int(g, "send", r->sends);
	jlog_int(g, "prompt", r->job.prompt);
	jlog_int(g, "growth", r->job.growth);
	jlog_int(g, "unread", all.prefill);
	jlog_int(g, "held", all.forecast);
	jlog_int(g, "copies", all.replicas);
	jlog_int(g, "runs", all.runs);
	jlog_end(g);
}

struct attempt *att_start(struct rq *r, struct be *b, const struct be *copy_at,
			  const char *copy)
{
	struct attempt *att;
	int rc;

	if (!rq_may_start_at(r, b)) return NULL;
	att = g_new0(struct attempt, 1);
	att->rq = r;
	att->be = be_ref(b);
	att->from_copy = copy != NULL;
	att->length = AL_NO_LENGTH;
	att->resumed = r->seen.count || r->in.resume_after;
	att->prefill_counted = r->service->engine && !copy;
	att->sent_us = clock_us();
	if (r->service->replicas) att->replica = rq_pick_replica(att);
	if (att->replica) be_ref(att->replica);
	evs_init(&att->evs);
	r->sends++;
	att_note_cold(att);
	ro_note_sent(b, r->sends == 1);
	log_sent(att, copy);
	att->hx = hx_new(att);
	att->hx->on_connected = att_on_up;
	att->hx->on_head = att_on_head;
	att->hx->on_body = att_on_body;
	att->hx->on_end = att_on_end;
	att_count_in(att);
	att->beyond_room = room_is_beyond(b, b->own.runs);
	rc = bx_start(att->hx, b, write_request(att, copy_at ? copy_at->address : NULL, copy),
		      RQ_CONNECT_US);
	if (!rc) {
		if (bx_helper(att->hx)) att->helper = *bx_helper(att->hx);
		return att;
	}
	att->hx = NULL;
	att_free(att);
	return NULL;
}

/* The newest configuration may have removed the key since the request arrived, or be
 * unconfirmed. */
static int still_allowed(struct rq *r)
{
	struct conf *c = cache_conf();

	if (c != r->conf && !rq_key_is_valid(r, c)) {
		rq_refuse(r, REF_UNAUTHORIZED, 0, "the key was removed");
		return 0;
	}
	if (rq_conf_is_confirmed(r)) return 1;
	rq_refuse(r, REF_PLATFORM_DOWN, RETRY_LATER_US, "the configuration is not confirmed");
	return 0;
}

void rq_refuse_drained(struct rq *r)
{
	rq_refuse(r, REF_DC_DRAINED, RETRY_LATER_US,
		  "its servers are in data centres that are drained");
}

void rq_refuse_version_gone(struct rq *r)
{
	rq_refuse(r, REF_VERSION_GONE, 0, "no engine of the stream's version is left");
}

void rq_place(struct rq *r)
{
	const struct be *last = r->attempt ? r->attempt->be : NULL;
	struct be *b;

	if (!mesh_is_current()) {
		rq_refuse(r, REF_NO_TABLE, RETRY_SOON_US,
			  "this instance was suspended and has had no updates since");
		return;
	}
	if (!still_allowed(r) || rq_check_quarantine(r)) return;
	b = rq_granted_server(r);
	if (!b) b = rq_pick(r, last);
	if (!b && last) b = rq_pick(r, NULL);
	if (!b && !rq_has_engine_of_version(r)) {
		rq_refuse_version_gone(r);
		return;
	}
	switch (rq_admit(r, b)) {
	case RQ_ADMIT_WAIT: return;
	case RQ_ADMIT_SEND: break;
	case RQ_ADMIT_LOCALLY:
		if (rq_wait_for_memory(r, b)) return;
		break;
	}
	if (!b && be_only_drained(r->service->name)) {
		rq_refuse_drained(r);
		return;
	}
	if (!b && rq_wait_for_rate(r)) return;
	if (!b) {
		rq_refuse(r, REF_NO_ENGINE, RETRY_LATER_US,
			  "no usable backend server is known");
		return;
	}
	if (r->end_us - clock_us() < LEFT_MIN_US || !rq_can_answer_in_time(r, b)) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "too little time is left");
		return;
	}
	if (rq_confirm_incarnation(r, b)) return;
	if (r->service->engine) rq_count_placed();
	att_free(r->attempt);
	r->attempt = att_start(r, b, NULL, NULL);
	rq_admission_sent(r);
	if (!r->attempt)
		rq_refuse(r, REF_INTERNAL, RETRY_LATER_US, "no connection can be made");
}
