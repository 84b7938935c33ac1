/* Private to src/fleet/poison*.c. */
#ifndef SH_POISON_IMPL_H
#define SH_POISON_IMPL_H
#include "poison.h"

/* poison_through.c */
/* A run of it came through now. */
void through_note(const struct fp *fp, int64_t now);
/* When one did last, as far as it is remembered; 0: not lately. */
int64_t through_last_us(const struct fp *fp);

/* poison_recent.c */
/* Ends are told again for as long as they tell how often servers end without the one that is
 * judged. */
#define RECENT_US 30000000
/* b ended while these ran there. */
void recent_note(const struct be *b, const struct poison_run *run, int n, int64_t at_us,
		 int64_t now);
/* Appends a frame for each. */
void recent_write(GString *out, int64_t now);

/* poison_way.c */
/* What others have under way is told with each change; older word is of the dead. */
#define WAY_KEEP_US 5000000
/* So many runs of it have not answered yet at that instance. */
void way_hear(const char *from, const struct fp *fp, uint32_t n);
/* The same at all others together. */
uint32_t way_count(const struct fp *fp, int64_t now);
/* Tells others how many there are here, if that changed. */
void way_tell(const struct fp *fp, uint32_t n);
/* Appends a frame for each that others were told of. */
void way_write(GString *out);

/* poison_write.c */
void poison_log_verdict(const struct quar *q, const struct quar_suspect *s,
			const char *said_by);
void poison_log_end(const char *server, const char *seen_by, int runs);
/* Another instance tells of so many more requests that ran there. */
void poison_log_end_told(const char *server, const char *said_by, int runs, int64_t at_us);
/* Those that are blamed, as a JSON list. */
void poison_write_blocked(GString *out, const struct quar *q);
#endif
