/* Private to src/fleet/be*.c: incarnations that have ended or are not listed yet.
 * incarnation_ms 0 is unknown and not recorded. */
#ifndef SH_BE_INCARNATION_H
#define SH_BE_INCARNATION_H
#include <glib.h>
#include <stdint.h>

/* That incarnation and all before it have ended: late messages about them are ignored. */
void be_incarnation_end(const char *id, int64_t incarnation_ms);
int be_incarnation_ended(const char *id, int64_t incarnation_ms);
/* Another instance reported that it leaves; its entry has not arrived yet. */
void be_incarnation_set_leaving(const char *id, int64_t incarnation_ms);
int be_incarnation_is_leaving(const char *id, int64_t incarnation_ms);
#endif
