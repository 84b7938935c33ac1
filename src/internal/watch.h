/* Keeps the cache up to date with the platform's store by listings, watches and confirmations.
 */
#ifndef SH_WATCH_H
#define SH_WATCH_H
#include "dialect.h"
#include "store.h"

/* first: the whole fleet starts for the first time, and a few instances may list for all. */
void watch_start(int first);
/* All changes of backend servers after this revision are cached here, removed keys included; 0:
 * none yet. */
st_rev watch_backends_from(void);
/* A peer has forwarded all changes of items of that kind after one revision up to another. */
void watch_forwarded(enum dl_item kind, st_rev after, st_rev upto);
/* Records whether the store answers this instance; to be called with every reply of it. */
void watch_note_reply(const struct st_reply *r);
#endif
