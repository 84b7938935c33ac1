/* This instance's part of what all may do together: by all instances that it has known in this
 * life, as those that it does not hear may go on using theirs. */
#include "clock.h"
#include "mesh_impl.h"
#include <arpa/inet.h>
#include <errno.h>
#include <saddlehead/part.h>
#include <string.h>

/* An instance that nobody has told of for so long has left for good. */
#define FORGET_US 600000000
#define LOOK_US 60000000 /* how often that is looked at */
#define WAIT_US 50000    /* how often one that has no part yet looks for it */
#define KNOWN_MAX 4096   /* instances: no fleet is so large */
#define ABSENT_FIELDS 3  /* of each: address, link, microseconds since it was told of */

struct known {
	int link_mbps;   /* 0: not told */
	int64_t told_us; /* by itself or others, the last time */
	int heard;       /* here, or by whoever told that it is absent; not named alone */
};

static GHashTable *known; /* address -> struct known */
static struct part_incarnation life;
static int stale = 1;
static int64_t looked_us, waits_until_us;
static double part;

static struct known *know(const char *ip, int link_mbps, int64_t told_us)
{
	struct known *k = g_hash_table_lookup(known, ip);

	if (!k && g_hash_table_size(known) >= KNOWN_MAX) return NULL;
	if (!k) {
		k = g_new0(struct known, 1);
		g_hash_table_insert(known, g_strdup(ip), k);
		stale = 1;
	}
	k->told_us = MAX(k->told_us, told_us);
	if (!link_mbps || link_mbps == k->link_mbps) return k;
	k->link_mbps = link_mbps;
	stale = 1;
	return k;
}

static void know_heard(const char *ip, int link_mbps, int64_t told_us)
{
	struct known *k = know(ip, link_mbps, told_us);

	if (k) k->heard = 1;
}

void mesh_part_know(const struct member *m)
{
	know(m->ip, m->link_mbps, clock_us());
}

void mesh_part_heard(const struct member *m)
{
	life.seen_others = 1;
	know_heard(m->ip, m->link_mbps, clock_us());
}

static int is_absent(const char *ip, const struct known *k)
{
	const struct member *m = mesh_member_known(ip);

	return k->heard && (!m || !m->alive);
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

/* Hubs tell, who hear all that live: one that stands by hears only hubs. */
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
		msgpack_pack_int64(p, now - k->told_us);
	}
	mesh_frame_end(&f, out);
}

static int is_another(const char *ip)
{
	struct in_addr a;

	return strcmp(ip, mesh_cfg()->ip) != 0 && inet_pton(AF_INET, ip, &a) == 1;
}

int mesh_take_absent(const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	struct member *m;
	uint32_t i;

	for (i = 1; i + ABSENT_FIELDS <= a->size; i += ABSENT_FIELDS) {
		int64_t silent_us = mesh_int(&a->ptr[i + 2]);

		if (mesh_text(&a->ptr[i], ip, sizeof ip)) return -EBADMSG;
		if (!is_another(ip) || silent_us < 0 || silent_us > FORGET_US) continue;
		know_heard(ip, mesh_mbps(&a->ptr[i + 1]), clock_us() - silent_us);
		m = mesh_member_known(ip);
		if (m) mesh_told_silent(m, silent_us);
	}
	return 0;
}

static gboolean has_left(gpointer ip, gpointer value, gpointer now)
{
	const struct known *k = value;

	(void)ip;
	return *(int64_t *)now - k->told_us > FORGET_US;
}

static void forget(int64_t now)
{
	if (now - looked_us < LOOK_US) return;
	looked_us = now;
	if (g_hash_table_foreach_remove(known, has_left, &now)) stale = 1;
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

/* When somebody becomes known, and while time alone may end the wait for it. */
static int is_to_be_worked_out(int64_t now)
{
	return stale || (part <= 0 && now >= waits_until_us);
}

double mesh_part(int64_t window_us)
{
	int64_t now = clock_us();
	GArray *peers;

	forget(now);
	if (!is_to_be_worked_out(now)) return part;
	peers = all_known();
	part = part_of_self(&life, (struct roles_peer *)(void *)peers->data, (int)peers->len,
			    window_us, now);
	g_array_free(peers, TRUE);
	stale = 0;
	waits_until_us = now + WAIT_US;
	return part;
}

void mesh_part_start(void)
{
	known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	life.started_us = clock_us();
	life.first_start = mesh_cfg()->first_start;
	life.join_us = mesh_cfg()->join_us;
}
