/* Private to src/fleet/ro*.c. */
#ifndef SH_RO_IMPL_H
#define SH_RO_IMPL_H
#include "ro.h"
#include "store.h"
#include <glib.h>
#include <saddlehead/rollout.h>

/* What another instance reported of its exchanges. */
struct ro_peer {
	struct rollout_tally tally;
	uint32_t old_runs; /* its exchanges in flight at servers of the old version */
	int64_t at_us;
};

/* A rollout: the newest order for one service. */
struct ro {
	char *service, *target; /* the new version */
	st_rev order;           /* the order's revision in the store */
	int64_t duration_us;
	int64_t began_us; /* when an instance first saw the order, by this instance's clock */
	int64_t shift_us; /* when this instance entered the shift stage; 0: it has not */
	int64_t next_us;  /* no status is written before this time */
	int with_slack;   /* this instance may use its part of the slack: no earlier
			    incarnation of it has */
	enum rollout_stage stage;
	enum rollout_stage written; /* stage that the store is known to hold */
	struct rollout_tally own;
	int own_changed; /* since it was last sent to others */
	struct rollout_use use;
	GHashTable *peers; /* name of an instance -> struct ro_peer */
	st_rev status_rev; /* revision of the status in the store; 0: none known */
	struct st_call *call;
};

extern const struct entry_cfg *ro_cfg;

/* ro.c */
struct ro *ro_find(const char *service);
/* Takes ownership of o. Its service must not have a rollout. */
void ro_add(struct ro *o);
void ro_remove(struct ro *o);
/* Starts the periodic tick, which runs until all rollouts are over and written. */
void ro_schedule_tick(void);
int64_t ro_started_us(void);
int ro_is_over(const struct ro *o);
/* Applies the stage to the servers: chooses canaries and blocks versions. */
void ro_apply(struct ro *o);
void ro_each(void (*f)(struct ro *o, void *arg), void *arg);
/* Advances to stage s, as reported_by says. Ignores lower stages. Returns 1 if it changed. */
int ro_advance(struct ro *o, enum rollout_stage s, const char *reported_by);
struct rollout_state ro_state(const struct ro *o);

/* ro_order.c */
/* Handler of changed order keys. */
int ro_on_order(const struct st_item *i);
void ro_free(gpointer o);

/* ro_choose.c */
/* Role of a server, before canaries are chosen. */
uint32_t ro_role_of(const struct be *b);
void ro_choose_canaries(const struct ro *o);
/* Blocks all versions but the new one. */
void ro_block_old(const struct ro *o);
/* Exchanges of this instance in flight at servers of the old version. */
uint32_t ro_own_old_runs(const struct ro *o);

/* ro_mesh.c */
void ro_mesh_start(void);
/* Sends the stage to all instances. */
void ro_send_stage(struct ro *o);
/* Sends the tally of this instance's exchanges, if it changed, to the instances that receive
 * caller traffic or forward updates. */
void ro_send_own(struct ro *o);
void ro_sum_tallies(const struct ro *o, struct rollout_tally *sum);
/* Exchanges of all instances in flight at servers of the old version. */
uint32_t ro_old_runs(const struct ro *o);

/* ro_status.c */
/* Writes the stage, if the store is behind and this instance is one of the writers. */
void ro_write_status(struct ro *o);
/* Writes that the rollout is completed. */
void ro_write_completed(struct ro *o);
#endif
