/* The mesh of instances: which are alive, which receive caller traffic, the load each puts on
 * the backend servers, and the platform's lists that they exchange. Each pair has one TCP link
 * per direction, which carries frames of msgpack. */
#ifndef SH_MESH_H
#define SH_MESH_H
#include "be.h"
#include "cache.h"
#include "entry_cfg.h"
#include <saddlehead/roles.h>
#include <stdint.h>

#define MESH_HUBS_MAX (ROLES_ACTIVE + ROLES_SPARE)

/* 0 or a negative errno. */
int mesh_start(const struct entry_cfg *c);
/* Sets the state of this instance that its heartbeats report. */
void mesh_set_state(int ready, int draining);
/* Sets whether the store answered this instance's last call. A few of the instances that it
 * answers watch it for all. */
void mesh_set_store_up(int up);
/* Whether this instance is one of the few that watch the store for all. */
int mesh_watches_store(void);
/* Whether this instance is one of the few that keep calling a store that answers no hub. */
int mesh_retries_store(void);
/* Whether the store answers some hub, as far as their heartbeats report. */
int mesh_store_answers(void);
/* Random back-off in microseconds, before an instance that is neither of these calls the store
 * itself. */
int64_t mesh_backoff_us(void);
/* Whether this instance is active: one of those that callers are sent to. */
int mesh_self_active(void);
/* Whether this instance is a hub, which forwards updates to the others. */
int mesh_self_hub(void);
/* Publishes what is newer than base, which this instance just received from the store. Large
 * updates are only announced by a heartbeat, and fetched. */
void mesh_publish(struct cache_revs base);
/* Publishes changed items of backend servers on their own: the frame states nothing about other
 * changes. */
void mesh_publish_items(const struct st_item *items, size_t n);
/* Sends a heartbeat to all at once, because something important changed. */
void mesh_heartbeat_now(void);
/* Requests an immediate heartbeat from all serving instances. */
void mesh_request_heartbeats(void);
/* Whether all serving instances have acknowledged a heartbeat that this instance sent at
 * since_us (monotonic) or later: all that they sent before their acknowledgement has arrived.
 * Instances that are gone are not waited for. */
int mesh_all_acked(int64_t since_us);
/* This process resumed after a suspension: what it holds may be out of date. */
void mesh_resumed(void);
/* Whether it has been brought up to date by another instance or the store since then, or
 * neither answers. */
int mesh_is_current(void);
/* Chooses an instance that opens a tunnel to b: near ones first, wide links more often, none in
 * a drained data centre or in a region that neither b nor this instance is in. except: not that
 * one; or NULL. Returns 0 with its address in *at; -EAGAIN if none can help now; -ENOENT if
 * there is none. */
int mesh_pick_helper(const struct be *b, const struct sockaddr_in *except,
		     struct sockaddr_in *at);
/* A tunnel through the instance at that address came up: others that know none are told. */
void mesh_helper_connected(const struct sockaddr_in *at);
/* A tunnel through the instance at that address failed: it is not chosen for a moment. */
void mesh_helper_failed(const struct sockaddr_in *at);
/* The name of the instance at that address, for logs; its address if no name is known. */
const char *mesh_helper_name(const struct sockaddr_in *at);
/* Sets whether this instance reaches no backend server. */
void mesh_set_path_lost(int lost);
/* What tunnels need of this instance's own path. Set once, before the mesh's start. */
struct mesh_path_hooks {
	/* Whether exchanges with b go through another instance, which then can't help. */
	int (*is_around)(const struct be *b);
	/* Whether a connection to b may be made only to find out whether it comes up. */
	int (*may_try)(const struct be *b);
	/* A connection to b came up. */
	void (*connected)(struct be *b);
	/* One to b did not come up. */
	void (*failed)(struct be *b);
};
void mesh_set_path_hooks(const struct mesh_path_hooks *h);
/* Called when the instance at that address announces that it stops; set once. */
extern void (*mesh_on_leaving)(const struct sockaddr_in *at);
/* Called when the connection of a tunnel served here to b broke off; set once, may be NULL. */
extern void (*mesh_on_tunnel_broken)(struct be *b, int err);
/* Number of tunnels that this instance has open for others. */
int mesh_count_tunnels(void);
/* Whether an instance, this one included, has this address: no backend server can be there. */
int mesh_is_instance(const struct sockaddr_in *at);
/* Adds the address of an instance that may exist. */
void mesh_add_ip(const char *ip);
/* Adds the seed addresses of the settings. */
void mesh_add_seeds(void);
/*
 * Stores the addresses of active instances that accept callers, this one included if it is one,
 * and returns their number. Prefers those of the caller's region (NULL: unknown) if there are
 * enough. With bound set any of the region are enough, and if none is active, others of it that
 * accept callers. Falls back to all active ones, then to all that accept callers, then to all
 * known ones. The addresses are valid until the next call on the loop.
 */
