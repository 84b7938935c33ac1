/* The keeper thread: runs the decision core for the engines that are kept here. */
#include "clock.h"
#include "digest.h"
#include "eng.h"
#include "hash.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer.h"
#include "req.h"
#include "ring.h"
#include "shares.h"
#include "view.h"
#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <urcu.h>

#define RING_CAP 16384
#define TAKE_MAX 256
#define TICK_US 20000
#define UNHEARD_US 5000000 /* a running ticket is asked after so long */

enum kmsg_type { K_WIRE, K_LOAD, K_LOST, K_VIEW };

struct kmsg {
	enum kmsg_type type;
	uint64_t from;
	union {
		struct wire_msg wire;
		struct core_load load;
		uint64_t lost;
	} u;
};

struct kept {
	uint64_t id;
	struct eng_watch *watch;
	int64_t since_us;
	int seen, leaving;
};

static struct {
	struct ring ring;
	pthread_t thread;
	struct core *core;
	GHashTable *kept;    /* engine id -> struct kept */
	GHashTable *entries; /* members that were seen alive */
	uint64_t table_version;
	uint32_t keepers;
	uint64_t members_sum;
	atomic_int view_pending;
	int64_t tick_us;
} k;

static int push(const struct kmsg *m)
{
	struct kmsg *c = g_memdup2(m, sizeof *m);

	if (!ring_push(&k.ring, c)) return 0;
	g_free(c);
	return -EAGAIN;
}

int keeper_post(const struct wire_msg *m, uint64_t from)
{
	struct kmsg c = {.type = K_WIRE, .from = from, .u.wire = *m};

	return push(&c);
}

static void keeper_view_changed(void *arg)
{
	struct kmsg m = {.type = K_VIEW};

	(void)arg;
	if (atomic_exchange(&k.view_pending, 1)) return;
	if (push(&m)) k.view_pending = 0;
}

static void on_load(const struct core_load *l)
{
	struct kmsg m = {.type = K_LOAD, .u.load = *l};

	push(&m);
}

static void on_lost(uint64_t engine)
{
	struct kmsg m = {.type = K_LOST, .u.lost = engine};

	push(&m);
}

static void step(struct core_event *ev)
{
	ev->now_us = clock_us();
	core_step(k.core, ev);
}

static void take_ticket(const struct wire_msg *w, uint64_t from)
{
	struct core_event ev = {.type = CORE_EV_TICKET};
	struct core_ticket_info *t = &ev.u.ticket;
	int64_t now = clock_us();

	met_add(MET_TICKETS_IN, 1);
	if (w->type == WIRE_ADOPT) ev.type = CORE_EV_ADOPT;
	t->ref = (struct core_ref){from, w->u.ticket.request};
	t->group = w->u.ticket.group;
	t->service = w->u.ticket.service;
	t->engine = w->u.ticket.engine;
	t->prompt_tokens = w->u.ticket.prompt_tokens;
	t->generated = w->u.ticket.generated;
	t->arrived_us = now - w->u.ticket.age_us;
	t->deadline_us = now + w->u.ticket.left_us;
	step(&ev);
	shares_ask_soon(k.core, t->group, now);
}

static void take_wire(const struct wire_msg *w, uint64_t from)
{
	struct core_event ev = {.type = CORE_EV_DONE};

	switch (w->type) {
	case WIRE_TICKET:
	case WIRE_ADOPT: take_ticket(w, from); return;
	case WIRE_SHARE_ASK:
	case WIRE_SHARE: shares_take(k.core, w, from, clock_us()); return;
	case WIRE_WITHDRAW: ev.type = CORE_EV_WITHDRAW; /* fallthrough */
	case WIRE_DONE:
		if (w->u.done.generated == WIRE_UNKNOWN) ev.type = CORE_EV_FORGET;
		ev.u.done.ref = (struct core_ref){from, w->u.done.request};
		ev.u.done.generated = w->u.done.generated;
		ev.u.done.failed = w->u.done.failed != 0;
		step(&ev);
		return;
	default: return;
	}
}

/* For a moment after an engine came here, entries tell what runs on it: no grants yet. */
static void take_load(const struct core_load *l)
{
	struct core_event ev = {.type = CORE_EV_LOAD, .u.load = *l};
	struct kept *e = g_hash_table_lookup(k.kept, &l->engine);

	if (!e || clock_us() - e->since_us < node.cfg.grace_ms * 1000) return;
	step(&ev);
}

static void take_lost(uint64_t engine)
{
	struct core_event ev = {.type = CORE_EV_LINK_LOST, .u.link_lost = engine};

	step(&ev);
}

