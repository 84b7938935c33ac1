/* What a request weighs on the backend servers: counted when it is sent, as it grows, and when
 * it ends. */
#include "mesh.h"
#include "rq_impl.h"

#define TOKEN_US 9000     /* a token on a busy engine, until one was seen */
#define GROWTH_MAX 100000 /* tokens: what grows beyond is seen when it is there */

struct length_stats *rq_lengths(const struct rq *r)
{
	static GHashTable *stats;
	struct length_stats *s;

	if (!stats) stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s = g_hash_table_lookup(stats, r->route->name);
	if (s) return s;
	s = g_new0(struct length_stats, 1);
	g_hash_table_insert(stats, g_strdup(r->route->name), s);
	return s;
}

double rq_token_us(const struct rq *r)
{
	double each = rq_lengths(r)->token_us;

	return each > 0 ? each : TOKEN_US;
}

uint32_t rq_made(const struct rq *r)
{
	return r->seen.count * r->service->stride;
}

uint32_t rq_held(const struct rq *r)
{
	uint32_t made = rq_made(r), more;

	if (!r->service->engine) return 0;
	more = length_remaining(rq_lengths(r), r->in.output_hint, r->in.output_max, made);
	return r->job.prompt + made + MIN(more, GROWTH_MAX);
}

/* Its memory has to be copied if its engine leaves, and can be. */
static int is_bare(const struct leg *l)
{
	const struct rq *r = l->rq;

	if (r->route->kind != CONF_STREAM || r->route->resumable) return 0;
	if (!r->service->moves || !l->first_us || r->move.tries > MOVE_TRIES_MAX) return 0;
	return !l->backup || l->copy_bad;
}

/* Counts its memory as so much from now on, where it runs and where its copy is. */
static void count_memory(struct leg *l, uint32_t held, uint32_t used)
{
	uint32_t bare = is_bare(l) ? used : 0;

	l->be->own.forecast += held - l->held;
	l->be->own.used += used - l->used;
	l->be->own.unreplicated += bare - l->bare;
	l->bare = bare;
	mesh_load_changed(l->be);
	if (l->backup) {
		l->backup->own.replicas += held - l->held;
		l->backup->own.used += used - l->used;
		mesh_load_changed(l->backup);
	}
	l->held = held;
	l->used = used;
}

void leg_recount(struct leg *l)
{
	const struct rq *r = l->rq;

	if (!r->service->engine) return;
	count_memory(l, rq_held(r), r->job.prompt + rq_made(r));
}

void leg_count_in(struct leg *l)
{
	l->be->own.runs++;
	be_update_use(l->be);
	if (l->reading) l->be->own.prefill += l->rq->job.prompt;
	leg_recount(l);
}

void leg_count_out(struct leg *l)
{
	leg_read(l);
	leg_drop_backup(l);
	l->be->own.runs--;
	count_memory(l, 0, 0);
}

void leg_read(struct leg *l)
{
	if (!l->reading) return;
	l->reading = 0;
	l->be->own.prefill -= l->rq->job.prompt;
	mesh_load_changed(l->be);
}

void leg_drop_backup(struct leg *l)
{
	if (!l->backup) return;
	l->backup->own.replicas -= l->held;
	l->backup->own.used -= l->used;
	mesh_load_changed(l->backup);
	be_unref(l->backup);
	l->backup = NULL;
	count_memory(l, l->held, l->used);
}

/* The copy of a run that did not end well stays for a while and can't be dropped: it is counted
 * until then. */
struct left_copy {
	struct ev_timer timer;
	struct be *be;
	uint32_t held, used;
};

static void on_copy_over(struct ev_timer *t)
{
	struct left_copy *c = (struct left_copy *)t;

	c->be->own.replicas -= c->held;
	c->be->own.used -= c->used;
	mesh_load_changed(c->be);
	be_unref(c->be);
	ev_free_later(c);
}

void leg_leave_copy(const struct leg *l)
{
	struct left_copy *c = g_new0(struct left_copy, 1);

	c->timer.fire = on_copy_over;
	c->be = be_ref(l->backup);
	c->held = c->used = l->used;
	c->be->own.replicas += c->held;
	c->be->own.used += c->used;
	ev_in(&c->timer, l->rq->service->handle_us);
}
