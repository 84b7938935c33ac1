/* Where streams began (og_): which software version brought the first event of a caller's
 * attempt. The instance that carries the stream keeps that, and tells two others, drawn by the
 * attempt, before the event leaves. Whoever must know it asks those that may have been drawn.
 */
#ifndef SH_ORIGINS_H
#define SH_ORIGINS_H
#include "entry_cfg.h"
#include <stdint.h>

/* What another instance answered. version 0: it does not know. from: its name. */
typedef void og_answered(uint64_t key, uint64_t version, int64_t age_us, const char *from);

/* To be called once, before the mesh starts. Keeps a reference to c. */
void og_start(const struct entry_cfg *c, og_answered *f);
/* The stream with this key is of that version; for_us: how long its caller may come back. */
void og_note(uint64_t key, uint64_t version, int64_t for_us);
struct og_known {
	uint64_t version; /* 0: two versions were stated, so that neither counts */
	int64_t age_us;   /* since it was last stated */
};
/* What is known here. Returns 0, or -ENOENT with a zero k. */
int og_find(uint64_t key, struct og_known *k);
/* Asks others; og_answered follows for each that answers. Returns the number asked. */
int og_ask(uint64_t key);
/* Whether all that may know a stream can be asked at present. */
int og_can_ask_all(void);
/* This instance stops: those that remain are told what it keeps. */
void og_hand_over(void);
/* Whether some instance is still being told of streams, part by part. */
int og_is_telling(void);
#endif
