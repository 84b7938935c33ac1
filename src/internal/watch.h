/* Keeps the board current from the platform's store: lists, watches, confirmations. */
#ifndef SH_WATCH_H
#define SH_WATCH_H
#include "store.h"
#include <stdint.h>

void watch_start(void);
/* Every reply of the store, whoever asked, tells whether it serves this instance. */
void watch_note_reply(const struct st_reply *r);
/* Whether the store answered this instance of late. */
int watch_store_up(void);
/* The store was away or turned this instance away within the last so many microseconds. */
int watch_store_shaky(int64_t within_us);
#endif