int mesh_addresses(const char **out, int max, const char *region, int bound);
/* Number of live instances, this one included; at least 1. */
int mesh_count_live(void);
/* Number of other live instances that receive caller traffic. */
int mesh_count_serving(void);
/* Largest number of instances known at once so far; dead ones count until they are
 * forgotten. */
int mesh_most_members(void);
/* The store has named the members that it knows. */
void mesh_set_roster_listed(void);
/* Whether other instances serve callers, as far as is known, and none of them is heard. */
int mesh_is_cut_off(void);
/* Whether neither the store nor anybody else has named another instance. */
int mesh_is_alone(void);
/* This instance's part (0 to 1) of what all instances together may do within a window. */
double mesh_part(int64_t window_us);
/* The load on b changed: schedules a message to the serving instances. */
void mesh_load_changed(struct be *b);
/* Tokens of unreplicated streams on b that other instances move before this one does. All
 * instances compute the same order, so that their moves don't compete for b's link. */
uint32_t mesh_unreplicated_before(const struct be *b);
/* Whether this instance is the first in that order of those with work on b. */
int mesh_is_first_user(const struct be *b);
/* Position of this instance in the order of those that send to b. Instances that died recently
 * keep their positions, which no other one takes. rank >= sharers: it has no position. */
struct mesh_rank {
	uint32_t sharers, rank;
	uint32_t order; /* a hash of this instance and b */
	uint32_t busy;  /* of the others, those that have sent to some server in the last second
			 */
};
struct mesh_rank mesh_rank(const struct be *b);
/* Draws instances by a key, in an order that all compute alike from those that they know:
 * stores the addresses of up to max others that are linked with all, the first in the order
 * first, and returns their number. The addresses are valid until the next turn of the loop. */
int mesh_draw(uint64_t key, const char **ip, int max);
/* The same of the active instances that can keep services, this one included: stores up to max
 * addresses, the first in the order first. */
int mesh_draw_active(uint64_t key, const char **ip, int max);
/* Whether this instance can decide for others: it has the lists, and does not drain. */
int mesh_can_keep(void);
/* Microseconds since the serving instance that was heard least lately was heard. */
int64_t mesh_oldest_serving_us(void);
/* Whether an instance that others may have drawn is out of reach and may come back as it was:
 * one that has stopped, or whose process is gone, does not. */
int mesh_misses_hub(void);
/* One instance, known or not, and those that it is drawn against. */
struct mesh_rivals {
	uint32_t self, other[MESH_HUBS_MAX]; /* hashes of addresses */
	int n;
};
void mesh_rivals_of(const char *ip, struct mesh_rivals *r);
/* Whether it is among the first max that the key draws. */
int mesh_draws(uint64_t key, const struct mesh_rivals *r, int max);
/* Sets whether a call of this instance to the store has been unanswered for long. */
void mesh_set_store_late(int late);
/* No fetch begins before until_us (monotonic): an answer of the store is arriving, which may
 * bring the same lists, and both would share the link. */
void mesh_delay_fetch(int64_t until_us);
/* Whether a live hub has the lists and is answered by the store: it forwards changes. */
int mesh_has_synced_hub(void);
/* Whether the answer to a fetch is arriving. */
int mesh_fetch_in_progress(void);
/* Whether the store fails or delays some instance. */
int mesh_store_degraded(void);
#endif
