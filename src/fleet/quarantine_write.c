/* Log lines of crashes and verdicts, and the list of quarantined requests for operators. */
#include "clock.h"
#include "jlog.h"
#include "quarantine_impl.h"

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

void quarantine_log_verdict(const struct quar *q, const struct quar_suspect *s,
			    const char *reported_by)
{
	GString *g = jlog_begin("fleet", quar_is_quarantined(s) ? "request_blocked"
								: "request_unblocked");
	char print[FP_HEX];

	fp_format(&s->fp, print);
	jlog_str(g, "fingerprint", print);
	jlog_str(g, "said_by", reported_by);
	jlog_int(g, "round", s->round);
	add_crashes(g, q, s);
	jlog_end(g);
}

void quarantine_log_crash(const char *server, const char *seen_by, int runs)
{
	GString *g = jlog_begin("fleet", "backend_ended");

	jlog_str(g, "backend", server);
	jlog_str(g, "seen_by", seen_by);
	jlog_int(g, "runs", runs);
	jlog_end(g);
}

void quarantine_log_crash_report(const char *server, const char *reported_by, int runs,
				 int64_t at_us)
{
	GString *g = jlog_begin("fleet", "backend_end_told");

	jlog_str(g, "backend", server);
	jlog_str(g, "said_by", reported_by);
	jlog_int(g, "runs", runs);
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
	char print[FP_HEX];
	int i;

	if (!quar_is_quarantined(s)) return;
	fp_format(&s->fp, print);
	g_string_append_printf(out,
			       "%s{\"fingerprint\":\"%s\",\"round\":%u,\"blocked_s\":%.1f,"
			       "\"trial_in_s\":%.1f,\"backends\":[",
			       out->str[out->len - 1] == '[' ? "" : ",\n", print, s->round,
			       (double)(now - s->quarantined_us) / 1e6,
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
