/* Private to src/fleet/ro*.c. */
#ifndef SH_RO_IMPL_H
#define SH_RO_IMPL_H
#include "ro.h"
#include "store.h"
#include <glib.h>
#include <saddlehead/rollout.h>

/* What another instance told of its exchanges. */
struct ro_told {
	struct rollout_tally tally;
	uint32_t old_runs; /* that it has at servers of the old version */
	int64_t at_us;
};

/* The newest order for one service. */
struct ro {
	char *service, *target; /* the new version */
	uint64_t order;         /* its revision in the store */
	int64_t for_us;
	int64_t began_us; /* by this instance's clock; other instances may have known it before
			   */
	int64_t shift_us; /* when the shift began, as far as known here; 0: it has not */
	int64_t next_us;  /* nothing is written before */
	int with_slack;   /* no earlier life of this instance has used its part */
	enum rollout_stage stage;
	enum rollout_stage written; /* what the store is known to have */
	struct rollout_tally own;
	int own_changed; /* since others were told */
	struct rollout_use use;
	GHashTable *told;    /* name of an instance -> struct ro_told */
	uint64_t status_rev; /* of the status in the store; 0: none known */
	struct st_call *call;
};

extern const struct entry_cfg *ro_cfg;

/* ro.c */
struct ro *ro_find(const char *service);
/* Takes o over; its service has none. */
void ro_add(struct ro *o);
void ro_forget(struct ro *o);
/* Stages and the status are looked at until nothing is left to do. */
void ro_tick_soon(void);
int64_t ro_started_us(void);
int ro_is_over(const struct ro *o);
/* What its stage means for servers. */
void ro_apply(struct ro *o);
void ro_each(void (*f)(struct ro *o, void *arg), void *arg);
/* It is at that stage, as said_by tells; stages only rise. 1 when that was news. */
int ro_rise(struct ro *o, enum rollout_stage s, const char *said_by);
struct rollout_state ro_state(const struct ro *o);

/* ro_order.c */
/* As board_on_rollout. */
int ro_on_order(const struct st_item *i);
void ro_free(gpointer o);

/* ro_choose.c */
/* As be_ro_part. */
uint32_t ro_part_of(const struct be *b);
void ro_choose_canaries(const struct ro *o);
/* Servers of all versions but the new one get nothing more. */
void ro_bar_old(const struct ro *o);
/* What this instance has running at servers of the old version. */
uint32_t ro_own_old_runs(const struct ro *o);

/* ro_mesh.c */
void ro_mesh_start(void);
/* To all: the stage has risen. */
void ro_tell_stage(struct ro *o);
/* To those that serve callers or keep others informed, what is new of this one's exchanges. */
void ro_tell_own(struct ro *o);
void ro_sum(const struct ro *o, struct rollout_tally *sum);
/* Exchanges at the old version's servers, of all instances. */
uint32_t ro_old_runs(const struct ro *o);

/* ro_status.c */
/* Writes how far it is, where the store does not know and this instance is to. */
void ro_write_status(struct ro *o);
/* Writes that it is completed. */
void ro_write_completed(struct ro *o);
#endif
