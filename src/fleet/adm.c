/* Questions of this instance to the keepers of services. Whoever is asked may be silent: the
 * next one is asked, and then the instance decides for itself. */
#include "adm_impl.h"
#include "clock.h"
#include "ev.h"
#include "jlog.h"
#include "mesh.h"
#include "mesh_topic.h"
#include "met.h"
#include <errno.h>
#include <string.h>

/* Until the answer of a live keeper: several round trips between data centres. */
#define ANSWER_US 150000
#define LATE_US 30000     /* a check that ran this late: answers may have arrived, unread */
#define SILENT_US 1000000 /* a keeper that did not answer is not asked for so long */
#define STATEMENT_US (4 * ADM_STATE_US) /* three statements of a keeper may be lost */
#define CHECK_US 10000
#define KEEPERS_MAX 2   /* asked for one request before the instance decides */
#define STARTED_US 3000 /* loads are told within less */
#define KEEPERS_TOLD 4  /* keepers of one service whose statements are known */

enum ask_state { ASK_OPEN, ASK_WAITING, ASK_GRANTED };

struct ask {
	uint64_t request; /* the key */
	struct adm_question q;
	enum ask_state state;
	char keeper[INET_ADDRSTRLEN];
	int64_t arrived_us, latest_us;
	int64_t asked_us, started_us; /* started_us: sent as granted; 0: not */
	int silent;                   /* keepers asked in vain since the last answer */
};

/* The last statement of one keeper of a service. */
struct statement {
	char ip[INET_ADDRSTRLEN];
	int contended;
	int64_t told_us;
};

/* What is known of a service. For a moment it may have several keepers. */
struct scene {
	char service[ENTRY_TEXT_MAX + 1];
	struct statement told[KEEPERS_TOLD];
	char keeper[INET_ADDRSTRLEN]; /* as drawn in this round of checks; empty: none */
	char asked[INET_ADDRSTRLEN];  /* the last keeper that was asked here */
	uint64_t round;
};

struct silent_keeper {
	char ip[INET_ADDRSTRLEN];
	int64_t until_us;
};

void (*adm_on_verdict)(uint64_t request, const struct adm_verdict *v);

static const struct entry_cfg *cfg;
static GHashTable *asks;   /* request -> struct ask */
static GHashTable *scenes; /* service -> struct scene */
static GArray *silent;     /* of struct silent_keeper */
static GQueue *verdicts;   /* of struct adm_answer, of this instance to itself */
static GQueue *started;    /* of uint64_t: requests sent as granted, the oldest first */
static struct ev_timer check_timer, verdict_timer, started_timer;
static uint64_t last_number; /* begins at random: one from before a restart is not repeated */
static uint64_t round_number;
static int64_t heard_from_us; /* silence before it is not the keeper's */

/* ---- who is the keeper ---- */

static int is_silent(const char *ip)
{
	int64_t now = clock_us();
	uint32_t i;

	for (i = silent->len; i-- > 0;) {
		const struct silent_keeper *s = &g_array_index(silent, struct silent_keeper, i);

		if (s->until_us <= now)
			g_array_remove_index_fast(silent, i);
		else if (!strcmp(s->ip, ip))
			return 1;
	}
	return 0;
}

static void leave_out(const char *ip, const char *event)
{
	struct silent_keeper s = {.until_us = clock_us() + SILENT_US};
	GString *g;

	if (is_silent(ip)) return;
	g = jlog_begin("admission", event);
	jlog_str(g, "keeper", ip);
	jlog_end(g);
	g_strlcpy(s.ip, ip, sizeof s.ip);
	g_array_append_val(silent, s);
}

/* The first in the order of those that may keep the service, except silent ones; NULL: none.
 */
static const char *keeper_of(const char *service)
{
	const char *ip[KEEPERS_MAX + 1];
	int i, n = mesh_draw_active(g_str_hash(service), ip, KEEPERS_MAX + 1);

	for (i = 0; i < n; i++)
		if (!is_silent(ip[i])) return ip[i];
	return NULL;
}

static struct scene *scene_get(const char *service)
{
	struct scene *x = g_hash_table_lookup(scenes, service);

	if (x) return x;
	x = g_new0(struct scene, 1);
	g_strlcpy(x->service, service, sizeof x->service);
	g_hash_table_insert(scenes, x->service, x);
	return x;
}

