/* Decoding of messages. Frames from peers are untrusted: types and sizes are checked. */
#include "wire.h"
#include "hash.h"
#include <errno.h>
#include <string.h>

struct cursor {
	const msgpack_object *at;
	uint32_t left;
	int malformed;
};

static const msgpack_object *next(struct cursor *c, msgpack_object_type type)
{
	const msgpack_object *o;

	if (!c->left) {
		c->malformed = 1;
		return NULL;
	}
	o = c->at++;
	c->left--;
	if (o->type != type) {
		c->malformed = 1;
		return NULL;
	}
	return o;
}

static uint64_t u64(struct cursor *c)
{
	const msgpack_object *o = next(c, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

static uint32_t u32(struct cursor *c)
{
	uint64_t v = u64(c);

	if (v > UINT32_MAX) c->malformed = 1;
	return (uint32_t)v;
}

static int64_t i64(struct cursor *c)
{
	if (c->left && c->at->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return next(c, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
	return (int64_t)u64(c);
}

static void str(struct cursor *c, char *out, size_t max)
{
	const msgpack_object *o = next(c, MSGPACK_OBJECT_STR);

	out[0] = 0;
	if (!o) return;
	if (!o->via.str.size) return;
	if (o->via.str.size > max || memchr(o->via.str.ptr, 0, o->via.str.size)) {
		c->malformed = 1;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = 0;
}

static struct cursor array(struct cursor *c)
{
	const msgpack_object *o = next(c, MSGPACK_OBJECT_ARRAY);

	if (!o) return (struct cursor){.malformed = 1};
	return (struct cursor){.at = o->via.array.ptr, .left = o->via.array.size};
}

static void info(struct cursor *c, struct mbr_info *i)
{
	struct cursor f = array(c);
	uint64_t state;

	str(&f, i->name, MBR_NAME_MAX);
	str(&f, i->dc, MBR_NAME_MAX);
	str(&f, i->ip, MBR_IP_MAX);
	i->peer_port = (uint16_t)u32(&f);
	i->front_port = (uint16_t)u32(&f);
	i->admin_port = (uint16_t)u32(&f);
	i->incarnation = u64(&f);
	state = u64(&f);
	if (state > MBR_DEAD || !i->name[0]) f.malformed = 1;
	i->state = (enum mbr_state)state;
	i->id = hash_name(i->name);
	c->malformed |= f.malformed;
}

static void ping(struct cursor *c, struct wire_ping *g)
{
	struct cursor l = array(c), f;

	for (g->ndocs = 0; l.left && g->ndocs < WIRE_DOCS_MAX; g->ndocs++) {
		f = array(&l);
		g->doc[g->ndocs].doc = u64(&f);
		g->doc[g->ndocs].version = u64(&f);
		l.malformed |= f.malformed;
	}
	c->malformed |= l.malformed;
	l = array(c);
	for (g->ndigests = 0; l.left && g->ndigests < WIRE_DIGESTS_MAX; g->ndigests++) {
		f = array(&l);
		g->digest[g->ndigests].service = u64(&f);
		g->digest[g->ndigests].free_tokens = u32(&f);
		g->digest[g->ndigests].free_slots = u32(&f);
		g->digest[g->ndigests].waiting = u32(&f);
		l.malformed |= f.malformed;
	}
	c->malformed |= l.malformed;
	l = array(c);
	for (g->nupdates = 0; l.left && g->nupdates < WIRE_UPDATES_MAX; g->nupdates++)
		info(&l, &g->updates[g->nupdates]);
	c->malformed |= l.malformed;
	g->members_hash = u64(c);
}

static void ticket(struct cursor *c, struct wire_ticket *t)
{
	t->request = u64(c);
	t->group = u64(c);
	t->service = u64(c);
	t->engine = u64(c);
	t->prompt_tokens = u32(c);
	t->generated = u32(c);
	t->age_us = i64(c);
	t->left_us = i64(c);
}

static const char *bin(struct cursor *c, uint32_t *len)
{
	const msgpack_object *o = next(c, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? o->via.bin.ptr : NULL;
}

static void claim(struct cursor *c, struct wire_msg *m)
{
	struct claim_op *op = &m->u.claim.op;
	uint32_t type;

	m->u.claim.request = u64(c);
	type = u32(c);
	if (type > CLAIM_OP_RELEASE) c->malformed = 1;
	op->type = (enum claim_op_type)type;
	str(c, op->key, sizeof op->key - 1);
	str(c, op->attempt, sizeof op->attempt - 1);
	str(c, op->content_type, sizeof op->content_type - 1);
	op->body_hash = u64(c);
	op->ttl_ms = i64(c);
	op->status = (int)u32(c);
	op->answer = bin(c, &op->answer_len);
}

static void claimed(struct cursor *c, struct wire_msg *m)
{
	m->u.claimed.request = u64(c);
	m->u.claimed.result = u32(c);
	if (m->u.claimed.result > CLAIM_UNAVAILABLE) c->malformed = 1;
	m->u.claimed.status = u32(c);
	str(c, m->u.claimed.content, sizeof m->u.claimed.content - 1);
	m->u.claimed.answer = bin(c, &m->u.claimed.answer_len);
}

static void share(struct cursor *c, struct wire_msg *m)
{
	m->u.share.seq = u32(c);
	m->u.share.ask.group = u64(c);
	m->u.share.ask.held = u32(c);
	m->u.share.ask.running = u32(c);
	m->u.share.ask.demand = u32(c);
}

static void check(struct cursor *c, struct wire_msg *m)
{
	struct cursor l = array(c);

	for (m->u.check.n = 0; l.left && m->u.check.n < WIRE_CHECKS_MAX; m->u.check.n++)
		m->u.check.request[m->u.check.n] = u64(&l);
	c->malformed |= l.malformed;
}

static void doc(struct cursor *c, struct wire_msg *m)
{

	m->u.doc.doc = u64(c);
	m->u.doc.version = u64(c);
	if (m->type != WIRE_DOC) return;
	m->u.doc.data = bin(c, &m->u.doc.len);
}

static void decode_fields(struct cursor *c, struct wire_msg *m)
{
	switch (m->type) {
	case WIRE_HELLO:
		str(c, m->u.hello.key, WIRE_KEY_MAX);
		info(c, &m->u.hello.self);
		return;
	case WIRE_PING:
	case WIRE_ACK: ping(c, &m->u.ping); return;
	case WIRE_TICKET:
	case WIRE_ADOPT: ticket(c, &m->u.ticket); return;
	case WIRE_GRANT:
		m->u.grant.request = u64(c);
		m->u.grant.engine = u64(c);
		m->u.grant.waited_us = i64(c);
		return;
	case WIRE_REFUSE:
		m->u.refuse.request = u64(c);
		m->u.refuse.why = u32(c);
		m->u.refuse.retry_after_ms = u32(c);
		return;
	case WIRE_WITHDRAW:
	case WIRE_DONE:
		m->u.done.request = u64(c);
		m->u.done.generated = u32(c);
		m->u.done.failed = u32(c);
		return;
	case WIRE_CLAIM: claim(c, m); return;
	case WIRE_CLAIMED: claimed(c, m); return;
	case WIRE_CHECK: check(c, m); return;
	case WIRE_SHARE_ASK:
	case WIRE_SHARE: share(c, m); return;
	case WIRE_DOC_GET:
	case WIRE_DOC: doc(c, m); return;
	}
	c->malformed = 1;
}

int wire_decode(const char *body, size_t len, struct wire_msg *m, msgpack_unpacked *unpacked)
{
	struct cursor c;
	size_t off = 0;

	if (wire_check(body, len)) return -EPROTO;
	if (msgpack_unpack_next(unpacked, body, len, &off) != MSGPACK_UNPACK_SUCCESS)
		return -EPROTO;
	if (off != len || unpacked->data.type != MSGPACK_OBJECT_ARRAY) return -EPROTO;
	c = (struct cursor){.at = unpacked->data.via.array.ptr,
			    .left = unpacked->data.via.array.size};
	memset(m, 0, sizeof *m);
	m->type = (enum wire_type)u32(&c);
	decode_fields(&c, m);
	return c.malformed ? -EPROTO : 0;
}
