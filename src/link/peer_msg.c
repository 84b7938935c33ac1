/* Handling of received messages; heartbeats with updates of members and documents. */
#include "clock.h"
#include "digest.h"
#include "docs.h"
#include "log.h"
#include "node.h"
#include "peer_impl.h"
#include <string.h>

/* The first updates are this instance and, if it is suspect or dead here, the receiver itself,
 * so that it can refute that. */
static void fill_ping(struct wire_ping *p, const struct plink *l, uint64_t to)
{
	struct mbr_info *n = p->updates;
	struct mbr_info other;

	p->ndocs = docs_versions(p->doc, WIRE_DOCS_MAX);
	p->ndigests = digest_get(node.self.id, p->digest, WIRE_DIGESTS_MAX);
	p->members_hash = mbr_hash(peer.mbr);
	mbr_find(peer.mbr, node.self.id, &n[p->nupdates++]);
	if (mbr_find(peer.mbr, to, &other) && other.state >= MBR_SUSPECT)
		n[p->nupdates++] = other;
	p->nupdates += mbr_gossip(peer.mbr, n + p->nupdates, MBR_GOSSIP_MAX);
	if (l->lists_differ)
		p->nupdates += mbr_window(peer.mbr, n + p->nupdates, MBR_WINDOW_MAX);
}

void peer_ping(struct plink *l, uint64_t to, enum wire_type type)
{
	struct wire_msg m = {.type = type};

	fill_ping(&m.u.ping, l, to);
	peer_queue(l, &m);
}

static int same_key(const char *a, const char *b)
{
	size_t i, n = strlen(b);
	unsigned char diff = strlen(a) != n;

	for (i = 0; i < n; i++) diff |= (unsigned char)(b[i] ^ (i < strlen(a) ? a[i] : 0));
	return !diff;
}

/* Sends a new member the whole list at once; later changes reach it as updates. */
static void send_member_list(struct plink *l)
{
	uint32_t i, n = mbr_list(peer.mbr, peer.members, MEMBERS_MAX);

	l->lists_differ = 1;
	for (i = 0; i < n; i += MBR_WINDOW_MAX) peer_ping(l, l->member, WIRE_ACK);
}

static int on_hello(struct plink *l, const struct wire_msg *m)
{
	const struct mbr_info *other = &m->u.hello.self;
	int outgoing = l->outgoing;

	if (!same_key(m->u.hello.key, node.cfg.peer_key)) {
		log_warn("peer", "%s sent a hello with a wrong key.", other->name);
		return -1;
	}
	if (other->id == node.self.id) return -1;
	if (l->member && l->member != other->id) return -1;
	if (peer_docs_is_fetch_link(l)) return 0;
	l->member = other->id;
	if (!g_hash_table_lookup(peer.by_member, &l->member))
		g_hash_table_insert(peer.by_member, &l->member, l);
	if (mbr_apply(peer.mbr, other, clock_us())) {
		peer_publish();
		send_member_list(l);
	}
	if (!outgoing)
		peer_send_hello(l);
	else
		peer_ping(l, l->member, WIRE_PING);
	return 0;
}

static void record_table_version(uint64_t member, const struct wire_ping *p)
{
	uint32_t i;

	for (i = 0; i < p->ndocs; i++)
		if (p->doc[i].doc == docs_id(node.doc_table))
			digest_set_table(member, p->doc[i].version, clock_us());
}

static void on_ping(struct plink *l, const struct wire_msg *m)
{
	const struct wire_ping *p = &m->u.ping;
	int changed = mbr_seen(peer.mbr, l->member, clock_us());
	uint32_t i;

	for (i = 0; i < p->nupdates; i++)
		changed |= mbr_apply(peer.mbr, &p->updates[i], clock_us());
	l->lists_differ = p->members_hash != mbr_hash(peer.mbr);
	if (changed) peer_publish();
	digest_set(l->member, p->digest, p->ndigests);
	record_table_version(l->member, p);
	if (m->type == WIRE_PING) peer_ping(l, l->member, WIRE_ACK);
	peer_docs_on_versions(l->member, p);
}

int peer_on_msg(struct plink *l, struct wire_msg *m)
{
	if (m->type == WIRE_HELLO) return on_hello(l, m);
	if (!l->member) return -1;
	switch (m->type) {
	case WIRE_HELLO: break;
	case WIRE_PING:
	case WIRE_ACK: on_ping(l, m); break;
	case WIRE_TICKET:
	case WIRE_ADOPT:
	case WIRE_WITHDRAW:
	case WIRE_DONE:
	case WIRE_GRANT:
	case WIRE_CLAIM:
	case WIRE_CLAIMED:
	case WIRE_CHECK:
	case WIRE_SHARE_ASK:
	case WIRE_SHARE:
	case WIRE_REFUSE: ticket_deliver(m, l->member); break;
	case WIRE_DOC_GET: peer_docs_on_get(l, m); break;
	case WIRE_DOC:
		if (peer_docs_on_doc(l, m)) return -1;
		break;
	}
	return l->closed ? -1 : 0;
}
