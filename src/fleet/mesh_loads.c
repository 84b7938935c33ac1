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

static void add(struct be_load *a, const struct be_load *b)
{
	a->runs += b->runs;
	a->unread += b->unread;
	a->held += b->held;
	a->backup += b->backup;
	a->used += b->used;
	a->bare += b->bare;
	a->inbound += b->inbound;
}

static void take_off(struct be_load *a, const struct be_load *b)
{
	a->runs -= b->runs;
	a->unread -= b->unread;
	a->held -= b->held;
	a->backup -= b->backup;
	a->used -= b->used;
	a->bare -= b->bare;
	a->inbound -= b->inbound;
}

/* Ends are counted from an instance's start: fewer than before tell that it started anew. */
static void hear_ends(struct member *m, struct be *b, struct be_ends now)
{
	struct be_ends *old = g_hash_table_lookup(m->ends, b->id), since = now;

	if (!old) {
		old = g_new0(struct be_ends, 1);
		g_hash_table_insert(m->ends, g_strdup(b->id), old);
	}
	if (now.good >= old->good && now.bad >= old->bad) {
		since.good -= old->good;
		since.bad -= old->bad;
	}
	*old = now;
	be_heard(b, g_str_hash(m->ip) | 1, since);
}

static void set_row(struct member *m, const struct mesh_row *r)
{
	struct be_load *old = g_hash_table_lookup(m->loads, r->id);
	struct be *b = be_find(r->id);

	/* An entry that is not listed here yet comes with the next whole message. */
	if (!b) return;
	if (!old) {
		old = g_new0(struct be_load, 1);
		g_hash_table_insert(m->loads, g_strdup(r->id), old);
	}
	take_off(&b->others, old);
	*old = r->load;
	add(&b->others, old);
	hear_ends(m, b, r->ends);
}

static void drop_row(gpointer id, gpointer load, gpointer user)
{
	struct be *b = be_find(id);

	(void)user;
	if (b) take_off(&b->others, load);
}

void mesh_drop_loads(struct member *m)
{
	g_hash_table_foreach(m->loads, drop_row, NULL);
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

static int idle(const struct be *b)
{
	return !b->own.runs && !b->own.backup && !b->own.inbound;
}

static int collect(struct mesh_row *row, int whole)
{
	const GPtrArray *all = be_all();
	uint32_t i;
	int n = 0;

	for (i = 0; i < all->len && n < ROWS_MAX; i++) {
		struct be *b = g_ptr_array_index(all, i);

		if (whole ? idle(b) : !b->dirty) continue;
		if (!whole) b->dirty = 0; /* a whole message goes to one instance */
		g_strlcpy(row[n].id, b->id, sizeof row[n].id);
		row[n].ends = b->ends;
		row[n++].load = b->own;
	}
	return n;
}

static void write_rows(GString *out, int whole)
{
	struct mesh_row *row = g_new(struct mesh_row, ROWS_MAX);
	int n = collect(row, whole);

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
	if (!m->alive || !g_hash_table_size(m->loads)) return NULL;
	return g_hash_table_lookup(m->loads, b->id);
}

uint32_t mesh_bare_before(const struct be *b)
{
	uint32_t i, sum = 0, mine = turn_of(mesh_cfg()->instance, b);

	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m = g_ptr_array_index(mesh_members(), i);
		const struct be_load *l = load_on(m, b);

		if (l && turn_of(m->said.name, b) < mine) sum += l->bare;
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

	(void)t;
	write_rows(out, 0);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
}

void mesh_load_changed(struct be *b)
{
	b->dirty = 1;
	mesh_note_load();
	if (!teller.armed) ev_in(&teller, TELL_US);
}

void mesh_loads_start(void)
{
	teller.fire = on_tell;
}
