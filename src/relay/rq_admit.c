/* Generations whose admission is decided for the whole fleet: sent at once while nothing waits,
 * otherwise by the verdict of the service's keeper (adm.h). What to do is decided by
 * admit_step.h and carried out here. */
#include "adm.h"
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"
#include <string.h>

/* The keeper may learn of free room before this instance does. Instances tell their loads
 * within some ms; asking again at once had one in five granted requests judged anew and
 * refused. */
#define NEWS_US 50000
/* Part (1/3) of the time that a caller may wait, within which an appointment lies. */
#define HORIZON_PART 3
#define START_FACTOR 1.5 /* on the usual time to a first token: 86 of 100 come within it */
/* Part (1/4) of the latency objective that a first token is taken to need until one is
 * measured. */
#define START_PART 4

static GHashTable *by_id; /* admission id -> struct rq */
static uint64_t last_id;

/* By the newest configuration: a change also applies to requests that wait. */
static int scope_is_fleet(const struct rq *r)
{
	const struct conf *c = cache_conf();
	const struct conf_service *s = conf_service(c, r->service->name);
	enum conf_scope scope = c->admission.scope;

	if (scope == CONF_SCOPE_DEFAULT) scope = rq_cfg->admission;
	if (scope == CONF_SCOPE_DEFAULT) return s && s->runs_once;
	return scope == CONF_SCOPE_FLEET;
}

/* The keeper does not know which servers the regions of a route or workspace allow. */
static int is_restricted(const struct rq *r)
{
	if (!be_in_several_regions()) return 0;
	return r->route->regions || (r->group && r->group->regions);
}

static int is_fleet_wide(const struct rq *r)
{
	return scope_is_fleet(r) && !is_restricted(r);
}

static int64_t start_us(const struct rq *r)
{
	double first_us = rq_length_stats(r)->first_token_us;

	return first_us > 0 ? (int64_t)first_us : r->route->objective_us / START_PART;
}

static uint64_t caller_of(struct rq *r)
{
	uint64_t id;

	memcpy(&id, rq_fp(r)->byte, sizeof id);
	return id;
}

static void assign_id(struct rq *r)
{
	uint64_t *key;

	if (r->admission.id) return;
	if (!by_id) by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	r->admission.id = ++last_id;
	key = g_new(uint64_t, 1);
	*key = r->admission.id;
	g_hash_table_insert(by_id, key, r);
}

/* 0 if no keeper is known. */
static int ask(struct rq *r, const char *excluded)
{
	int64_t now = clock_us(), start = start_us(r);
	struct adm_request q = {
		.service = r->service->name,
		.workspace = r->group ? r->group->name : NULL,
		.route = r->route->name,
		.weight = r->group ? r->group->weight : 1,
		.rank = (uint32_t)rq_rank(r),
		.prompt = r->job.prompt,
		.growth = r->job.growth,
		.caller = caller_of(r),
		.age_us = now - r->began_us,
		.run_us = start + (int64_t)(r->job.growth * rq_token_us(r)),
		.horizon_us = (r->end_us - now) / HORIZON_PART,
		.excluded = excluded,
	};

	q.latest_in_us = r->began_us + r->route->objective_us - now -
			 (int64_t)((double)start * START_FACTOR);
	assign_id(r);
	q.request = r->admission.id;
	if (adm_ask(&q)) return 0;
	r->admission.state = RQ_ADM_ASKED;
	r->admission.keeper = NULL;
	if (r->waiting == RQ_WAIT_NONE) rq_queue_join(r, RQ_WAIT_ADMISSION);
	return 1;
}

static void log_local(const struct rq *r, const char *why)
{
	GString *g = jlog_begin("admission", "admission_local");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_str(g, "why", why);
	jlog_end(g);
}

static void decide_locally(struct rq *r, const char *why)
{
	log_local(r, why);
	met_add(MET_ADM_LOCAL, 1);
	/* The room of a grant that it does not use is free again. */
	if (r->admission.id) adm_withdraw(r->admission.id);
	r->admission.state = RQ_ADM_LOCAL;
	r->wait_began_us = 0; /* it waits anew, in this instance's queue */
}

