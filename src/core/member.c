#include <saddlehead/member.h>
#include "hash.h"
#include <glib.h>
#include <string.h>

#define PROBE_DEAD_EVERY 5
#define FORWARD_FACTOR 3 /* an update is forwarded this many times log2(members) */

struct member {
	struct mbr_info info;
	int64_t pinged_us; /* first unanswered heartbeat; 0: none */
	int64_t suspect_us, dead_us;
	uint32_t forwarded;
};

struct mbr {
	struct mbr_config cfg;
	struct member *self;
	GHashTable *by_id;
	GPtrArray *order; /* shuffled; probed round-robin */
	guint next, window;
	uint32_t probes;
	GRand *rand;
};

static struct member *member_add(struct mbr *m, const struct mbr_info *info)
{
	struct member *x = g_new0(struct member, 1);
	guint at;

	x->info = *info;
	g_hash_table_insert(m->by_id, &x->info.id, x);
	g_ptr_array_add(m->order, x);
	at = (guint)g_rand_int_range(m->rand, 0, (gint)m->order->len);
	m->order->pdata[m->order->len - 1] = m->order->pdata[at];
	m->order->pdata[at] = x;
	return x;
}

struct mbr *mbr_new(const struct mbr_info *self, const struct mbr_config *cfg)
{
	struct mbr *m = g_new0(struct mbr, 1);

	m->cfg = *cfg;
	m->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	m->order = g_ptr_array_new();
	m->rand = g_rand_new_with_seed(cfg->seed);
	m->self = member_add(m, self);
	return m;
}

void mbr_free(struct mbr *m)
{
	g_rand_free(m->rand);
	g_ptr_array_unref(m->order);
	g_hash_table_unref(m->by_id);
	g_free(m);
}

/* A peer reports this instance in a worse state than its own: a higher incarnation overrides
 * that. */
static int refute(struct mbr *m, const struct mbr_info *update)
{
	struct mbr_info *self = &m->self->info;

	if (update->incarnation < self->incarnation) return 0;
	if (update->incarnation == self->incarnation && update->state <= self->state) return 0;
	self->incarnation = update->incarnation + 1;
	m->self->forwarded = 0;
	return 1;
}

static int overrides(const struct mbr_info *update, const struct mbr_info *old)
{
	if (update->incarnation != old->incarnation)
		return update->incarnation > old->incarnation;
	return update->state > old->state;
}

static void set_state(struct member *x, enum mbr_state s, int64_t now)
{
	x->info.state = s;
	x->forwarded = 0;
	if (s == MBR_SUSPECT) x->suspect_us = now;
	if (s == MBR_DEAD) x->dead_us = now;
	if (s < MBR_SUSPECT) x->pinged_us = 0;
}

int mbr_apply(struct mbr *m, const struct mbr_info *update, int64_t now_us)
{
	struct member *x = g_hash_table_lookup(m->by_id, &update->id);

	if (x == m->self) return refute(m, update);
	if (!x && update->state == MBR_DEAD) return 0;
	if (!x) {
		x = member_add(m, update);
		set_state(x, update->state, now_us);
		return 1;
	}
	if (!overrides(update, &x->info)) return 0;
	x->info = *update;
	set_state(x, update->state, now_us);
	return 1;
}

int mbr_seen(struct mbr *m, uint64_t id, int64_t now_us)
{
	struct member *x = g_hash_table_lookup(m->by_id, &id);

	(void)now_us;
	if (!x) return 0;
	x->pinged_us = 0;
	return 0;
}

/* A dead member is probed occasionally, as nothing else detects that a network partition has
 * healed. */
static int is_probe_target(const struct mbr *m, const struct member *x, int dead)
{
	return x != m->self && (x->info.state == MBR_DEAD) == dead;
}

static uint32_t probe_members(struct mbr *m, int64_t now_us, int dead, struct mbr_info *out,
			      uint32_t max)
{
	struct member *x;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < m->order->len && n < max; i++) {
		if (m->next >= m->order->len) m->next = 0;
		x = m->order->pdata[m->next++];
		if (!is_probe_target(m, x, dead)) continue;
		if (!dead && !x->pinged_us) x->pinged_us = now_us;
		out[n++] = x->info;
	}
	return n;
}

