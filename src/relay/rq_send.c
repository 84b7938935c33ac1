/* Which backend server a request goes to, and sending it there. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "rq_impl.h"
#include <errno.h>
#include <string.h>

#define CONNECT_CALL_US 250000 /* a backend server that is there answers in a few ms */
#define SENDS_MAX 4            /* of one request, whatever they end in */
#define SITES_MAX 1024         /* candidates looked at */
#define RETRY_LATER_US 400000  /* what is missing comes back within about a second */
#define LEFT_MIN_US 2000       /* with less time left nothing is sent any more */
#define GROWTH_PART 1     /* of what is expected: on the mean others free as much meanwhile */
#define GROWTH_MAX 100000 /* tokens: what grows beyond is seen when it is there */
#define MOVE_FAR_COST                                                                          \
	1500                 /* prompt tokens that a move to another data centre is worth less \
			      */
#define WAIT_PART 4          /* of the aim: a refusal that comes later helps nobody */
#define WAIT_SAFE_US 20000   /* before it: for the refusal to arrive */
#define WAIT_LOOK_US 10000   /* how often what waits is looked at */
#define COME_BACK_US 1200000 /* memory for one more is free again after about so long */
#define BACKUP_PERCENT 90    /* of an engine's memory: copies don't give way to requests */
#define PRIORITY_STEP 3      /* workspaces before routes: three ranks of routes in each */
#define PRIORITY_MAX 9

struct budget_rule rq_budget_rule(void)
{
	return (struct budget_rule){rq_cfg->retry_window_us, rq_cfg->retry_ratio,
				    rq_cfg->retry_slack};
}

struct budget *rq_budget(const char *service)
{
	static GHashTable *budgets;
	struct budget *b;

	if (!budgets) budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b = g_hash_table_lookup(budgets, service);
	if (b) return b;
	b = g_new0(struct budget, 1);
	g_hash_table_insert(budgets, g_strdup(service), b);
	return b;
}

int rq_may_repeat(struct rq *r)
{
	struct budget_rule rule = rq_budget_rule();

	if (r->sends >= SENDS_MAX) return 0;
	return budget_take(rq_budget(r->service->name), &rule, mesh_known(), ev_now());
}

static GPtrArray *waiting; /* the most urgent first, then the oldest */
static struct ev_timer waiting_timer;

static void fill_site(struct place_site *s, const struct be *b, const struct rq *r,
		      const char *dc, int64_t now)
{
	*s = (struct place_site){
		.usable = be_usable(b, now),
		.near = !strcmp(b->zone, dc),
		.slots = b->slots,
		.runs = b->own.runs + b->others.runs,
		.unread = b->own.unread + b->others.unread,
		.held = b->own.held + b->others.held,
		.backup = b->own.backup + b->others.backup,
		.used = b->own.used + b->others.used,
		.tokens = r->service->tokens,
		.far_cost = MOVE_FAR_COST,
		.answer_us = b->answer_us,
	};
}

/* Fills sites for the service's backend servers; how many. */
static int collect(struct rq *r, const char *dc, const struct be *not_this,
		   struct place_site *s)
{
	const GPtrArray *list = be_of(r->service->name);
	int64_t now = clock_us();
	int i, any = 0, n = list ? MIN((int)list->len, SITES_MAX) : 0;

	for (i = 0; i < n; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		fill_site(&s[i], b, r, dc, now);
		if (b == not_this) s[i].usable = 0;
		any |= s[i].usable;
	}
	for (i = 0; i < n && !any; i++) {
		const struct be *b = g_ptr_array_index(list, i);

		s[i].usable = b != not_this && be_last_resort(b, now);
	}
	return n;
}

struct be *rq_pick(struct rq *r, const struct be *near, const struct be *not_this)
{
	static struct place_site s[SITES_MAX];
	const char *dc = near ? near->zone : rq_cfg->data_centre;
	int n = collect(r, dc, not_this, s), i;

	/* An entry reaches all data centres alike; memory does not move alike. */
	for (i = 0; i < n && r->service->engine && !near; i++) s[i].near = 1;
	if (r->service->engine)
		i = place_generation(s, n, &r->job, g_random_int());
	else
		i = place_call(s, n, g_random_int());
	return i < 0 ? NULL : g_ptr_array_index(be_of(r->service->name), i);
}

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

uint32_t rq_made(const struct rq *r)
{
	return r->seen.count * r->service->stride;
}

/* What it has, and a part of what it is still expected to make: others end meanwhile. */
static uint32_t tokens_held(const struct rq *r)
{
	uint32_t made = rq_made(r), more;

	if (!r->service->engine) return 0;
	more = length_remaining(rq_lengths(r), r->in.output_hint, r->in.output_max, made);
	return r->job.prompt + made + MIN(more / GROWTH_PART, GROWTH_MAX);
}

static struct be *pick_backup(struct leg *l)
{
	static struct place_site s[SITES_MAX];
	struct rq *r = l->rq;
	const GPtrArray *list = be_of(r->service->name);
	struct place_job now = {.prompt = tokens_held(r)};
	int n, i, at = -1;

