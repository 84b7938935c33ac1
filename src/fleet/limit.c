/* Limits that backend servers name. */
#include "limit.h"
#include "clock.h"
#include "jlog.h"

static void log_limit(const struct be *b, const char *said_by)
{
	GString *g = jlog_begin("fleet", "backend_limit");
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "per_s",
		 b->limit.per_s < 0
			 ? "any"
			 : g_ascii_formatd(text, sizeof text, "%.3f", b->limit.per_s));
	jlog_str(g, "said_by", said_by);
	jlog_end(g);
}

void limit_said(struct be *b, double per_s, int64_t sent_us)
{
	struct limit_word w = {per_s < 0 ? LIMIT_NONE : per_s, sent_us, clock_us()};

	if (limit_take(&b->limit, &w)) log_limit(b, "itself");
}
