/* The peer thread: its event loop, its links, and the schedule of heartbeats. */
#include "peer_impl.h"
#include "clock.h"
#include "digest.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "view.h"
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#define EVENTS_MAX 128
#define CMDS_MAX 512
#define RING_CAP 16384
#define TICK_US 50000
#define IDLE_US 30000000   /* a link that receives nothing for so long is closed */
#define CONNECT_US 1000000 /* timeout of connecting */
#define SEED_HEARTBEATS 8  /* heartbeats between checks of the seeds */
#define PUBLISH_US 100000
#define FANOUT 3             /* heartbeats sent at once when a document changes or on leaving */
#define FORGET_US 7200000000 /* dead members are kept for longer than regions lose contact */

enum cmd_type { CMD_SEND, CMD_DOCS, CMD_LEAVE };

struct cmd {
	enum cmd_type type;
	uint64_t member;
	msgpack_sbuffer frame;
};

struct peer_state peer = {.listen_fd = -1};

int peer_listen(const char *ip, uint16_t *port, struct err *e)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(*port)};
	socklen_t n = sizeof a;
	int one = 1;

	peer.listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(peer.listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (inet_pton(AF_INET, ip, &a.sin_addr) != 1 ||
	    bind(peer.listen_fd, (struct sockaddr *)&a, sizeof a) ||
	    listen(peer.listen_fd, 256))
		return err_set(e, -errno, STEP_PEER, ip, "can't listen on peer port %u: %s",
			       *port, strerror(errno));
	getsockname(peer.listen_fd, (struct sockaddr *)&a, &n);
	*port = ntohs(a.sin_port);
	return 0;
}

static void cmd_free(struct cmd *c)
{
	msgpack_sbuffer_destroy(&c->frame);
	g_free(c);
}

static int push_cmd(enum cmd_type type, uint64_t member, const struct wire_msg *m)
{
	struct cmd *c = g_new0(struct cmd, 1);

	c->type = type;
	c->member = member;
	msgpack_sbuffer_init(&c->frame);
	if (m) wire_encode(&c->frame, m);
	if (!ring_push(&peer.cmds, c)) return 0;
	cmd_free(c);
	met_add(MET_PEER_DROPPED, 1);
	return -EAGAIN;
}

int peer_send(uint64_t member, const struct wire_msg *m)
{
	return push_cmd(CMD_SEND, member, m);
}

void peer_docs_changed(void)
{
	push_cmd(CMD_DOCS, 0, NULL);
}

void peer_leave(void)
{
	push_cmd(CMD_LEAVE, 0, NULL);
}

static void publish_now(void)
{
	struct view *v;
	uint32_t n;

	peer.dirty = 0;
	peer.published_us = clock_us();
	n = mbr_list(peer.mbr, peer.members, MEMBERS_MAX);

	view_set_members(peer.members, n);
	met_set(MET_G_MEMBERS, n);
	v = view_get();
	digest_prune(v);
	view_unref(v);
}

/* A publication places every engine again, which takes milliseconds in a large fleet: updates
 * that come in bursts share one. */
void peer_publish(void)
{
	if (clock_us() - peer.published_us >= PUBLISH_US)
		publish_now();
	else
		peer.dirty = 1;
}

static void update_epoll(struct plink *l)
{
	uint32_t want = l->connecting || l->out.size ? EPOLLIN | EPOLLOUT : EPOLLIN;
	struct epoll_event ev = {.events = want, .data.ptr = l};

	if (want == l->events) return;
	epoll_ctl(peer.epoll, l->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, l->fd, &ev);
	l->events = want;
}

/* The link is not freed yet: events of this loop iteration may still point to it. */
void peer_close(struct plink *l)
{
	if (l->closed) return;
	l->closed = 1;
	epoll_ctl(peer.epoll, EPOLL_CTL_DEL, l->fd, NULL);
	if (l->member && g_hash_table_lookup(peer.by_member, &l->member) == l)
		g_hash_table_remove(peer.by_member, &l->member);
	peer_docs_on_close(l);
}

static void free_closed_links(void)
{
	struct plink *l;
	guint i;

	for (i = 0; i < peer.links->len;) {
		l = peer.links->pdata[i];
		if (!l->closed) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(peer.links, i);
		plink_free(l);
	}
}

/* plink_queue drops and counts messages when the output buffer is full. The warning is logged
 * once until the buffer has been emptied. */
