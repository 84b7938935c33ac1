/* Each instance sends the serving instances its load on every backend server, as absolute
 * values, so that a lost or repeated message does no harm. */
#include "adm.h"
#include "clock.h"
#include "ev.h"
#include "mesh_impl.h"
#include "met.h"
#include "room.h"
#include <string.h>

/* Delay that batches changes; short, because an engine that looks free is chosen by many. */
#define SEND_DELAY_US 1000
#define ROWS_MAX 256 /* of one message */

static struct ev_timer send_timer;
static GPtrArray *changed;       /* servers whose changed load has not been sent */
static unsigned peer_load_count; /* loads reported by all members together */

static void add_load(struct be_load *a, const struct be_load *b)
{
	a->runs += b->runs;
	a->prefill += b->prefill;
	a->forecast += b->forecast;
	a->replicas += b->replicas;
	a->used += b->used;
	a->unreplicated += b->unreplicated;
	a->inbound += b->inbound;
}

static void subtract_load(struct be_load *a, const struct be_load *b)
{
	a->runs -= b->runs;
	a->prefill -= b->prefill;
	a->forecast -= b->forecast;
	a->replicas -= b->replicas;
	a->used -= b->used;
	a->unreplicated -= b->unreplicated;
	a->inbound -= b->inbound;
}

/* Load that a member reported for one incarnation of a backend server. It is added to that
 * incarnation only, and waits until this instance has its entry. */
struct peer_load {
	int64_t incarnation_ms;
	struct be_load load;
	struct be *backend; /* the server that it is added to; NULL: none yet */
};

struct peer_outcomes {
	int64_t incarnation_ms;
	struct be_outcomes outcomes;
};

static void detach_load(struct peer_load *t)
{
	if (!t->backend) return;
	subtract_load(&t->backend->others, &t->load);
	be_unref(t->backend);
	t->backend = NULL;
}

static void attach_load(struct peer_load *t, struct be *b)
{
	if (!b || t->backend || !be_is_incarnation(b, t->incarnation_ms)) return;
	t->backend = be_ref(b);
	add_load(&b->others, &t->load);
}

static void free_peer_load(gpointer p)
{
	peer_load_count--;
	detach_load(p);
	g_free(p);
}

void mesh_init_loads(struct member *m)
{
	m->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_peer_load);
	m->outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Outcomes are counted since the sender's start and for each incarnation of a server: lower
 * counts than before show that the sender restarted. */
static void apply_outcomes(struct member *m, struct be *b, const struct mesh_load_row *r)
{
	struct peer_outcomes *prev = g_hash_table_lookup(m->outcomes, r->id);
	struct be_outcomes delta = r->outcomes;

	if (!prev) {
		prev = g_new0(struct peer_outcomes, 1);
		g_hash_table_insert(m->outcomes, g_strdup(r->id), prev);
	}
	if (prev->incarnation_ms == r->incarnation_ms && delta.good >= prev->outcomes.good &&
	    delta.bad >= prev->outcomes.bad && delta.rejected >= prev->outcomes.rejected) {
		delta.good -= prev->outcomes.good;
		delta.bad -= prev->outcomes.bad;
		delta.rejected -= prev->outcomes.rejected;
	}
	prev->incarnation_ms = r->incarnation_ms;
	prev->outcomes = r->outcomes;
	be_apply_outcomes(b, g_str_hash(m->ip) | 1, delta);
	room_rejected_others(b, delta.rejected);
}

static void apply_row(struct member *m, const struct mesh_load_row *r)
{
	struct peer_load *t = g_hash_table_lookup(m->loads, r->id);
	struct be *b = be_find(r->id);

	if (t && r->incarnation_ms < t->incarnation_ms) return;
	if (!t) {
		t = g_new0(struct peer_load, 1);
		peer_load_count++;
		g_hash_table_insert(m->loads, g_strdup(r->id), t);
	}
	detach_load(t);
	if (r->load.runs) m->worked_us = clock_us();
	t->incarnation_ms = r->incarnation_ms;
	t->load = r->load;
	attach_load(t, b);
	if (!t->backend) return;
	apply_outcomes(m, b, r);
	adm_loads_changed(b);
}

