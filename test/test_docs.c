/* Documents on their way between daemons: the peer thread in this process, the others played.
 * The failure that is looked for:
 *
 * Symptom: after a large document has changed, daemons on small links take each other for dead,
 * and what was confirmed is in force late there.
 * Sequence: each PING and ACK tells the versions. Whoever is behind answers each of them with a
 * question, to whoever it came from, until a whole document is here; a newcomer, which is sent
 * its news in many ACKs, asks for every document as many times on one link. Whoever is asked
 * puts a whole document for each question onto the link that carries heartbeats, tickets,
 * claims and shares, which then wait behind it; beyond 4 MB they are dropped.
 * Cause: nothing notes that a document is under way, and nothing bounds the copies. */
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

#define OTHERS 6
#define AT_ONCE 2          /* copies that one instance hands on */
#define LARGE (1u << 20)   /* bytes of a document */
#define COPY_MIN 65536     /* no other message is so large */
#define RECEIVE_BYTES 8192 /* that the kernel keeps: what isn't read must not be sent */
#define TELL_US 50000
#define PART_US 250000 /* between two parts of a copy that is sent slowly */
#define PARTS 6
#define MANY 16 /* large messages: more than a link takes that isn't read */

struct other {
	struct mbr_info self;
	int listen_fd;
	GPtrArray *links;
	struct plink *asked; /* where the last question came */
	struct plink *copy;  /* where a copy has begun to come */
	struct plink *part;  /* where a copy was sent in part: nothing else fits in between */
	int gets, wants, has, stalled;
};

static struct other other[OTHERS];
static uint16_t port;
static int doc, gone;
static uint64_t told; /* the version that the others tell of */
static int64_t tell_us;
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
	peer_stop();
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

static void say_hello(struct other *o, struct plink *l)
{
	struct wire_msg m = {.type = WIRE_HELLO};

	strcpy(m.u.hello.key, "key");
	m.u.hello.self = o->self;
	send_msg(l, &m);
}

static void tell(struct other *o, struct plink *l)
{
	struct wire_msg m = {.type = WIRE_ACK};

	m.u.ping.ndocs = told ? 1 : 0;
	m.u.ping.doc[0] = (struct wire_version){docs_id(doc), told};
	m.u.ping.updates[m.u.ping.nupdates++] = o->self;
	send_msg(l, &m);
}

static void ask(struct plink *l)
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
	m.u.doc.version = told;
	m.u.doc.data = large;
	m.u.doc.len = LARGE;
	msgpack_sbuffer_init(&b);
	wire_encode(&b, &m);
	if (to > b.size) to = b.size;
	plink_queue(l, b.data + from, to - from);
	plink_flush(l);
	msgpack_sbuffer_destroy(&b);
}

static struct plink *add_link(struct other *o, int fd, int connecting)
{
	struct plink *l;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	l = plink_new(fd, connecting, clock_us());
	l->connecting = 0;
	g_ptr_array_add(o->links, l);
	return l;
}

static void begin(struct other *o, int i)
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
	say_hello(o, add_link(o, fd, 1));
}

static void drop_link(struct other *o, struct plink *l)
{
	if (o->asked == l) o->asked = NULL;
	if (o->copy == l) o->copy = NULL;
	if (o->part == l) o->part = NULL;
	g_ptr_array_remove(o->links, l);
	plink_free(l);
}

static void end(struct other *o)
{
	while (o->links->len) drop_link(o, o->links->pdata[0]);
	g_ptr_array_unref(o->links);
	close(o->listen_fd);
}

static void on_msg(struct other *o, struct plink *l, const struct wire_msg *m)
{
	if (m->type == WIRE_HELLO && !l->outgoing) say_hello(o, l);
	if (m->type == WIRE_DOC_GET && m->u.doc.doc == docs_id(doc)) {
		o->gets++;
		o->asked = l;
	}
	if (m->type == WIRE_DOC && m->u.doc.len == LARGE) {
		o->copy = NULL;
		o->has++;
	}
}

/* Hands on every whole frame, and notes when a copy has begun. */
static void cut_frames(struct other *o, struct plink *l)
{
	msgpack_unpacked hold;
	struct wire_msg m;
	uint32_t len;

	msgpack_unpacked_init(&hold);
	while (l->in->len >= sizeof len) {
		memcpy(&len, l->in->data, sizeof len);
		len = ntohl(len);
		if (len >= COPY_MIN) o->copy = l;
		if (l->in->len - sizeof len < len) break;
		CU_ASSERT_EQUAL(wire_decode((char *)l->in->data + sizeof len, len, &m, &hold),
				0);
		on_msg(o, l, &m);
		g_byte_array_remove_range(l->in, 0, (guint)sizeof len + len);
	}
	msgpack_unpacked_destroy(&hold);
}

static int read_link(struct other *o, struct plink *l)
{
	guint8 buf[512];
	ssize_t n;

	while (!o->stalled || o->copy != l) {
		n = recv(l->fd, buf, sizeof buf, 0);
		if (n < 0) return 0;
		if (n == 0) return -1;
		g_byte_array_append(l->in, buf, (guint)n);
		cut_frames(o, l);
	}
	return 0;
}

static void turn_of(struct other *o, int beat)
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
	if (!beat || !o->links->len) return;
	if (o->part != o->links->pdata[0]) tell(o, o->links->pdata[0]);
	if (o->wants && !o->copy && !o->has) ask(o->links->pdata[0]);
}

