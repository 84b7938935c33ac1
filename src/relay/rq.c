#include "rq_impl.h"
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include <errno.h>
#include <stddef.h>
#include <string.h>

#define HELD_MAX_US 60000000   /* a request whose route and caller name no end */
#define RETRY_SPREAD_US 200000 /* so that callers don't come back together */
#define PATIENCE_PART 6        /* tenths of the aim: another server still answers within it */
#define PATIENCE_MIN_US 50000  /* never less: an answer takes some tens of ms */
#define STALL_LOOK_US 250000   /* how often a stream's silence is looked at */
#define STALL_GAPS 8         /* silence of so many of the route's pauses is an engine's death */
#define STALL_MIN_US 1000000 /* never less: long prompts of others hold a stream up */
#define DRAIN_TAKE_US 2000000 /* callers learn of a drain within about so long */
#define TOKEN_US 9000         /* a token on a busy engine; only for what a drain still takes */

const struct entry_cfg *rq_cfg;
GPtrArray *rq_all;
int64_t rq_drain_until_us;
static int64_t drain_began_us;

void rq_init(const struct entry_cfg *c)
{
	rq_cfg = c;
	rq_all = g_ptr_array_new();
}

uint32_t rq_open(void)
{
	return rq_all->len;
}

void rq_log(const struct rq *r, const char *outcome, const char *detail)
{
	int64_t now = clock_us();
	GString *g = jlog_begin("relay", "request_ended");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "outcome", outcome);
	jlog_str(g, "detail", detail);
	jlog_int(g, "status", r->status);
	jlog_str(g, "route", r->route ? r->route->name : NULL);
	jlog_str(g, "workspace", r->group ? r->group->name : NULL);
	jlog_str(g, "backend", r->leg ? r->leg->be->id : NULL);
	jlog_int(g, "sends", r->sends);
	jlog_int(g, "took_ms", (now - r->began_us) / 1000);
	if (r->first_us) jlog_int(g, "first_ms", (r->first_us - r->began_us) / 1000);
	if (r->seen.count) jlog_int(g, "events", r->seen.count);
	if (r->gap_us) {
		jlog_int(g, "longest_pause_ms", r->gap_us / 1000);
		jlog_int(g, "pause_ended_ms", (r->gap_at_us - r->began_us) / 1000);
	}
	if (r->conf) jlog_int(g, "configuration", r->conf->version);
	if (board_confirmed_us() != BOARD_NEVER)
		jlog_int(g, "configuration_age_ms", (now - board_confirmed_us()) / 1000);
	jlog_end(g);
}

void rq_free(struct rq *r)
{
	struct rq *last = g_ptr_array_index(rq_all, rq_all->len - 1);

	rq_all->pdata[r->index] = last;
	last->index = r->index;
	g_ptr_array_set_size(rq_all, rq_all->len - 1);
	met_set(MET_G_REQUESTS, rq_all->len);
	rq_stop_waiting(r);
	move_stop(r);
	ev_stop(&r->end_timer);
	ev_stop(&r->stall_timer);
	leg_free(r->leg);
	leg_free(r->next);
	if (r->answer) g_string_free(r->answer, TRUE);
	conf_unref(r->conf);
	ev_free_later(r);
}

/* The connection may begin with its next request at once: r must be gone by then. */
static void answer_own(struct rq *r, int status, int64_t retry_us, const char *code)
{
	struct hs *h = r->h;
	char *fields = dl_retry_fields(r->in.id, retry_us);
	char *body = g_strdup_printf("{\"code\":\"%s\"}\n", code);

	h->user = NULL;
	rq_free(r);
	hs_answer(h, status, fields, body, strlen(body));
	g_free(fields);
	g_free(body);
}

static int refusal_status(enum refusal why)
{
	return refusal_info(why)->status;
}

void rq_refuse(struct rq *r, enum refusal why, int64_t retry_us, const char *detail)
{
	if (r->runs || r->head_sent) {
		rq_fail(r, why, detail);
		return;
	}
	met_refused(why);
	r->status = refusal_status(why);
	rq_log(r, refusal_info(why)->code, detail);
	if (retry_us) retry_us += g_random_int_range(0, RETRY_SPREAD_US);
	answer_own(r, r->status, retry_us, refusal_info(why)->code);
}

