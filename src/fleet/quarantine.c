/* Collects evidence against requests that crash servers, judges them, and exchanges evidence
 * and verdicts with the other instances. */
#include "quarantine.h"
#include "clock.h"
#include "ev.h"
#include "mesh.h"
#include "mesh_quarantine.h"
#include "met.h"
#include "quarantine_impl.h"
#include <errno.h>

/* Delay from a crash to the verdict: each instance that had a run on the server detects the
 * crash by itself, some sooner than others. */
#define JUDGE_US 200000
#define ANSWER_POLL_US 5000 /* how often to check whether all others have answered a query */
/* Peers send their verdicts to a starting instance within some ms of its first links. */
#define SYNC_US 100000
#define SYNC_MAX_US 1000000 /* no peer is reached by then: it serves without their verdicts */

static struct quar *table;
static const struct quarantine_hooks *hooks;
static struct ev_timer judge_timer;
static int ready;
static int64_t evidence_us; /* when the last evidence of a crash came */
static int64_t query_us;    /* when the others were asked for theirs; 0: no query is open */
static int64_t started_us;
static int64_t cut_off_us; /* when no other instance was heard last; 0: always one was */
static int64_t synced_us;  /* when a peer first sent all its verdicts; 0: none yet */

/* ---- verdicts ---- */

static int is_cut_off(int64_t now)
{
	int cut_off = mesh_is_cut_off();

	if (cut_off) cut_off_us = now;
	return cut_off;
}

/* Decided by what this instance saw alone, and the others may not have had time to end it. */
static int is_provisional(const struct quar_suspect *s, int64_t now)
{
	if (!s->cut_off || !quar_is_quarantined(s)) return 0;
	return is_cut_off(now) || now - cut_off_us < SYNC_MAX_US;
}

static void count_blocked(const struct quar_suspect *s, void *n)
{
	*(int *)n += quar_is_quarantined(s);
}

static void verdict_changed(const struct quar_suspect *s, const char *reported_by)
{
	struct fp fp = s->fp;
	int n = 0;

	quar_each(table, count_blocked, &n);
	met_set(MET_G_QUARANTINED, n);
	quarantine_log_verdict(table, s, reported_by);
	if (!quar_is_quarantined(s)) return;
	met_add(MET_QUARANTINED, 1);
	if (!is_provisional(s, clock_us())) hooks->quarantined(&fp);
}

static void on_quarantined(const struct quar_suspect *s, void *arg)
{
	(void)arg;
	mesh_send_verdict(s);
	verdict_changed(s, "its ends");
}

static void judge(int64_t now)
{
	int64_t settled_us = query_us - JUDGE_US;

	quar_set_cut_off(table, is_cut_off(now));
	quar_judge(table, be_all()->len, settled_us, now, on_quarantined, NULL);
	if (evidence_us > settled_us)
		ev_in(&judge_timer, MAX(JUDGE_US - (now - evidence_us), ANSWER_POLL_US));
	query_us = 0;
}

/* Judges only after every serving instance has answered a query. Evidence that another request
 * crashed these servers, or that this one succeeded elsewhere, may still be in flight, or
 * unread after a suspension of this process. */
static void on_judge(struct ev_timer *t)
{
	int64_t now = clock_us();

	if (!mesh_is_current()) {
		query_us = 0;
		ev_in(t, JUDGE_US);
		return;
	}
	if (!query_us) {
		query_us = now;
		mesh_request_heartbeats();
	}
	if (mesh_all_acked(query_us))
		judge(now);
	else
		ev_in(t, ANSWER_POLL_US);
}

static void schedule_judgement(void)
{
	quarantine_ready(); /* before a judgement, if it is due */
	evidence_us = clock_us();
	if (!judge_timer.armed) ev_in(&judge_timer, JUDGE_US);
	scan_soon();
}

/* ---- successful runs ---- */

/* Records that a run of this instance succeeded at that time; sends it to the others if it
 * changes anything. */
static void record_success(const struct fp *fp, int64_t at_us)
{
	int changed = quar_add_success(table, fp, at_us);

	if (!changed) return;
	mesh_send_success(fp, clock_us() - at_us);
	if (changed < 2) return;
	mesh_send_verdict(quar_find(table, fp));
	verdict_changed(quar_find(table, fp), "a run that came through");
}

