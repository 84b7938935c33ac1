/* Requests of callers that take a stream up: they wait until it is known which version began
 * the stream, and are refused if nobody knows. */
#include "clock.h"
#include "jlog.h"
#include "origins.h"
#include "rq_impl.h"
#include <stddef.h>

/* An instance that was cut off is linked again about this long after its path is back. */
#define RETRY_REACH_US 1000000
/* How long to wait for the others: several round trips between regions. */
#define ANSWERS_US 200000
/* After the stream's deadline its caller does not come back; clocks and answers are late by
 * some seconds. */
#define RETURN_US 30000000

static int takes_up(const struct rq *r)
{
	return r->route->kind == CONF_STREAM && (r->in.resumes || r->in.resume_after);
}

/* Callers choose the ids of their attempts: those of another workspace name other streams. */
static uint64_t key_of(const struct rq *r, const char *attempt)
{
	return fp_short(r->group ? r->group->name : NULL, attempt);
}

void rq_note_origin(struct rq *r, const struct be *b)
{
	rq_bind(r, b);
	if (r->bound != RQ_BOUND) return;
	if (!r->origin.key) r->origin.key = key_of(r, r->in.id);
	og_note(r->origin.key, r->version_key, r->end_us - clock_us() + RETURN_US);
}

static void log_bound(const struct rq *r, const char *from, int64_t age_us)
{
	GString *g = jlog_begin("relay", "stream_bound");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "resumes", r->in.resumes);
	jlog_str(g, "version", be_version_name(r->version_key));
	jlog_str(g, "known_from", from);
	jlog_int(g, "age_ms", age_us / 1000);
	jlog_int(g, "asked", r->origin.asked);
	jlog_end(g);
}

static void bind_to(struct rq *r, uint64_t version, const char *from, int64_t age_us)
{
	r->bound = RQ_BOUND;
	r->version_key = version;
	r->origin.unanswered = 0;
	ev_stop(&r->origin.timer);
	log_bound(r, from, age_us);
}

/* Nobody will know later. */
static void refuse_finally(struct rq *r, enum refusal why, const char *detail)
{
	ev_stop(&r->origin.timer);
	rq_refuse(r, why, 0, detail);
}

static void refuse_for_now(struct rq *r, int64_t retry_us, const char *detail)
{
	r->origin.unanswered = 0;
	ev_stop(&r->origin.timer);
	rq_refuse(r, REF_ORIGIN_UNANSWERED, retry_us, detail);
}

static void refuse_unknown(struct rq *r)
{
	if (og_can_ask_all())
		refuse_finally(r, REF_ORIGIN_UNKNOWN,
			       "nobody knows which version began the stream");
	else
		refuse_for_now(r, RETRY_REACH_US,
			       "some that may know which version began the stream are out of "
			       "reach");
}

static void on_timer(struct ev_timer *t)
{
	refuse_for_now((struct rq *)((char *)t - offsetof(struct rq, origin.timer)),
		       RETRY_SOON_US,
		       "those that may know which version began the stream do not answer");
}

static void ask(struct rq *r)
{
	r->origin.asked = og_ask(r->origin.key);
	r->origin.unanswered = r->origin.asked;
	if (!r->origin.asked) {
		refuse_for_now(r, RETRY_SOON_US,
			       "nobody can be asked which version began the stream");
		return;
	}
	r->origin.timer.fire = on_timer;
	ev_in(&r->origin.timer, ANSWERS_US);
}

int rq_resolve_origin(struct rq *r)
{
	struct og_known k;

	if (!takes_up(r)) return 0;
	if (!r->in.resumes) {
		refuse_finally(r, REF_ORIGIN_UNNAMED,
			       "the attempt that began the stream is not named");
		return 1;
	}
	r->origin.key = key_of(r, r->in.resumes);
	if (og_find(r->origin.key, &k)) {
		ask(r);
		return 1;
	}
	if (!k.version) {
		refuse_finally(r, REF_ORIGIN_DISPUTED,
			       "two versions began streams under the attempt's id");
		return 1;
	}
	met_add(MET_ORIGINS_KNOWN, 1);
	bind_to(r, k.version, "this instance", k.age_us);
	return 0;
}

static void apply_answer(struct rq *r, uint64_t version, int64_t age_us, const char *from)
{
	if (version) {
		met_add(MET_ORIGINS_LEARNT, 1);
		bind_to(r, version, from, age_us);
		rq_admit_resolved(r);
		return;
	}
	if (!--r->origin.unanswered) refuse_unknown(r);
}

void rq_on_origin(uint64_t key, uint64_t version, int64_t age_us, const char *from)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (r->origin.unanswered && r->origin.key == key)
			apply_answer(r, version, age_us, from);
	}
}

const char *rq_bound_service(const struct rq *r)
{
	int i;

	for (i = 0; i < r->route->nsplit; i++)
		if (be_service_has_version(r->route->split[i].service, r->version_key))
			return r->route->split[i].service;
	return NULL;
}