static int is_first(const struct rq *r, struct be *b)
{
	const char *service = r->service->name;

	return !adm_is_contended(service) && !rq_queue_has(service) && !rq_should_wait(r, b);
}

static struct admit_view view_of(const struct rq *r, struct be *b)
{
	struct admit_view v = {.state = r->admission.state,
			       .fleet_wide = is_fleet_wide(r),
			       .has_server = b != NULL,
			       .regrants = r->admission.regrants};

	/* The rest is not needed, and costs time, for what is admitted locally. */
	if (!b || (v.state == RQ_ADM_NONE && !v.fleet_wide)) return v;
	v.fits = rq_fits(r, b);
	v.is_first = v.state == RQ_ADM_NONE && is_first(r, b);
	return v;
}

/* The server that was granted, if r may not use it; NULL: it has no room at present. One that
 * is full is not excluded: as the only one of its service it would never be granted again. */
static const char *unusable_server(const struct rq *r)
{
	struct be *b = be_find(r->admission.backend);

	return b && !rq_usable_in(b, r, clock_us()) ? NULL : r->admission.backend;
}

static enum rq_admit ask_or_decide(struct rq *r, const char *excluded)
{
	if (ask(r, excluded)) return RQ_ADMIT_WAIT;
	decide_locally(r, "no keeper is known");
	return RQ_ADMIT_LOCALLY;
}

enum rq_admit rq_admit(struct rq *r, struct be *b)
{
	struct admit_view v;

	if (!r->service->engine || r->sends) return RQ_ADMIT_LOCALLY;
	v = view_of(r, b);
	switch (admit_step(&v)) {
	case ADMIT_LOCALLY: break;
	case ADMIT_SEND: return RQ_ADMIT_SEND;
	case ADMIT_STAY: return RQ_ADMIT_WAIT;
	case ADMIT_ASK: return ask_or_decide(r, NULL);
	case ADMIT_ASK_AGAIN:
		r->admission.regrants++;
		return ask_or_decide(r, unusable_server(r));
	case ADMIT_GIVE_UP:
		decide_locally(r, "granted servers are of no use in this instance's view");
		break;
	}
	return RQ_ADMIT_LOCALLY;
}

int rq_admit_changed(const struct rq *r)
{
	return r->admission.state == RQ_ADM_NONE && is_fleet_wide(r);
}

static void place_locally(struct rq *r, const char *why)
{
	rq_queue_leave(r);
	decide_locally(r, why);
	rq_place(r);
}

int rq_recheck_admission(struct rq *r)
{
	if (r->admission.state == RQ_ADM_GRANTED) {
		if (!rq_granted_server(r) && clock_us() - r->admission.granted_us < NEWS_US)
			return 0;
		rq_queue_leave(r);
		rq_place(r);
		return 1;
	}
	if (scope_is_fleet(r)) return 0;
	rq_queue_leave(r);
	decide_locally(r, "the scope has changed to the instance");
	/* It is asked for again if the scope changes back. */
	r->admission.state = RQ_ADM_NONE;
	rq_place(r);
	return 1;
}

struct be *rq_granted_server(struct rq *r)
{
	struct be *b;

	if (r->admission.state != RQ_ADM_GRANTED || r->sends) return NULL;
	b = be_find(r->admission.backend);
	if (!b || rq_usable_in(b, r, clock_us()) || !rq_fits(r, b)) return NULL;
	return b;
}

static void observe_wait(const struct rq *r)
{
	int64_t waited_us = clock_us() - r->wait_began_us;

	met_rank_waited(rq_rank_class(r), waited_us);
	if (!r->group) return;
	met_observe(met_group(r->group->name), MET_H_WAIT, waited_us);
	if (r->expected_wait_us != INT64_MAX)
		met_observe(met_group(r->group->name), MET_H_FORECAST_ERROR,
			    ABS(waited_us - r->expected_wait_us));
}

void rq_admission_sent(struct rq *r)
{
	if (!r->admission.id) return;
	adm_started(r->admission.id);
	if (r->admission.state == RQ_ADM_GRANTED && r->sends == 1 && r->wait_began_us)
		observe_wait(r);
}