static void kept_free(void *p)
{
	struct kept *e = p;

	eng_watch_free(e->watch);
	g_free(e);
}

static void keep(const struct backend *b)
{
	struct core_event ev = {.type = CORE_EV_ENGINE};
	struct kept *e = g_hash_table_lookup(k.kept, &b->id);

	if (!e) {
		e = g_new0(struct kept, 1);
		e->id = b->id;
		e->since_us = clock_us();
		e->watch = eng_watch_new(node.engines, b->address, on_load, on_lost,
					 node.cfg.silent_ms * 1000);
		g_hash_table_insert(k.kept, &e->id, e);
		log_write(G_LOG_LEVEL_INFO, "keeper", NULL, NULL, b->address,
			  "Keeps an engine.");
	}
	e->seen = 1;
	ev.u.engine.id = b->id;
	ev.u.engine.leaving = b->leaving;
	ev.u.engine.nservices = b->nservices;
	memcpy(ev.u.engine.service, b->service, sizeof b->service);
	step(&ev);
}

static gboolean drop_unseen(gpointer key, gpointer value, gpointer user)
{
	struct core_event ev = {.type = CORE_EV_ENGINE_GONE};
	struct kept *e = value;

	(void)key;
	(void)user;
	if (e->seen) return FALSE;
	ev.u.engine_gone = e->id;
	step(&ev);
	return TRUE;
}

static void update_engines(const struct view *v)
{
	GHashTable *keepers = g_hash_table_new(g_int64_hash, g_int64_equal);
	const struct backend *b;
	GHashTableIter it;
	gpointer e;
	uint32_t i;

	g_hash_table_iter_init(&it, k.kept);
	while (g_hash_table_iter_next(&it, NULL, &e)) ((struct kept *)e)->seen = 0;
	for (i = 0; i < v->nbackends; i++) {
		b = &v->backend[i];
		if (b->kind != BACKEND_ENGINE) continue;
		if (b->keeper) g_hash_table_add(keepers, (gpointer)&b->keeper);
		if (b->keeper == node.self.id) keep(b);
	}
	g_hash_table_foreach_remove(k.kept, drop_unseen, NULL);
	if (k.keepers != g_hash_table_size(keepers)) k.table_version = 0;
	k.keepers = g_hash_table_size(keepers);
	shares_keepers(k.keepers);
	g_hash_table_unref(keepers);
	met_set(MET_G_ENGINES_KEPT, g_hash_table_size(k.kept));
}

static gboolean entry_gone(gpointer key, gpointer value, gpointer view)
{
	struct core_event ev = {.type = CORE_EV_ENTRY_GONE, .u.entry_gone = *(uint64_t *)key};

	(void)value;
	if (view_member(view, *(uint64_t *)key)) return FALSE;
	step(&ev);
	return TRUE;
}

static void update_entries(const struct view *v)
{
	uint64_t *id;
	uint32_t i;

	for (i = 0; i < v->nmembers; i++) {
		if (g_hash_table_contains(k.entries, &v->member[i].id)) continue;
		id = g_memdup2(&v->member[i].id, sizeof *id);
		g_hash_table_add(k.entries, id);
	}
	g_hash_table_foreach_remove(k.entries, entry_gone, (gpointer)v);
}

/* This keeper's part of a ceiling that holds over all keepers; rounded up, so never 0. */
static uint32_t part(uint32_t ceiling)
{
	uint32_t n = k.keepers ? k.keepers : 1;

	return (ceiling + n - 1) / n;
}

static void update_table(void)
{
	struct core_event ev = {.type = CORE_EV_TABLE};
	struct tbl *t = view_table();
	struct core_group_row *row;
	const struct tbl_group *g;
	uint32_t i;

	if (!t) return;
	if (t->version == k.table_version) {
		tbl_unref(t);
		return;
	}
	shares_table(t);
	row = g_new0(struct core_group_row, t->ngroups + 1);
	for (i = 0; i < t->ngroups; i++) {
		g = &t->group[i];
		row[i] = (struct core_group_row){
			.id = g->id,
			.weight = g->weight,
			.ceil_running = g->ceiling.running,
			.limit_running = shares_limit(g->id, clock_us()),
			.ceil_waiting = part(g->ceiling.waiting),
			.ceil_tokens_per_s = part(g->ceiling.tokens_per_s),
			.floor_running = part(g->floor.running),
		};
	}
	ev.u.table.row = row;
	ev.u.table.n = t->ngroups;
	step(&ev);
	k.table_version = t->version;
	g_free(row);
	tbl_unref(t);
}

