/* Transfer of documents between daemons: the peer thread runs in this process, its peers are
 * simulated.
 * Guards against daemons on slow links that take each other for dead after a large document
 * changed. Every PING and ACK announces document versions. Without a record of fetches in
 * progress and a bound on copies, an instance that is behind requests a document again on each
 * of these messages, and each request queues a whole copy in front of heartbeats, tickets,
 * claims and shares; beyond 4 MB a link drops them. An instance that joins is hit hardest: it
 * receives the member list in many ACKs and requests every document after each. */
#include "check.h"
#include "clock.h"
#include "docs.h"
#include "hash.h"
#include "met.h"
#include "node.h"
#include "peer.h"
#include "peer_link.h"
#include "view.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEERS 6
#define MAX_COPIES 2     /* copies that an instance serves at the same time */
#define LARGE (1u << 20) /* bytes of a document */
#define COPY_MIN 65536   /* only a copy of the document is this large */
/* Socket receive buffer, small so that unread data stays with the sender. */
#define RECEIVE_BYTES 8192
#define HEARTBEAT_US 50000
#define PART_INTERVAL_US 250000 /* between two parts of a slow copy */
#define PARTS 6
#define MANY 16 /* more large messages than an unread link queues */

struct fake_peer {
	struct mbr_info self;
	int listen_fd;
	GPtrArray *links;
	struct plink *request_link; /* on which the last request arrived */
	struct plink *copy_link;    /* on which a copy is arriving */
	struct plink *part_link;    /* in the middle of a copy: no other frame may be sent */
	int requests_seen;          /* WIRE_DOC_GETs received */
	int requesting;             /* asks for the document until a copy arrives */
	int received;               /* whole copies */
	int stalled;                /* stops reading once a copy has begun */
};

static struct fake_peer fake_peer[PEERS];
static uint16_t port;
static int doc, stopped;
static uint64_t announced; /* the version that the peers announce; 0: none */
static int64_t next_heartbeat_us;
static char large[LARGE];

static void start(void)
{
	struct err e;

	strcpy(node.cfg.peer_key, "key");
	node.cfg.heartbeat_ms = 100;
	node.cfg.ack_ms = 10000;
	node.cfg.suspect_ms = 20000;
	strcpy(node.self.name, "this");
	strcpy(node.self.dc, "dc");
	strcpy(node.self.ip, "127.0.0.1");
	node.self.id = hash_name("this");
	node.self.incarnation = 1;
	view_init();
	node.doc_table = docs_declare(DOC_TABLE);
	docs_declare(DOC_EVENT_KEY);
	peer_listen("127.0.0.1", &port, &e);
	node.self.peer_port = port;
	peer_start(&node.self, &e);
}

static void stop(void)
{
	node.stopping = 1;
	peer_join();
	peer_free();
}

static void send_msg(struct plink *l, const struct wire_msg *m)
{
	msgpack_sbuffer b;

	msgpack_sbuffer_init(&b);
	wire_encode(&b, m);
	plink_queue(l, b.data, b.size);
	plink_flush(l);
	msgpack_sbuffer_destroy(&b);
}

static void send_hello(struct fake_peer *o, struct plink *l)
{
	struct wire_msg m = {.type = WIRE_HELLO};

	strcpy(m.u.hello.key, "key");
	m.u.hello.self = o->self;
	send_msg(l, &m);
}

static void send_versions(struct fake_peer *o, struct plink *l)
{
	struct wire_msg m = {.type = WIRE_ACK};

	m.u.ping.ndocs = announced ? 1 : 0;
	m.u.ping.doc[0] = (struct wire_version){docs_id(doc), announced};
	m.u.ping.updates[m.u.ping.nupdates++] = o->self;
	send_msg(l, &m);
}

static void request_doc(struct plink *l)
{
	struct wire_msg m = {.type = WIRE_DOC_GET};

	m.u.doc.doc = docs_id(doc);
	m.u.doc.version = docs_version(doc);
	send_msg(l, &m);
}

