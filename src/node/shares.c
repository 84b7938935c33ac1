#include "shares.h"
#include "hash.h"
#include "node.h"
#include "share.h"
#include "view.h"
#include <string.h>

#define ASK_US 1000000        /* a share is renewed so often */
#define ASK_BLOCKED_US 100000 /* the same while requests wait for it */

struct held {
	uint64_t group;                /* the key */
	uint32_t ceiling, share, told; /* told: the limit that the core has */
	uint32_t seq;
	int64_t asked_us, asked_first_us, until_us;
};

static struct {
	GHashTable *held, *homes;
	int64_t members_us;
	uint32_t keepers;
} sh;

void shares_init(void)
{
	sh.held = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	sh.homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void shares_free(void)
{
	g_hash_table_unref(sh.held);
	g_hash_table_unref(sh.homes);
}

static struct held *held_of(uint64_t group)
{
	return g_hash_table_lookup(sh.held, &group);
}

void shares_table(const struct tbl *t)
{
	struct held *h;
	GHashTableIter it;
	gpointer p;
	uint32_t i;

	g_hash_table_iter_init(&it, sh.held);
	while (g_hash_table_iter_next(&it, NULL, &p)) ((struct held *)p)->ceiling = 0;
	for (i = 0; i < t->ngroups; i++) {
		if (!t->group[i].ceiling.running) continue;
		h = held_of(t->group[i].id);
		if (!h) {
			h = g_new0(struct held, 1);
			h->group = t->group[i].id;
			g_hash_table_insert(sh.held, &h->group, h);
		}
		h->ceiling = t->group[i].ceiling.running;
	}
}

void shares_members(int64_t now_us)
{
	GHashTableIter it;
	gpointer p;

	sh.members_us = now_us;
	g_hash_table_iter_init(&it, sh.held);
	while (g_hash_table_iter_next(&it, NULL, &p)) ((struct held *)p)->asked_us = 0;
}

void shares_keepers(uint32_t n)
{
	sh.keepers = n;
}

/* Nobody has answered for the time of a share: this keeper is cut off, or the home is. */
static int cut_off(const struct held *h, int64_t now_us)
{
	return h->asked_first_us && now_us - h->asked_first_us > SHARE_TTL_HOLDER_US;
}

static uint32_t usable(const struct held *h, int64_t now_us)
{
	if (now_us < h->until_us) return h->share < h->ceiling ? h->share : h->ceiling;
	return cut_off(h, now_us) ? share_part(h->ceiling, sh.keepers) : 0;
}

uint32_t shares_limit(uint64_t group, int64_t now_us)
{
	const struct held *h = held_of(group);

	return h ? usable(h, now_us) : 0;
}

static uint64_t home_of(uint64_t group)
{
	struct view *v = view_get();
	uint64_t home = 0;

	if (v) home = view_owner(v->member, v->nmembers, NULL, hash_score(1, group));
	view_unref(v);
	return home ? home : node.self.id;
}

static void tell_core(struct core *c, struct held *h, int64_t now_us)
{
	struct core_event ev = {.type = CORE_EV_LIMIT, .now_us = now_us};

	ev.u.limit.group = h->group;
	ev.u.limit.running = usable(h, now_us);
	if (ev.u.limit.running == h->told) return;
	h->told = ev.u.limit.running;
	core_step(c, &ev);
}

static void ask(struct core *c, struct held *h, int64_t now_us)
{
	struct wire_msg m = {.type = WIRE_SHARE_ASK};
	uint64_t home = home_of(h->group);

	h->asked_us = now_us;
	if (!h->asked_first_us) h->asked_first_us = now_us;
	m.u.share.seq = ++h->seq;
	m.u.share.ask = (struct share_ask){.group = h->group,
					   .held = usable(h, now_us),
					   .running = core_group_running(c, h->group)};
	m.u.share.ask.demand = m.u.share.ask.running + core_group_waiting(c, h->group);
	if (home == node.self.id)
		shares_take(c, &m, home, now_us);
	else
		ticket_send(home, &m);
}

/* Renewed while there is demand; sooner while requests wait for it. */
static int due(const struct core *c, const struct held *h, int64_t now_us)
{
	uint32_t running = core_group_running(c, h->group),
		 waiting = core_group_waiting(c, h->group);

	if (!h->ceiling || !(running + waiting)) return 0;
	if (waiting && running >= usable(h, now_us))
		return now_us - h->asked_us >= ASK_BLOCKED_US;
	return now_us - h->asked_us >= ASK_US;
}

void shares_tick(struct core *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, sh.held);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (due(c, p, now_us)) ask(c, p, now_us);
		tell_core(c, p, now_us);
	}
}

void shares_ask_soon(struct core *c, uint64_t group, int64_t now_us)
{
	struct held *h = held_of(group);

	if (h && due(c, h, now_us)) ask(c, h, now_us);
}

static struct share_home *home_here(uint64_t group)
{
	struct share_home *s = g_hash_table_lookup(sh.homes, &group);

	if (s) return s;
	s = g_new0(struct share_home, 1);
	s->group = group;
	g_hash_table_insert(sh.homes, &s->group, s);
	return s;
}

static void answer(struct core *c, const struct wire_msg *in, uint64_t from, int64_t now_us)
{
	struct wire_msg m = {.type = WIRE_SHARE};
	const struct held *h = held_of(in->u.share.ask.group);
	struct share_home *s;

	if (!h || !h->ceiling) return;
	s = home_here(h->group);
	s->born_us = sh.members_us;
	m.u.share.seq = in->u.share.seq;
	m.u.share.ask.group = h->group;
	m.u.share.ask.held = share_answer(s, from, &in->u.share.ask, h->ceiling, now_us);
	if (from == node.self.id)
		shares_take(c, &m, from, now_us);
	else
		ticket_send(from, &m);
}

static void take_share(struct core *c, const struct wire_msg *m, int64_t now_us)
{
	struct held *h = held_of(m->u.share.ask.group);

	if (!h || m->u.share.seq != h->seq) return;
	h->share = m->u.share.ask.held;
	h->until_us = h->asked_us + SHARE_TTL_HOLDER_US;
	h->asked_first_us = 0;
	tell_core(c, h, now_us);
}

void shares_take(struct core *c, const struct wire_msg *m, uint64_t from, int64_t now_us)
{
	if (m->type == WIRE_SHARE_ASK)
		answer(c, m, from, now_us);
	else
		take_share(c, m, now_us);
}
