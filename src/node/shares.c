#include "shares.h"
#include "hash.h"
#include "node.h"
#include "share.h"
#include "view.h"
#include <string.h>

#define RENEW_US 1000000        /* interval at which a share is renewed */
#define RENEW_WAITING_US 100000 /* the same while requests wait for a larger share */

struct held_share {
	uint64_t group;                      /* the key */
	uint32_t ceiling, share, core_limit; /* core_limit: as last set in the core */
	uint32_t seq;
	int64_t requested_us, unanswered_since_us, expires_us;
};

static struct {
	GHashTable *held, *homes;
	int64_t members_changed_us;
	uint32_t keepers;
} shares;

void shares_init(void)
{
	shares.held = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	shares.homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void shares_free(void)
{
	g_hash_table_unref(shares.held);
	g_hash_table_unref(shares.homes);
}

static struct held_share *find_held(uint64_t group)
{
	return g_hash_table_lookup(shares.held, &group);
}

void shares_set_table(const struct tbl *t)
{
	struct held_share *h;
	GHashTableIter it;
	gpointer p;
	uint32_t i;

	g_hash_table_iter_init(&it, shares.held);
	while (g_hash_table_iter_next(&it, NULL, &p)) ((struct held_share *)p)->ceiling = 0;
	for (i = 0; i < t->ngroups; i++) {
		if (!t->group[i].ceiling.running) continue;
		h = find_held(t->group[i].id);
		if (!h) {
			h = g_new0(struct held_share, 1);
			h->group = t->group[i].id;
			g_hash_table_insert(shares.held, &h->group, h);
		}
		h->ceiling = t->group[i].ceiling.running;
	}
}

void shares_members_changed(int64_t now_us)
{
	GHashTableIter it;
	gpointer p;

	shares.members_changed_us = now_us;
	g_hash_table_iter_init(&it, shares.held);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct held_share *)p)->requested_us = 0;
}

void shares_set_keepers(uint32_t n)
{
	shares.keepers = n;
}

/* No answer for the lifetime of a share: this keeper or the home is partitioned. */
static int partitioned(const struct held_share *h, int64_t now_us)
{
	return h->unanswered_since_us && now_us - h->unanswered_since_us > SHARE_TTL_HOLDER_US;
}

/* The number of requests that may run: the share while it is valid; when partitioned, this
 * keeper's fixed part of the ceiling; else none. */
static uint32_t usable_share(const struct held_share *h, int64_t now_us)
{
	if (now_us < h->expires_us) return h->share < h->ceiling ? h->share : h->ceiling;
	return partitioned(h, now_us) ? share_default(h->ceiling, shares.keepers) : 0;
}

uint32_t shares_limit(uint64_t group, int64_t now_us)
{
	const struct held_share *h = find_held(group);

	return h ? usable_share(h, now_us) : 0;
}

static uint64_t home_of(uint64_t group)
{
	struct view *v = view_get();
	uint64_t home = 0;

	if (v) home = view_owner(v->member, v->nmembers, NULL, hash_score(1, group));
	view_unref(v);
	return home ? home : node.self.id;
}

static void report_limit(struct core *c, struct held_share *h, int64_t now_us)
{
	struct core_event ev = {.type = CORE_EV_LIMIT, .now_us = now_us};

	ev.u.limit.group = h->group;
	ev.u.limit.running = usable_share(h, now_us);
	if (ev.u.limit.running == h->core_limit) return;
	h->core_limit = ev.u.limit.running;
	core_step(c, &ev);
}

static void request_share(struct core *c, struct held_share *h, int64_t now_us)
{
	struct wire_msg m = {.type = WIRE_SHARE_ASK};
	uint64_t home = home_of(h->group);

	h->requested_us = now_us;
	if (!h->unanswered_since_us) h->unanswered_since_us = now_us;
	m.u.share.seq = ++h->seq;
	m.u.share.ask = (struct share_request){.group = h->group,
					       .held = usable_share(h, now_us),
					       .running = core_group_running(c, h->group)};
	m.u.share.ask.demand = m.u.share.ask.running + core_group_waiting(c, h->group);
	if (home == node.self.id)
		shares_receive(c, &m, home, now_us);
	else
		ticket_send(home, &m);
}

/* A share is renewed while there is demand, and more often while requests wait for a larger
 * one. */
static int request_due(const struct core *c, const struct held_share *h, int64_t now_us)
{
	uint32_t running = core_group_running(c, h->group),
		 waiting = core_group_waiting(c, h->group);

	if (!h->ceiling || !(running + waiting)) return 0;
	if (waiting && running >= usable_share(h, now_us))
		return now_us - h->requested_us >= RENEW_WAITING_US;
	return now_us - h->requested_us >= RENEW_US;
}

void shares_tick(struct core *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, shares.held);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (request_due(c, p, now_us)) request_share(c, p, now_us);
		report_limit(c, p, now_us);
	}
}

void shares_request_if_due(struct core *c, uint64_t group, int64_t now_us)
{
	struct held_share *h = find_held(group);

	if (h && request_due(c, h, now_us)) request_share(c, h, now_us);
}

static struct share_home *local_home(uint64_t group)
{
	struct share_home *s = g_hash_table_lookup(shares.homes, &group);

	if (s) return s;
	s = g_new0(struct share_home, 1);
	s->group = group;
	g_hash_table_insert(shares.homes, &s->group, s);
	return s;
}

static void handle_request(struct core *c, const struct wire_msg *in, uint64_t from,
			   int64_t now_us)
{
	struct wire_msg m = {.type = WIRE_SHARE};
	const struct held_share *h = find_held(in->u.share.ask.group);
	struct share_home *s;

	if (!h || !h->ceiling) return;
	s = local_home(h->group);
	s->created_us = shares.members_changed_us;
	m.u.share.seq = in->u.share.seq;
	m.u.share.ask.group = h->group;
	m.u.share.ask.held = share_grant(s, from, &in->u.share.ask, h->ceiling, now_us);
	if (from == node.self.id)
		shares_receive(c, &m, from, now_us);
	else
		ticket_send(from, &m);
}

static void handle_share(struct core *c, const struct wire_msg *m, int64_t now_us)
{
	struct held_share *h = find_held(m->u.share.ask.group);

	if (!h || m->u.share.seq != h->seq) return;
	h->share = m->u.share.ask.held;
	h->expires_us = h->requested_us + SHARE_TTL_HOLDER_US;
	h->unanswered_since_us = 0;
	report_limit(c, h, now_us);
}

void shares_receive(struct core *c, const struct wire_msg *m, uint64_t from, int64_t now_us)
{
	if (m->type == WIRE_SHARE_ASK)
		handle_request(c, m, from, now_us);
	else
		handle_share(c, m, now_us);
}
