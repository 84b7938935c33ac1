/* Outgoing links to the other instances: opened again when they break, and only written to. */
#include "adm.h"
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include "quarantine.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>

/* Microseconds between attempts to connect: one per heartbeat, as it takes a second until a
 * lost opening packet to a starting instance is sent again. */
#define RECONNECT_US 350000
/* Bytes queued for an instance that does not read: about ten seconds of messages. Older loads
 * are useless. */
#define LINK_MAX (256u << 10)

static void on_link_end(struct cn *c, int err)
{
	struct member *m = (struct member *)((char *)c - offsetof(struct member, link));

	m->refused = err == -ECONNREFUSED;
	cn_close(c);
	/* No process listens there: nothing that it asked for waits any more. */
	if (m->refused) adm_member_gone(m->ip);
}

static void on_link_data(struct cn *c, const char *p, size_t n)
{
	(void)c; /* the other side sends nothing here */
	(void)p;
	(void)n;
}

static void on_link_up(struct cn *c)
{
	struct member *m = (struct member *)((char *)c - offsetof(struct member, link));
	GString *out = g_string_new(NULL);

	m->link_up_us = clock_us();
	/* The first heartbeat echoes nothing: m's heartbeats are acknowledged only after the
	 * state that may have been lost has been sent again. */
	mesh_write_own_heartbeat(out, m, 0);
	mesh_write_peers(out, !mesh_informs(m));
	mesh_write_absent(out);
	/* Orders precede verdicts, which complete what a starting instance waits for. */
	mesh_write_orders(out);
	mesh_write_topics(m, out);
	mesh_write_verdicts(out);
	if (!m->last_seen_us || m->hb.serving) {
		quarantine_write_reports(out);
		mesh_write_all_loads(out);
	}
	mesh_write_own_heartbeat(out, m, 1);
	cn_write(c, out->str, out->len);
	g_string_free(out, TRUE);
}

void mesh_connect(struct member *m)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(mesh_cfg()->peer_port)};

	m->next_connect_us = clock_us() + RECONNECT_US;
	if (inet_pton(AF_INET, m->ip, &to.sin_addr) != 1) return;
	m->link = (struct cn){
		.on_connected = on_link_up, .on_data = on_link_data, .on_end = on_link_end};
	cn_connect(&m->link, &to);
}

/* An echo can be one heartbeat older than the sender's last heartbeat. */
int mesh_link_is_silent(const struct member *m, int interval, int64_t now)
{
	int64_t since_us = MAX(MAX(m->link_up_us, m->acked_us), mesh_resumed_us());

	return now - since_us >= interval * (MESH_DEAD_US + MESH_HEARTBEAT_US);
}

static void log_renewed(const struct member *m, const char *why)
{
	int64_t now = clock_us();
	GString *g = jlog_begin("fleet", "link_renewed");

	jlog_str(g, "member", m->hb.name);
	jlog_str(g, "ip", m->ip);
	jlog_str(g, "why", why);
	jlog_int(g, "heard_ms", (now - m->last_seen_us) / 1000);
	jlog_int(g, "answered_ms", (now - m->acked_us) / 1000);
	jlog_end(g);
}

void mesh_renew_link(struct member *m, const char *why)
{
	met_add(MET_PEER_LINKS_RENEWED, 1);
	/* Logged once per link that worked: a dead one is opened again and again. */
	if (m->acked_us >= m->link_up_us) log_renewed(m, why);
	cn_reset(&m->link);
	mesh_connect(m);
}

void mesh_send(struct member *m, const GString *frame)
{
	if (!cn_is_open(&m->link) || m->link.connecting) return;
	if (cn_pending(&m->link) + frame->len > LINK_MAX) {
		met_add(MET_PEER_DROPPED, 1);
		cn_reset(&m->link);
		return;
	}
	met_add(MET_PEER_MSGS_OUT, 1);
	met_add(MET_PEER_BYTES_OUT, frame->len);
	cn_write(&m->link, frame->str, frame->len);
}

void mesh_send_to(const char *ip, const GString *frame)
{
	struct member *m = mesh_member_find(ip);

	if (m) mesh_send(m, frame);
}

ssize_t mesh_queued_to(const char *ip)
{
	const struct member *m = mesh_member_find(ip);

	if (!m || !cn_is_open(&m->link) || m->link.connecting) return -ENOTCONN;
	return (ssize_t)cn_pending(&m->link);
}

void mesh_send_serving(const GString *frame)
{
	uint32_t i;

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);

		if (m->hb.serving) mesh_send(m, frame);
	}
}

void mesh_send_serving_and_hubs(const GString *frame)
{
	uint32_t i;

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);

		if (m->hb.serving || m->hub) mesh_send(m, frame);
	}
}

void mesh_send_all(const GString *frame)
{
	uint32_t i;

	for (i = 0; i < mesh_members()->len; i++)
		mesh_send(g_ptr_array_index(mesh_members(), i), frame);
}