static void send_copy(struct plink *l, size_t from, size_t to)
{
	struct wire_msg m = {.type = WIRE_DOC};
	msgpack_sbuffer b;

	m.u.doc.doc = docs_id(doc);
	m.u.doc.version = announced;
	m.u.doc.data = large;
	m.u.doc.len = LARGE;
	msgpack_sbuffer_init(&b);
	wire_encode(&b, &m);
	if (to > b.size) to = b.size;
	plink_queue(l, b.data + from, to - from);
	plink_flush(l);
	msgpack_sbuffer_destroy(&b);
}

static struct plink *add_link(struct fake_peer *o, int fd, int connecting)
{
	struct plink *l;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	l = plink_new(fd, connecting, clock_us());
	l->connecting = 0;
	g_ptr_array_add(o->links, l);
	return l;
}

static void start_peer(struct fake_peer *o, int i)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = 0};
	socklen_t n = sizeof a;
	int fd, small = RECEIVE_BYTES;

	memset(o, 0, sizeof *o);
	o->links = g_ptr_array_new();
	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	o->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	bind(o->listen_fd, (struct sockaddr *)&a, sizeof a);
	listen(o->listen_fd, 16);
	getsockname(o->listen_fd, (struct sockaddr *)&a, &n);
	snprintf(o->self.name, sizeof o->self.name, "%s-%d", docs_key(doc), i);
	strcpy(o->self.dc, "dc");
	strcpy(o->self.ip, "127.0.0.1");
	o->self.id = hash_name(o->self.name);
	o->self.incarnation = 1;
	o->self.peer_port = ntohs(a.sin_port);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
	a.sin_port = htons(port);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&a, sizeof a), 0);
	send_hello(o, add_link(o, fd, 1));
}

static void drop_link(struct fake_peer *o, struct plink *l)
{
	if (o->request_link == l) o->request_link = NULL;
	if (o->copy_link == l) o->copy_link = NULL;
	if (o->part_link == l) o->part_link = NULL;
	g_ptr_array_remove(o->links, l);
	plink_free(l);
}

static void stop_peer(struct fake_peer *o)
{
	while (o->links->len) drop_link(o, o->links->pdata[0]);
	g_ptr_array_unref(o->links);
	close(o->listen_fd);
}

static void on_msg(struct fake_peer *o, struct plink *l, const struct wire_msg *m)
{
	if (m->type == WIRE_HELLO && !l->outgoing) send_hello(o, l);
	if (m->type == WIRE_DOC_GET && m->u.doc.doc == docs_id(doc)) {
		o->requests_seen++;
		o->request_link = l;
	}
	if (m->type == WIRE_DOC && m->u.doc.len == LARGE) {
		o->copy_link = NULL;
		o->received++;
	}
}

/* Dispatches every complete frame and notes when a copy has begun. */
static void decode_frames(struct fake_peer *o, struct plink *l)
{
	msgpack_unpacked unpacked;
	struct wire_msg m;
	uint32_t len;

	msgpack_unpacked_init(&unpacked);
	while (l->in->len >= sizeof len) {
		memcpy(&len, l->in->data, sizeof len);
		len = ntohl(len);
		if (len >= COPY_MIN) o->copy_link = l;
		if (l->in->len - sizeof len < len) break;
		CU_ASSERT_EQUAL(
			wire_decode((char *)l->in->data + sizeof len, len, &m, &unpacked), 0);
		on_msg(o, l, &m);
		g_byte_array_remove_range(l->in, 0, (guint)sizeof len + len);
	}
	msgpack_unpacked_destroy(&unpacked);
}

static int read_link(struct fake_peer *o, struct plink *l)
{
	guint8 buf[512];
	ssize_t n;

	while (!o->stalled || o->copy_link != l) {
		n = recv(l->fd, buf, sizeof buf, 0);
		if (n < 0) return 0;
		if (n == 0) return -1;
		g_byte_array_append(l->in, buf, (guint)n);
		decode_frames(o, l);
	}
	return 0;
}

