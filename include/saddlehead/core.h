/*
 * The decision core: decides which requests run now, wait or are refused, and on which engine.
 *
 * The caller passes time-stamped events and reads orders. The core has no thread, clock,
 * socket or global state: the same events always give the same orders. It is not safe for
 * concurrent use. Times are microseconds on any monotonic clock of the caller's; sizes are
 * tokens.
 */
#ifndef SADDLEHEAD_CORE_H
#define SADDLEHEAD_CORE_H
#include <stddef.h>
#include <stdint.h>

#define CORE_ENGINE_SERVICES_MAX 16

struct core;

struct core_config {
	uint32_t reserve_tokens;   /* kept free on an engine for each running stream */
	uint32_t waiting_max;      /* bound on waiting tickets, over all groups */
	int64_t engine_silent_us;  /* an engine without a report for this long gets no new work
				    */
	uint32_t prompt_weight_pc; /* cost of a prompt token, in percent of a generated one */
	/* 1: admits by forecast, in the order of ranks and shares, and gives appointments. 0:
	 * the fields below and those marked "admission" have no effect. */
	int admission;
	double floor;    /* a group or kind is served at least this fraction as often as all */
	double promised; /* part of the foreseen room that appointments may take; 0: none */
};

/* Configuration of one group. Ceilings are this keeper's part of the group's; 0 means none. */
struct core_group_row {
	uint64_t id;
	double weight;
	uint32_t ceil_running, ceil_waiting, ceil_tokens_per_s;
	uint32_t limit_running; /* this keeper's share of ceil_running, until CORE_EV_LIMIT */
	uint32_t floor_running;
};

/* Identifies a request by the entry instance that holds it and its handle there. */
struct core_ref {
	uint64_t entry, request;
};

enum core_event_type {
	CORE_EV_TABLE,  /* new rows; groups without a row keep their running requests but get no
			   grants */
	CORE_EV_LIMIT,  /* a group's share of its running ceiling changed */
	CORE_EV_ENGINE, /* an engine was assigned to this keeper, or its services or state
			   changed */
	CORE_EV_ENGINE_GONE, /* an engine was assigned elsewhere, or died */
	CORE_EV_LOAD,        /* a load report of an engine */
	CORE_EV_LOADS,       /* load reports of several engines, before the next choice */
	CORE_EV_LINK_LOST,   /* the link to an engine broke: no new work there until it reports
				again */
	CORE_EV_TICKET,      /* a request that wants to run */
	CORE_EV_ADOPT,       /* a request that runs already, granted by an earlier keeper */
	CORE_EV_WITHDRAW,    /* the entry cancelled the request, waiting or running */
	CORE_EV_FORGET,      /* a request ended with an unknown number of generated tokens */
	CORE_EV_DONE,        /* a request ended */
	CORE_EV_ENTRY_GONE,  /* an entry instance died; all its requests end */
	CORE_EV_TICK         /* time passed */
};

struct core_ticket_info {
	struct core_ref ref;
	uint64_t group, service;
	uint64_t engine;        /* CORE_EV_ADOPT: where it runs */
	uint32_t prompt_tokens; /* an estimate */
	uint32_t generated;     /* tokens generated before, when it is retried or adopted */
	int64_t arrived_us;     /* on the core's clock; orders tickets of one group */
	int64_t deadline_us;    /* refused if still waiting then */
	/* Admission: */
	uint32_t rank;          /* 0: most urgent */
	uint32_t growth_tokens; /* expected answer */
	uint64_t kind;          /* the route; 0: none */
	uint64_t caller;        /* hash of the request's content and key; 0: unknown */
	int64_t run_us;         /* expected time on an engine */
	int64_t latest_us;      /* a grant after this is too late for the latency objective */
	int64_t horizon_us;     /* how far ahead an appointment may lie; 0: none is given */
	uint64_t excluded;      /* engine that the entry can't use; 0: none */
};

struct core_load {
	uint64_t engine;
	uint64_t steps; /* decoding steps since its start; each yields one token per stream */
	uint64_t preemptions; /* since its start */
	uint32_t used_tokens, capacity_tokens;
	uint32_t running, max_running;
	uint32_t step_us; /* current duration of a step */
	/* Admission: */
	uint32_t prefill_tokens; /* prompts that wait for prefill */
	uint32_t growth_tokens;  /* expected growth of what runs there */
	int64_t usable_in_us;    /* 0: now; INT64_MAX: it is leaving */
};

