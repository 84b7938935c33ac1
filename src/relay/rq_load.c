/* The load of a request on backend servers: counted when it is sent, as it grows, and when it
 * ends. */
#include "mesh.h"
#include "rq_impl.h"

/* Assumed interval between two tokens of a busy engine until there is a sample. */
#define DEFAULT_TOKEN_US 9000
#define GROWTH_MAX 100000 /* tokens: growth beyond this is counted when it happens */

struct length_stats *rq_length_stats(const struct rq *r)
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
	double each = rq_length_stats(r)->token_us;

	return each > 0 ? each : DEFAULT_TOKEN_US;
}

uint32_t rq_tokens_made(const struct rq *r)
{
	return r->seen.count * r->service->stride;
}

uint32_t rq_expected_memory(const struct rq *r)
{
	uint32_t made = rq_tokens_made(r), more;

	if (!r->service->engine) return 0;
	more = length_remaining(rq_length_stats(r), r->in.output_hint, r->in.output_max, made);
	return r->job.prompt + made + MIN(more, GROWTH_MAX);
}

/* Whether the memory of the run can be copied and would have to be if its engine left. */
static int is_unreplicated(const struct attempt *att)
{
	const struct rq *r = att->rq;

	if (r->route->kind != CONF_STREAM || r->route->resumable) return 0;
	if (!r->service->moves || !att->first_us || r->move.tries > MOVE_TRIES_MAX) return 0;
	return !att->replica || att->replica_refused;
}

/* Sets its counted memory, at its engine and at the engine of its replica. */
static void count_memory(struct attempt *att, uint32_t forecast, uint32_t used)
{
	uint32_t unreplicated = is_unreplicated(att) ? used : 0;

	att->be->own.forecast += forecast - att->forecast;
	att->be->own.used += used - att->used;
	att->be->own.unreplicated += unreplicated - att->unreplicated;
	att->unreplicated = unreplicated;
	mesh_load_changed(att->be);
	if (att->replica) {
		att->replica->own.replicas += forecast - att->forecast;
		att->replica->own.used += used - att->used;
		mesh_load_changed(att->replica);
	}
	att->forecast = forecast;
	att->used = used;
}

void att_recount(struct attempt *att)
{
	const struct rq *r = att->rq;

	if (!r->service->engine) return;
	count_memory(att, rq_expected_memory(r), r->job.prompt + rq_tokens_made(r));
}

void att_count_in(struct attempt *att)
{
	att->be->own.runs++;
	be_update_use(att->be);
	if (att->prefill_counted) att->be->own.prefill += att->rq->job.prompt;
	att_recount(att);
}

void att_count_out(struct attempt *att)
{
	att_prompt_read(att);
	att_drop_replica(att);
	att->be->own.runs--;
	count_memory(att, 0, 0);
	if (be_is_brittle(att->be)) rq_queue_wake(att->be->service);
}

void att_prompt_read(struct attempt *att)
{
	if (!att->prefill_counted) return;
	att->prefill_counted = 0;
	att->be->own.prefill -= att->rq->job.prompt;
	mesh_load_changed(att->be);
}

void att_drop_replica(struct attempt *att)
{
	if (!att->replica) return;
	att->replica->own.replicas -= att->forecast;
	att->replica->own.used -= att->used;
	mesh_load_changed(att->replica);
	be_unref(att->replica);
	att->replica = NULL;
	count_memory(att, att->forecast, att->used);
}

/* The replica of a run that did not succeed stays for a while and can't be dropped: its memory
 * is counted until it expires. */
struct left_replica {
	struct ev_timer timer;
	struct be *be;
	uint32_t forecast, used;
};

static void on_replica_expired(struct ev_timer *t)
{
	struct left_replica *c = (struct left_replica *)t;

	c->be->own.replicas -= c->forecast;
	c->be->own.used -= c->used;
	mesh_load_changed(c->be);
	be_unref(c->be);
	ev_free_later(c);
}

void att_leave_replica(const struct attempt *att)
{
	struct left_replica *c = g_new0(struct left_replica, 1);

	c->timer.fire = on_replica_expired;
	c->be = be_ref(att->replica);
	c->forecast = c->used = att->used;
	c->be->own.replicas += c->forecast;
	c->be->own.used += c->used;
	ev_in(&c->timer, att->rq->service->handle_us);
}