/* Homes move only when the set of members does. */
static void note_members(const struct view *v)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < v->nmembers; i++)
		if (v->member[i].state <= MBR_ALIVE) sum += hash_score(1, v->member[i].id);
	if (sum == k.members_sum) return;
	k.members_sum = sum;
	shares_members(clock_us());
}

static void take_view(void)
{
	struct view *v;

	k.view_pending = 0;
	v = view_get();
	if (v) {
		update_engines(v);
		update_entries(v);
		note_members(v);
		view_unref(v);
	}
	update_table();
}

static void send_order(const struct core_order *o)
{
	struct wire_msg m = {.type = WIRE_GRANT};

	if (o->type == CORE_GRANT) {
		met_add(MET_GRANTS, 1);
		m.u.grant.request = o->ref.request;
		m.u.grant.engine = o->engine;
		m.u.grant.waited_us = o->waited_us;
	} else {
		m.type = WIRE_REFUSE;
		m.u.refuse.request = o->ref.request;
		m.u.refuse.why = o->why;
		m.u.refuse.retry_after_ms = o->retry_after_ms;
	}
	ticket_send(o->ref.entry, &m);
}

static void send_orders(void)
{
	struct core_order o;

	while (core_next(k.core, &o)) send_order(&o);
}

/* The message of an end may be lost with its link, or with a keeper that was frozen. */
static void check_unheard(void)
{
	struct core_ref ref[WIRE_CHECKS_MAX];
	struct wire_msg m = {.type = WIRE_CHECK};
	uint32_t i, j,
		n = core_stale_tickets(k.core, clock_us() - UNHEARD_US, ref, WIRE_CHECKS_MAX);

	for (i = 0; i < n; i++) {
		if (!ref[i].entry) continue;
		m.u.check.n = 0;
		for (j = i; j < n; j++) {
			if (ref[j].entry != ref[i].entry) continue;
			m.u.check.request[m.u.check.n++] = ref[j].request;
			if (j > i) ref[j].entry = 0;
		}
		ticket_send(ref[i].entry, &m);
	}
}

static void tick(void)
{
	struct core_event ev = {.type = CORE_EV_TICK};
	struct core_digest d[WIRE_DIGESTS_MAX];
	uint32_t n;

	step(&ev);
	k.tick_us = clock_us() + TICK_US;
	check_unheard();
	shares_tick(k.core, clock_us());
	n = core_digests(k.core, clock_us(), d, WIRE_DIGESTS_MAX);
	digest_set(node.self.id, d, n);
	met_set(MET_G_WAITING, core_waiting(k.core));
	met_set(MET_G_RUNNING, core_running(k.core));
}

static void take(struct kmsg *m)
{
	switch (m->type) {
	case K_WIRE: take_wire(&m->u.wire, m->from); break;
	case K_LOAD: take_load(&m->u.load); break;
	case K_LOST: take_lost(m->u.lost); break;
	case K_VIEW: take_view(); break;
	}
	g_free(m);
}

static void *run(void *arg)
{
	void *item[TAKE_MAX];
	uint32_t i, n;

	(void)arg;
	rcu_register_thread();
	while (!node.stopping) {
		n = ring_wait(&k.ring, item, TAKE_MAX, k.tick_us);
		for (i = 0; i < n; i++) {
			take(item[i]);
			send_orders();
		}
		if (clock_us() >= k.tick_us) tick();
		send_orders();
	}
	g_hash_table_unref(k.kept);
	rcu_unregister_thread();
	return NULL;
}

int keeper_start(void)
{
	struct core_config c = {
		.reserve_tokens = (uint32_t)node.cfg.reserve_tokens,
		.waiting_max = (uint32_t)node.cfg.waiting,
		.engine_silent_us = node.cfg.silent_ms * 1000,
		.prompt_weight_pc = (uint32_t)node.cfg.prompt_weight_pc,
	};

	if (ring_init(&k.ring, RING_CAP, 0)) return -ENOMEM;
	k.core = core_new(&c);
	shares_init();
	k.kept = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, kept_free);
	k.entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (pthread_create(&k.thread, NULL, run, NULL)) return -EAGAIN;
	pthread_setname_np(k.thread, "keeper");
	view_on_change(keeper_view_changed, NULL);
	return 0;
}

void keeper_stop(void)
{
	pthread_join(k.thread, NULL);
	core_free(k.core);
	shares_free();
	g_hash_table_unref(k.entries);
	ring_free(&k.ring);
}
