/* Which backend server a request goes to, and sending it there. */
#include "clock.h"
#include "jlog.h"
#include "rq_impl.h"
#include <string.h>

#define SITES_MAX 1024    /* candidates looked at: the first of the list */
#define LEFT_MIN_US 2000  /* with less time left nothing is sent any more */
#define BACKUP_PERCENT 90 /* of an engine's memory: copies don't give way to requests */
#define PRIORITY_STEP 3   /* workspaces before routes: three ranks of routes in each */
#define PRIORITY_MAX 9    /* the least urgent that engines know */

/* Of all instances together. */
static struct be_load load_of(const struct be *b)
{
	return (struct be_load){.runs = b->own.runs + b->others.runs,
				.unread = b->own.unread + b->others.unread,
				.held = b->own.held + b->others.held,
				.backup = b->own.backup + b->others.backup,
				.used = b->own.used + b->others.used,
				.inbound = b->own.inbound + b->others.inbound};
}

static void fill_site(struct place_site *s, const struct be *b, const struct rq *r,
		      const char *dc, int64_t now)
{
	struct be_load all = load_of(b);

	*s = (struct place_site){
		.usable = be_usable(b, now),
		.near = !strcmp(b->zone, dc),
		.slots = b->slots,
		.runs = all.runs,
		.unread = all.unread,
		.held = all.held,
		.backup = all.backup,
		.used = all.used,
		.tokens = r->service->tokens,
		.inbound = all.inbound,
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

struct be *rq_pick(struct rq *r, const struct be *not_this)
{
	static struct place_site s[SITES_MAX];
	int n = collect(r, rq_cfg->data_centre, not_this, s), i;

	if (r->service->engine)
		i = place_generation(s, n, &r->job, g_random_int());
	else
		i = place_call(s, n, g_random_int());
	return i < 0 ? NULL : g_ptr_array_index(be_of(r->service->name), i);
}

struct be *rq_pick_target(struct rq *r, const struct be *source)
{
	static struct place_site s[SITES_MAX];
	struct place_job now = {.prompt = rq_held(r)};
	int n = collect(r, source->zone, source, s);
	int i = place_move(s, n, &now, g_random_int());

	return i < 0 ? NULL : g_ptr_array_index(be_of(r->service->name), i);
}

static struct be *pick_backup(struct leg *l)
{
	static struct place_site s[SITES_MAX];
	struct rq *r = l->rq;
	const GPtrArray *list = be_of(r->service->name);
	struct place_job now = {.prompt = rq_held(r)};
	int n, i, at = -1;

	if (r->route->resumable || r->route->kind != CONF_STREAM) return NULL;
	n = collect(r, l->be->zone, l->be, s);
	for (i = 0; i < n; i++)
		if (g_ptr_array_index(list, i) == l->be) at = i;
	i = place_backup(s, n, at, &now, BACKUP_PERCENT, g_random_int());
	return i < 0 ? NULL : g_ptr_array_index(list, i);
}

void leg_free(struct leg *l)
{
	if (!l) return;
	if (l->hx) hx_cancel(l->hx);
	if (l->backup && !l->copy_freed) leg_leave_copy(l);
	leg_count_out(l);
	be_unref(l->be);
	evs_free(&l->evs);
	ev_free_later(l);
}

int rq_priority(const struct rq *r)
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
		.priority = copy ? 0 : rq_priority(r),
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
	struct be_load all;
	GString *g;

	if (!r->service->engine && r->sends < 2) return; /* its end tells as much */
	all = load_of(l->be);
	g = jlog_begin("relay", "request_sent");
	jlog_str(g, "request", r->in.id);
	jlog_str(g, "backend", l->be->id);
	jlog_str(g, "backup", l->backup ? l->backup->id : NULL);
	jlog_str(g, "copy", copy);
	jlog_str(g, "after_event", r->seen.id[0] ? r->seen.id : NULL);
	jlog_int(g, "send", r->sends);
	jlog_int(g, "prompt", r->job.prompt);
	jlog_int(g, "growth", r->job.growth);
	jlog_int(g, "unread", all.unread);
	jlog_int(g, "held", all.held);
	jlog_int(g, "copies", all.backup);
	jlog_int(g, "runs", all.runs);
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
	leg_count_in(l);
	rc = hx_start(l->hx, &b->sa, write_request(l, copy_at ? copy_at->address : NULL, copy),
		      RQ_CONNECT_US);
	if (!rc) return l;
	l->hx = NULL;
	leg_free(l);
	return NULL;
}

/* The newest configuration may have moved the route or taken the key since the request came. */
static int still_allowed(struct rq *r)
{
	struct conf *c = board_conf();

	if (c != r->conf && !rq_key_known(r, c)) {
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

void rq_place(struct rq *r)
{
	const struct be *last = r->leg ? r->leg->be : NULL;
	struct be *b;

	if (!still_allowed(r)) return;
	b = rq_pick(r, last);
	if (!b && last) b = rq_pick(r, NULL);
	if (rq_wait(r, b)) return;
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
