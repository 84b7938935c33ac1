/* This instance's part of what all instances may do together. It is computed from all instances
 * known since the start, as those that are out of reach may still use their parts. */
#include "clock.h"
#include "mesh_impl.h"
#include <arpa/inet.h>
#include <errno.h>
#include <saddlehead/part.h>
#include <string.h>

/* Microseconds: an instance not reported within this time has left. */
#define FORGET_US 600000000
#define CHECK_US 60000000 /* interval of the checks for instances that have left */
#define RETRY_US 50000    /* between computations while there is no part yet */
#define KNOWN_MAX 4096    /* more than any fleet has */
#define ABSENT_FIELDS 3   /* of each: address, link, microseconds since it was reported */

struct known {
	int link_mbps;       /* 0: not reported */
	int64_t reported_us; /* by itself or others, last */
	int seen; /* by this instance, or by one that reports it absent; not just named */
};

static GHashTable *known; /* address -> struct known */
static struct part_incarnation incarnation;
static int stale = 1;
static int64_t checked_us, retry_at_us;
static double part;

static struct known *add_known(const char *ip, int link_mbps, int64_t reported_us)
{
	struct known *k = g_hash_table_lookup(known, ip);

	if (!k && g_hash_table_size(known) >= KNOWN_MAX) return NULL;
	if (!k) {
		k = g_new0(struct known, 1);
		g_hash_table_insert(known, g_strdup(ip), k);
		stale = 1;
	}
	k->reported_us = MAX(k->reported_us, reported_us);
	if (!link_mbps || link_mbps == k->link_mbps) return k;
	k->link_mbps = link_mbps;
	stale = 1;
	return k;
}

static void add_seen(const char *ip, int link_mbps, int64_t reported_us)
{
	struct known *k = add_known(ip, link_mbps, reported_us);

	if (k) k->seen = 1;
}

void mesh_part_add(const struct member *m)
{
	add_known(m->ip, m->link_mbps, clock_us());
}

void mesh_part_seen(const struct member *m)
{
	incarnation.seen_others = 1;
	add_seen(m->ip, m->link_mbps, clock_us());
}

static int is_absent(const char *ip, const struct known *k)
{
	const struct member *m = mesh_member_find(ip);

	return k->seen && (!m || !m->alive);
}

static int count_absent(void)
{
	GHashTableIter it;
	gpointer ip, k;
	int n = 0;

	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &ip, &k)) n += is_absent(ip, k);
	return n;
}

/* Only hubs send these, as they receive heartbeats of all live instances: a standby instance
 * receives only those of hubs. */
void mesh_write_absent(GString *out)
{
	int n = mesh_self_hub() ? count_absent() : 0;
	int64_t now = clock_us();
	struct mesh_frame f;
	GHashTableIter it;
	gpointer ip, value;
	msgpack_packer *p;

	if (!n) return;
	p = mesh_frame_begin(&f, MESH_ABSENT, 1 + ABSENT_FIELDS * n);
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		const struct known *k = value;

		if (!is_absent(ip, k)) continue;
		mesh_pack_text(p, ip);
		msgpack_pack_int(p, k->link_mbps);
		msgpack_pack_int64(p, now - k->reported_us);
	}
	mesh_frame_end(&f, out);
}

static int is_another(const char *ip)
{
	struct in_addr a;

	return strcmp(ip, mesh_cfg()->ip) != 0 && inet_pton(AF_INET, ip, &a) == 1;
}

int mesh_handle_absent(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	struct member *m;
	uint32_t i;

	for (i = 1; i + ABSENT_FIELDS <= a->size; i += ABSENT_FIELDS) {
		int64_t silent_us = mesh_int(&a->ptr[i + 2]);

		if (mesh_text(&a->ptr[i], ip, sizeof ip)) return -EBADMSG;
		if (!is_another(ip) || silent_us < 0 || silent_us > FORGET_US) continue;
		add_seen(ip, mesh_mbps(&a->ptr[i + 1]), clock_us() - silent_us);
		m = mesh_member_find(ip);
		if (m) mesh_reported_silent(m, silent_us);
	}
	return 0;
}

static gboolean is_expired(gpointer ip, gpointer value, gpointer now)
{
	const struct known *k = value;

	(void)ip;
	return *(int64_t *)now - k->reported_us > FORGET_US;
}

static void forget_expired(int64_t now)
{
	if (now - checked_us < CHECK_US) return;
	checked_us = now;
	if (g_hash_table_foreach_remove(known, is_expired, &now)) stale = 1;
}

static GArray *all_known(void)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct roles_peer));
	struct roles_peer self = {.link_mbps = mesh_cfg()->link_mbps,
				  .hash = g_str_hash(mesh_cfg()->ip),
				  .self = 1};
	GHashTableIter it;
	gpointer ip, k;

	g_array_append_val(peers, self);
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &ip, &k)) {
		struct roles_peer p = {.link_mbps = ((struct known *)k)->link_mbps,
				       .hash = g_str_hash(ip)};

		g_array_append_val(peers, p);
	}
	return peers;
}

/* Whether an instance became known, or the passing of time alone may end the wait for a
 * part. */
static int needs_update(int64_t now)
{
	return stale || (part <= 0 && now >= retry_at_us);
}

double mesh_part(int64_t window_us)
{
	int64_t now = clock_us();
	GArray *peers;

	forget_expired(now);
	if (!needs_update(now)) return part;
	peers = all_known();
	part = part_of_self(&incarnation, (struct roles_peer *)(void *)peers->data,
			    (int)peers->len, window_us, now);
	g_array_free(peers, TRUE);
	stale = 0;
	retry_at_us = now + RETRY_US;
	return part;
}

void mesh_part_start(void)
{
	known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	incarnation.started_us = clock_us();
	incarnation.first_start = mesh_cfg()->first_start;
	incarnation.join_us = mesh_cfg()->join_us;
}
