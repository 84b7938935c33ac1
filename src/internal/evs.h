/* Server-sent events as bytes: passed on whole, known by their ids, otherwise untouched. */
#ifndef SH_EVS_H
#define SH_EVS_H
#include <glib.h>
#include <stdint.h>

#define EVS_ID_MAX 63        /* characters: what is longer is taken as no id */
#define EVS_EVENT_MAX 262144 /* bytes: a thousand times an event of today */

struct evs {
	GString *partial; /* an event that is not whole yet */
};

/* Where a stream stands, over all the engines that it came from. */
struct evs_seen {
	char id[EVS_ID_MAX + 1]; /* of the last event passed on; empty: none */
	uint64_t count;
	uint64_t duplicates; /* dropped: the reader has them */
};

void evs_init(struct evs *s);
void evs_free(struct evs *s);
/* Appends the events that are whole now, and were not seen, to out. 0 or -EMSGSIZE. */
int evs_feed(struct evs *s, struct evs_seen *seen, const char *p, size_t n, GString *out);
#endif
