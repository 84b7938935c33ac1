/* Keeps the board current from the platform's store: lists, watches, confirmations. */
#ifndef SH_WATCH_H
#define SH_WATCH_H
#include "dialect.h"
#include "store.h"

/* first: of the whole fleet, whose lists a few may get for all. */
void watch_start(int first);
/* All changes of backend servers after this revision are known here, the keys that went too; 0:
 * none yet. */
uint64_t watch_backends_from(void);
/* All changes of such items after one revision, up to another, have come from a peer. */
void watch_told(enum dl_item kind, uint64_t after, uint64_t upto);
/* Every reply of the store, whoever asked, tells whether it serves this instance. */
void watch_note_reply(const struct st_reply *r);
#endif