void rq_admission_end(struct rq *r)
{
	if (!r->admission.id) return;
	if (!r->sends) adm_withdraw(r->admission.id); /* else adm_started has ended it */
	g_hash_table_remove(by_id, &r->admission.id);
	r->admission.id = 0;
}

/* ---- verdicts ---- */

static GString *log_begin(const struct rq *r, const struct adm_verdict *v, const char *event)
{
	GString *g = jlog_begin("admission", event);

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_str(g, "workspace", r->group ? r->group->name : NULL);
	jlog_str(g, "route", r->route->name);
	jlog_int(g, "rank", rq_rank(r));
	jlog_str(g, "keeper", v->keeper);
	jlog_int(g, "knowledge_age_ms", v->age_us / 1000);
	jlog_int(g, "held_ms", (clock_us() - r->began_us) / 1000);
	return g;
}

static void log_expected(GString *g, int64_t us)
{
	if (us != INT64_MAX) jlog_int(g, "expected_ms", us / 1000);
}

static void on_grant(struct rq *r, const struct adm_verdict *v)
{
	GString *g = log_begin(r, v, "admission_grant");

	jlog_str(g, "backend", v->of.send.backend);
	if (r->wait_began_us) log_expected(g, r->expected_wait_us);
	jlog_end(g);
	met_add(MET_ADM_GRANTED, 1);
	r->admission.state = RQ_ADM_GRANTED;
	r->admission.granted_us = clock_us();
	g_strlcpy(r->admission.backend, v->of.send.backend, sizeof r->admission.backend);
	rq_recheck_admission(r);
}

static void on_wait(struct rq *r, const struct adm_verdict *v)
{
	GString *g = log_begin(r, v, "admission_wait");

	log_expected(g, v->of.wait.expected_us);
	jlog_end(g);
	if (!r->wait_began_us) r->wait_began_us = clock_us();
	r->expected_wait_us = v->of.wait.expected_us;
	r->admission.keeper = g_intern_string(v->keeper);
}

static enum refusal refusal_of(enum core_refusal why)
{
	switch (why) {
	case CORE_REF_APPOINTMENT: return REF_APPOINTMENT;
	case CORE_REF_EARLY: return REF_EARLY;
	case CORE_REF_LATE: return REF_LATE;
	case CORE_REF_NO_TIME: return REF_NO_TIME;
	case CORE_REF_NOT_ALLOWED:
	case CORE_REF_NO_ENGINE:
	case CORE_REF_TOO_LONG:
	case CORE_REF_WAITING_CEILING:
	case CORE_REF_FULL:
	case CORE_REF_DEADLINE: break;
	}
	return REF_BUSY;
}

static void on_refuse(struct rq *r, const struct adm_verdict *v)
{
	enum refusal why = refusal_of(v->why);
	int has_time = v->of.refuse.retry_us > 0;
	GString *g;

	if (admit_keeper_lacks(v->why)) {
		place_locally(r, "the keeper lacks its service, engines or workspace");
		return;
	}
	g = log_begin(r, v, has_time ? "admission_appointment" : "admission_refused");
	jlog_str(g, "why", refusal_info(why)->code);
	log_expected(g, v->of.refuse.expected_us);
	if (has_time) jlog_int(g, "retry_ms", v->of.refuse.retry_us / 1000);
	jlog_end(g);
	rq_queue_leave(r);
	rq_refuse(r, why, v->of.refuse.retry_us, NULL);
}

static void on_verdict(uint64_t id, const struct adm_verdict *v)
{
	struct rq *r = by_id ? g_hash_table_lookup(by_id, &id) : NULL;

	if (!r || r->admission.state != RQ_ADM_ASKED) {
		adm_withdraw(id);
		return;
	}
	switch (v->kind) {
	case ADM_SEND: on_grant(r, v); return;
	case ADM_WAIT: on_wait(r, v); return;
	case ADM_REFUSE_UNTIL:
	case ADM_REFUSE: on_refuse(r, v); return;
	case ADM_NO_KEEPER: place_locally(r, "no keeper answers"); return;
	}
}

void rq_admission_start(void)
{
	adm_on_verdict = on_verdict;
}