/* keeper_of, computed once in a round of checks: a thousand requests may wait. */
static const char *keeper_in_round(const char *service)
{
	struct scene *x = scene_get(service);
	const char *ip;

	if (x->round != round_number) {
		ip = keeper_of(service);
		g_strlcpy(x->keeper, ip ? ip : "", sizeof x->keeper);
		x->round = round_number;
	}
	return x->keeper[0] ? x->keeper : NULL;
}

static void note_keeper(const char *service, const char *keeper)
{
	struct scene *x = scene_get(service);
	GString *g;

	if (!strcmp(x->asked, keeper)) return;
	if (x->asked[0]) {
		met_add(MET_ADM_KEEPER_CHANGES, 1);
		g = jlog_begin("admission", "keeper_changed");
		jlog_str(g, "service", service);
		jlog_str(g, "from", x->asked);
		jlog_str(g, "to", keeper);
		jlog_end(g);
	}
	g_strlcpy(x->asked, keeper, sizeof x->asked);
}

/* ---- questions ---- */

static int is_self(const char *ip)
{
	return !strcmp(ip, cfg->ip);
}

static void send_question(struct ask *a, const char *keeper)
{
	int64_t now = clock_us();
	GString *out;

	a->q.number = ++last_number;
	a->q.age_us = now - a->arrived_us;
	a->q.latest_in_us = a->latest_us - now;
	a->state = ASK_OPEN;
	a->asked_us = now;
	g_strlcpy(a->keeper, keeper, sizeof a->keeper);
	note_keeper(a->q.service, keeper);
	met_add(MET_ADM_ASKED, 1);
	if (is_self(keeper)) {
		adm_keeper_ask(&a->q);
		return;
	}
	out = g_string_new(NULL);
	adm_write_question(out, &a->q);
	mesh_send_to(keeper, out);
	g_string_free(out, TRUE);
}

static void send_end_to(const char *keeper, const char *service, uint64_t request,
			uint64_t number)
{
	struct adm_end e = {.request = request, .number = number};
	GString *out;

	g_strlcpy(e.service, service, sizeof e.service);
	g_strlcpy(e.ip, cfg->ip, sizeof e.ip);
	if (is_self(keeper)) {
		adm_keeper_end(&e);
		return;
	}
	out = g_string_new(NULL);
	adm_write_end(out, &e);
	mesh_send_to(keeper, out);
	g_string_free(out, TRUE);
}

static void send_end(const struct ask *a)
{
	send_end_to(a->keeper, a->q.service, a->request, a->q.number);
}

static void set_text(char *out, const char *s)
{
	g_strlcpy(out, s ? s : "", ENTRY_TEXT_MAX + 1);
}

static void fill(struct ask *a, const struct adm_request *q)
{
	int64_t now = clock_us();

	a->q.request = a->request = q->request;
	a->q.caller = q->caller;
	set_text(a->q.service, q->service);
	set_text(a->q.workspace, q->workspace);
	set_text(a->q.route, q->route);
	set_text(a->q.excluded, q->excluded);
	set_text(a->q.ip, cfg->ip);
	a->q.weight = q->weight;
	a->q.rank = q->rank;
	a->q.prompt = q->prompt;
	a->q.growth = q->growth;
	a->q.run_us = q->run_us;
	a->q.horizon_us = q->horizon_us;
	a->arrived_us = now - q->age_us;
	a->latest_us = now + q->latest_in_us;
	a->started_us = 0;
}

int adm_ask(const struct adm_request *q)
{
	const char *keeper = keeper_of(q->service);
	struct ask *a = g_hash_table_lookup(asks, &q->request);

	if (!keeper) return -ENOTCONN;
	if (a) {
		send_end(a);
	} else {
		a = g_new0(struct ask, 1);
		a->request = q->request;
		g_hash_table_insert(asks, &a->request, a);
	}
	fill(a, q);
	send_question(a, keeper);
	if (!check_timer.armed) ev_in(&check_timer, CHECK_US);
	return 0;
}

static void drop(struct ask *a)
{
	g_hash_table_remove(asks, &a->request);
}

void adm_withdraw(uint64_t request)
{
	struct ask *a = g_hash_table_lookup(asks, &request);

	if (!a) return;
	send_end(a);
	drop(a);
}

