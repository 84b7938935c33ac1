/* Documents that other daemons have: fetched on a link of its own, where heartbeats, tickets
 * and claims don't wait behind them, and handed on to few at a time. */
#include "clock.h"
#include "docs.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer_impl.h"
#include <string.h>

#define SILENT_US 700000 /* without a byte of the answers: asked for again */
#define SMALL_MAX 8192   /* bytes of a document that is handed on at once */
#define COPIES_MAX 2     /* larger ones under way: 1.7 s on a link of 10 Mbit/s */
#define COPY_US 5000000  /* a copy that has not gone by then is given up */

/* The last one that told of something newer; member 0: nobody did. */
static struct {
	uint64_t member;
	int asked; /* since it told */
	struct wire_version doc[WIRE_DOCS_MAX];
	uint32_t n;
} told;

static struct plink *fetch; /* where answers are awaited, or NULL */
static uint32_t due;        /* of them */
static int refused;         /* one of them or more */
static int64_t again_us;    /* not to be asked again before */

static int newer(const struct wire_version *v)
{
	int d = docs_find(v->doc);

	return d >= 0 && v->version > docs_version(d);
}

static uint32_t lacking(const struct wire_version *v, uint32_t n)
{
	uint32_t i, k = 0;

	for (i = 0; i < n; i++) k += (uint32_t)newer(&v[i]);
	return k;
}

static void ask_for_newer(struct plink *l)
{
	struct wire_msg m = {.type = WIRE_DOC_GET};
	uint32_t i;

	for (i = 0; i < told.n; i++) {
		if (!newer(&told.doc[i])) continue;
		m.u.doc.doc = told.doc[i].doc;
		m.u.doc.version = told.doc[i].version;
		due++;
		peer_queue(l, &m);
	}
}

static void begin(const struct mbr_info *from, int64_t now)
{
	struct plink *l = peer_dial(from->ip, from->peer_port, 0);

	if (!l) {
		again_us = now + SILENT_US;
		return;
	}
	l->member = from->id;
	fetch = l;
	due = 0;
	refused = 0;
	told.asked = 1;
	met_add(MET_PEER_FETCHES, 1);
	ask_for_newer(l);
}

/* One question at a time: every heartbeat tells the versions, and answering each with a
 * question brought a megabyte for each over links that carry one in 0.8 s. */
static void fetch_if_lacking(int64_t now)
{
	struct mbr_info from;

	if (fetch || !told.member || now < again_us) return;
	if (!lacking(told.doc, told.n) || !mbr_find(peer.mbr, told.member, &from) ||
	    from.state == MBR_DEAD)
		told.member = 0;
	else
		begin(&from, now);
}

void peer_docs_told(uint64_t member, const struct wire_ping *p)
{
	if (!lacking(p->doc, p->ndocs)) {
		if (told.member == member) told.member = 0;
		return;
	}
	told.member = member;
	told.asked = 0;
	told.n = p->ndocs;
	memcpy(told.doc, p->doc, p->ndocs * sizeof *p->doc);
	fetch_if_lacking(clock_us());
}

int peer_docs_came(struct plink *l, const struct wire_msg *m)
{
	int d = docs_find(m->u.doc.doc);

	if (d >= 0) docs_update(d, m->u.doc.version, m->u.doc.data, m->u.doc.len);
	if (l != fetch) return 0;
	if (!m->u.doc.version) refused = 1;
	return --due ? 0 : -1;
}

int peer_docs_own(const struct plink *l)
{
	return l == fetch;
}

/* Whoever was turned away, or lost the link, comes back within a heartbeat's time. */
void peer_docs_closed(const struct plink *l)
{
	if (l != fetch) return;
	fetch = NULL;
	again_us = 0;
	if (due || refused)
		again_us = clock_us() +
			   (int64_t)(g_random_double() * (double)node.cfg.heartbeat_ms * 1000);
	else if (told.asked)
		told.member = 0;
}

static int handing_on(const struct plink *l)
{
	return l->copy_us && !l->closed && plink_sending(l);
}

/* Copies to all who ask would fill this instance's link, and its heartbeats come late. */
static int has_place(const struct plink *to)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < peer.links->len; i++) n += (uint32_t)handing_on(peer.links->pdata[i]);
	return n < COPIES_MAX && !handing_on(to);
}

/* An answer of version 0, which is nowhere newer, turns the other away. */
void peer_docs_asked(struct plink *l, const struct wire_msg *m)
{
	struct wire_msg out = {.type = WIRE_DOC, .u.doc = {.doc = m->u.doc.doc, .data = ""}};
	int d = docs_find(m->u.doc.doc);
	GBytes *data = d < 0 ? NULL : docs_data(d, &out.u.doc.version);
	gsize len = data ? g_bytes_get_size(data) : 0;

	if (len > SMALL_MAX && !has_place(l)) {
		met_add(MET_PEER_BUSY, 1);
		out.u.doc.version = 0;
		len = 0;
	}
	if (len > SMALL_MAX) l->copy_us = clock_us();
	if (len) out.u.doc.data = g_bytes_get_data(data, NULL);
	out.u.doc.len = (uint32_t)len;
	peer_queue(l, &out);
	if (data) g_bytes_unref(data);
}

static void give_up(struct plink *l, const char *what)
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

	if (fetch && now - fetch->heard_us > SILENT_US)
		give_up(fetch, "No documents come from");
	for (i = 0; i < peer.links->len; i++) {
		l = peer.links->pdata[i];
		if (handing_on(l) && now - l->copy_us > COPY_US)
			give_up(l, "A document does not get through to");
	}
	fetch_if_lacking(now);
}
