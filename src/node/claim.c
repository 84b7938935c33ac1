/* Sends operations on claims to the home of their shard and waits for the reply. */
#include "claim.h"
#include "clock.h"
#include "hash.h"
#include "met.h"
#include "node.h"
#include "req.h"
#include "view.h"
#include <errno.h>
#include <string.h>

#define REPLY_MARGIN_US 500000 /* waited for the reply beyond the platform's time-out */

uint32_t claim_shard_of(const char *key)
{
	return (uint32_t)(hash_name(key) % CLAIM_SHARDS);
}

void claim_op_init(struct claim_op *op, const char *group, const char *service,
		   const char *idem_key, uint64_t body_hash, int64_t ttl_ms)
{
	char *name = g_strdup_printf("%s\n%s\n%s", group, service, idem_key);
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);

	memset(op, 0, sizeof *op);
	g_strlcpy(op->key, hex, sizeof op->key);
	g_snprintf(op->attempt, sizeof op->attempt, "%016llx%08x%08x",
		   (unsigned long long)node.self.id, g_random_int(), g_random_int());
	op->body_hash = body_hash;
	op->ttl_ms = ttl_ms;
	g_free(hex);
	g_free(name);
}

static uint64_t home_of(const struct claim_op *op)
{
	struct view *v = view_get();
	uint64_t home = 0;

	if (v)
		home = view_owner(v->member, v->nmembers, NULL,
				  hash_score(0, claim_shard_of(op->key)));
	view_unref(v);
	return home ? home : node.self.id;
}

static int send_op(const struct claim_op *op, uint64_t request)
{
	struct wire_msg m = {.type = WIRE_CLAIM};
	uint64_t home = home_of(op);

	if (home == node.self.id) return claims_post(home, request, op);
	m.u.claim.request = request;
	m.u.claim.op = *op;
	return ticket_send(home, &m);
}

static int read_reply(const struct req_msg *m, struct claim_reply *out)
{
	if (m->type != REQ_CLAIM_REPLY) return 0;
	out->result = (enum claim_result)m->u.claimed.result;
	out->status = m->u.claimed.status;
	strcpy(out->content_type, m->u.claimed.content);
	out->answer_len = m->len;
	out->answer = g_memdup2(m->data, m->len + 1);
	return 1;
}

/* Finds the reply and frees all messages; a plain call needs none of the others. */
static int find_reply(struct req_msg *m, struct claim_reply *out)
{
	struct req_msg *next;
	int found = 0;

	for (; m; m = next) {
		next = m->next;
		if (!found) found = read_reply(m, out);
		g_free(m);
	}
	return found;
}

void claim_execute(struct req *r, const struct claim_op *op, struct claim_reply *out)
{
	int64_t until = clock_us() + node.cfg.platform_timeout_ms * 1000 + REPLY_MARGIN_US;
	struct claim_op release;

	memset(out, 0, sizeof *out);
	out->result = CLAIM_UNAVAILABLE;
	if (send_op(op, req_handle(r))) return;
	while (clock_us() < until)
		if (find_reply(req_wait(r, until), out)) return;
	if (op->type != CLAIM_OP_ACQUIRE) return;
	/* The call is not sent, so a claim that is made later must be released. */
	release = *op;
	release.type = CLAIM_OP_RELEASE;
	send_op(&release, req_handle(r));
}

void claim_reply_free(struct claim_reply *r)
{
	g_free(r->answer);
	r->answer = NULL;
}
