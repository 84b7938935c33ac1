/* Log output through GLib: one short sentence per line, prefixed with the module's name. */
#ifndef SH_LOG_H
#define SH_LOG_H
#include <glib.h>

/* level: "error", "warning", "info" or "debug"; format: "text" or "json". Returns 0 or
 * -EINVAL. */
int log_init(const char *level, const char *format);

/* part: the module's name; group, request and engine are optional fields and may be NULL. */
void log_write(GLogLevelFlags level, const char *part, const char *group, const char *request,
	       const char *engine, const char *fmt, ...) __attribute__((format(printf, 6, 7)));

#define log_warn(part, ...) log_write(G_LOG_LEVEL_WARNING, part, NULL, NULL, NULL, __VA_ARGS__)
#define log_info(part, ...) log_write(G_LOG_LEVEL_INFO, part, NULL, NULL, NULL, __VA_ARGS__)
#define log_debug(part, ...) log_write(G_LOG_LEVEL_DEBUG, part, NULL, NULL, NULL, __VA_ARGS__)
#endif
