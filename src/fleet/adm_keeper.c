/* The keeper of a service: decides for the whole fleet which of the generations that wait runs
 * next, by the decision core (core.h) and the loads that all instances report. */
#include "adm_impl.h"
#include "cache.h"
#include "clock.h"
#include "ev.h"
#include "hash.h"
#include "jlog.h"
#include "mesh.h"
#include "mesh_topic.h"
#include "met.h"
#include <string.h>

#define TICK_US 10000     /* how often times are checked while something waits */
#define CALM_US 1000000   /* the same while nothing does: usual use is averaged over a minute */
#define CONFIRM_US 300000 /* a grant that is not confirmed by then has been lost */
/* The service stays contended for so long after the last has been granted: rushes pause. */
#define CONTENDED_US 200000
#define WAITING_MAX 10000
/* Workspaces and the group of requests without one. Further workspaces share that group. */
#define GROUPS_MAX (CONF_SHARES_MAX + 1)
#define STALE_MAX 64  /* unconfirmed grants that are dropped in one check */
#define FLUSH_US 1000 /* changed loads are gathered for so long */
/* Engines that one check looks at: when an engine becomes usable, no load changes. All 9,000 of
 * a large fleet are looked at within ten checks. */
#define ENGINES_A_CHECK 1024

/* A question that the core has not refused, and that its asker has not ended. */
struct ticket {
	struct core_ref ref; /* the key */
	uint64_t number;
	char ip[INET_ADDRSTRLEN];
};

struct keeper {
	char *service;
	uint64_t id;
	struct core *core;
	GHashTable *engines; /* id -> struct be, referenced */
	GHashTable *tickets; /* struct core_ref -> struct ticket */
	GHashTable
		*changed; /* struct be, referenced: its load has not been given to the core */
	GArray *loads;    /* of struct core_load, to be given to it next */
	struct ev_timer timer, flush_timer;
	uint32_t next_engine; /* of the service, to be looked at by the next check */
	int64_t contended_us; /* when something last waited */
	int64_t told_us;      /* when others were last told */
	int contended;        /* as they were told */
};

static const char *self_ip;
static void (*answer)(const char *ip, const struct adm_answer *a);
static GHashTable *keepers;                   /* name of a service -> struct keeper */
static GArray *rows;                          /* of struct core_group_row */
static GHashTable *row_ids;                   /* their ids */
static struct core_admission_stats forgotten; /* counters of cores that are gone */
static struct core_config config = {.waiting_max = WAITING_MAX,
				    .engine_silent_us = INT64_MAX / 2,
				    .prompt_weight_pc = 100,
				    .admission = 1};

static void step(struct keeper *k, struct core_event *ev)
{
	ev->now_us = clock_us();
	core_step(k->core, ev);
}

static uint64_t engine_id(const struct be *b)
{
	uint64_t pair[2] = {hash_name(b->id), (uint64_t)b->incarnation_ms};

	return hash_bytes(pair, sizeof pair) | 1;
}

static uint32_t engine_memory(const struct keeper *k)
{
	const struct conf *c = cache_conf();
	const struct conf_service *s = c ? conf_service(c, k->service) : NULL;

	return s ? s->tokens : 0;
}

static struct core_load load_of(uint64_t id, const struct be *b, uint32_t memory)
{
	uint32_t used = b->own.used + b->others.used,
		 inbound = b->own.inbound + b->others.inbound;
	uint32_t expected =
		b->own.forecast + b->others.forecast + b->own.replicas + b->others.replicas;

	return (struct core_load){.engine = id,
				  .used_tokens = used + inbound,
				  .capacity_tokens = memory,
				  .running = b->own.runs + b->others.runs,
				  .max_running = b->slots,
				  .prefill_tokens = b->own.prefill + b->others.prefill,
				  .growth_tokens = expected > used ? expected - used : 0,
				  .usable_in_us = be_usable_in(b, clock_us())};
}

static void add_engine(struct keeper *k, uint64_t id, struct be *b)
{
	struct core_event ev = {.type = CORE_EV_ENGINE};
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	g_hash_table_insert(k->engines, key, be_ref(b));
	ev.u.engine.id = id;
	ev.u.engine.service[0] = k->id;
	ev.u.engine.nservices = 1;
	step(k, &ev);
}

