/* Structured log: one JSON object per line on standard output, written by a separate thread.
 * Callers never wait for output: when the queue is full or the limit of lines per second is
 * reached, lines are dropped, and the next line reports how many. */
#ifndef SH_JLOG_H
#define SH_JLOG_H
#include <glib.h>
#include <stdint.h>

/* Starts the writer thread. name: the instance name put on each line. Returns 0 or a negative
 * errno. */
int jlog_start(const char *name);
/* Writes out the queued lines, waiting at most half a second for it. */
void jlog_stop(void);

/* Starts a line. part: the module that logs; event: the event's name. Never returns NULL. */
GString *jlog_begin(const char *part, const char *event);
/* Adds a field; with value NULL it is omitted. */
void jlog_str(GString *line, const char *key, const char *value);
void jlog_int(GString *line, const char *key, int64_t value);
/* Queues the line and takes ownership of it. */
void jlog_end(GString *line);
/* Lines dropped since the start. */
uint64_t jlog_dropped(void);
#endif
