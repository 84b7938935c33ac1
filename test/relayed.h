/* Three entries whose links to each other go through a relay each. */
#ifndef RELAYED_H
#define RELAYED_H
#include "pw.h"
#include "soak_proxy.h"

#define RELAYED 3
#define RELAYED_HEAR_MS 900 /* links are up, and heartbeats have crossed */

struct relayed {
	struct pw_entry *e[RELAYED];
	struct proxy *way[RELAYED]; /* of the others to it */
};

/* Starts them, after pw_init, and waits until they are ready and hear each other. */
void relayed_begin(struct relayed *f);
/* Ends the test. */
void relayed_end(struct relayed *f);
/* Whether each hears all others. */
int relayed_hear_all(struct relayed *f);
#endif