struct core_event {
	enum core_event_type type;
	int64_t now_us;
	union {
		struct {
			const struct core_group_row *row;
			uint32_t n;
		} table;
		struct {
			uint64_t id;
			uint64_t service[CORE_ENGINE_SERVICES_MAX];
			uint32_t nservices;
			int leaving;
		} engine;
		uint64_t engine_gone;
		struct core_load load;
		struct {
			const struct core_load *load;
			uint32_t n;
		} loads;
		struct core_ticket_info ticket;
		struct {
			struct core_ref ref;
			uint32_t generated;
			int failed; /* the engine aborted it or was unreachable */
		} done;             /* also for CORE_EV_WITHDRAW */
		uint64_t link_lost;
		uint64_t entry_gone;
		struct {
			uint64_t group;
			uint32_t running;
		} limit;
	} u;
};

enum core_order_type {
	CORE_GRANT,
	CORE_REFUSE,
	CORE_WAIT /* admission: the ticket was admitted and waits */
};

/* Reason for a refusal. */
enum core_refusal {
	CORE_REF_NOT_ALLOWED, /* no row for the group */
	CORE_REF_NO_ENGINE,   /* no engine of this keeper has the service */
	CORE_REF_TOO_LONG,    /* the prompt exceeds the memory of each engine of this keeper */
	CORE_REF_WAITING_CEILING, /* the group's waiting ceiling */
	CORE_REF_FULL,            /* core_config.waiting_max is reached */
	CORE_REF_DEADLINE,        /* still waiting at its deadline */
	/* Admission: */
	CORE_REF_APPOINTMENT, /* too late for it now; room is promised in retry_after_ms */
	CORE_REF_NO_TIME,     /* no room is foreseen within its horizon; retry_after_ms is 0 */
	CORE_REF_EARLY,       /* it came before its appointment, which stands */
	CORE_REF_LATE         /* it was admitted, and its latest_us has passed */
};

struct core_order {
	enum core_order_type type;
	struct core_ref ref;
	uint64_t engine; /* CORE_GRANT */
	enum core_refusal why;
	uint32_t retry_after_ms; /* CORE_REFUSE */
	int64_t waited_us;
	int64_t expected_us; /* admission: forecast of the wait; INT64_MAX: never */
};

/* Free capacity of one service at this keeper; entries choose a keeper by it. */
struct core_digest {
	uint64_t service;
	uint32_t free_tokens, free_slots, waiting;
};

struct core *core_new(const struct core_config *cfg);
void core_free(struct core *c);

/* Changes the configuration, except that admission can't be switched. */
void core_set_config(struct core *c, const struct core_config *cfg);

/* Processes one event. Returns 0 or a negative errno; core_next then returns the resulting
 * orders. */
int core_step(struct core *c, const struct core_event *ev);

/* Removes the next order and stores it in o. Returns 1, or 0 if there is none. */
int core_next(struct core *c, struct core_order *o);

/* Stores at most max entries; returns the number of services with an engine at this keeper. */
uint32_t core_digests(const struct core *c, int64_t now_us, struct core_digest *d,
		      uint32_t max);

/*
 * Stores at most max running tickets without an update since before_us and marks them as
 * updated now. The caller asks their entries for their state, as the message that they ended
 * may have been lost.
 */
uint32_t core_stale_tickets(struct core *c, int64_t before_us, struct core_ref *out,
			    uint32_t max);

#define CORE_RANK_CLASSES 4 /* rank 0; 1 to 2; 3 to 5; 6 and more */

struct core_admission_stats {
	uint32_t waiting[CORE_RANK_CLASSES];
	uint64_t given, kept, missed, lapsed; /* appointments, since the start */
};
void core_admission_stats(const struct core *c, struct core_admission_stats *s);
/* The class of a rank, from 0 up. */
uint32_t core_rank_class(uint32_t rank);

struct core_service_stats {
	double supply_tokens; /* memory of all engines that grants are expected to use */
	double promised_work; /* tokens x microseconds of appointments that stand */
	uint32_t appointments;
	/* Forecast of the wait of a new ticket of the class's least urgent rank; INT64_MAX:
	 * never.
	 */
	int64_t wait_us[CORE_RANK_CLASSES];
};
/* As of the last event. Returns 1, or 0 for an unknown service, with all at 0. */
int core_service_stats(const struct core *c, uint64_t service, struct core_service_stats *out);

uint32_t core_waiting(const struct core *c);
uint32_t core_running(const struct core *c);

/* Tokens charged to a group so far, not divided by its weight; 0 for an unknown group. */
double core_group_service(const struct core *c, uint64_t group);
uint32_t core_group_running(const struct core *c, uint64_t group);
uint32_t core_group_waiting(const struct core *c, uint64_t group);

/* Recomputes all counters and aborts if one is wrong. For tests and fuzzing. */
void core_check(const struct core *c);
#endif
