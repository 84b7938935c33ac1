/* Gives up answers that servers send without end, or too slowly, by the rules of al.h. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <errno.h>

static const char why_text[] = "answer without end";

/* Sizes of the plain answers of the request's route. */
static struct al_usual *usual_of(const struct rq *r)
{
	static GHashTable *sizes;
	struct al_usual *u;

	if (!sizes) sizes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	u = g_hash_table_lookup(sizes, r->route->name);
	if (u) return u;
	u = g_new0(struct al_usual, 1);
	g_hash_table_insert(sizes, g_strdup(r->route->name), u);
	return u;
}

static int64_t allowed_us(const struct rq *r)
{
	return MAX(r->route->objective_us, rq_answer_timeout_us(r));
}

struct al_answer rq_measure_answer(const struct attempt *att)
{
	return (struct al_answer){
		.bytes = att->held,
		.length = att->length,
		.age_us = rq_age_us(att->part_us ? att->part_us : att->sent_us)};
}

/* Whether the relay has stopped reading it, or is about to: then it is not its server that is
 * slow. */
static int waits_for_reader(const struct rq *r)
{
	return r->attempt->hx->cn.paused || cn_pending(&r->h->cn);
}

int rq_answer_is_late(const struct rq *r)
{
	struct attempt *att = r->attempt;
	struct al_answer a;

	if (!att->answered || att->stopped_us) return 0;
	if (att->is_stream) {
		if (!evs_is_inside_event(&att->evs)) return 0;
		if (waits_for_reader(r)) {
			att->part_us = clock_us();
			return 0;
		}
	}
	a = rq_measure_answer(att);
	return al_is_late(&a, allowed_us(r));
}

/* Counts a retry if so: the answer must be given up then. */
static int goes_elsewhere(struct rq *r)
{
	if (!rq_pick(r, r->attempt->be) || !rq_may_run_again(r, 1)) return 0;
	r->attempt->retry_granted = 1;
	return 1;
}

static int is_plain_given_up(struct attempt *att, uint64_t more)
{
	struct rq *r = att->rq;
	struct al_answer a = rq_measure_answer(att);
	struct al_rule rule = {usual_of(r), allowed_us(r), rq_retryable(r)};
	enum al_reason why;

	a.bytes += more;
	why = al_judge(&a, &rule);
	if (why == AL_UNUSUAL && (r->doubted || att->size_checked)) why = AL_KEEP;
	if (why == AL_UNUSUAL) att->size_checked = 1;
	if ((why == AL_UNUSUAL || why == AL_LATE) && !goes_elsewhere(r)) why = AL_KEEP;
	att->given_up = why;
	return why != AL_KEEP;
}

int giveup_check_size(struct attempt *att, uint64_t more)
{
	return is_plain_given_up(att, more) ? -EMSGSIZE : 0;
}

int giveup_check_memory(struct attempt *att)
{
	struct attempt *v;

	while ((v = held_victim())) {
		if (v == att && v->length == AL_NO_LENGTH) {
			att->given_up = AL_MEMORY;
			return -EMSGSIZE;
		}
		if (v->length != AL_NO_LENGTH) {
			held_stop_reading(att);
			break;
		}
		att_give_up(v, AL_MEMORY);
	}
	return 0;
}

int giveup_check_time(struct rq *r)
{
	struct attempt *att = r->attempt;

	if (!att || !att->hx || r->move.state != MOVE_NONE || rq_waits_to_be_sent(r)) return 0;
	if (!rq_answer_is_late(r)) return 0;
	if (!att->is_stream && !is_plain_given_up(att, 0)) return 0;
	att_give_up(att, AL_LATE);
	return 1;
}

int64_t giveup_next_check_us(const struct rq *r)
{
	return allowed_us(r) - rq_measure_answer(r->attempt).age_us;
}

void giveup_log(const struct attempt *att, enum al_reason why)
{
	static const enum met_count counts[AL_REASONS] = {
		[AL_TOO_LARGE] = MET_ANSWERS_TOO_LARGE,
		[AL_UNUSUAL] = MET_ANSWERS_UNUSUAL,
		[AL_LATE] = MET_ANSWERS_LATE,
		[AL_MEMORY] = MET_ANSWERS_OVER_MEMORY};
	GString *g = jlog_begin("relay", "answer_given_up");

	met_add(counts[why], 1);
	jlog_str(g, "request", att->rq->in.id);
	jlog_str(g, "backend", att->be->id);
	jlog_str(g, "reason", al_reason_name(why));
	jlog_int(g, "bytes", att->answered ? att->held : att->head_bytes);
	if (att->length != AL_NO_LENGTH) jlog_int(g, "length", att->length);
	jlog_int(g, "after_ms", (clock_us() - att->sent_us) / 1000);
	att_log_framing(att, g);
	jlog_end(g);
}

/* Another server's answer to the same request shows whether this one was sound. */
static void doubt(const struct attempt *att)
{
	att->rq->doubted = be_ref(att->be);
	att->rq->doubted_max = al_usual_max(usual_of(att->rq));
}

void giveup_blame(const struct attempt *att)
{
	struct al_answer a = rq_measure_answer(att);

	if (att->given_up == AL_UNUSUAL) doubt(att);
	if (att->fault == TN_HELPER || !al_is_servers_fault(&a, att->given_up)) return;
	att_report_outcome(att, RO_BROKEN);
	if (att->given_up == AL_LATE)
		path_blame(att->be, why_text, att->sent_us);
	else
		be_failed(att->be, why_text);
}

void giveup_note_answer(struct rq *r)
{
	uint64_t bytes = r->answer->len;

	al_observe(usual_of(r), bytes);
	if (!r->doubted || r->doubted == r->attempt->be || bytes > r->doubted_max) return;
	ro_note_result(r->doubted, g_str_hash(r->route->name), RO_BROKEN, -1);
	be_failed(r->doubted, why_text);
	mesh_load_changed(r->doubted);
}