void rq_fail(struct rq *r, enum refusal why, const char *detail)
{
	struct hs *h = r->h;

	met_refused(why);
	if (r->head_sent) {
		rq_log(r, "broken_off", detail);
		h->user = NULL;
		rq_free(r);
		hs_abort(h);
		return;
	}
	r->status = why == REF_DEADLINE ? 504 : 502;
	rq_log(r, refusal_info(why)->code, detail);
	answer_own(r, r->status, 0, refusal_info(why)->code);
}

static void observe(struct rq *r)
{
	if (!r->first_us || !r->group) return;
	met_observe(met_group(r->group->name), MET_H_FIRST_TOKEN, r->first_us - r->began_us);
}

void rq_answer(struct rq *r, const struct hp_head *head)
{
	GString *out = g_string_sized_new(512 + r->answer->len);
	struct hs *h = r->h;

	r->first_us = clock_us();
	r->status = head->status;
	met_add(MET_ANSWERED, 1);
	observe(r);
	rq_log(r, "answered", NULL);
	dl_write_head(out, head, r->answer->len, hs_keeps(h));
	if (h->hp.head.method != HTTP_HEAD)
		g_string_append_len(out, r->answer->str, r->answer->len);
	h->user = NULL;
	rq_free(r);
	hs_write(h, out->str, out->len);
	g_string_free(out, TRUE);
	hs_finish(h);
}

void rq_stream_end(struct rq *r)
{
	struct hs *h = r->h;

	met_add(MET_ANSWERED, 1);
	observe(r);
	length_observe(rq_lengths(r), rq_made(r), r->in.output_hint);
	rq_log(r, "answered", NULL);
	h->user = NULL;
	rq_free(r);
	hs_write(h, "0\r\n\r\n", 5);
	hs_finish(h);
}

static void on_end_time(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, end_timer));

	if (!r->sends) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "the time ran out before it was sent");
		return;
	}
	if (r->leg && r->leg->hx && !r->leg->answered)
		be_failed(r->leg->be, "no answer in time");
	rq_fail(r, REF_DEADLINE, "the time ran out");
}

int rq_repeatable(const struct rq *r)
{
	if (r->route->kind == CONF_STREAM) return r->route->resumable;
	return r->route->kind == CONF_SAFE;
}

/* How long a server that may be left for another one is waited for. */
static int64_t patience_us(const struct rq *r)
{
	if (r->route->kind == CONF_STREAM) return r->route->aim_us;
	return MAX(r->route->aim_us * PATIENCE_PART / 10, PATIENCE_MIN_US);
}

static int64_t stall_us(const struct rq *r)
{
	return MAX(r->route->gap_us * STALL_GAPS, STALL_MIN_US);
}

/* Nothing came of a request that may run again: another server may be quicker. */
static void look_at_silence(struct rq *r)
{
	struct leg *l = r->leg;

	if (!l || !l->hx || l->answered || r->runs + 1 >= r->route->attempts) return;
	if (clock_us() - l->sent_us < patience_us(r) || !rq_may_repeat(r)) return;
	be_failed(l->be, "silent");
	met_retried(RETRY_FIRST_BYTE);
	r->runs++;
	rq_place(r);
}

/* A stream whose engine fell silent goes on from its running copy, where there is one. */
static void on_stall_look(struct ev_timer *t)
{
	struct rq *r = (struct rq *)((char *)t - offsetof(struct rq, stall_timer));

	ev_in(t, STALL_LOOK_US);
	if (rq_repeatable(r)) {
		look_at_silence(r);
		return;
	}
	if (!r->event_us || r->move.state != MOVE_NONE || cn_pending(&r->h->cn)) return;
	if (clock_us() - r->event_us < stall_us(r)) return;
	r->event_us = clock_us();
	be_failed(r->leg->be, "silent");
	move_to_backup(r);
}

/* 0 while the configuration is too old to tell whether the key still holds. */
int rq_confirmed(const struct rq *r)
{
	if (r->route->open || !rq_cfg->fail_closed) return 1;
	return clock_us() - board_confirmed_us() < rq_cfg->revoke_us;
}