static void turn(void)
{
	int i, beat = clock_us() >= tell_us;

	if (beat) tell_us = clock_us() + TELL_US;
	for (i = 0; i < OTHERS; i++)
		if (i != gone) turn_of(&other[i], beat);
	g_usleep(1000);
}

static void turns(int64_t us)
{
	int64_t until = clock_us() + us;

	while (clock_us() < until) turn();
}

static int gets(void)
{
	int i, n = 0;

	for (i = 0; i < OTHERS; i++) n += other[i].gets;
	return n;
}

static int copies(void)
{
	int i, n = 0;

	for (i = 0; i < OTHERS; i++) n += other[i].copy != NULL;
	return n;
}

static int have(void)
{
	int i, n = 0;

	for (i = 0; i < OTHERS; i++) n += other[i].has;
	return n;
}

static void begin_all(int which)
{
	int i;

	doc = which;
	told = 0;
	gone = -1;
	for (i = 0; i < OTHERS; i++) begin(&other[i], i);
	turns(200000);
}

static void end_all(void)
{
	int i;

	for (i = 0; i < OTHERS; i++) end(&other[i]);
}

/* The one that is asked now, of whom there is one more than before; NULL when there is none. */
static struct other *asked_now(int before, int64_t within_us)
{
	int64_t until = clock_us() + within_us;
	int i, was[OTHERS];

	for (i = 0; i < OTHERS; i++) was[i] = other[i].gets;
	while (gets() == before && clock_us() < until) turn();
	for (i = 0; i < OTHERS; i++)
		if (other[i].gets > was[i]) return &other[i];
	return NULL;
}

/* All tell of it twenty times a second; one is asked, while its answer comes however slowly. */
static void a_document_under_way_is_not_asked_for_again(void)
{
	struct other *o;
	size_t part = LARGE / PARTS / 2;
	int64_t until;
	int i;

	begin_all(node.doc_table);
	told = 5;
	o = asked_now(0, 1000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	/* Not where heartbeats are. */
	CU_ASSERT(o->asked != o->links->pdata[0]);
	turns(PART_US);
	CU_ASSERT_EQUAL(gets(), 1);
	for (i = 0; i < PARTS && o->asked; i++) {
		o->part = o->asked;
		send_copy(o->asked, part * (size_t)i, part * (size_t)(i + 1));
		turns(PART_US);
	}
	CU_ASSERT_EQUAL(gets(), 1);
	if (gets() != 1) printf("  %d questions\n", gets());
	/* Nothing more comes: it is asked for again. Then the one that is asked goes. */
	o = asked_now(gets(), 3000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_EQUAL(gets(), 2);
	gone = (int)(o - other);
	while (o->links->len) drop_link(o, o->links->pdata[0]);
	o = asked_now(gets(), 3000000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_EQUAL(gets(), 3);
	if (o->asked) send_copy(o->asked, 0, SIZE_MAX);
	until = clock_us() + 3000000;
	while (docs_version(doc) != 5 && clock_us() < until) turn();
	turns(500000);
	CU_ASSERT_EQUAL(docs_version(doc), 5);
	CU_ASSERT_EQUAL(gets(), 3);
	end_all();
}

/* All ask for it at once and read nothing: two are sent it, the others when they have gone. */
static void copies_handed_on_at_once_are_bounded(void)
{
	uint64_t busy = met_get(MET_PEER_FETCHES_REFUSED);
	int64_t until;
	int i, most;

	begin_all(node.doc_table + 1);
	docs_offer(doc, 7, large, LARGE);
	for (i = 0; i < OTHERS; i++) other[i].wants = other[i].stalled = 1;
	turns(500000);
	most = copies();
	CU_ASSERT_EQUAL(most, AT_ONCE);
	if (most != AT_ONCE) printf("  %d copies at once\n", most);
	CU_ASSERT(met_get(MET_PEER_FETCHES_REFUSED) > busy);
	for (i = 0; i < OTHERS; i++) other[i].stalled = 0;
	until = clock_us() + 5000000;
	while (have() < OTHERS && clock_us() < until) turn();
	CU_ASSERT_EQUAL(have(), OTHERS);
	end_all();
}

static int warned;

static GLogWriterOutput count_warnings(GLogLevelFlags level, const GLogField *f, gsize n,
				       gpointer user)
{
	(void)f;
	(void)n;
	(void)user;
	if (level & G_LOG_LEVEL_WARNING) __atomic_add_fetch(&warned, 1, __ATOMIC_SEQ_CST);
	return G_LOG_WRITER_HANDLED;
}

/* One reads nothing: what its link has no room for is lost, counted once each, and told of. */
static void what_is_dropped_is_counted_and_told(void)
{
	struct wire_msg m = {.type = WIRE_DOC, .u.doc = {.data = large, .len = LARGE}};
	uint64_t dropped = met_get(MET_PEER_DROPPED);
	int64_t until;
	int i;

	begin_all(node.doc_table + 1);
	other[0].stalled = 1;
	for (i = 0; i < MANY; i++) CU_ASSERT_EQUAL(peer_send(other[0].self.id, &m), 0);
	turns(500000);
	dropped = met_get(MET_PEER_DROPPED) - dropped;
	CU_ASSERT(dropped > 0);
	CU_ASSERT_EQUAL(__atomic_load_n(&warned, __ATOMIC_SEQ_CST), 1);
	other[0].stalled = 0;
	until = clock_us() + 5000000;
	while (other[0].has + (int)dropped < MANY && clock_us() < until) turn();
	turns(100000);
	CU_ASSERT_EQUAL(other[0].has + (int)dropped, MANY);
	end_all();
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