static gboolean remove_if_gone(gpointer key, gpointer value, gpointer user)
{
	struct core_event ev = {.type = CORE_EV_ENGINE_GONE};
	const struct be *b = value;

	if (b->state != BE_GONE && engine_id(b) == *(uint64_t *)key) return FALSE;
	ev.u.engine_gone = *(uint64_t *)key;
	step(user, &ev);
	return TRUE;
}

/* Adds the load of b to those that the core is given next. */
static void gather(struct keeper *k, struct be *b, uint32_t memory)
{
	uint64_t id = engine_id(b);
	struct core_load l;

	if (b->state == BE_GONE) return;
	if (!g_hash_table_contains(k->engines, &id)) add_engine(k, id, b);
	l = load_of(id, b, memory);
	g_array_append_val(k->loads, l);
}

static void give_loads(struct keeper *k)
{
	struct core_event ev = {.type = CORE_EV_LOADS};

	if (!k->loads->len) return;
	ev.u.loads.load = (const struct core_load *)(void *)k->loads->data;
	ev.u.loads.n = k->loads->len;
	step(k, &ev);
	g_array_set_size(k->loads, 0);
}

/* Gives the core the loads that changed. */
static void flush(struct keeper *k)
{
	uint32_t memory = engine_memory(k);
	GHashTableIter it;
	gpointer b;

	if (!g_hash_table_size(k->changed)) return;
	g_hash_table_iter_init(&it, k->changed);
	while (g_hash_table_iter_next(&it, &b, NULL)) gather(k, b, memory);
	g_hash_table_remove_all(k->changed);
	give_loads(k);
}

/* Gives the core the loads of the next engines, and at the end of the list forgets those that
 * are gone. */
static void look_at_engines(struct keeper *k, uint32_t max)
{
	const GPtrArray *all = be_of_service(k->service);
	uint32_t memory = engine_memory(k), n = all ? all->len : 0, i;

	for (i = 0; i < max && k->next_engine < n; i++)
		gather(k, g_ptr_array_index(all, k->next_engine++), memory);
	if (k->next_engine >= n) {
		g_hash_table_foreach_remove(k->engines, remove_if_gone, k);
		k->next_engine = 0;
	}
	give_loads(k);
}

static void set_table(struct keeper *k)
{
	struct core_event ev = {.type = CORE_EV_TABLE};

	ev.u.table.row = (const struct core_group_row *)(void *)rows->data;
	ev.u.table.n = rows->len;
	step(k, &ev);
}

static void set_row(uint64_t id, double weight)
{
	struct core_group_row row = {.id = id, .weight = weight};

	g_array_append_val(rows, row);
	g_hash_table_add(row_ids, g_memdup2(&id, sizeof id));
}

/* The group of requests without a workspace. */
static uint64_t no_workspace(void)
{
	return hash_name("");
}

static int has_row(uint64_t id)
{
	return g_hash_table_contains(row_ids, &id);
}

static void set_tables(void)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &k)) set_table(k);
}

/* A workspace that the asker's configuration has and this one's has not yet is added. */
static uint64_t group_of(const struct adm_question *q)
{
	uint64_t id = hash_name(q->workspace);

	if (has_row(id)) return id;
	if (rows->len >= GROUPS_MAX) return no_workspace();
	set_row(id, q->weight);
	set_tables();
	return id;
}

/* ---- verdicts ---- */

static void log_lost_grants(const struct keeper *k, uint32_t n)
{
	GString *g = jlog_begin("admission", "grants_not_confirmed");

	jlog_str(g, "service", k->service);
	jlog_int(g, "grants", n);
	jlog_end(g);
}

static void fill_answer(const struct keeper *k, const struct core_order *o,
			struct adm_answer *a)
{
	const struct be *b;

	switch (o->type) {
	case CORE_GRANT:
		b = g_hash_table_lookup(k->engines, &o->engine);
		a->kind = ADM_SEND;
		g_strlcpy(a->backend, b ? b->id : "", sizeof a->backend);
		a->first_us = o->waited_us;
		return;
	case CORE_WAIT:
		a->kind = ADM_WAIT;
		a->first_us = o->expected_us;
		return;
	case CORE_REFUSE:
		a->kind = o->retry_after_ms ? ADM_REFUSE_UNTIL : ADM_REFUSE;
		a->why = o->why;
		a->first_us = (int64_t)o->retry_after_ms * 1000;
		a->second_us = o->expected_us;
		return;
	}
}

