/* Shares of running ceilings, both sides: those held by this instance's keeper, and those
 * granted by this instance as the home of a group. Used by the keeper's thread alone. */
#ifndef SH_SHARES_H
#define SH_SHARES_H
#include "tbl.h"
#include "wire.h"

void shares_init(void);
void shares_free(void);
/* Sets the ceilings of a new table; shares that are held remain. */
void shares_set_table(const struct tbl *t);
/* After a change of members the homes may have moved: every share is requested at the next
 * tick. */
void shares_members_changed(int64_t now_us);
/* Sets the number of keepers by which a ceiling is divided into fixed parts. */
void shares_set_keepers(uint32_t n);

/* Number of requests of the group that may run at this keeper's engines now. */
uint32_t shares_limit(uint64_t group, int64_t now_us);
/* Requests the shares that are due, and updates limits in the core, as after a share lapsed. */
void shares_tick(struct core *c, int64_t now_us);
/* Requests the group's share if it is due. */
void shares_request_if_due(struct core *c, uint64_t group, int64_t now_us);
/* Handles WIRE_SHARE_ASK (as home) and WIRE_SHARE (as holder). */
void shares_receive(struct core *c, const struct wire_msg *m, uint64_t from, int64_t now_us);
#endif
