/* Three entries that reach each other through one relay in front of each. */
#ifndef RELAYED_H
#define RELAYED_H
#include "pw.h"
#include "soak_proxy.h"

#define RELAYED 3
#define RELAYED_CONNECT_MS 900 /* links are up, and heartbeats have been exchanged */

struct relayed {
	struct pw_entry *e[RELAYED];
	struct proxy *relay[RELAYED]; /* in front of each entry */
};

/* Starts them, after pw_init, and waits until they are ready and connected to each other. */
void relayed_begin(struct relayed *f);
/* Ends the test. */
void relayed_end(struct relayed *f);
/* Whether each counts all others as live. */
int relayed_all_connected(struct relayed *f);
#endif
