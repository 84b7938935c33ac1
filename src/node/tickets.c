/* Routes messages of tickets and claims to their receiver, at this instance or another. */
#include "claim.h"
#include "node.h"
#include "peer.h"
#include "req.h"
#include <string.h>

int ticket_send(uint64_t member, const struct wire_msg *m)
{
	if (member != node.self.id) return peer_send(member, m);
	ticket_deliver(m, member);
	return 0;
}

/* Returns a grant whose request is closed; otherwise its slot at the engine would stay
 * reserved. */
static void return_grant(const struct wire_msg *m, uint64_t from)
{
	struct wire_msg done = {.type = WIRE_DONE};

	done.u.done.request = m->u.grant.request;
	ticket_send(from, &done);
}

static void deliver_grant(const struct wire_msg *m, uint64_t from)
{
	struct req_msg *r = req_msg_new(REQ_GRANT, 0, NULL, 0);

	r->u.grant.keeper = from;
	r->u.grant.engine = m->u.grant.engine;
	r->u.grant.waited_us = m->u.grant.waited_us;
	if (req_post_to(m->u.grant.request, r)) return_grant(m, from);
}

static void deliver_refusal(const struct wire_msg *m, uint64_t from)
{
	struct req_msg *r = req_msg_new(REQ_REFUSE, 0, NULL, 0);

	r->u.refuse.keeper = from;
	r->u.refuse.why = m->u.refuse.why;
	r->u.refuse.retry_after_ms = m->u.refuse.retry_after_ms;
	req_post_to(m->u.refuse.request, r);
}

static void deliver_claim_reply(const struct wire_msg *m)
{
	struct req_msg *r =
		req_msg_new(REQ_CLAIM_REPLY, 0, m->u.claimed.answer, m->u.claimed.answer_len);

	r->u.claimed.result = m->u.claimed.result;
	r->u.claimed.status = (int)m->u.claimed.status;
	strcpy(r->u.claimed.content, m->u.claimed.content);
	req_post_to(m->u.claimed.request, r);
}

/* Answers a keeper's check of running tickets: reports those whose request is closed or has
 * another keeper, so that the keeper drops them. */
static void answer_check(const struct wire_msg *m, uint64_t from)
{
	struct wire_msg done = {.type = WIRE_DONE};
	uint32_t i;

	done.u.done.generated = WIRE_UNKNOWN;
	for (i = 0; i < m->u.check.n; i++) {
		done.u.done.request = m->u.check.request[i];
		if (!req_has_keeper(done.u.done.request, from)) ticket_send(from, &done);
	}
}

void ticket_deliver(const struct wire_msg *m, uint64_t from)
{
	switch (m->type) {
	case WIRE_GRANT: deliver_grant(m, from); return;
	case WIRE_REFUSE: deliver_refusal(m, from); return;
	case WIRE_CLAIM: claims_post(from, m->u.claim.request, &m->u.claim.op); return;
	case WIRE_CLAIMED: deliver_claim_reply(m); return;
	case WIRE_CHECK: answer_check(m, from); return;
	default: keeper_post(m, from);
	}
}