/* Members may have reported loads of the server before its entry arrived. */
static void on_backend_listed(struct be *b)
{
	uint32_t i;

	for (i = 0; peer_load_count && i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		struct peer_load *t = g_hash_table_lookup(m->loads, b->id);

		if (t) attach_load(t, b);
	}
}

void mesh_drop_loads(struct member *m)
{
	g_hash_table_remove_all(m->loads);
}

void mesh_handle_loads(struct member *m, const msgpack_object_array *a)
{
	struct mesh_load_row r;
	uint32_t k;

	if (a->size < 2) return;
	if (mesh_int(&a->ptr[1])) mesh_drop_loads(m);
	for (k = 2; k < a->size; k++)
		if (!mesh_read_load_row(&a->ptr[k], &r)) apply_row(m, &r);
}

static void fill_row(struct mesh_load_row *row, const struct be *b)
{
	g_strlcpy(row->id, b->id, sizeof row->id);
	row->incarnation_ms = b->incarnation_ms;
	row->outcomes = b->outcomes;
	row->load = b->own;
}

static int collect_in_use(struct mesh_load_row *row)
{
	GPtrArray *used = be_in_use();
	uint32_t i;

	for (i = 0; i < used->len && i < ROWS_MAX; i++)
		fill_row(&row[i], g_ptr_array_index(used, i));
	g_ptr_array_unref(used);
	return (int)i;
}

static int collect_changed(struct mesh_load_row *row)
{
	int n = 0;

	while (n < ROWS_MAX && changed->len) {
		struct be *b = g_ptr_array_index(changed, changed->len - 1);

		fill_row(&row[n++], b);
		b->load_dirty = 0;
		g_ptr_array_set_size(changed, (gint)changed->len - 1);
	}
	return n;
}

static void write_rows(GString *out, int whole)
{
	struct mesh_load_row *row = g_new(struct mesh_load_row, ROWS_MAX);
	int n = whole ? collect_in_use(row) : collect_changed(row);

	if (n || whole) mesh_write_loads(out, row, n, whole);
	g_free(row);
}

void mesh_write_all_loads(GString *out)
{
	write_rows(out, 1);
}

/* All instances compute the same order for a backend server; it differs from server to
 * server. */
static uint32_t order_of(const char *instance, const struct be *b)
{
	char *text = g_strconcat(b->id, "/", instance, NULL);
	uint32_t order = g_str_hash(text);

	g_free(text);
	return order;
}

/* Load that m reported on b, or NULL; most instances of a large fleet report none. */
static const struct be_load *peer_load_on(const struct member *m, const struct be *b)
{
	const struct peer_load *t;

	if (!m->alive || !g_hash_table_size(m->loads)) return NULL;
	t = g_hash_table_lookup(m->loads, b->id);
	return t && t->backend == b ? &t->load : NULL;
}

uint32_t mesh_unreplicated_before(const struct be *b)
{
	uint32_t i, sum = 0, mine = order_of(mesh_cfg()->instance, b);

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		const struct be_load *l = peer_load_on(m, b);

		if (l && order_of(m->hb.name, b) < mine) sum += l->unreplicated;
	}
	return sum;
}

int mesh_is_first_user(const struct be *b)
{
	uint32_t i, mine = order_of(mesh_cfg()->instance, b);

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		const struct be_load *l = peer_load_on(m, b);

		if (!l || !l->used) continue;
		if (order_of(m->hb.name, b) < mine) return 0;
	}
	return 1;
}

static void on_send_timer(struct ev_timer *t)
{
	GString *out = g_string_new(NULL);

	write_rows(out, 0);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
	if (changed->len) ev_in(t, SEND_DELAY_US);
}

void mesh_load_changed(struct be *b)
{
	if (!b->load_dirty) g_ptr_array_add(changed, be_ref(b));
	b->load_dirty = 1;
	be_update_use(b);
	mesh_mark_serving();
	adm_loads_changed(b);
	if (!send_timer.armed) ev_in(&send_timer, SEND_DELAY_US);
}

static void unref_backend(gpointer b)
{
	be_unref(b);
}

void mesh_loads_start(void)
{
	changed = g_ptr_array_new_with_free_func(unref_backend);
	send_timer.fire = on_send_timer;
	be_on_new = on_backend_listed;
}
