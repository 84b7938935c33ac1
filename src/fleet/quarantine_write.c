/* Log lines of crashes and verdicts, and the list of quarantined requests for operators. */
#include "clock.h"
#include "jlog.h"
#include "quarantine_impl.h"

#define LOGGED_SEGMENTS_MAX 32 /* in one line */

static void add_crashes(GString *g, const struct quar *q, const struct quar_suspect *s)
{
	GString *servers = g_string_new(NULL), *seen_by = g_string_new(NULL);
	int i;

	for (i = 0; i < s->nruns; i++) {
		const struct quar_crash *e = quar_crash_of(q, s->run[i].crash);

		if (!e) continue;
		g_string_append_printf(servers, "%s%s", servers->len ? " " : "", e->server);
		g_string_append_printf(seen_by, "%s%s", seen_by->len ? " " : "", e->seen_by);
	}
	jlog_str(g, "backends", servers->str);
	jlog_str(g, "seen_by", seen_by->str);
	g_string_free(servers, TRUE);
	g_string_free(seen_by, TRUE);
}

static void add_suspect(GString *g, const struct fp *fp)
{
	char print[FP_HEX], segment[FP_SEGMENT];

	fp_format(fp, print);
	jlog_str(g, "fingerprint", print);
	if (!fp_is_segment(fp)) return;
	fp_format_segment(fp, segment);
	jlog_str(g, "segment", segment);
}

void quarantine_log_verdict(const struct quar *q, const struct quar_suspect *s,
			    const char *reported_by)
{
	GString *g = jlog_begin("fleet", quar_is_quarantined(s) ? "request_blocked"
								: "request_unblocked");

	add_suspect(g, &s->fp);
	jlog_str(g, "said_by", reported_by);
	jlog_int(g, "round", s->round);
	add_crashes(g, q, s);
	jlog_end(g);
}

/* Adds the number of requests, and the segments of those that had begun lately. */
static void add_runs(GString *g, const struct quarantine_run *run, int n)
{
	GString *segments = g_string_new(NULL);
	char name[FP_SEGMENT];
	int i, nsegments = 0;

	for (i = 0; i < n; i++) {
		if (!fp_is_segment(&run[i].fp) || ++nsegments > LOGGED_SEGMENTS_MAX) continue;
		fp_format_segment(&run[i].fp, name);
		g_string_append_printf(segments, "%s%s", segments->len ? " " : "", name);
	}
	jlog_int(g, "runs", n - nsegments);
	if (nsegments) jlog_str(g, "segments", segments->str);
	g_string_free(segments, TRUE);
}

void quarantine_log_crash(const char *server, const char *seen_by,
			  const struct quarantine_run *run, int n)
{
	GString *g = jlog_begin("fleet", "backend_ended");

	jlog_str(g, "backend", server);
	jlog_str(g, "seen_by", seen_by);
	add_runs(g, run, n);
	jlog_end(g);
}

void quarantine_log_crash_report(const char *server, const char *reported_by,
				 const struct quarantine_run *run, int n, int64_t at_us)
{
	GString *g = jlog_begin("fleet", "backend_end_told");

	jlog_str(g, "backend", server);
	jlog_str(g, "said_by", reported_by);
	add_runs(g, run, n);
	jlog_int(g, "ago_ms", (clock_us() - at_us) / 1000);
	jlog_end(g);
}

struct list { /* the JSON list that is being written */
	GString *out;
	const struct quar *q;
};

static void write_one(const struct quar_suspect *s, void *arg)
{
	const struct list *l = arg;
	GString *out = l->out;
	int64_t now = clock_us();
	char print[FP_HEX], segment[FP_SEGMENT] = "";
	int i, is_segment = fp_is_segment(&s->fp);

	if (!quar_is_quarantined(s)) return;
	fp_format(&s->fp, print);
	if (is_segment) fp_format_segment(&s->fp, segment);
	g_string_append_printf(
		out,
		"%s{\"kind\":\"%s\",%s%s%s\"fingerprint\":\"%s\",\"round\":%u,\"blocked_s\":%."
		"1f,"
		"\"trial_in_s\":%.1f,\"backends\":[",
		out->str[out->len - 1] == '[' ? "" : ",\n", is_segment ? "segment" : "request",
		is_segment ? "\"segment\":\"" : "", segment, is_segment ? "\"," : "", print,
		s->round, (double)(now - s->quarantined_us) / 1e6,
		(double)MAX(quar_until_us(s) - now, 0) / 1e6);
	for (i = 0; i < s->nruns; i++) {
		const struct quar_crash *e = quar_crash_of(l->q, s->run[i].crash);

		if (e) g_string_append_printf(out, "%s\"%s\"", i ? "," : "", e->server);
	}
	g_string_append(out, "]}");
}

void quarantine_write_list(GString *out, const struct quar *q)
{
	struct list l = {out, q};

	g_string_append_c(out, '[');
	quar_each(q, write_one, &l);
	g_string_append(out, "]\n");
}
