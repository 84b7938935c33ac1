/* The keeper thread: runs the decision core for the engines whose keeper is this instance. */
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
#define BATCH_MAX 256 /* messages taken from the ring at once */
#define TICK_US 20000
#define TICKET_CHECK_US 5000000 /* time without a message until a running ticket is checked */

enum kmsg_type { KMSG_WIRE, KMSG_LOAD, KMSG_ENGINE_LOST, KMSG_VIEW };

struct kmsg {
	enum kmsg_type type;
	uint64_t from;
	union {
		struct wire_msg wire;
		struct core_load load;
		uint64_t lost;
	} u;
};

struct kept_engine {
	uint64_t id;
	struct eng_watch *watch;
	int64_t since_us;
	int seen, leaving;
};

static struct {
	struct ring ring;
	pthread_t thread;
	struct core *core;
	GHashTable *kept;        /* engine id -> struct kept_engine */
	GHashTable *entries;     /* ids of the members in the view */
	uint64_t table_version;  /* of the table in the core; 0: it is set anew */
	uint32_t keepers;        /* number of keepers in the view */
	uint64_t members_hash;   /* of the set of live members */
	atomic_int view_pending; /* a KMSG_VIEW is in the ring */
	int64_t tick_us;         /* when the next tick is due */
} keeper;

static int push(const struct kmsg *m)
{
	struct kmsg *c = g_memdup2(m, sizeof *m);

	if (!ring_push(&keeper.ring, c)) return 0;
	g_free(c);
	return -EAGAIN;
}

int keeper_post(const struct wire_msg *m, uint64_t from)
{
	struct kmsg c = {.type = KMSG_WIRE, .from = from, .u.wire = *m};

	return push(&c);
}

static void keeper_view_changed(void *arg)
{
	struct kmsg m = {.type = KMSG_VIEW};

	(void)arg;
	if (atomic_exchange(&keeper.view_pending, 1)) return;
	if (push(&m)) keeper.view_pending = 0;
}

static void on_load(const struct core_load *l)
{
	struct kmsg m = {.type = KMSG_LOAD, .u.load = *l};

	push(&m);
}

static void on_engine_lost(uint64_t engine)
{
	struct kmsg m = {.type = KMSG_ENGINE_LOST, .u.lost = engine};

	push(&m);
}

static void step(struct core_event *ev)
{
	ev->now_us = clock_us();
	core_step(keeper.core, ev);
}

static void handle_ticket(const struct wire_msg *w, uint64_t from)
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
	shares_request_if_due(keeper.core, t->group, now);
}

static void handle_wire(const struct wire_msg *w, uint64_t from)
{
	struct core_event ev = {.type = CORE_EV_DONE};

	switch (w->type) {
	case WIRE_TICKET:
	case WIRE_ADOPT: handle_ticket(w, from); return;
	case WIRE_SHARE_ASK:
	case WIRE_SHARE: shares_receive(keeper.core, w, from, clock_us()); return;
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

/* For grace_ms after this instance became the keeper, loads are ignored and so nothing is
 * granted, while entries report what runs on the engine. */
static void handle_load(const struct core_load *l)
{
	struct core_event ev = {.type = CORE_EV_LOAD, .u.load = *l};
	struct kept_engine *e = g_hash_table_lookup(keeper.kept, &l->engine);

	if (!e || clock_us() - e->since_us < node.cfg.grace_ms * 1000) return;
	step(&ev);
}

static void handle_engine_lost(uint64_t engine)
{
	struct core_event ev = {.type = CORE_EV_LINK_LOST, .u.link_lost = engine};

	step(&ev);
}

static void kept_engine_free(void *p)
{
	struct kept_engine *e = p;

	eng_watch_free(e->watch);
	g_free(e);
}

static void keep_engine(const struct backend *b)
{
	struct core_event ev = {.type = CORE_EV_ENGINE};
	struct kept_engine *e = g_hash_table_lookup(keeper.kept, &b->id);

	if (!e) {
		e = g_new0(struct kept_engine, 1);
		e->id = b->id;
		e->since_us = clock_us();
		e->watch = eng_watch_new(node.engines, b->address, on_load, on_engine_lost,
					 node.cfg.silent_ms * 1000);
		g_hash_table_insert(keeper.kept, &e->id, e);
		log_write(G_LOG_LEVEL_INFO, "keeper", NULL, NULL, b->address,
			  "Became the keeper of this engine.");
	}
	e->seen = 1;
	ev.u.engine.id = b->id;
	ev.u.engine.leaving = b->leaving;
	ev.u.engine.nservices = b->nservices;
	memcpy(ev.u.engine.service, b->service, sizeof b->service);
	step(&ev);
}

static gboolean remove_unseen_engine(gpointer key, gpointer value, gpointer user)
{
	struct core_event ev = {.type = CORE_EV_ENGINE_GONE};
	struct kept_engine *e = value;

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

	g_hash_table_iter_init(&it, keeper.kept);
	while (g_hash_table_iter_next(&it, NULL, &e)) ((struct kept_engine *)e)->seen = 0;
	for (i = 0; i < v->nbackends; i++) {
		b = &v->backend[i];
		if (b->kind != BACKEND_ENGINE) continue;
		if (b->keeper) g_hash_table_add(keepers, (gpointer)&b->keeper);
		if (b->keeper == node.self.id) keep_engine(b);
	}
	g_hash_table_foreach_remove(keeper.kept, remove_unseen_engine, NULL);
	if (keeper.keepers != g_hash_table_size(keepers)) keeper.table_version = 0;
	keeper.keepers = g_hash_table_size(keepers);
	shares_set_keepers(keeper.keepers);
	g_hash_table_unref(keepers);
	met_set(MET_G_ENGINES_KEPT, g_hash_table_size(keeper.kept));
}

static gboolean remove_dead_entry(gpointer key, gpointer value, gpointer view)
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
		if (g_hash_table_contains(keeper.entries, &v->member[i].id)) continue;
		id = g_memdup2(&v->member[i].id, sizeof *id);
		g_hash_table_add(keeper.entries, id);
	}
	g_hash_table_foreach_remove(keeper.entries, remove_dead_entry, (gpointer)v);
}