void adm_started(uint64_t request)
{
	struct ask *a = g_hash_table_lookup(asks, &request);

	if (!a) return;
	/* This instance as the keeper has counted the load already. */
	if (a->state != ASK_GRANTED || is_self(a->keeper)) {
		adm_withdraw(request);
		return;
	}
	a->started_us = clock_us();
	g_queue_push_tail(started, g_memdup2(&request, sizeof request));
	if (!started_timer.armed) ev_in(&started_timer, STARTED_US);
}

static void on_started_timer(struct ev_timer *t)
{
	int64_t now = clock_us();
	uint64_t *request;

	while ((request = g_queue_peek_head(started))) {
		const struct ask *a = g_hash_table_lookup(asks, request);

		if (a && a->started_us && now - a->started_us < STARTED_US) {
			ev_in(t, a->started_us + STARTED_US - now);
			return;
		}
		g_queue_pop_head(started);
		if (a && a->started_us) adm_withdraw(*request);
		g_free(request);
	}
}

/* ---- verdicts ---- */

/* It may withdraw the request, or ask again. */
static void deliver(uint64_t request, const struct adm_verdict *v)
{
	if (adm_on_verdict) adm_on_verdict(request, v);
}

static void decide_locally(struct ask *a)
{
	struct adm_verdict v = {.kind = ADM_NO_KEEPER};
	uint64_t request = a->request;

	drop(a);
	deliver(request, &v);
}

/* keeper: NULL if none is left to ask. */
static void ask_again(struct ask *a, const char *keeper)
{
	if (!keeper || a->silent >= KEEPERS_MAX)
		decide_locally(a);
	else
		send_question(a, keeper);
}

static void fill_verdict(struct adm_verdict *v, const struct adm_answer *n, const char *keeper)
{
	v->kind = n->kind;
	v->why = n->why;
	v->age_us = n->age_us;
	v->keeper = keeper;
	switch (n->kind) {
	case ADM_SEND:
		v->of.send.backend = n->backend;
		v->of.send.waited_us = n->first_us;
		return;
	case ADM_WAIT: v->of.wait.expected_us = n->first_us; return;
	case ADM_REFUSE_UNTIL:
	case ADM_REFUSE:
		v->of.refuse.retry_us = n->first_us;
		v->of.refuse.expected_us = n->second_us;
		return;
	case ADM_NO_KEEPER: return;
	}
}

/* Of an earlier question, or repeated after the request ended. A ticket that the keeper still
 * has must not take room. */
static void on_unknown(const struct adm_answer *n)
{
	if (n->kind == ADM_SEND || n->kind == ADM_WAIT)
		send_end_to(n->ip, n->service, n->request, n->number);
}

/* The keeper knows no engine of the service: it has just started. */
static void on_unable(struct ask *a)
{
	a->silent++;
	leave_out(a->keeper, "keeper_unable");
	ask_again(a, keeper_of(a->q.service));
}

static void on_answer(const char *from, const struct adm_answer *n)
{
	struct ask *a = g_hash_table_lookup(asks, &n->request);
	struct adm_verdict v = {0};

	if (!a || a->q.number != n->number) {
		on_unknown(n);
		return;
	}
	if (a->state == ASK_GRANTED) return; /* repeated */
	if (n->kind == ADM_NO_KEEPER) {
		on_unable(a);
		return;
	}
	a->silent = 0;
	a->state = n->kind == ADM_SEND ? ASK_GRANTED : ASK_WAITING;
	fill_verdict(&v, n, from);
	if (n->kind == ADM_REFUSE || n->kind == ADM_REFUSE_UNTIL) drop(a);
	deliver(n->request, &v);
}

static void on_verdict_timer(struct ev_timer *t)
{
	struct adm_answer *n;

	(void)t;
	while ((n = g_queue_pop_head(verdicts))) {
		on_answer(cfg->instance, n);
		g_free(n);
	}
}

static void answer(const char *ip, const struct adm_answer *n)
{
	GString *out;

	if (is_self(ip)) {
		g_queue_push_tail(verdicts, g_memdup2(n, sizeof *n));
		if (!verdict_timer.armed) ev_in(&verdict_timer, 0);
		return;
	}
	out = g_string_new(NULL);
	adm_write_answer(out, n);
	mesh_send_to(ip, out);
	g_string_free(out, TRUE);
}

/* ---- statements of keepers ---- */

static struct statement *statement_of(struct scene *x, const char *ip)
{
	struct statement *oldest = &x->told[0];
	int i;

