/* Transfer of documents between daemons. They are fetched on a separate link, so that
 * heartbeats, tickets and claims don't wait behind them, and large ones are served to few
 * members at a time. */
#include "clock.h"
#include "docs.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer_impl.h"
#include <string.h>

#define SILENT_US 700000 /* a fetch that receives nothing for so long is retried */
#define SMALL_MAX 8192   /* bytes; up to this size a document is served at any time */
#define COPIES_MAX 2     /* larger ones in flight; two take 1.7 s on a link of 10 Mbit/s */
#define COPY_US 5000000  /* the link is closed when a copy is not delivered by then */

/* The last member that announced a newer version; member 0: none. */
static struct {
	uint64_t member;
	int requested; /* since that announcement */
	struct wire_version doc[WIRE_DOCS_MAX];
	uint32_t n;
} source;

static struct plink *fetch_link; /* link of the fetch in progress, or NULL */
static uint32_t pending;         /* replies outstanding on it */
static int refused;              /* at least one reply was a refusal */
static int64_t retry_us;         /* no fetch starts before */

static int is_newer(const struct wire_version *v)
{
	int d = docs_find(v->doc);

	return d >= 0 && v->version > docs_version(d);
}

static uint32_t count_newer(const struct wire_version *v, uint32_t n)
{
	uint32_t i, k = 0;

	for (i = 0; i < n; i++) k += (uint32_t)is_newer(&v[i]);
	return k;
}

static void request_newer(struct plink *l)
{
	struct wire_msg m = {.type = WIRE_DOC_GET};
	uint32_t i;

	for (i = 0; i < source.n; i++) {
		if (!is_newer(&source.doc[i])) continue;
		m.u.doc.doc = source.doc[i].doc;
		m.u.doc.version = source.doc[i].version;
		pending++;
		peer_queue(l, &m);
	}
}

static void start_fetch(const struct mbr_info *from, int64_t now)
{
	struct plink *l = peer_dial(from->ip, from->peer_port, 0);

	if (!l) {
		retry_us = now + SILENT_US;
		return;
	}
	l->member = from->id;
	fetch_link = l;
	pending = 0;
	refused = 0;
	source.requested = 1;
	met_add(MET_PEER_FETCHES, 1);
	request_newer(l);
}

/* Only one fetch at a time: every heartbeat announces versions, and a fetch for each
 * transferred a megabyte per heartbeat over links that need 0.8 s for one. */
static void fetch_if_needed(int64_t now)
{
	struct mbr_info from;

	if (fetch_link || !source.member || now < retry_us) return;
	if (!count_newer(source.doc, source.n) || !mbr_find(peer.mbr, source.member, &from) ||
	    from.state == MBR_DEAD)
		source.member = 0;
	else
		start_fetch(&from, now);
}

void peer_docs_on_versions(uint64_t member, const struct wire_ping *p)
{
	if (!count_newer(p->doc, p->ndocs)) {
		if (source.member == member) source.member = 0;
		return;
	}
	source.member = member;
	source.requested = 0;
	source.n = p->ndocs;
	memcpy(source.doc, p->doc, p->ndocs * sizeof *p->doc);
	fetch_if_needed(clock_us());
}

int peer_docs_on_doc(struct plink *l, const struct wire_msg *m)
{
	int d = docs_find(m->u.doc.doc);

	if (d >= 0) docs_update(d, m->u.doc.version, m->u.doc.data, m->u.doc.len);
	if (l != fetch_link) return 0;
	if (!m->u.doc.version) refused = 1;
	return --pending ? 0 : -1;
}

int peer_docs_is_fetch_link(const struct plink *l)
{
	return l == fetch_link;
}

/* After a refusal or a lost link, the fetch is retried after a random part of the heartbeat
 * interval. */
void peer_docs_on_close(const struct plink *l)
{
	if (l != fetch_link) return;
	fetch_link = NULL;
	retry_us = 0;
	if (pending || refused)
		retry_us = clock_us() +
			   (int64_t)(g_random_double() * (double)node.cfg.heartbeat_ms * 1000);
	else if (source.requested)
		source.member = 0;
}

static int sending_copy(const struct plink *l)
{
	return l->doc_queued_us && !l->closed && plink_sending(l);
}

/* Unlimited copies would fill this instance's network link and delay its heartbeats. */
static int may_send_copy(const struct plink *to)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < peer.links->len; i++) n += (uint32_t)sending_copy(peer.links->pdata[i]);
	return n < COPIES_MAX && !sending_copy(to);
}

/* A reply with version 0, which is never newer, means that the request was refused. */
void peer_docs_on_get(struct plink *l, const struct wire_msg *m)
{
	struct wire_msg out = {.type = WIRE_DOC, .u.doc = {.doc = m->u.doc.doc, .data = ""}};
	int d = docs_find(m->u.doc.doc);
	GBytes *data = d < 0 ? NULL : docs_data(d, &out.u.doc.version);
	gsize len = data ? g_bytes_get_size(data) : 0;

	if (len > SMALL_MAX && !may_send_copy(l)) {
		met_add(MET_PEER_FETCHES_REFUSED, 1);
		out.u.doc.version = 0;
		len = 0;
	}
	if (len > SMALL_MAX) l->doc_queued_us = clock_us();
	if (len) out.u.doc.data = g_bytes_get_data(data, NULL);
	out.u.doc.len = (uint32_t)len;
	peer_queue(l, &out);
	if (data) g_bytes_unref(data);
}

static void close_stalled(struct plink *l, const char *what)
{
	struct mbr_info other = {.name = "?"};

	mbr_find(peer.mbr, l->member, &other);
	log_info("peer", "%s %s.", what, other.name);
	peer_close(l);
}

void peer_docs_tick(int64_t now)
{
	struct plink *l;
	guint i;

	if (fetch_link && now - fetch_link->last_seen_us > SILENT_US)
		close_stalled(fetch_link, "Timed out fetching documents from");
	for (i = 0; i < peer.links->len; i++) {
		l = peer.links->pdata[i];
		if (sending_copy(l) && now - l->doc_queued_us > COPY_US)
			close_stalled(l, "Timed out sending a document to");
	}
	fetch_if_needed(now);
}
