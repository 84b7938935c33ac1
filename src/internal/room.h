/* Room at servers that fall over when they reject too many requests (QUOTA_BRITTLE): what this
 * instance may send there without a share of the rejections that a server bears. */
#ifndef SH_ROOM_H
#define SH_ROOM_H
#include "be.h"

/* Its part of the server's slots, less once one was rejected. The parts of all instances
 * together fit. */
int room_own(const struct be *b);
/* Whether the server may have no room for the last of runs exchanges of this instance. */
int room_is_beyond(const struct be *b, uint32_t runs);
/* Instances that take turns to find out whether a part of theirs that was rejected is free
 * again, an estimate; 0: this instance is not one of them. */
uint32_t room_risk_takers(const struct be *b, uint32_t runs);
/* Microseconds until a place may be free, an estimate. */
int64_t room_wait_us(const struct be *b);
/* Nothing is known of its room: it has just said that it is brittle, or no longer is. */
void room_reset(struct be *b);
/* It rejected a counted request of this instance for want of room. */
void room_rejected(struct be *b);
/* It rejected so many of other instances. */
void room_rejected_others(struct be *b, uint32_t n);
/* It had room for an exchange beyond. */
void room_grew(struct be *b);
#endif
