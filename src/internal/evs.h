/* Server-sent events (evs) as bytes: forwarded whole, recognized by their ids, otherwise
 * unchanged. */
#ifndef SH_EVS_H
#define SH_EVS_H
#include <glib.h>
#include <stdint.h>

#define EVS_ID_MAX 63        /* characters: a longer id is treated as none */
#define EVS_EVENT_MAX 262144 /* bytes: a thousand times the usual size of an event */

/* The events of one answer. */
struct evs {
	GString *partial; /* an incomplete event */
	uint64_t count;   /* of complete ones, with those that were dropped */
};

/* Position of a stream, over all engines that it came from. */
struct evs_seen {
	char id[EVS_ID_MAX + 1]; /* of the last event forwarded; empty: none */
	int no_id; /* data came since that states no id: nothing tells where to continue */
	uint64_t count;
	uint64_t duplicates; /* dropped: the reader has received them already */
};

void evs_init(struct evs *s);
void evs_free(struct evs *s);
/* Whether it has received a part of an event whose end is missing. */
int evs_is_inside_event(const struct evs *s);
/* Appends the events that are complete now and were not seen before to out. 0 or -EMSGSIZE. */
int evs_feed(struct evs *s, struct evs_seen *seen, const char *p, size_t n, GString *out);
#endif