static void record_remembered_success(const struct fp *fp)
{
	int64_t at_us = success_last_us(fp);

	if (at_us) record_success(fp, at_us);
}

void quarantine_note_success(const struct fp *fp, int64_t at_us)
{
	success_note(fp, at_us);
	if (!quar_empty(table)) record_success(fp, at_us);
}

void quarantine_recv_success(const struct fp *fp, int64_t ago_us)
{
	if (quar_add_success(table, fp, clock_us() - ago_us) < 2) return;
	verdict_changed(quar_find(table, fp), "a run that came through elsewhere");
}

/* ---- crashes ---- */

static int add_run(uint32_t crash, const struct quarantine_run *r)
{
	if (fp_is_segment(&r->fp))
		return quar_add_segment_run(table, &r->fp, crash, r->ran_us, &r->request);
	return quar_add_run(table, &r->fp, crash, r->ran_us);
}

static void record_crash(const char *server, int64_t incarnation_ms, const char *seen_by,
			 int64_t at_us, const struct quarantine_run *run, int n)
{
	uint32_t ncrashes = table->ncrashes,
		 crash = quar_add_crash(table, server, incarnation_ms, seen_by, at_us);
	int i, changed = table->ncrashes != ncrashes, more = 0;

	if (changed) quarantine_log_crash(server, seen_by, run, n);
	for (i = 0; i < n; i++) more += add_run(crash, &run[i]);
	if (more && !changed) quarantine_log_crash_report(server, seen_by, run, n, at_us);
	changed |= more;
	for (i = 0; i < n; i++) record_remembered_success(&run[i].fp);
	if (changed) schedule_judgement();
}

/* Removes segments that came through here so lately that the crash does not count against them:
 * most prompts share some. Returns the number of runs left. */
static int drop_excused(struct quarantine_run *run, int n, int64_t at_us)
{
	int i, left = 0;

	for (i = 0; i < n; i++) {
		const struct fp *fp = &run[i].fp;

		if (fp_is_segment(fp) && success_last_us(fp) &&
		    at_us <= success_last_us(fp) + QUAR_SUCCESS_US)
			continue;
		run[left++] = run[i];
	}
	return left;
}

static void note_crash(const char *server, int64_t incarnation_ms, struct quarantine_run *run,
		       int n, int64_t at_us)
{
	struct quarantine_crash e = {.incarnation_ms = incarnation_ms,
				     .ago_us = clock_us() - at_us};

	met_add(MET_BACKENDS_CRASHED, 1);
	e.n = drop_excused(run, n, at_us);
	g_strlcpy(e.server, server, sizeof e.server);
	mesh_send_crash(&e, run);
	recent_note(server, incarnation_ms, run, e.n, at_us);
	record_crash(server, incarnation_ms, mesh_self_name(), at_us, run, e.n);
}

void quarantine_note_crash(const struct be *b, struct quarantine_run *run, int n, int64_t at_us)
{
	note_crash(b->id, b->incarnation_ms, run, n, at_us);
}

/* Reports the runs that broke off here when a server crashed, as others have found. */
static void note_confirmed(const char *server, int64_t incarnation_ms, int64_t at_us)
{
	GArray *run;

	while ((run = broken_take(server, incarnation_ms, at_us))) {
		note_crash(server, incarnation_ms, (struct quarantine_run *)(void *)run->data,
			   (int)run->len, at_us);
		g_array_unref(run);
	}
}

void quarantine_note_broken(const struct be *b, struct quarantine_run *run, int n,
			    int64_t at_us)
{
	int64_t crash_us = quar_crash_time(table, b->id, b->incarnation_ms);

	broken_note(b, run, n, at_us);
	if (crash_us) note_confirmed(b->id, b->incarnation_ms, crash_us);
}

void quarantine_recv_crash(const char *from, const struct quarantine_crash *e,
			   const struct quarantine_run *run)
{
	int64_t at_us = clock_us() - e->ago_us;

	record_crash(e->server, e->incarnation_ms, from, at_us, run, e->n);
	note_confirmed(e->server, e->incarnation_ms, at_us);
}

/* ---- admission of runs ---- */

int quarantine_has_suspects(void)
{
	return !quar_empty(table);
}