static void send_frame(struct plink *l, const msgpack_sbuffer *b)
{
	struct mbr_info to = {.name = "a newcomer"};

	if (plink_queue(l, b->data, b->size) && !l->dropping) {
		l->dropping = 1;
		mbr_find(peer.mbr, l->member, &to);
		log_warn("peer", "Dropping messages to %s: its send buffer is full.", to.name);
	}
	if (plink_flush(l))
		peer_close(l);
	else
		update_epoll(l);
}

void peer_queue(struct plink *l, const struct wire_msg *m)
{
	msgpack_sbuffer b;

	msgpack_sbuffer_init(&b);
	wire_encode(&b, m);
	send_frame(l, &b);
	msgpack_sbuffer_destroy(&b);
}

void peer_send_hello(struct plink *l)
{
	struct wire_msg m = {.type = WIRE_HELLO};

	strcpy(m.u.hello.key, node.cfg.peer_key);
	mbr_find(peer.mbr, node.self.id, &m.u.hello.self);
	peer_queue(l, &m);
}

static struct plink *add_link(int fd, int connecting)
{
	struct plink *l = plink_new(fd, connecting, clock_us());

	g_ptr_array_add(peer.links, l);
	update_epoll(l);
	return l;
}

struct plink *peer_dial(const char *ip, uint16_t port, uint64_t member)
{
	struct plink *l;
	int fd = plink_connect(ip, port);

	if (fd < 0) {
		met_retried(RETRY_PEER_CONNECT);
		return NULL;
	}
	l = add_link(fd, 1);
	l->member = member;
	if (member) g_hash_table_insert(peer.by_member, &l->member, l);
	peer_send_hello(l);
	return l;
}

static struct plink *get_link(uint64_t member)
{
	struct plink *l = g_hash_table_lookup(peer.by_member, &member);
	struct mbr_info i;

	if (l) return l;
	if (member == node.self.id || !mbr_find(peer.mbr, member, &i)) return NULL;
	return peer_dial(i.ip, i.peer_port, member);
}

static void ping_members(uint32_t n)
{
	struct mbr_info to[FANOUT];
	struct plink *l;
	uint32_t i;

	n = mbr_probe(peer.mbr, clock_us(), to, n);
	for (i = 0; i < n; i++) {
		l = get_link(to[i].id);
		if (l) peer_ping(l, to[i].id, WIRE_PING);
	}
}

static int is_member_address(const char *ip, int port)
{
	uint32_t i, n = mbr_list(peer.mbr, peer.members, MEMBERS_MAX);

	for (i = 0; i < n; i++)
		if (peer.members[i].peer_port == port && !strcmp(peer.members[i].ip, ip))
			return 1;
	return 0;
}

static void connect_seeds(void)
{
	char ip[MBR_IP_MAX + 1];
	const char *colon;
	int i, port;

	for (i = 0; i < node.cfg.seeds.n; i++) {
		colon = strrchr(node.cfg.seeds.item[i], ':');
		if (!colon || colon - node.cfg.seeds.item[i] > MBR_IP_MAX) continue;
		g_strlcpy(ip, node.cfg.seeds.item[i],
			  (gsize)(colon - node.cfg.seeds.item[i]) + 1);
		port = atoi(colon + 1);
		if (port > 0 && port < 65536 && !is_member_address(ip, port))
			peer_dial(ip, (uint16_t)port, 0);
	}
}

static void accept_links(void)
{
	int fd;

	for (;;) {
		fd = accept4(peer.listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) return;
		add_link(fd, 0);
	}
}

static int finish_connect(struct plink *l)
{
	socklen_t n = sizeof(int);
	int error = 0;

	getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &n);
	if (error) return -1;
	l->connecting = 0;
	return 0;
}

static void link_event(struct plink *l, uint32_t events)
{
	if (l->closed) return;
	if (l->connecting && finish_connect(l)) {
		met_retried(RETRY_PEER_CONNECT);
		peer_close(l);
		return;
	}
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && plink_read(l, peer_on_msg)) {
		peer_close(l);
		return;
	}
	if (l->closed) return;
	if (plink_flush(l))
		peer_close(l);
	else
		update_epoll(l);
}

static void leave(void)
{
	mbr_leave(peer.mbr);
	peer_publish();
	ping_members(FANOUT);
}

static void drop_cmd(const struct cmd *c)
{
	met_add(MET_PEER_DROPPED, 1);
	log_debug("peer", "Dropped a message to %016" PRIx64 ": there is no link to it.",
		  c->member);
}