static void give_orders(struct keeper *k)
{
	int64_t age_us = -1; /* of the loads; not computed yet */
	struct core_order o;

	while (core_next(k->core, &o)) {
		struct ticket *t = g_hash_table_lookup(k->tickets, &o.ref);
		struct adm_answer a = {.request = o.ref.request};
		char ip[INET_ADDRSTRLEN];

		if (!t) continue;
		if (age_us < 0) age_us = mesh_oldest_serving_us();
		a.number = t->number;
		a.age_us = age_us;
		g_strlcpy(a.service, k->service, sizeof a.service);
		g_strlcpy(a.ip, self_ip, sizeof a.ip);
		fill_answer(k, &o, &a);
		g_strlcpy(ip, t->ip, sizeof ip);
		if (o.type == CORE_REFUSE) g_hash_table_remove(k->tickets, &o.ref);
		answer(ip, &a);
	}
}

static void write_state(const struct keeper *k, GString *out)
{
	struct adm_state s = {.contended = k->contended};

	g_strlcpy(s.service, k->service, sizeof s.service);
	g_strlcpy(s.ip, self_ip, sizeof s.ip);
	adm_write_state(out, &s);
}

void adm_keeper_write_states(GString *out)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct keeper *k = p;

		if (k->contended) write_state(k, out);
	}
}

static void tell_state(struct keeper *k, int contended)
{
	struct adm_state s = {.contended = contended};
	GString *out = g_string_new(NULL);

	g_strlcpy(s.service, k->service, sizeof s.service);
	g_strlcpy(s.ip, self_ip, sizeof s.ip);
	k->told_us = clock_us();
	k->contended = contended;
	write_state(k, out);
	mesh_send_serving(out);
	g_string_free(out, TRUE);
	adm_on_state(&s);
}

static void update_state(struct keeper *k)
{
	int64_t now = clock_us();
	int contended;

	if (core_waiting(k->core)) k->contended_us = now;
	contended = k->contended_us && now - k->contended_us < CONTENDED_US;
	if (contended != k->contended || (contended && now - k->told_us >= ADM_STATE_US))
		tell_state(k, contended);
}

static void forget(struct keeper *k, struct core_ref ref)
{
	struct core_event ev = {.type = CORE_EV_FORGET};

	ev.u.done.ref = ref;
	step(k, &ev);
	g_hash_table_remove(k->tickets, &ref);
}

static void drop_unconfirmed(struct keeper *k)
{
	struct core_ref ref[STALE_MAX];
	uint32_t i, n = core_stale_tickets(k->core, clock_us() - CONFIRM_US, ref, STALE_MAX);

	for (i = 0; i < n; i++) forget(k, ref[i]);
	if (n) log_lost_grants(k, n);
}

static struct keeper *keeper_at(struct ev_timer *t, size_t offset)
{
	return (struct keeper *)((char *)t - offset);
}

static int is_busy(const struct keeper *k)
{
	return k->contended || core_running(k->core);
}

static void on_timer(struct ev_timer *t)
{
	struct keeper *k = keeper_at(t, offsetof(struct keeper, timer));
	struct core_event tick = {.type = CORE_EV_TICK};

	ev_in(t, is_busy(k) ? TICK_US : CALM_US);
	flush(k);
	look_at_engines(k, is_busy(k) ? ENGINES_A_CHECK : UINT32_MAX);
	drop_unconfirmed(k);
	step(k, &tick);
	give_orders(k);
	update_state(k);
}

/* Checks follow soon, as something waits or a grant is to be confirmed. */
static void check_soon(struct keeper *k)
{
	if (!k->timer.armed || k->timer.at_us > ev_now() + TICK_US) ev_in(&k->timer, TICK_US);
}

static void on_flush_timer(struct ev_timer *t)
{
	struct keeper *k = keeper_at(t, offsetof(struct keeper, flush_timer));

	flush(k);
	give_orders(k);
}

/* ---- keepers ---- */

static void free_be(gpointer b)
{
	be_unref(b);
}

static guint ref_hash(gconstpointer p)
{
	return (guint)hash_bytes(p, sizeof(struct core_ref));
}

static gboolean ref_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct core_ref));
}

