/* Counts this instance's runs of suspects while servers crash under them: those that may still
 * crash one are told to the others, and those that have come through clear the suspect. */
#include "clock.h"
#include "ev.h"
#include "quarantine_impl.h"

/* Suspects are watched for this long after a crash: by then the runs of that time have answered
 * or crashed more servers. */
#define WATCH_US INFLIGHT_KEEP_US
/* Interval of the scans; counts of runs sent to others are at most this old. */
#define SCAN_US 20000

static const struct quar *table;
static const struct quarantine_hooks *hooks;
static void (*succeeded)(const struct fp *fp, int64_t at_us);
static struct ev_timer timer;

/* Whether servers crashed lately while the suspect ran there, or it is due for a trial run. */
static int is_watched(const struct quar_suspect *s, int64_t now)
{
	int64_t last_us = s->nruns ? s->run[s->nruns - 1].at_us : 0;

	if (quar_is_quarantined(s)) return now >= quar_until_us(s);
	return now - last_us < WATCH_US && quar_count(table, s);
}

/* Adds the suspect to those whose runs are counted. */
static void watch_suspect(const struct quar_suspect *s, void *watched)
{
	if (is_watched(s, clock_us()))
		g_hash_table_insert(watched, g_memdup2(&s->fp, sizeof s->fp),
				    g_new0(struct quarantine_count, 1));
	else
		inflight_send(&s->fp, 0);
}

static void report_counts(GHashTable *watched)
{
	GHashTableIter it;
	gpointer fp, value;

	g_hash_table_iter_init(&it, watched);
	while (g_hash_table_iter_next(&it, &fp, &value)) {
		const struct quarantine_count *c = value;

		if (c->succeeded) succeeded(fp, clock_us());
		inflight_send(fp, c->unproven);
	}
}

/* Scans suspects until they are cleared or quarantined, or their crashes are old. */
static void on_scan(struct ev_timer *t)
{
	GHashTable *watched = g_hash_table_new_full(fp_hash, fp_key_equal, g_free, g_free);

	quar_each(table, watch_suspect, watched);
	if (g_hash_table_size(watched)) {
		hooks->count_runs(watched);
		ev_in(t, SCAN_US);
	}
	report_counts(watched);
	g_hash_table_destroy(watched);
}

void scan_soon(void)
{
	if (!timer.armed) ev_in(&timer, SCAN_US);
}

int scan_finds_success(const struct fp *fp)
{
	GHashTable *one = g_hash_table_new(fp_hash, fp_key_equal);
	struct quarantine_count c = {0};

	g_hash_table_insert(one, (gpointer)fp, &c);
	hooks->count_runs(one);
	g_hash_table_destroy(one);
	return c.succeeded;
}

void scan_start(const struct quar *q, const struct quarantine_hooks *h,
		void (*f)(const struct fp *fp, int64_t at_us))
{
	table = q;
	hooks = h;
	succeeded = f;
	timer.fire = on_scan;
}
