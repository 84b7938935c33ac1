/* Streams that an engine loses, and what becomes of them at the caller. */
#ifndef CONTINUE_H
#define CONTINUE_H
#include "pw.h"

#define CONTINUE_EVENTS 30       /* of a whole stream */
#define CONTINUE_BROKEN_AFTER 10 /* events, by an engine that loses its streams */

struct pw_server *continue_add_engine(void);
/* It loses its streams in this mode, and answers resumptions with this status (0: it continues
 * them). */
struct pw_server *continue_add_failing(enum pw_mode mode, int resume_status);
/* The caller can tell that its stream is broken, and has whole events of it alone, so many at
 * most. */
void continue_check_broken_off(struct pw_call *c, int events);
/* For pw_until: the call has begun at a server, and at a second one. */
int continue_has_run(void *call);
int continue_has_second_run(void *call);
#endif
