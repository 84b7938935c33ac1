/* Structured logs: a JSON object a line on standard output, written by a thread of its own.
 * Nothing waits for it: when its ring is full, or a second's lines are used up, lines are
 * dropped and the next one tells how many. */
#ifndef SH_JLOG_H
#define SH_JLOG_H
#include <glib.h>
#include <stdint.h>

/* Starts the thread. name: the instance, on each line. 0 or a negative errno. */
int jlog_start(const char *name);
/* Writes out what waits, for at most half a second. */
void jlog_stop(void);

/* Begins a line. part: the module; event: what happened. Never NULL. */
GString *jlog_begin(const char *part, const char *event);
/* value may be NULL: the field is left out. */
void jlog_str(GString *line, const char *key, const char *value);
void jlog_int(GString *line, const char *key, int64_t value);
/* Takes the line over. */
void jlog_end(GString *line);
uint64_t jlog_dropped(void);
#endif