static void run_cmd(struct cmd *c)
{
	struct plink *l;

	switch (c->type) {
	case CMD_SEND:
		l = get_link(c->member);
		if (l)
			send_frame(l, &c->frame);
		else
			drop_cmd(c);
		break;
	case CMD_DOCS: ping_members(FANOUT); break;
	case CMD_LEAVE: leave(); break;
	}
	cmd_free(c);
}

static void run_cmds(void)
{
	void *item[CMDS_MAX];
	uint32_t i, n = ring_take(&peer.cmds, item, CMDS_MAX);

	for (i = 0; i < n; i++) run_cmd(item[i]);
}

static void close_idle_links(int64_t now)
{
	struct plink *l;
	guint i;

	for (i = 0; i < peer.links->len; i++) {
		l = peer.links->pdata[i];
		if (now - l->last_seen_us > (l->connecting ? CONNECT_US : IDLE_US))
			peer_close(l);
	}
}

static void tick(int64_t now)
{
	peer.next_tick_us = now + TICK_US;
	if (mbr_expire(peer.mbr, now)) peer_publish();
	if (peer.dirty) peer_publish();
	close_idle_links(now);
	peer_docs_tick(now);
	if (now < peer.next_heartbeat_us) return;
	peer.next_heartbeat_us = now + node.cfg.heartbeat_ms * 1000;
	if (peer.heartbeats++ % SEED_HEARTBEATS == 0) connect_seeds();
	ping_members(1);
}

static void run_once(void)
{
	struct epoll_event ev[EVENTS_MAX];
	int64_t now = clock_us(), left = peer.next_tick_us - now;
	int i, n;

	n = epoll_wait(peer.epoll, ev, EVENTS_MAX, left > 0 ? (int)((left + 999) / 1000) : 0);
	for (i = 0; i < n; i++) {
		if (ev[i].data.ptr == &peer.listen_fd)
			accept_links();
		else if (ev[i].data.ptr != &peer.cmds)
			link_event(ev[i].data.ptr, ev[i].events);
	}
	run_cmds();
	now = clock_us();
	if (now >= peer.next_tick_us) tick(now);
	free_closed_links();
}

static void *run(void *arg)
{
	(void)arg;
	rcu_register_thread();
	peer_publish();
	while (!node.stopping) run_once();
	run_cmds();
	rcu_unregister_thread();
	return NULL;
}

int peer_start(const struct mbr_info *self, struct err *e)
{
	struct mbr_config c = {
		.ack_us = node.cfg.ack_ms * 1000,
		.suspect_us = node.cfg.suspect_ms * 1000,
		.forget_us = FORGET_US,
		.seed = (uint32_t)self->id,
	};
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = &peer.listen_fd};

	peer.epoll = epoll_create1(EPOLL_CLOEXEC);
	peer.mbr = mbr_new(self, &c);
	peer.links = g_ptr_array_new();
	peer.by_member = g_hash_table_new(g_int64_hash, g_int64_equal);
	peer.members = g_new0(struct mbr_info, MEMBERS_MAX);
	epoll_ctl(peer.epoll, EPOLL_CTL_ADD, peer.listen_fd, &ev);
	if (ring_init(&peer.cmds, RING_CAP, 1))
		return err_set(e, -ENOMEM, STEP_PEER, "", "no memory for the ring");
	ev.data.ptr = &peer.cmds;
	epoll_ctl(peer.epoll, EPOLL_CTL_ADD, peer.cmds.wake_fd, &ev);
	if (pthread_create(&peer.thread, NULL, run, NULL))
		return err_set(e, -EAGAIN, STEP_PEER, "", "can't start the peer thread");
	pthread_setname_np(peer.thread, "peer");
	return 0;
}

void peer_join(void)
{
	eventfd_write(peer.cmds.wake_fd, 1);
	pthread_join(peer.thread, NULL);
}

void peer_free(void)
{
	void *item;
	guint i;

	while (ring_take(&peer.cmds, &item, 1)) cmd_free(item);
	for (i = 0; i < peer.links->len; i++) plink_free(peer.links->pdata[i]);
	g_ptr_array_unref(peer.links);
	g_hash_table_unref(peer.by_member);
	mbr_free(peer.mbr);
	g_free(peer.members);
	close(peer.listen_fd);
	close(peer.epoll);
	ring_free(&peer.cmds);
}