/* This keeper's part of a ceiling that is divided among all keepers; rounded up, so that a
 * ceiling above 0 never becomes 0. */
static uint32_t divide_ceiling(uint32_t ceiling)
{
	uint32_t n = keeper.keepers ? keeper.keepers : 1;

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
	if (t->version == keeper.table_version) {
		tbl_unref(t);
		return;
	}
	shares_set_table(t);
	row = g_new0(struct core_group_row, t->ngroups + 1);
	for (i = 0; i < t->ngroups; i++) {
		g = &t->group[i];
		row[i] = (struct core_group_row){
			.id = g->id,
			.weight = g->weight,
			.ceil_running = g->ceiling.running,
			.limit_running = shares_limit(g->id, clock_us()),
			.ceil_waiting = divide_ceiling(g->ceiling.waiting),
			.ceil_tokens_per_s = divide_ceiling(g->ceiling.tokens_per_s),
			.floor_running = divide_ceiling(g->floor.running),
		};
	}
	ev.u.table.row = row;
	ev.u.table.n = t->ngroups;
	step(&ev);
	keeper.table_version = t->version;
	g_free(row);
	tbl_unref(t);
}

/* The homes of shares move only when the set of live members changes. */
static void update_members(const struct view *v)
{
	uint64_t hash = 0;
	uint32_t i;

	for (i = 0; i < v->nmembers; i++)
		if (v->member[i].state <= MBR_ALIVE) hash += hash_score(1, v->member[i].id);
	if (hash == keeper.members_hash) return;
	keeper.members_hash = hash;
	shares_members_changed(clock_us());
}

static void handle_view(void)
{
	struct view *v;

	keeper.view_pending = 0;
	v = view_get();
	if (v) {
		update_engines(v);
		update_entries(v);
		update_members(v);
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

	while (core_next(keeper.core, &o)) send_order(&o);
}

/* Asks entries about running tickets without a message for a while: the message of an end can
 * be lost when its link breaks or the keeper is suspended. */
static void check_stale_tickets(void)
{
	struct core_ref ref[WIRE_CHECKS_MAX];
	struct wire_msg m = {.type = WIRE_CHECK};
	uint32_t i, j,
		n = core_stale_tickets(keeper.core, clock_us() - TICKET_CHECK_US, ref,
				       WIRE_CHECKS_MAX);

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
	keeper.tick_us = clock_us() + TICK_US;
	check_stale_tickets();
	shares_tick(keeper.core, clock_us());
	n = core_digests(keeper.core, clock_us(), d, WIRE_DIGESTS_MAX);
	digest_set(node.self.id, d, n);
	met_set(MET_G_WAITING, core_waiting(keeper.core));
	met_set(MET_G_RUNNING, core_running(keeper.core));
}

static void handle_message(struct kmsg *m)
{
	switch (m->type) {
	case KMSG_WIRE: handle_wire(&m->u.wire, m->from); break;
	case KMSG_LOAD: handle_load(&m->u.load); break;
	case KMSG_ENGINE_LOST: handle_engine_lost(m->u.lost); break;
	case KMSG_VIEW: handle_view(); break;
	}
	g_free(m);
}

static void *run(void *arg)
{
	void *item[BATCH_MAX];
	uint32_t i, n;

	(void)arg;
	rcu_register_thread();
	while (!node.stopping) {
		n = ring_wait(&keeper.ring, item, BATCH_MAX, keeper.tick_us);
		for (i = 0; i < n; i++) {
			handle_message(item[i]);
			send_orders();
		}
		if (clock_us() >= keeper.tick_us) tick();
		send_orders();
	}
	g_hash_table_unref(keeper.kept);
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

	if (ring_init(&keeper.ring, RING_CAP, 0)) return -ENOMEM;
	keeper.core = core_new(&c);
	shares_init();
	keeper.kept =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, kept_engine_free);
	keeper.entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (pthread_create(&keeper.thread, NULL, run, NULL)) return -EAGAIN;
	pthread_setname_np(keeper.thread, "keeper");
	view_on_change(keeper_view_changed, NULL);
	return 0;
}

void keeper_join(void)
{
	pthread_join(keeper.thread, NULL);
}

void keeper_free(void)
{
	void *item;

	while (ring_take(&keeper.ring, &item, 1)) g_free(item);
	core_free(keeper.core);
	shares_free();
	g_hash_table_unref(keeper.entries);
	ring_free(&keeper.ring);
}