/* 0, or refuses r. */
static int check(struct rq *r)
{
	struct conf *c = board_conf();

	if (dl_read_request(&r->h->hp.head, &r->in)) {
		rq_refuse(r, REF_BAD_REQUEST, 0, "a field of the head is missing or malformed");
		return -EINVAL;
	}
	if (!c) {
		rq_refuse(r, REF_NO_TABLE, RETRY_SOON_US, "no configuration is known yet");
		return -EAGAIN;
	}
	r->conf = conf_ref(c);
	r->route = conf_route(c, r->in.host, r->in.target);
	if (!r->route) {
		rq_refuse(r, REF_NOT_FOUND, 0, "no route");
		return -ENOENT;
	}
	if (!r->route->open) r->group = conf_group(c, r->in.key);
	if (!r->route->open && c->groups->len && !r->group) {
		rq_refuse(r, REF_UNAUTHORIZED, 0, "unknown key");
		return -EACCES;
	}
	if (rq_confirmed(r)) return 0;
	rq_refuse(r, REF_PLATFORM_DOWN, RETRY_SOON_US, "the configuration is not confirmed");
	return -EAGAIN;
}

static void set_times(struct rq *r)
{
	int64_t most = r->route->timeout_us ? r->route->timeout_us : HELD_MAX_US;

	if (r->in.deadline_us) most = MIN(most, r->in.deadline_us);
	r->end_us = r->began_us + most;
	ev_at(&r->end_timer, r->end_us);
	if (r->route->kind == CONF_STREAM)
		ev_in(&r->stall_timer, STALL_LOOK_US);
	else if (rq_repeatable(r))
		ev_in(&r->stall_timer, patience_us(r));
}

/* While this instance drains it takes nothing that would outlast it: at first by what is
 * expected, later only what must have its final answer before the end. */
static int outlasts_drain(const struct rq *r)
{
	if (!rq_drain_until_us) return 0;
	if (ev_now() - drain_began_us > DRAIN_TAKE_US) return r->end_us > rq_drain_until_us;
	if (r->route->kind != CONF_STREAM) return 0;
	return ev_now() + (int64_t)r->job.growth * TOKEN_US > rq_drain_until_us;
}

void rq_on_request(struct hs *h)
{
	struct rq *r = g_new0(struct rq, 1);
	const char *name;

	r->h = h;
	h->user = r;
	r->began_us = h->arrived_us;
	r->end_timer.fire = on_end_time;
	r->stall_timer.fire = on_stall_look;
	move_init(r);
	r->index = rq_all->len;
	g_ptr_array_add(rq_all, r);
	met_add(MET_REQUESTS, 1);
	if (check(r)) return;
	r->job.prompt = r->in.prompt_tokens;
	r->job.growth = length_remaining(rq_lengths(r), r->in.output_hint, r->in.output_max, 0);
	name = conf_pick(r->route, g_random_double());
	r->service = name ? conf_service(r->conf, name) : NULL;
	if (!r->service) {
		rq_refuse(r, REF_NO_ENGINE, RETRY_LATER_US,
			  "the route's service is not configured");
		return;
	}
	set_times(r);
	if (outlasts_drain(r)) {
		rq_refuse(r, REF_DRAINING, RETRY_SOON_US / 3,
			  "this instance stops before it would end");
		return;
	}
	rq_count_request(r);
	rq_place(r);
}

void rq_on_left(struct hs *h)
{
	struct rq *r = h->user;

	if (!r) return;
	met_add(MET_CALLER_LEFT, 1);
	rq_log(r, "caller_left", NULL);
	h->user = NULL;
	rq_free(r);
}

void rq_on_drain(struct hs *h)
{
	struct rq *r = h->user;

	if (r && r->leg && r->leg->hx) hx_pause(r->leg->hx, 0);
}

void rq_on_leaving(struct be *b)
{
	uint32_t i;

	for (i = rq_all->len; i-- > 0;) {
		struct rq *r;

		if (i >= rq_all->len) continue; /* some ended meanwhile */
		r = g_ptr_array_index(rq_all, i);
		if (!r->leg) continue;
		if (r->leg->backup == b) leg_drop_backup(r->leg);
		if (r->leg->be == b) move_begin(r);
	}
}

void rq_drain(int64_t until_us)
{
	drain_began_us = ev_now();
	rq_drain_until_us = until_us;
}

void rq_abort_all(void)
{
	while (rq_all->len)
		rq_fail(g_ptr_array_index(rq_all, rq_all->len - 1), REF_DRAINING,
			"this instance stops");
}