	if (r->route->resumable || r->route->kind != CONF_STREAM) return NULL;
	n = collect(r, l->be->zone, l->be, s);
	for (i = 0; i < n; i++)
		if (g_ptr_array_index(list, i) == l->be) at = i;
	i = place_backup(s, n, at, &now, BACKUP_PERCENT, g_random_int());
	return i < 0 ? NULL : g_ptr_array_index(list, i);
}

static int is_bare(const struct leg *l)
{
	return l->rq->route->kind == CONF_STREAM && !l->rq->route->resumable &&
	       (!l->backup || l->copy_bad);
}

/* Counts its memory as so much from now on, where it runs and where its copy is. */
static void count_memory(struct leg *l, uint32_t held, uint32_t used)
{
	uint32_t bare = is_bare(l) ? used : 0;

	l->be->own.held += held - l->held;
	l->be->own.used += used - l->used;
	l->be->own.bare += bare - l->bare;
	l->bare = bare;
	mesh_load_changed(l->be);
	if (l->backup) {
		l->backup->own.backup += held - l->held;
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
	count_memory(l, tokens_held(r), r->job.prompt + rq_made(r));
}

static void count_in(struct leg *l)
{
	l->be->own.runs++;
	if (l->reading) l->be->own.unread += l->rq->job.prompt;
	leg_recount(l);
}

static void count_out(struct leg *l)
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
	l->be->own.unread -= l->rq->job.prompt;
	mesh_load_changed(l->be);
}

void leg_drop_backup(struct leg *l)
{
	if (!l->backup) return;
	l->backup->own.backup -= l->held;
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

	c->be->own.backup -= c->held;
	c->be->own.used -= c->used;
	mesh_load_changed(c->be);
	be_unref(c->be);
	ev_free_later(c);
}

static void leave_copy(const struct leg *l)
{
	struct left_copy *c = g_new0(struct left_copy, 1);

	c->timer.fire = on_copy_over;
	c->be = be_ref(l->backup);
	c->held = c->used = l->used;
	c->be->own.backup += c->held;
	c->be->own.used += c->used;
	ev_in(&c->timer, l->rq->service->handle_us);
}

void leg_free(struct leg *l)
{
	if (!l) return;
	if (l->hx) hx_cancel(l->hx);
	if (l->backup && !l->copy_freed) leave_copy(l);
	count_out(l);
	be_unref(l->be);
	evs_free(&l->evs);
	ev_free_later(l);
}

/* Workspaces come before routes in rank. */
static int priority(const struct rq *r)
{
	int group =
		r->group && r->group->priority >= 0 ? r->group->priority : PRIORITY_STEP - 1;

	if (!r->service->engine) return -1;
	return MIN(group * PRIORITY_STEP + MIN(r->route->priority, PRIORITY_STEP - 1),
		   PRIORITY_MAX);
}

static GString *write_request(const struct leg *l, const char *copy_at, const char *copy)
{
	const struct rq *r = l->rq;
	GString *out = g_string_sized_new(1024 + r->h->body->len);
	struct dl_send s = {
		.backend = l->be->id,
		.group = r->group ? r->group->name : NULL,
		.deadline_us = r->end_us - clock_us(),
		.priority = copy ? 0 : priority(r),
		.backup_at = l->backup ? l->backup->address : NULL,
		.copy_at = copy_at,
		.copy = copy,
		.resume_after = r->seen.id[0] ? r->seen.id : NULL,
	};

	dl_write_request(out, &r->h->hp.head, r->h->body, &s);
	return out;
}

static void log_sent(const struct leg *l, const char *copy)
{
	const struct rq *r = l->rq;
	const struct be *b = l->be;
	GString *g;

	if (!r->service->engine && r->sends < 2) return; /* its end tells as much */
	g = jlog_begin("relay", "request_sent");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", b->id);
	jlog_str(g, "backup", l->backup ? l->backup->id : NULL);
	jlog_str(g, "copy", copy);
	jlog_str(g, "after_event", r->seen.id[0] ? r->seen.id : NULL);
	jlog_int(g, "send", r->sends);
	jlog_int(g, "prompt", r->job.prompt);
	jlog_int(g, "growth", r->job.growth);
	jlog_int(g, "unread", b->own.unread + b->others.unread);
	jlog_int(g, "held", b->own.held + b->others.held);
	jlog_int(g, "copies", b->own.backup + b->others.backup);
	jlog_int(g, "runs", b->own.runs + b->others.runs);
	jlog_end(g);
}

static void choose_backup(struct leg *l)
{
	struct be *b = pick_backup(l);

	if (b) l->backup = be_ref(b);
}

struct leg *leg_start(struct rq *r, struct be *b, const struct be *copy_at, const char *copy)
{
	struct leg *l = g_new0(struct leg, 1);
	int rc;