static void add_counters(struct core_admission_stats *sum, const struct core *c)
{
	struct core_admission_stats s;

	core_admission_stats(c, &s);
	sum->given += s.given;
	sum->kept += s.kept;
	sum->missed += s.missed;
	sum->lapsed += s.lapsed;
}

static void free_keeper(gpointer p)
{
	struct keeper *k = p;

	add_counters(&forgotten, k->core);
	ev_stop(&k->timer);
	ev_stop(&k->flush_timer);
	core_free(k->core);
	g_hash_table_destroy(k->engines);
	g_hash_table_destroy(k->changed);
	g_array_free(k->loads, TRUE);
	g_hash_table_destroy(k->tickets);
	g_free(k->service);
	ev_free_later(k);
}

static struct keeper *keeper_get(const char *service)
{
	struct keeper *k = g_hash_table_lookup(keepers, service);

	if (k) return k;
	k = g_new0(struct keeper, 1);
	k->service = g_strdup(service);
	k->id = hash_name(service);
	k->core = core_new(&config);
	k->engines = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_be);
	k->tickets = g_hash_table_new_full(ref_hash, ref_equal, NULL, g_free);
	k->changed = g_hash_table_new_full(NULL, NULL, free_be, NULL);
	k->loads = g_array_new(FALSE, FALSE, sizeof(struct core_load));
	k->timer.fire = on_timer;
	k->flush_timer.fire = on_flush_timer;
	g_hash_table_insert(keepers, k->service, k);
	set_table(k);
	look_at_engines(k, UINT32_MAX);
	ev_in(&k->timer, CALM_US);
	return k;
}

static struct core_ref ref_of(const char *ip, uint64_t request)
{
	return (struct core_ref){hash_name(ip), request};
}

static void put_ticket(struct keeper *k, struct core_ref ref, const struct adm_question *q)
{
	struct ticket *t = g_hash_table_lookup(k->tickets, &ref);

	if (!t) {
		t = g_new0(struct ticket, 1);
		t->ref = ref;
		g_hash_table_insert(k->tickets, &t->ref, t);
	}
	t->number = q->number;
	g_strlcpy(t->ip, q->ip, sizeof t->ip);
}

static uint64_t excluded_id(const struct adm_question *q)
{
	const struct be *b = q->excluded[0] ? be_find(q->excluded) : NULL;

	return b ? engine_id(b) : 0;
}

/* Asked again, as the engine of the grant can't be used or the verdict was late. Verdicts on
 * the earlier question are sent before the ticket has the number of the new one. */
static void drop_old(struct keeper *k, struct core_ref ref, const struct adm_question *q)
{
	const struct ticket *t = g_hash_table_lookup(k->tickets, &ref);

	if (!t || t->number == q->number) return;
	forget(k, ref);
	give_orders(k);
}

static void give_ticket(struct keeper *k, struct core_ref ref, const struct adm_question *q)
{
	struct core_event ev = {.type = CORE_EV_TICKET};
	int64_t now = clock_us();

	ev.u.ticket = (struct core_ticket_info){
		.ref = ref,
		.group = group_of(q),
		.service = k->id,
		.prompt_tokens = q->prompt,
		.arrived_us = now - q->age_us,
		.deadline_us = INT64_MAX,
		.rank = q->rank,
		.growth_tokens = q->growth,
		.kind = hash_name(q->route),
		.caller = q->caller,
		.run_us = q->run_us,
		.latest_us = now + q->latest_in_us,
		.horizon_us = q->horizon_us,
		.excluded = excluded_id(q),
	};
	step(k, &ev);
}

/* An instance that started lately may not have the lists that the asker has. */
static int knows_engines(const char *service)
{
	const GPtrArray *all = be_of_service(service);

	return all && all->len;
}

static void answer_unable(const struct adm_question *q)
{
	struct adm_answer a = {
		.request = q->request, .number = q->number, .kind = ADM_NO_KEEPER};

	g_strlcpy(a.service, q->service, sizeof a.service);
	g_strlcpy(a.ip, self_ip, sizeof a.ip);
	answer(q->ip, &a);
}

void adm_keeper_ask(const struct adm_question *q)
{
	struct core_ref ref = ref_of(q->ip, q->request);
	struct keeper *k;

	met_add(MET_ADM_TICKETS, 1);
	if (!knows_engines(q->service)) {
		answer_unable(q);
		return;
	}
	k = keeper_get(q->service);
	flush(k);
	drop_old(k, ref, q);
	put_ticket(k, ref, q);
	give_ticket(k, ref, q);
	give_orders(k);
	update_state(k);
	check_soon(k);
}

