#include "wire.h"
#include <arpa/inet.h>
#include <string.h>

static void str(msgpack_packer *p, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(p, n);
	msgpack_pack_str_body(p, s, n);
}

static void u64(msgpack_packer *p, uint64_t v)
{
	msgpack_pack_uint64(p, v);
}

static void i64(msgpack_packer *p, int64_t v)
{
	msgpack_pack_int64(p, v);
}

static void info(msgpack_packer *p, const struct mbr_info *i)
{
	msgpack_pack_array(p, 8);
	str(p, i->name);
	str(p, i->dc);
	str(p, i->ip);
	u64(p, i->peer_port);
	u64(p, i->front_port);
	u64(p, i->admin_port);
	u64(p, i->incarnation);
	u64(p, i->state);
}

static void ping(msgpack_packer *p, const struct wire_ping *g)
{
	uint32_t i;

	msgpack_pack_array(p, g->ndocs);
	for (i = 0; i < g->ndocs; i++) {
		msgpack_pack_array(p, 2);
		u64(p, g->doc[i].doc);
		u64(p, g->doc[i].version);
	}
	msgpack_pack_array(p, g->ndigests);
	for (i = 0; i < g->ndigests; i++) {
		msgpack_pack_array(p, 4);
		u64(p, g->digest[i].service);
		u64(p, g->digest[i].free_tokens);
		u64(p, g->digest[i].free_slots);
		u64(p, g->digest[i].waiting);
	}
	msgpack_pack_array(p, g->nupdates);
	for (i = 0; i < g->nupdates; i++) info(p, &g->updates[i]);
	u64(p, g->members_hash);
}

static void ticket(msgpack_packer *p, const struct wire_ticket *t)
{
	u64(p, t->request);
	u64(p, t->group);
	u64(p, t->service);
	u64(p, t->engine);
	u64(p, t->prompt_tokens);
	u64(p, t->generated);
	i64(p, t->age_us);
	i64(p, t->left_us);
}

static uint32_t field_count(enum wire_type t)
{
	switch (t) {
	case WIRE_HELLO: return 2;
	case WIRE_PING:
	case WIRE_ACK: return 4;
	case WIRE_TICKET:
	case WIRE_ADOPT: return 8;
	case WIRE_GRANT:
	case WIRE_REFUSE:
	case WIRE_WITHDRAW:
	case WIRE_DONE:
	case WIRE_DOC: return 3;
	case WIRE_CLAIM: return 9;
	case WIRE_CLAIMED: return 5;
	case WIRE_CHECK: return 1;
	case WIRE_SHARE_ASK:
	case WIRE_SHARE: return 5;
	case WIRE_DOC_GET: return 2;
	}
	return 0;
}

static void bin(msgpack_packer *p, const char *data, uint32_t n)
{
	msgpack_pack_bin(p, n);
	if (n) msgpack_pack_bin_body(p, data, n);
}

static void claim(msgpack_packer *p, const struct wire_msg *m)
{
	const struct claim_op *op = &m->u.claim.op;

	u64(p, m->u.claim.request);
	u64(p, op->type);
	str(p, op->key);
	str(p, op->attempt);
	str(p, op->content_type);
	u64(p, op->body_hash);
	i64(p, op->ttl_ms);
	u64(p, (uint64_t)op->status);
	bin(p, op->answer, op->answer_len);
}

static void claimed(msgpack_packer *p, const struct wire_msg *m)
{
	u64(p, m->u.claimed.request);
	u64(p, m->u.claimed.result);
	u64(p, m->u.claimed.status);
	str(p, m->u.claimed.content);
	bin(p, m->u.claimed.answer, m->u.claimed.answer_len);
}

static void share(msgpack_packer *p, const struct wire_msg *m)
{
	u64(p, m->u.share.seq);
	u64(p, m->u.share.ask.group);
	u64(p, m->u.share.ask.held);
	u64(p, m->u.share.ask.running);
	u64(p, m->u.share.ask.demand);
}

static void check(msgpack_packer *p, const struct wire_msg *m)
{
	uint32_t i;

	msgpack_pack_array(p, m->u.check.n);
	for (i = 0; i < m->u.check.n; i++) u64(p, m->u.check.request[i]);
}

static void doc(msgpack_packer *p, const struct wire_msg *m)
{
	u64(p, m->u.doc.doc);
	u64(p, m->u.doc.version);
	if (m->type != WIRE_DOC) return;
	bin(p, m->u.doc.data, m->u.doc.len);
}

static void encode_body(msgpack_packer *p, const struct wire_msg *m)
{
	msgpack_pack_array(p, field_count(m->type) + 1);
	u64(p, m->type);
	switch (m->type) {
	case WIRE_HELLO:
		str(p, m->u.hello.key);
		info(p, &m->u.hello.self);
		return;
	case WIRE_PING:
	case WIRE_ACK: ping(p, &m->u.ping); return;
	case WIRE_TICKET:
	case WIRE_ADOPT: ticket(p, &m->u.ticket); return;
	case WIRE_GRANT:
		u64(p, m->u.grant.request);
		u64(p, m->u.grant.engine);
		i64(p, m->u.grant.waited_us);
		return;
	case WIRE_REFUSE:
		u64(p, m->u.refuse.request);
		u64(p, m->u.refuse.why);
		u64(p, m->u.refuse.retry_after_ms);
		return;
	case WIRE_WITHDRAW:
	case WIRE_DONE:
		u64(p, m->u.done.request);
		u64(p, m->u.done.generated);
		u64(p, m->u.done.failed);
		return;
	case WIRE_CLAIM: claim(p, m); return;
	case WIRE_CLAIMED: claimed(p, m); return;
	case WIRE_CHECK: check(p, m); return;
	case WIRE_SHARE_ASK:
	case WIRE_SHARE: share(p, m); return;
	case WIRE_DOC_GET:
	case WIRE_DOC: doc(p, m); return;
	}
}

void wire_encode(msgpack_sbuffer *out, const struct wire_msg *m)
{
	size_t at = out->size;
	uint32_t len = 0;
	msgpack_packer p;

	msgpack_sbuffer_write(out, (const char *)&len, sizeof len);
	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	encode_body(&p, m);
	len = htonl((uint32_t)(out->size - at - sizeof len));
	memcpy(out->data + at, &len, sizeof len);
}
