/*
 * Membership: tracks which instances are alive, by heartbeats to a few members and gossiped
 * updates.
 *
 * A pure state machine like the decision core: the caller passes the time and transports the
 * messages. The rate of messages that one instance sends does not grow with the fleet.
 */
#ifndef SADDLEHEAD_MEMBER_H
#define SADDLEHEAD_MEMBER_H
#include <stdint.h>

#define MBR_NAME_MAX 31
#define MBR_IP_MAX 45
#define MBR_GOSSIP_MAX 8  /* updates that one heartbeat carries */
#define MBR_WINDOW_MAX 15 /* additional ones, for a peer whose list differs */

/* At the same incarnation a later state overrides an earlier one. */
enum mbr_state { MBR_ALIVE, MBR_LEAVING, MBR_SUSPECT, MBR_DEAD };

struct mbr_info {
	uint64_t id; /* hash_name(name) */
	char name[MBR_NAME_MAX + 1], dc[MBR_NAME_MAX + 1], ip[MBR_IP_MAX + 1];
	uint16_t peer_port, front_port, admin_port;
	uint64_t incarnation;
	enum mbr_state state;
};

/* Times in microseconds. */
struct mbr_config {
	int64_t ack_us;     /* a member that leaves a heartbeat unanswered for this long becomes
			       suspect */
	int64_t suspect_us; /* a member that stays suspect for this long is declared dead */
	int64_t forget_us;  /* dead members are forgotten after this time */
	uint32_t seed;      /* seed of the random order in which members are probed */
};

struct mbr;

struct mbr *mbr_new(const struct mbr_info *self, const struct mbr_config *cfg);
void mbr_free(struct mbr *m);

/* Applies an update from a peer. Returns 1 if the local view changed. */
int mbr_apply(struct mbr *m, const struct mbr_info *update, int64_t now_us);

/* Records a message received directly from a member: no heartbeat to it is unanswered any more.
 * Always returns 0, as a suspect becomes alive only by an update with a higher incarnation. */
int mbr_seen(struct mbr *m, uint64_t id, int64_t now_us);

/* Selects the members to send the next heartbeats to; returns their number, at most max. */
uint32_t mbr_probe(struct mbr *m, int64_t now_us, struct mbr_info *out, uint32_t max);

/* Marks members as suspect or dead whose timeouts passed. Returns 1 if a state changed. */
int mbr_expire(struct mbr *m, int64_t now_us);

/* Selects updates to send with a heartbeat, the least forwarded ones first. */
uint32_t mbr_gossip(struct mbr *m, struct mbr_info *out, uint32_t max);

/* Lists all members that are not dead, this instance included, in no particular order. */
uint32_t mbr_list(const struct mbr *m, struct mbr_info *out, uint32_t max);
int mbr_find(const struct mbr *m, uint64_t id, struct mbr_info *out);

/* Hash over members and their states, the dead excluded: equal for equal views. */
uint64_t mbr_hash(const struct mbr *m);
/* Returns the next part of the member list, a different one in each call; sent to a peer whose
 * hash differs. */
uint32_t mbr_window(struct mbr *m, struct mbr_info *out, uint32_t max);

void mbr_leave(struct mbr *m);
#endif
