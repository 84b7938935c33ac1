/* The metrics address: metrics, the list of quarantined requests, and who waits and why. */
#include "adm.h"
#include "cache.h"
#include "clock.h"
#include "entry_metrics.h"
#include "jlog.h"
#include "met.h"
#include "quarantine.h"
#include "rq.h"
#include <errno.h>
#include <string.h>

#define QUARANTINE_PATH "/blocked"
#define WAITING_PATH "/waiting"

static void answer_metrics(struct hs *h)
{
	GString *out = g_string_new(NULL);
	int64_t confirmed = cache_confirmed_us();

	met_write(out);
	adm_write_metrics(out);
	g_string_append_printf(out,
			       "# TYPE saddlehead_log_lines_dropped_total counter\n"
			       "saddlehead_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
			       (guint64)jlog_dropped());
	if (confirmed != CACHE_NEVER)
		g_string_append_printf(out,
				       "# TYPE saddlehead_configuration_age_seconds gauge\n"
				       "saddlehead_configuration_age_seconds %.3f\n",
				       (double)(clock_us() - confirmed) / 1e6);
	hs_answer(h, 200, "Content-Type: text/plain; version=0.0.4\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void answer_quarantined(struct hs *h)
{
	GString *out = g_string_new(NULL);

	quarantine_write(out);
	hs_answer(h, 200, "Content-Type: application/json\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void answer_waiting(struct hs *h)
{
	GString *out = g_string_new("{\"requests\":");
	int n = rq_write_waiting(out);

	g_string_append_printf(out, ",\"waiting\":%d,\"kept\":", n);
	adm_write_kept(out);
	g_string_append(out, "}\n");
	hs_answer(h, 200, "Content-Type: application/json\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void lift_quarantine(struct hs *h, const char *fingerprint)
{
	switch (quarantine_clear(fingerprint)) {
	case 0: hs_answer(h, 204, NULL, "", 0); return;
	case -EINVAL: hs_answer(h, 400, NULL, "no fingerprint\n", 15); return;
	default: hs_answer(h, 404, NULL, "not blocked\n", 12); return;
	}
}

void metrics_on_request(struct hs *h)
{
	const char *target = hp_target(&h->hp.head);
	int deletes = h->hp.head.method == HTTP_DELETE;

	if (deletes && g_str_has_prefix(target, QUARANTINE_PATH "/"))
		lift_quarantine(h, target + strlen(QUARANTINE_PATH "/"));
	else if (!strcmp(target, QUARANTINE_PATH))
		answer_quarantined(h);
	else if (!strcmp(target, WAITING_PATH))
		answer_waiting(h);
	else
		answer_metrics(h);
}
