/* Each instance tells those that callers come to what it has sent to which backend server, as
 * whole figures: a lost or repeated message does no harm. */
#include "clock.h"
#include "ev.h"
#include "mesh_impl.h"
#include "met.h"
#include <string.h>

/* Changes wait so long for others: an engine that looks free is chosen by many. */
#define TELL_US 1000
#define ROWS_MAX 256 /* of one message */

static struct ev_timer teller;
static GPtrArray *changed;    /* servers whose own load others have not been told */
static unsigned told_entries; /* loads that members told, all together */

static void add(struct be_load *a, const struct be_load *b)
{
	a->runs += b->runs;
	a->prefill += b->prefill;
	a->forecast += b->forecast;
	a->replicas += b->replicas;
	a->used += b->used;
	a->unreplicated += b->unreplicated;
	a->inbound += b->inbound;
}

static void take_off(struct be_load *a, const struct be_load *b)
{
	a->runs -= b->runs;
	a->prefill -= b->prefill;
	a->forecast -= b->forecast;
	a->replicas -= b->replicas;
	a->used -= b->used;
	a->unreplicated -= b->unreplicated;
	a->inbound -= b->inbound;
}

/* What a member told of one life of a backend server. It is counted at that life alone, and
 * waits until this instance has its entry. */
struct told_load {
	int64_t born_ms;
	struct be_load load;
	struct be *at; /* where it is counted; NULL: nowhere yet */
};

struct told_ends {
	int64_t born_ms;
	struct be_outcomes ends;
};

static void uncount(struct told_load *t)
{
	if (!t->at) return;
	take_off(&t->at->others, &t->load);
	be_unref(t->at);
	t->at = NULL;
}

static void count_at(struct told_load *t, struct be *b)
{
	if (!b || t->at || !be_is_incarnation(b, t->born_ms)) return;
	t->at = be_ref(b);
	add(&b->others, &t->load);
}

static void free_told(gpointer p)
{
	told_entries--;
	uncount(p);
	g_free(p);
}

void mesh_init_loads(struct member *m)
{
	m->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_told);
	m->ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Ends are counted from an instance's start, and for each life of a server: fewer than before
 * tell that it started anew. */
static void hear_ends(struct member *m, struct be *b, const struct mesh_row *r)
{
	struct told_ends *old = g_hash_table_lookup(m->ends, r->id);
	struct be_outcomes since = r->ends;

	if (!old) {
		old = g_new0(struct told_ends, 1);
		g_hash_table_insert(m->ends, g_strdup(r->id), old);
	}
	if (old->born_ms == r->born_ms && since.good >= old->ends.good &&
	    since.bad >= old->ends.bad) {
		since.good -= old->ends.good;
		since.bad -= old->ends.bad;
	}
	old->born_ms = r->born_ms;
	old->ends = r->ends;
	be_apply_outcomes(b, g_str_hash(m->ip) | 1, since);
}

static void set_row(struct member *m, const struct mesh_row *r)
{
	struct told_load *t = g_hash_table_lookup(m->loads, r->id);
	struct be *b = be_find(r->id);

	if (t && r->born_ms < t->born_ms) return;
	if (!t) {
		t = g_new0(struct told_load, 1);
		told_entries++;
		g_hash_table_insert(m->loads, g_strdup(r->id), t);
	}
	uncount(t);
	t->born_ms = r->born_ms;
	t->load = r->load;
	count_at(t, b);
	if (t->at) hear_ends(m, b, r);
}

/* Others may have told of its load before its entry came here. */
static void on_new(struct be *b)
{
	uint32_t i;

	for (i = 0; told_entries && i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		struct told_load *t = g_hash_table_lookup(m->loads, b->id);

		if (t) count_at(t, b);
	}
}

void mesh_drop_loads(struct member *m)
{
	g_hash_table_remove_all(m->loads);
}

void mesh_take_loads(struct member *m, const msgpack_object_array *a)
{
	struct mesh_row r;
	uint32_t k;

	if (a->size < 2) return;
	if (mesh_int(&a->ptr[1])) mesh_drop_loads(m);
	for (k = 2; k < a->size; k++)
		if (!mesh_read_row(&a->ptr[k], &r)) set_row(m, &r);
}

static void fill_row(struct mesh_row *row, const struct be *b)
{
	g_strlcpy(row->id, b->id, sizeof row->id);
	row->born_ms = b->incarnation_ms;
	row->ends = b->outcomes;
	row->load = b->own;
}

static int collect_in_use(struct mesh_row *row)
{
	GPtrArray *used = be_in_use();
	uint32_t i;

	for (i = 0; i < used->len && i < ROWS_MAX; i++)
		fill_row(&row[i], g_ptr_array_index(used, i));
	g_ptr_array_unref(used);
	return (int)i;
}

static int collect_changed(struct mesh_row *row)
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
	struct mesh_row *row = g_new(struct mesh_row, ROWS_MAX);
	int n = whole ? collect_in_use(row) : collect_changed(row);

	if (n || whole) mesh_write_loads(out, row, n, whole);
	g_free(row);
}

void mesh_write_all_loads(GString *out)
{
	write_rows(out, 1);
}

/* All instances work out the same order for a backend server, another one for each. */
static uint32_t turn_of(const char *instance, const struct be *b)
{
	char *text = g_strconcat(b->id, "/", instance, NULL);
	uint32_t turn = g_str_hash(text);

	g_free(text);
	return turn;
}

/* What m has told of b, or NULL; most instances of a large fleet tell nothing. */
static const struct be_load *load_on(const struct member *m, const struct be *b)
{
	const struct told_load *t;

	if (!m->alive || !g_hash_table_size(m->loads)) return NULL;
	t = g_hash_table_lookup(m->loads, b->id);
	return t && t->at == b ? &t->load : NULL;
}

uint32_t mesh_bare_before(const struct be *b)
{
	uint32_t i, sum = 0, mine = turn_of(mesh_cfg()->instance, b);

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		const struct be_load *l = load_on(m, b);

		if (l && turn_of(m->said.name, b) < mine) sum += l->unreplicated;
	}
	return sum;
}

int mesh_first_user(const struct be *b)
{
	uint32_t i, mine = turn_of(mesh_cfg()->instance, b);

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		const struct be_load *l = load_on(m, b);

		if (!l || !l->used) continue;
		if (turn_of(m->said.name, b) < mine) return 0;
	}
	return 1;
}

static void on_tell(struct ev_timer *t)
{
	GString *out = g_string_new(NULL);

	write_rows(out, 0);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
	if (changed->len) ev_in(t, TELL_US);
}

void mesh_load_changed(struct be *b)
{
	if (!b->load_dirty) g_ptr_array_add(changed, be_ref(b));
	b->load_dirty = 1;
	be_update_use(b);
	mesh_note_load();
	if (!teller.armed) ev_in(&teller, TELL_US);
}

static void unref(gpointer b)
{
	be_unref(b);
}

void mesh_loads_start(void)
{
	changed = g_ptr_array_new_with_free_func(unref);
	teller.fire = on_tell;
	be_on_new = on_new;
}