static void poll_peer(struct fake_peer *o, int heartbeat)
{
	struct plink *l;
	guint i;
	int fd = accept(o->listen_fd, NULL, NULL);

	if (fd >= 0) add_link(o, fd, 0);
	for (i = 0; i < o->links->len; i++) {
		l = o->links->pdata[i];
		if (read_link(o, l) || plink_flush(l)) {
			drop_link(o, l);
			return;
		}
	}
	if (!heartbeat || !o->links->len) return;
	if (o->part_link != o->links->pdata[0]) send_versions(o, o->links->pdata[0]);
	if (o->requesting && !o->copy_link && !o->received) request_doc(o->links->pdata[0]);
}

static void poll_peers(void)
{
	int i, heartbeat = clock_us() >= next_heartbeat_us;

	if (heartbeat) next_heartbeat_us = clock_us() + HEARTBEAT_US;
	for (i = 0; i < PEERS; i++)
		if (i != stopped) poll_peer(&fake_peer[i], heartbeat);
	g_usleep(1000);
}

static void poll_for(int64_t us)
{
	int64_t until = clock_us() + us;

	while (clock_us() < until) poll_peers();
}

static int total_requests(void)
{
	int i, n = 0;

	for (i = 0; i < PEERS; i++) n += fake_peer[i].requests_seen;
	return n;
}

static int copies_started(void)
{
	int i, n = 0;

	for (i = 0; i < PEERS; i++) n += fake_peer[i].copy_link != NULL;
	return n;
}

static int copies_received(void)
{
	int i, n = 0;

	for (i = 0; i < PEERS; i++) n += fake_peer[i].received;
	return n;
}

static void start_peers(int document)
{
	int i;

	doc = document;
	announced = 0;
	stopped = -1;
	for (i = 0; i < PEERS; i++) start_peer(&fake_peer[i], i);
	poll_for(200000);
}

static void stop_peers(void)
{
	int i;

	for (i = 0; i < PEERS; i++) stop_peer(&fake_peer[i]);
}

/* Waits until the peers have received more than before requests; returns the peer that received
 * the new one, or NULL after within_us. */
static struct fake_peer *wait_for_request(int before, int64_t within_us)
{
	int64_t until = clock_us() + within_us;
	int i, counts_before[PEERS];

	for (i = 0; i < PEERS; i++) counts_before[i] = fake_peer[i].requests_seen;
	while (total_requests() == before && clock_us() < until) poll_peers();
	for (i = 0; i < PEERS; i++)
		if (fake_peer[i].requests_seen > counts_before[i]) return &fake_peer[i];
	return NULL;
}

/* All peers announce a newer version 20 times a second. Only one is asked for it, as long as
 * its copy makes progress, however slow. */
