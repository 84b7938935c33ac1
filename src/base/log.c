#include "log.h"
#include "jsonw.h"
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static GLogLevelFlags max_level = G_LOG_LEVEL_INFO;
static int as_json;

static const char *level_name(GLogLevelFlags l)
{
	if (l & G_LOG_LEVEL_ERROR) return "error";
	if (l & G_LOG_LEVEL_CRITICAL) return "critical";
	if (l & G_LOG_LEVEL_WARNING) return "warning";
	if (l & G_LOG_LEVEL_MESSAGE) return "message";
	return l & G_LOG_LEVEL_INFO ? "info" : "debug";
}

static const char *field_value(const GLogField *f, gsize n, const char *key)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (!strcmp(f[i].key, key)) return f[i].value;
	return NULL;
}

static void add_field(GString *s, const char *name, const char *v)
{
	if (!v) return;
	if (!as_json) {
		g_string_append_printf(s, " %s=%s", name, v);
		return;
	}
	g_string_append_printf(s, ",\"%s\":", name);
	jsonw_str(s, v);
}

static GLogWriterOutput write_entry(GLogLevelFlags l, const GLogField *f, gsize n,
				    gpointer user)
{
	const char *part = field_value(f, n, "SH_PART"), *msg = field_value(f, n, "MESSAGE");
	GDateTime *now;
	GString *s;
	char *at;

	(void)user;
	if ((l & G_LOG_LEVEL_MASK) > max_level) return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	s = g_string_new(NULL);
	if (as_json) {
		g_string_append_printf(
			s, "{\"at\":\"%s\",\"level\":\"%s\",\"part\":\"%s\",\"text\":", at,
			level_name(l), part ? part : "glib");
		jsonw_str(s, msg ? msg : "");
	} else {
		g_string_append_printf(s, "%s %s %s: %s", at, level_name(l),
				       part ? part : "glib", msg ? msg : "");
	}
	add_field(s, "group", field_value(f, n, "SH_GROUP"));
	add_field(s, "request", field_value(f, n, "SH_REQUEST"));
	add_field(s, "engine", field_value(f, n, "SH_ENGINE"));
	g_string_append(s, as_json ? "}\n" : "\n");
	fwrite(s->str, 1, s->len, stderr);
	g_string_free(s, TRUE);
	g_free(at);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

int log_init(const char *level, const char *format)
{
	if (!strcmp(level, "error"))
		max_level = G_LOG_LEVEL_ERROR;
	else if (!strcmp(level, "warning"))
		max_level = G_LOG_LEVEL_WARNING;
	else if (!strcmp(level, "info"))
		max_level = G_LOG_LEVEL_INFO;
	else if (!strcmp(level, "debug"))
		max_level = G_LOG_LEVEL_DEBUG;
	else
		return -EINVAL;
	if (strcmp(format, "text") && strcmp(format, "json")) return -EINVAL;
	as_json = !strcmp(format, "json");
	g_log_set_writer_func(write_entry, NULL, NULL);
	return 0;
}

void log_write(GLogLevelFlags level, const char *part, const char *group, const char *request,
	       const char *engine, const char *fmt, ...)
{
	GLogField f[5];
	char text[512];
	gsize n = 0;
	va_list ap;

	if (level > max_level) return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof text, fmt, ap);
	va_end(ap);
	f[n++] = (GLogField){"MESSAGE", text, -1};
	f[n++] = (GLogField){"SH_PART", part, -1};
	if (group) f[n++] = (GLogField){"SH_GROUP", group, -1};
	if (request) f[n++] = (GLogField){"SH_REQUEST", request, -1};
	if (engine) f[n++] = (GLogField){"SH_ENGINE", engine, -1};
	g_log_structured_array(level, f, n);
}
