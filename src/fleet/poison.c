/* What this instance knows of requests that end servers, and what it tells others of them. */
#include "poison.h"
#include "clock.h"
#include "ev.h"
#include "mesh.h"
#include "mesh_poison.h"
#include "met.h"
#include "poison_impl.h"
#include <errno.h>

/* Each instance that had a run on a server finds out by itself that it ended, some sooner than
 * others: nobody is blamed before. */
#define JUDGE_US 200000
#define ANSWER_LOOK_US 5000 /* how often it is looked whether others have answered */
/* An instance that starts is told within some ms of its first links, by those that know. */
#define ASK_US 100000
#define ASK_MOST_US 1000000 /* nobody is reached: it serves on its own */
/* Suspects are watched for so long after an end: what ran then has answered, or ended more. */
#define WATCH_US WAY_KEEP_US
/* How often runs of suspects are looked at: what is told of them is that old at most. */
#define LOOK_US 20000

static struct quar *table;
static const struct poison_hooks *hooks;
static struct ev_timer judge_timer, look_timer;
static int known;
static int64_t news_us;                 /* of the last end */
static int64_t asked_us;                /* others what they know of ends; 0: not since */
static int64_t started_us, ignorant_us; /* when the first peer told that it knows nothing */

/* ---- verdicts ---- */

static void count_blocked(const struct quar_suspect *s, void *n)
{
	*(int *)n += quar_is_blocked(s);
}

static void verdict_changed(const struct quar_suspect *s, const char *said_by)
{
	struct fp fp = s->fp;
	int n = 0;

	quar_each(table, count_blocked, &n);
	met_set(MET_G_QUARANTINED, n);
	poison_log_verdict(table, s, said_by);
	if (!quar_is_blocked(s)) return;
	met_add(MET_QUARANTINED, 1);
	hooks->blocked(&fp);
}

static void on_blamed(const struct quar_suspect *s, void *arg)
{
	(void)arg;
	mesh_tell_verdict(s);
	verdict_changed(s, "its ends");
}

static void judge(int64_t now)
{
	int64_t settled_us = asked_us - JUDGE_US;

	quar_judge(table, be_all()->len, settled_us, now, on_blamed, NULL);
	if (news_us > settled_us)
		ev_in(&judge_timer, MAX(JUDGE_US - (now - news_us), ANSWER_LOOK_US));
	asked_us = 0;
}

/* That another one ended these servers, or that this one came through, may be known to others
 * and under way from them, or not read yet, if this instance stood still. */
static void on_judge(struct ev_timer *t)
{
	int64_t now = clock_us();

	if (!mesh_is_awake()) {
		asked_us = 0;
		ev_in(t, JUDGE_US);
		return;
	}
	if (!asked_us) {
		asked_us = now;
		mesh_ask_serving();
	}
	if (mesh_have_answered(asked_us))
		judge(now);
	else
		ev_in(t, ANSWER_LOOK_US);
}

static void judge_soon(void)
{
	news_us = clock_us();
	if (!judge_timer.armed) ev_in(&judge_timer, JUDGE_US);
	if (!look_timer.armed) ev_in(&look_timer, LOOK_US);
}

/* ---- what came through ---- */

/* A run came through at that time, as seen here: told on if it changes anything. */
static void take_through(const struct fp *fp, int64_t at_us)
{
	int changed = quar_sound(table, fp, at_us);

	if (!changed) return;
	mesh_tell_through(fp, clock_us() - at_us);
	if (changed < 2) return;
	mesh_tell_verdict(quar_find(table, fp));
	verdict_changed(quar_find(table, fp), "a run that came through");
}

static void take_remembered(const struct fp *fp)
{
	int64_t at_us = through_last_us(fp);

	if (at_us) take_through(fp, at_us);
}

void poison_came_through(const struct fp *fp)
{
	int64_t now = clock_us();

	through_note(fp, now);
	if (!quar_empty(table)) take_through(fp, now);
}

void poison_hear_through(const struct fp *fp, int64_t ago_us)
{
	if (quar_sound(table, fp, clock_us() - ago_us) < 2) return;
	verdict_changed(quar_find(table, fp), "a run that came through elsewhere");
}

/* ---- ends ---- */

static void take_end(const char *server, int64_t life, const char *seen_by, int64_t at_us,
		     const struct poison_run *run, int n)
{
	uint32_t before = table->nends, end = quar_ended(table, server, life, seen_by, at_us);
	int i, news = table->nends != before, more = 0;

	if (news) poison_log_end(server, seen_by, n);
	for (i = 0; i < n; i++) more += quar_ran(table, &run[i].fp, end, run[i].ran_us);
	if (more && !news) poison_log_end_told(server, seen_by, more, at_us);
	news |= more;
	for (i = 0; i < n; i++) take_remembered(&run[i].fp);
	if (news) judge_soon();
}

void poison_ended(const struct be *b, const struct poison_run *run, int n, int64_t at_us)
{
	int64_t now = clock_us();
	struct poison_told_end e = {.life = b->born_ms, .ago_us = now - at_us, .n = n};

	met_add(MET_BACKENDS_CRASHED, 1);
	g_strlcpy(e.server, b->id, sizeof e.server);
	mesh_tell_end(&e, run);
	recent_note(b, run, n, at_us, now);
	take_end(b->id, b->born_ms, mesh_self_name(), at_us, run, n);
}