	l->rq = r;
	l->be = be_ref(b);
	l->from_copy = copy != NULL;
	l->reading = r->service->engine && !copy;
	l->sent_us = clock_us();
	if (r->service->backups) choose_backup(l);
	evs_init(&l->evs);
	r->sends++;
	log_sent(l, copy);
	l->hx = hx_new(l);
	l->hx->on_head = leg_on_head;
	l->hx->on_body = leg_on_body;
	l->hx->on_end = leg_on_end;
	count_in(l);
	rc = hx_start(l->hx, &b->sa, write_request(l, copy_at ? copy_at->address : NULL, copy),
		      CONNECT_CALL_US);
	if (!rc) return l;
	l->hx = NULL;
	leg_free(l);
	return NULL;
}

/* The newest configuration may have moved the route or taken the key since the request came. */
static int still_allowed(struct rq *r)
{
	struct conf *c = board_conf();

	if (c != r->conf && !r->route->open && c->groups->len && !conf_group(c, r->in.key)) {
		rq_refuse(r, REF_UNAUTHORIZED, 0, "the key was taken away");
		return 0;
	}
	if (rq_confirmed(r)) return 1;
	rq_refuse(r, REF_PLATFORM_DOWN, RETRY_LATER_US, "the configuration is not confirmed");
	return 0;
}

int rq_fits(const struct rq *r, const struct be *b)
{
	struct place_job now = {.prompt = r->job.prompt + rq_made(r), .growth = r->job.growth};
	struct place_site s;

	if (!r->service->engine) return 1;
	fill_site(&s, b, r, b->zone, clock_us());
	return place_fits(&s, &now);
}

static int before(const struct rq *a, const struct rq *b)
{
	int pa = priority(a), pb = priority(b);

	return pa != pb ? pa < pb : a->began_us < b->began_us;
}

static void on_waiting_timer(struct ev_timer *t)
{
	(void)t;
	rq_look_at_waiting();
}

void rq_stop_waiting(struct rq *r)
{
	if (!r->waiting) return;
	r->waiting = 0;
	g_ptr_array_remove(waiting, r);
	met_set(MET_G_WAITING, waiting->len);
}

static void wait_for_room(struct rq *r)
{
	uint32_t i;

	if (!waiting) waiting = g_ptr_array_new();
	waiting_timer.fire = on_waiting_timer;
	for (i = waiting->len; i > 0; i--)
		if (!before(r, g_ptr_array_index(waiting, i - 1))) break;
	g_ptr_array_insert(waiting, (int)i, r);
	r->waiting = 1;
	r->wait_us = r->began_us + r->route->aim_us / WAIT_PART - WAIT_SAFE_US;
	met_set(MET_G_WAITING, waiting->len);
	if (!waiting_timer.armed) ev_in(&waiting_timer, WAIT_LOOK_US);
}

/* Something more urgent, or as urgent and older, waits for the same service. */
static int must_queue(const struct rq *r)
{
	uint32_t i;

	for (i = 0; waiting && i < waiting->len; i++) {
		const struct rq *o = g_ptr_array_index(waiting, i);

		if (!strcmp(o->service->name, r->service->name) && before(o, r)) return 1;
	}
	return 0;
}

/* 1 when it was sent or refused, 0 when it still waits. */
static int try_waiting(struct rq *r)
{
	struct be *b = rq_pick(r, NULL, NULL);

	if (b && rq_fits(r, b)) {
		rq_stop_waiting(r);
		rq_place(r);
		return 1;
	}
	if (ev_now() < r->wait_us) return 0;
	rq_stop_waiting(r);
	rq_refuse(r, b ? REF_BUSY : REF_NO_ENGINE, COME_BACK_US,
		  b ? "no engine has memory for it" : "no usable engine is known");
	return 1;
}

void rq_look_at_waiting(void)
{
	uint32_t i = 0;

	while (waiting && i < waiting->len)
		if (!try_waiting(g_ptr_array_index(waiting, i))) i++;
	if (waiting->len) ev_in(&waiting_timer, WAIT_LOOK_US);
}

static int should_wait(struct rq *r, const struct be *b)
{
	if (!r->service->engine || r->sends || r->waiting || r->wait_us) return 0;
	return !b || must_queue(r) || !rq_fits(r, b);
}

void rq_place(struct rq *r)
{
	const struct be *last = r->leg ? r->leg->be : NULL;
	struct be *b;

	if (!still_allowed(r)) return;
	b = rq_pick(r, NULL, last);
	if (!b && last) b = rq_pick(r, NULL, NULL);
	if (should_wait(r, b)) {
		wait_for_room(r);
		return;
	}
	if (!b) {
		rq_refuse(r, REF_NO_ENGINE, RETRY_LATER_US,
			  "no usable backend server is known");
		return;
	}
	if (r->end_us - clock_us() < LEFT_MIN_US) {
		rq_refuse(r, REF_BUSY, RETRY_LATER_US, "no time is left");
		return;
	}
	leg_free(r->leg);
	r->leg = leg_start(r, b, NULL, NULL);
	if (!r->leg) rq_refuse(r, REF_INTERNAL, RETRY_LATER_US, "no connection can be made");
}
