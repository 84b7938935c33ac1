/* The decision how a generation is admitted, without input and output: from what is known about
 * it to what the relay does with it. */
#ifndef SH_ADMIT_STEP_H
#define SH_ADMIT_STEP_H
#include <saddlehead/core.h>

/* Who decides when a generation is first sent. */
enum rq_adm_state {
	RQ_ADM_NONE,    /* not decided */
	RQ_ADM_ASKED,   /* the keeper of its service, which was asked */
	RQ_ADM_GRANTED, /* the keeper has: it may run at a named server */
	RQ_ADM_LOCAL    /* this instance, as no keeper could */
};

struct admit_view {
	enum rq_adm_state state;
	int fleet_wide;    /* its scope is the fleet, and the keeper can judge it */
	int has_server;    /* a server is usable for it ... */
	int fits;          /* ... and has room */
	int is_first;      /* nothing waits for the service, and it need not wait there */
	uint32_t regrants; /* grants so far that were of no use */
};

enum admit_step {
	ADMIT_LOCALLY,   /* as without keepers: this instance's own forecast and queue */
	ADMIT_SEND,      /* to the server chosen */
	ADMIT_ASK,       /* the keeper; the request waits for its verdict */
	ADMIT_ASK_AGAIN, /* the same, as what it granted is of no use now */
	ADMIT_GIVE_UP,   /* the keeper's grants are of no use: locally from now on */
	ADMIT_STAY       /* it waits for a verdict already */
};

/* For a generation that has not been sent. */
enum admit_step admit_step(const struct admit_view *v);

/* A keeper refused it for want of what this instance knows of: the configurations or lists of
 * the two differ at present. */
int admit_keeper_lacks(enum core_refusal why);
#endif