void poison_hear_end(const char *from, const struct poison_told_end *e,
		     const struct poison_run *run)
{
	take_end(e->server, e->life, from, clock_us() - e->ago_us, run, e->n);
}

struct look {
	int64_t now;
	int watched;
	GArray *through; /* of struct fp: the table does not change while it is gone through */
};

/* One under which servers ended lately, or that is on trial. */
static int is_watched(const struct quar_suspect *s, int64_t now)
{
	int64_t last_us = s->nruns ? s->run[s->nruns - 1].at_us : 0;

	if (quar_is_blocked(s)) return now >= quar_until_us(s);
	return now - last_us < WATCH_US && quar_count(table, s);
}

static void look_at(const struct quar_suspect *s, void *arg)
{
	struct look *l = arg;
	int came_through = 0;
	uint32_t n;

	if (!is_watched(s, l->now)) {
		way_tell(&s->fp, 0);
		return;
	}
	l->watched = 1;
	n = hooks->look(&s->fp, &came_through);
	if (came_through) g_array_append_val(l->through, s->fp);
	way_tell(&s->fp, n);
}

/* Suspects are looked at until they are cleared or blamed, or their ends are old. */
static void on_look(struct ev_timer *t)
{
	struct look l = {.now = clock_us()};
	uint32_t i;

	l.through = g_array_new(FALSE, FALSE, sizeof(struct fp));
	quar_each(table, look_at, &l);
	for (i = 0; i < l.through->len; i++)
		take_through(&g_array_index(l.through, struct fp, i), l.now);
	g_array_free(l.through, TRUE);
	if (l.watched) ev_in(t, LOOK_US);
}

/* ---- tries ---- */

int poison_any(void)
{
	return !quar_empty(table);
}

enum quar_answer poison_ask(const struct fp *fp, uint32_t here)
{
	int64_t now = clock_us();
	enum quar_answer a = quar_ask(table, fp, here + way_count(fp, now), now);

	if (a == QUAR_TRIAL && !look_timer.armed) ev_in(&look_timer, 0);
	return a;
}

/* ---- others' verdicts ---- */

void poison_hear_verdict(const char *from, const struct fp *fp, uint32_t round,
			 uint32_t cleared, int64_t ago_us)
{
	const struct quar_suspect *s;

	if (!quar_hear(table, fp, round, cleared, clock_us() - ago_us)) return;
	s = quar_find(table, fp);
	if (mesh_self_hub()) mesh_tell_verdict(s);
	verdict_changed(s, from);
	take_remembered(fp);
}

uint64_t poison_digest(void)
{
	return table ? quar_digest(table) : 0;
}

struct each {
	void (*f)(const struct quar_suspect *s, void *arg);
	void *arg;
};

static void each_verdict(const struct quar_suspect *s, void *arg)
{
	const struct each *e = arg;

	if (s->round) e->f(s, e->arg);
}

void poison_each_verdict(void (*f)(const struct quar_suspect *s, void *arg), void *arg)
{
	struct each e = {f, arg};

	quar_each(table, each_verdict, &e);
}

void poison_hear_under_way(const char *from, const struct fp *fp, uint32_t n)
{
	way_hear(from, fp, n);
}

/* ---- told again ---- */

struct write {
	GString *out;
	int64_t now;
};

/* Of all that ends are told of, or what came through since would be blamed for them. */
static void write_through(const struct quar_suspect *s, void *arg)
{
	const struct write *w = arg;
	int64_t ago_us = w->now - s->sound_us;

	if (s->sound_us && ago_us <= RECENT_US) mesh_write_through(w->out, &s->fp, ago_us);
}

void poison_write_told(GString *out)
{
	struct write w = {out, clock_us()};

	if (!table) return;
	recent_write(out, w.now);
	quar_each(table, write_through, &w);
	way_write(out);
}

/* ---- a start ---- */

void poison_heard_all(int knows)
{
	if (knows) known = 1;
	if (!ignorant_us) ignorant_us = clock_us();
}

int poison_known(void)
{
	int64_t now = clock_us();

	if (known) return 1;
	if (ignorant_us && now - ignorant_us >= ASK_US) known = 1;
	if (mesh_known() == 1 && now - started_us >= ASK_US) known = 1;
	if (now - started_us >= ASK_MOST_US) known = 1;
	return known;
}

void poison_start(int first_start, const struct poison_hooks *h)
{
	hooks = h;
	table = quar_new();
	judge_timer.fire = on_judge;
	look_timer.fire = on_look;
	started_us = clock_us();
	known = first_start;
}

void poison_write(GString *out)
{
	poison_write_blocked(out, table);
}

int poison_clear(const char *fingerprint)
{
	struct fp fp;
	int rc = fp_parse(fingerprint, &fp);

	if (!rc) rc = quar_clear(table, &fp, clock_us());
	if (rc) return rc;
	mesh_tell_verdict(quar_find(table, &fp));
	verdict_changed(quar_find(table, &fp), "an operator");
	return 0;
}