static void a_document_under_way_is_not_asked_for_again(void)
{
	struct fake_peer *o;
	size_t part_bytes = LARGE / PARTS / 2;
	int64_t until;
	int i;

	start_peers(node.doc_table);
	announced = 5;
	o = wait_for_request(0, 1000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	/* The request is not on the link that carries heartbeats. */
	CU_ASSERT(o->request_link != o->links->pdata[0]);
	poll_for(PART_INTERVAL_US);
	CU_ASSERT_EQUAL(total_requests(), 1);
	for (i = 0; i < PARTS && o->request_link; i++) {
		o->part_link = o->request_link;
		send_copy(o->request_link, part_bytes * (size_t)i,
			  part_bytes * (size_t)(i + 1));
		poll_for(PART_INTERVAL_US);
	}
	CU_ASSERT_EQUAL(total_requests(), 1);
	if (total_requests() != 1) printf("  %d questions\n", total_requests());
	/* No progress: the document is requested again. Then the peer asked disconnects. */
	o = wait_for_request(total_requests(), 3000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_EQUAL(total_requests(), 2);
	stopped = (int)(o - fake_peer);
	while (o->links->len) drop_link(o, o->links->pdata[0]);
	o = wait_for_request(total_requests(), 3000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_EQUAL(total_requests(), 3);
	if (o->request_link) send_copy(o->request_link, 0, SIZE_MAX);
	until = clock_us() + 3000000;
	while (docs_version(doc) != 5 && clock_us() < until) poll_peers();
	poll_for(500000);
	CU_ASSERT_EQUAL(docs_version(doc), 5);
	CU_ASSERT_EQUAL(total_requests(), 3);
	stop_peers();
}

/* All peers request the document and read nothing: MAX_COPIES are served, the others after
 * these are done. */
static void copies_handed_on_at_once_are_bounded(void)
{
	uint64_t busy = met_get(MET_PEER_FETCHES_REFUSED);
	int64_t until;
	int i, started;

	start_peers(node.doc_table + 1);
	docs_update(doc, 7, large, LARGE);
	for (i = 0; i < PEERS; i++) fake_peer[i].requesting = fake_peer[i].stalled = 1;
	poll_for(500000);
	started = copies_started();
	CU_ASSERT_EQUAL(started, MAX_COPIES);
	if (started != MAX_COPIES) printf("  %d copies at once\n", started);
	CU_ASSERT(met_get(MET_PEER_FETCHES_REFUSED) > busy);
	for (i = 0; i < PEERS; i++) fake_peer[i].stalled = 0;
	until = clock_us() + 5000000;
	while (copies_received() < PEERS && clock_us() < until) poll_peers();
	CU_ASSERT_EQUAL(copies_received(), PEERS);
	stop_peers();
}

static int warnings;

static GLogWriterOutput count_warnings(GLogLevelFlags level, const GLogField *f, gsize n,
				       gpointer user)
{
	(void)f;
	(void)n;
	(void)user;
	if (level & G_LOG_LEVEL_WARNING) __atomic_add_fetch(&warnings, 1, __ATOMIC_SEQ_CST);
	return G_LOG_WRITER_HANDLED;
}

/* A peer that reads nothing: messages beyond its link's queue are dropped, each is counted, and
 * one warning is logged. */
static void what_is_dropped_is_counted_and_told(void)
{
	struct wire_msg m = {.type = WIRE_DOC, .u.doc = {.data = large, .len = LARGE}};
	uint64_t dropped = met_get(MET_PEER_DROPPED);
	int64_t until;
	int i;

	start_peers(node.doc_table + 1);
	fake_peer[0].stalled = 1;
	for (i = 0; i < MANY; i++) CU_ASSERT_EQUAL(peer_send(fake_peer[0].self.id, &m), 0);
	poll_for(500000);
	dropped = met_get(MET_PEER_DROPPED) - dropped;
	CU_ASSERT(dropped > 0);
	CU_ASSERT_EQUAL(__atomic_load_n(&warnings, __ATOMIC_SEQ_CST), 1);
	fake_peer[0].stalled = 0;
	until = clock_us() + 5000000;
	while (fake_peer[0].received + (int)dropped < MANY && clock_us() < until) poll_peers();
	poll_for(100000);
	CU_ASSERT_EQUAL(fake_peer[0].received + (int)dropped, MANY);
	stop_peers();
}

static const struct check list[] = {
	{"a_document_under_way_is_not_asked_for_again",
	 a_document_under_way_is_not_asked_for_again},
	{"copies_handed_on_at_once_are_bounded", copies_handed_on_at_once_are_bounded},
	{"what_is_dropped_is_counted_and_told", what_is_dropped_is_counted_and_told},
};

int main(int argc, char **argv)
{
	int rc;

	g_log_set_writer_func(count_warnings, NULL, NULL);
	start();
	rc = check_run(argc, argv, list, sizeof list / sizeof *list);
	stop();
	return rc;
}