void adm_keeper_end(const struct adm_end *e)
{
	struct keeper *k = g_hash_table_lookup(keepers, e->service);
	struct core_ref ref = ref_of(e->ip, e->request);
	const struct ticket *t;

	if (!k) return;
	t = g_hash_table_lookup(k->tickets, &ref);
	if (!t || t->number != e->number) return;
	flush(k); /* the load of the request, if it was sent */
	forget(k, ref);
	give_orders(k);
}

void adm_keeper_loads_changed(struct be *b)
{
	struct keeper *k = keepers ? g_hash_table_lookup(keepers, b->service) : NULL;

	if (!k) return;
	if (!g_hash_table_contains(k->changed, b)) g_hash_table_add(k->changed, be_ref(b));
	if (core_waiting(k->core) && !k->flush_timer.armed) ev_in(&k->flush_timer, FLUSH_US);
}

static gboolean is_of(gpointer key, gpointer value, gpointer ip)
{
	(void)key;
	return !strcmp(((struct ticket *)value)->ip, ip);
}

void adm_keeper_member_gone(const char *ip)
{
	struct core_event ev = {.type = CORE_EV_ENTRY_GONE};
	GHashTableIter it;
	gpointer p;

	if (!keepers) return;
	ev.u.entry_gone = hash_name(ip);
	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct keeper *k = p;

		g_hash_table_foreach_remove(k->tickets, is_of, (gpointer)ip);
		step(k, &ev);
		give_orders(k);
	}
}

/* Whether a keeper has tickets of the group. */
static int is_in_use(uint64_t id)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct keeper *k = p;

		if (core_group_waiting(k->core, id) || core_group_running(k->core, id))
			return 1;
	}
	return 0;
}

/* Groups that the configuration does not have, but tickets: they wait until they are granted or
 * withdrawn. */
static void keep_rows_in_use(const GArray *before)
{
	uint32_t i;

	for (i = 0; i < before->len && rows->len < GROUPS_MAX; i++) {
		const struct core_group_row *row =
			&g_array_index(before, struct core_group_row, i);

		if (!has_row(row->id) && is_in_use(row->id)) set_row(row->id, row->weight);
	}
}

void adm_keeper_configure(const struct conf *c)
{
	GArray *before = g_array_copy(rows);
	GHashTableIter it;
	gpointer k;
	uint32_t i;

	config.floor = c->admission.floor;
	config.promised = c->admission.appointments ? c->admission.promised : 0;
	g_array_set_size(rows, 0);
	g_hash_table_remove_all(row_ids);
	set_row(no_workspace(), 1);
	for (i = 0; i < c->groups->len && rows->len < GROUPS_MAX; i++) {
		const struct conf_group *g = g_ptr_array_index(c->groups, i);

		set_row(hash_name(g->name), g->weight);
	}
	keep_rows_in_use(before);
	g_array_free(before, TRUE);
	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &k))
		core_set_config(((struct keeper *)k)->core, &config);
	set_tables();
}

void adm_keeper_each(void (*f)(const struct adm_kept *k, void *arg), void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, keepers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct keeper *k = p;
		struct adm_kept kept = {.service = k->service, .id = k->id, .core = k->core};

		f(&kept, arg);
	}
}

static void add_stats(const struct adm_kept *k, void *arg)
{
	struct core_admission_stats *sum = arg, s;
	int i;

	core_admission_stats(k->core, &s);
	for (i = 0; i < CORE_RANK_CLASSES; i++) sum->waiting[i] += s.waiting[i];
	add_counters(sum, k->core);
}

void adm_keeper_stats(struct core_admission_stats *s)
{
	*s = forgotten;
	adm_keeper_each(add_stats, s);
}

void adm_keeper_reset(void)
{
	if (keepers) g_hash_table_remove_all(keepers);
}

void adm_keeper_start(const char *ip, void (*f)(const char *ip, const struct adm_answer *a))
{
	self_ip = ip;
	answer = f;
	keepers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_keeper);
	rows = g_array_new(FALSE, FALSE, sizeof(struct core_group_row));
	row_ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	set_row(no_workspace(), 1);
}
