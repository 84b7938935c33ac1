/* The other instances: who lives, who takes callers, what each sends to which backend server,
 * and what they know of the platform's lists. One TCP link each way, msgpack in frames. */
#ifndef SH_MESH_H
#define SH_MESH_H
#include "be.h"
#include "cache.h"
#include "entry_cfg.h"
#include <stdint.h>

/* 0 or a negative errno. */
int mesh_start(const struct entry_cfg *c);
/* What other instances are told of this one. */
void mesh_set_state(int ready, int draining);
/* Whether the store answered this instance's last call; a few of those that it answers watch
 * for all. */
void mesh_set_store_up(int up);
/* Whether this instance is one of the few that watch the store for all. */
int mesh_watches(void);
/* Whether this instance is one of the few that go on asking a store that answers nobody. */
int mesh_asks_store(void);
/* Whether the store answers an instance that tells others what it says. */
int mesh_store_answers(void);
/* How long one that is neither rests after a call that failed; microseconds, drawn. */
int64_t mesh_rest_us(void);
/* Whether this instance is one of those that callers are sent to. */
int mesh_self_active(void);
/* Whether all others are told by this instance what is new. */
int mesh_self_hub(void);
/* Passes on what is newer than base, which this instance just heard from the store. Of what is
 * large others are only told that it is here. */
void mesh_pass_on(struct cache_revs base);
/* Passes on items of backend servers that were found changed, as they are: nothing is said of
 * what else has changed. */
void mesh_tell_items(const struct st_item *items, size_t n);
/* A heartbeat to all, out of turn: something that they should know. */
void mesh_beat_now(void);
/* Asks all that callers come to for a heartbeat at once. */
void mesh_ask_serving(void);
/* Whether all of them have said something since then (monotonic) in the knowledge of what this
 * instance said at that moment: all that they told before has come. Those that are gone are not
 * waited for. */
int mesh_have_answered(int64_t since_us);
/* This instance stood still: what it believes may be old. */
void mesh_woke(void);
/* Whether it has heard anew from somebody since then, or nobody answers. */
int mesh_is_awake(void);
/* Whether this is the address of an instance, this one included: no backend server stands
 * there. */
int mesh_is_instance(const struct sockaddr_in *at);
/* An instance at this IP may exist. */
void mesh_learn(const char *ip);
/* The same of those that the settings name. */
void mesh_learn_seeds(void);
/* Addresses of the active instances that take callers, this one included if it is; how many.
 * Those of the caller's own region (NULL: not told) where there are some; with bound set any of
 * it that take callers. When none is, all that take callers, and then all that are known. Valid
 * until the next call of the loop. */
int mesh_addresses(const char **out, int max, const char *region, int bound);
/* Instances that were heard of lately, this one included; at least 1. */
int mesh_live(void);
/* Other instances that callers come to, as far as they are heard. */
int mesh_serving(void);
/* Most instances known at once so far, dead ones included until they are forgotten. */
int mesh_known(void);
/* This instance's part (0 to 1) of what all may do together within a window. */
double mesh_part(int64_t window_us);
/* The load on b changed; peers that callers come to are told soon. */
void mesh_load_changed(struct be *b);
/* Tokens of streams without a copy on b that other instances move before this one does: all
 * work out the same order, so that their moves don't wait for each other on b's link. */
uint32_t mesh_bare_before(const struct be *b);
/* Whether this instance is the first, in that order, of those with work on b. */
int mesh_first_user(const struct be *b);
/* Of those that send to b, how far this instance is from the first in that order; those that
 * died lately keep their places, which others do not fill. rank >= sharers: it has none. */
struct mesh_rank {
	uint32_t sharers, rank;
};
struct mesh_rank mesh_rank(const struct be *b);
/* Whether a question of this instance to the store has gone unanswered for long. */
void mesh_set_store_late(int late);
/* No fetch begins before (monotonic): the store's answer is coming, which may bring the same,
 * and both would share the link. */
void mesh_hold_fetch(int64_t until_us);
/* Whether a hub is heard that has the lists and is answered by the store: it passes on changes.
 */
int mesh_is_informed(void);
/* Whether a fetch is being answered. */
int mesh_fetching(void);
/* Whether the store fails some instance, or keeps it waiting. */
int mesh_store_in_doubt(void);
#endif
