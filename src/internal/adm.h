/* Admission over the fleet: for each service one instance, its keeper, decides which of the
 * generations that wait at any instance runs next, and where. Called on the event loop. */
#ifndef SH_ADM_H
#define SH_ADM_H
#include "be.h"
#include "conf.h"
#include "entry_cfg.h"
#include <saddlehead/core.h>
#include <stdint.h>

struct adm_request {
	uint64_t request; /* handle of this instance, unique in its lifetime */
	const char *service, *workspace, *route; /* workspace: NULL if it has none */
	double weight;                           /* of the workspace */
	uint32_t rank;                           /* 0: most urgent */
	uint32_t prompt, growth;                 /* tokens */
	uint64_t caller;                         /* hash of its content and key; 0: unknown */
	int64_t age_us;                          /* since it arrived here */
	int64_t run_us;                          /* expected time on an engine */
	int64_t latest_in_us; /* a grant later than this is too late for the latency objective
			       */
	int64_t horizon_us;   /* how far ahead an appointment may lie; 0: none is given */
	const char *excluded; /* server that it can't use; NULL: none */
};

enum adm_kind {
	ADM_SEND,
	ADM_WAIT,
	ADM_REFUSE_UNTIL, /* with a time to retry after */
	ADM_REFUSE,
	ADM_NO_KEEPER /* no instance answers as keeper: to be decided locally */
};

struct adm_verdict {
	enum adm_kind kind;
	enum core_refusal why; /* of a refusal */
	int64_t age_us;        /* of the oldest load that the keeper decided by */
	const char *keeper;    /* its name, for logs; NULL: unknown */
	union {
		struct {
			const char *backend;
			int64_t waited_us;
		} send;
		struct {
			int64_t expected_us;
		} wait;
		struct {
			int64_t retry_us;    /* 0: none */
			int64_t expected_us; /* forecast of the wait; INT64_MAX: never */
		} refuse;
	} of;
};

/* Before the mesh starts. */
void adm_start(const struct entry_cfg *c);
/* Asks for a verdict, again if the request was asked for before. Returns 0, and verdicts follow
 * by adm_on_verdict, never within this call; or -ENOTCONN: to be decided locally. */
int adm_ask(const struct adm_request *q);
/* The request ended, or was sent otherwise. No effect on an unknown one. */
void adm_withdraw(uint64_t request);
/* It was sent as granted. The keeper is told once the load of the request has been told, so
 * that its memory is counted at all times. */
void adm_started(uint64_t request);
/* Whether some generation waits for the service at any instance, as far as is known. */
int adm_is_contended(const char *service);
extern void (*adm_on_verdict)(uint64_t request, const struct adm_verdict *v);
/* Applies a new configuration. */
void adm_configure(const struct conf *c);
/* The instance at ip died or ended: nothing that it asked for waits any more. */
void adm_member_gone(const char *ip);
/* This process was suspended: all is asked again, and what it decided for others is forgotten.
 */
void adm_resumed(void);
/* Appends metrics of this instance as a keeper. */
void adm_write_metrics(GString *out);
/* Appends a JSON list of the services that it keeps: what waits, the supply and forecasts. */
void adm_write_kept(GString *out);
/* The load on b changed here, or as another instance reported: it may have room. */
void adm_loads_changed(struct be *b);
#endif