enum quar_action quarantine_check(const struct fp *fp, uint32_t here)
{
	int64_t now = clock_us();
	enum quar_action a = quar_check(table, fp, here + inflight_count(fp, now), now);

	if (a == QUAR_TRIAL) scan_soon();
	/* The others may know better: its caller may come back, or ask one of them. */
	if (a == QUAR_REFUSE && is_provisional(quar_find(table, fp), now)) return QUAR_WAIT;
	return a;
}

int quarantine_is_due(const struct fp *fp)
{
	int64_t now = clock_us();

	return quar_check(table, fp, inflight_count(fp, now), now) == QUAR_TRIAL;
}

/* ---- verdicts of other instances ---- */

/* Ends the quarantine if a run is known to have come through; 1 if it did. */
static int refute(const struct quar_suspect *s)
{
	if (!quar_is_quarantined(s)) return 0;
	if (scan_finds_success(&s->fp))
		record_success(&s->fp, clock_us());
	else
		record_remembered_success(&s->fp);
	if (!quar_is_quarantined(s)) return 1;
	if (!quar_refute(table, &s->fp)) return 0;
	mesh_send_verdict(s);
	verdict_changed(s, "a run that came through");
	return 1;
}

void quarantine_recv_verdict(const char *from, const struct fp *fp, uint32_t round,
			     uint32_t cleared, int64_t ago_us)
{
	const struct quar_suspect *s;

	if (!quar_merge(table, fp, round, cleared, clock_us() - ago_us)) return;
	s = quar_find(table, fp);
	if (mesh_self_hub()) mesh_send_verdict(s);
	if (!refute(s)) verdict_changed(s, from);
}

uint64_t quarantine_digest(void)
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

void quarantine_each_verdict(void (*f)(const struct quar_suspect *s, void *arg), void *arg)
{
	struct each e = {f, arg};

	quar_each(table, each_verdict, &e);
}

void quarantine_recv_in_flight(const char *from, const struct fp *fp, uint32_t n)
{
	inflight_recv(from, fp, n);
}

/* ---- repeated reports ---- */

struct write {
	GString *out;
	int64_t now;
};

/* Successes are repeated with the crashes: a peer that received the crashes alone would
 * quarantine requests that have succeeded since. */
static void write_success(const struct quar_suspect *s, void *arg)
{
	const struct write *w = arg;
	int64_t ago_us = w->now - s->success_us;

	if (s->success_us && ago_us <= RECENT_CRASH_US)
		mesh_write_success(w->out, &s->fp, ago_us);
}

void quarantine_write_reports(GString *out)
{
	struct write w = {out, clock_us()};

	if (!table) return;
	recent_write(out, w.now);
	quar_each(table, write_success, &w);
	inflight_write(out);
}

/* ---- start ---- */

/* Reports about earlier crashes may have been sent by instances that are gone. */
static void set_ready(int64_t now)
{
	if (ready) return;
	ready = 1;
	quar_judge_since(table, now);
}

void quarantine_recv_done(int complete)
{
	int64_t now = clock_us();

	if (complete) set_ready(now);
	if (!synced_us) synced_us = now;
}

int quarantine_ready(void)
{
	int64_t now = clock_us();

	if (ready) return 1;
	if (synced_us && now - synced_us >= SYNC_US) set_ready(now);
	if (mesh_is_alone() && now - started_us >= SYNC_US) set_ready(now);
	if (now - started_us >= SYNC_MAX_US) set_ready(now);
	return ready;
}

void quarantine_start(const struct entry_cfg *c, const struct quarantine_hooks *h)
{
	hooks = h;
	table = quar_new();
	judge_timer.fire = on_judge;
	scan_start(table, h, record_success);
	started_us = clock_us();
	ready = c->first_start; /* of the whole fleet: no instance holds verdicts */
	quarantine_trial_start(c, h->trial);
}

void quarantine_write(GString *out)
{
	quarantine_write_list(out, table);
}

int quarantine_clear(const char *fingerprint)
{
	struct fp fp;
	int rc = fp_parse(fingerprint, &fp);

	if (!rc) rc = quar_clear(table, &fp, clock_us());
	if (rc) return rc;
	mesh_send_verdict(quar_find(table, &fp));
	verdict_changed(quar_find(table, &fp), "an operator");
	return 0;
}