uint32_t mbr_probe(struct mbr *m, int64_t now_us, struct mbr_info *out, uint32_t max)
{
	uint32_t n = 0;

	if (++m->probes % PROBE_DEAD_EVERY == 0) n = probe_members(m, now_us, 1, out, 1);
	return n ? n : probe_members(m, now_us, 0, out, max);
}

static void forget(struct mbr *m, guint i)
{
	struct member *x = m->order->pdata[i];

	g_ptr_array_remove_index_fast(m->order, i);
	g_hash_table_remove(m->by_id, &x->info.id);
}

static int expire_one(struct mbr *m, struct member *x, int64_t now)
{
	if (x->info.state < MBR_SUSPECT) {
		if (!x->pinged_us || now - x->pinged_us < m->cfg.ack_us) return 0;
		set_state(x, MBR_SUSPECT, now);
		return 1;
	}
	if (x->info.state != MBR_SUSPECT || now - x->suspect_us < m->cfg.suspect_us) return 0;
	set_state(x, MBR_DEAD, now);
	return 1;
}

int mbr_expire(struct mbr *m, int64_t now_us)
{
	struct member *x;
	int changed = 0;
	guint i;

	for (i = 0; i < m->order->len;) {
		x = m->order->pdata[i];
		if (x != m->self) changed |= expire_one(m, x, now_us);
		if (x->info.state == MBR_DEAD && now_us - x->dead_us > m->cfg.forget_us)
			forget(m, i);
		else
			i++;
	}
	return changed;
}

static uint32_t forward_limit(const struct mbr *m)
{
	uint32_t bits = 1, n = m->order->len;

	while (n >>= 1) bits++;
	return bits * FORWARD_FACTOR;
}

static struct member *least_forwarded(struct mbr *m, uint32_t limit,
				      const struct mbr_info *taken, uint32_t ntaken)
{
	struct member *x, *best = NULL;
	uint32_t k;
	guint i;

	for (i = 0; i < m->order->len; i++) {
		x = m->order->pdata[i];
		if (x->forwarded >= limit || (best && x->forwarded >= best->forwarded))
			continue;
		for (k = 0; k < ntaken && taken[k].id != x->info.id; k++)
			;
		if (k == ntaken) best = x;
	}
	return best;
}

uint32_t mbr_gossip(struct mbr *m, struct mbr_info *out, uint32_t max)
{
	uint32_t n, limit = forward_limit(m);
	struct member *x;

	for (n = 0; n < max; n++) {
		x = least_forwarded(m, limit, out, n);
		if (!x) break;
		x->forwarded++;
		out[n] = x->info;
	}
	return n;
}

uint32_t mbr_list(const struct mbr *m, struct mbr_info *out, uint32_t max)
{
	const struct member *x;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < m->order->len && n < max; i++) {
		x = m->order->pdata[i];
		if (x->info.state != MBR_DEAD) out[n++] = x->info;
	}
	return n;
}

int mbr_find(const struct mbr *m, uint64_t id, struct mbr_info *out)
{
	const struct member *x = g_hash_table_lookup(m->by_id, &id);

	if (!x) return 0;
	*out = x->info;
	return 1;
}

uint64_t mbr_hash(const struct mbr *m)
{
	const struct member *x;
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < m->order->len; i++) {
		x = m->order->pdata[i];
		if (x->info.state == MBR_DEAD) continue;
		sum += hash_score(x->info.id, x->info.incarnation * 4 + x->info.state);
	}
	return sum;
}

uint32_t mbr_window(struct mbr *m, struct mbr_info *out, uint32_t max)
{
	const struct member *x;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < m->order->len && n < max; i++) {
		x = m->order->pdata[m->window++ % m->order->len];
		if (x->info.state != MBR_DEAD) out[n++] = x->info;
	}
	return n;
}

void mbr_leave(struct mbr *m)
{
	if (m->self->info.state == MBR_LEAVING) return;
	m->self->info.state = MBR_LEAVING;
	m->self->info.incarnation++;
	m->self->forwarded = 0;
}