	for (i = 0; i < KEEPERS_TOLD; i++) {
		if (!strcmp(x->told[i].ip, ip)) return &x->told[i];
		if (x->told[i].told_us < oldest->told_us) oldest = &x->told[i];
	}
	return oldest;
}

void adm_on_state(const struct adm_state *s)
{
	struct statement *t = statement_of(scene_get(s->service), s->ip);

	g_strlcpy(t->ip, s->ip, sizeof t->ip);
	t->contended = s->contended;
	t->told_us = clock_us();
}

static int is_recent(const struct statement *t)
{
	return t->told_us && clock_us() - t->told_us < STATEMENT_US;
}

int adm_is_contended(const char *service)
{
	const struct scene *x = g_hash_table_lookup(scenes, service);
	int i;

	for (i = 0; x && i < KEEPERS_TOLD; i++)
		if (x->told[i].contended && is_recent(&x->told[i])) return 1;
	return 0;
}

/* ---- silence ---- */

/* A keeper that lets a request wait states again and again that something waits, and decides by
 * the request's latest time. Otherwise the ticket is lost there. */
static int is_unheard(const struct ask *a, int64_t now)
{
	int64_t since_us = MAX(a->asked_us, heard_from_us);
	const struct statement *t;

	if (a->state == ASK_OPEN) return now - since_us >= ANSWER_US;
	if (now - MAX(since_us, a->latest_us) >= ANSWER_US) return 1;
	t = statement_of(scene_get(a->q.service), a->keeper);
	if (!strcmp(t->ip, a->keeper)) since_us = MAX(since_us, t->told_us);
	return now - since_us >= STATEMENT_US;
}

static void check(struct ask *a, int64_t now)
{
	const char *keeper;

	if (a->state == ASK_GRANTED) return;
	keeper = keeper_in_round(a->q.service);
	if (is_unheard(a, now)) {
		met_add(MET_ADM_UNANSWERED, 1);
		a->silent++;
		leave_out(a->keeper, "keeper_silent");
		keeper = keeper_of(a->q.service);
	} else if (keeper && !strcmp(keeper, a->keeper)) {
		return;
	}
	/* The ticket must not stay where it was if the keeper is merely late. */
	send_end(a);
	ask_again(a, keeper);
}

static void on_check_timer(struct ev_timer *t)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	int64_t now = clock_us();
	GHashTableIter it;
	gpointer key;
	uint32_t i;

	if (now - t->at_us >= LATE_US) heard_from_us = now;
	round_number++;
	g_hash_table_iter_init(&it, asks);
	while (g_hash_table_iter_next(&it, &key, NULL)) g_array_append_vals(all, key, 1);
	for (i = 0; i < all->len; i++) {
		struct ask *a = g_hash_table_lookup(asks, &g_array_index(all, uint64_t, i));

		if (a) check(a, now);
	}
	g_array_free(all, TRUE);
	if (g_hash_table_size(asks)) ev_in(t, CHECK_US);
}

void adm_configure(const struct conf *c)
{
	adm_keeper_configure(c);
}

void adm_loads_changed(struct be *b)
{
	adm_keeper_loads_changed(b);
}

void adm_member_gone(const char *ip)
{
	adm_keeper_member_gone(ip);
}

/* The keeper may have taken this instance for dead. */
static void ask_after_suspension(struct ask *a)
{
	const char *keeper = keeper_of(a->q.service);

	if (a->state == ASK_GRANTED || !keeper) return;
	send_end(a);
	send_question(a, keeper);
}

void adm_resumed(void)
{
	GHashTableIter it;
	gpointer a;

	adm_keeper_reset();
	g_hash_table_iter_init(&it, asks);
	while (g_hash_table_iter_next(&it, NULL, &a)) ask_after_suspension(a);
}

void adm_start(const struct entry_cfg *c)
{
	static const struct adm_handlers handlers = {.question = adm_keeper_ask,
						     .answer = on_answer,
						     .end = adm_keeper_end,
						     .state = adm_on_state};

	cfg = c;
	asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	scenes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	silent = g_array_new(FALSE, FALSE, sizeof(struct silent_keeper));
	verdicts = g_queue_new();
	started = g_queue_new();
	last_number = g_random_int();
	check_timer.fire = on_check_timer;
	verdict_timer.fire = on_verdict_timer;
	started_timer.fire = on_started_timer;
	adm_keeper_start(c->ip, answer);
	adm_add_topics(&handlers);
}
