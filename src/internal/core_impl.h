/* Internal interface between the files of the decision core. */
#ifndef SH_CORE_IMPL_H
#define SH_CORE_IMPL_H
#include "heap.h"
#include <glib.h>
#include <saddlehead/core.h>

#define CORE_RANKS 16 /* less urgent ones count as the last */

/* Requests asked for and granted, with exponential decay. */
struct cratio {
	double asked, served;
	int64_t at_us; /* when both were last decayed */
};

/* A kind of request, which is the same for all groups. */
struct ckind {
	uint64_t id;
	struct cratio ratio;
	uint32_t by_floor; /* waiting tickets admitted by the floor */
};

/* Order in which queues are served with admission. Ranks follow. */
enum ctier {
	CT_TIER_DUE,   /* tickets whose appointment is due */
	CT_TIER_FLOOR, /* of a group or kind that is served too rarely */
	CT_TIER_RANK
};
#define CT_TIERS (CT_TIER_RANK + 1 + CORE_RANKS)

#define CRECENT_US 2000000.0 /* averaging time of arrivals: a rush begins within seconds */

/* Work that is granted evenly while virtual time runs from one time to another. */
struct cspan {
	double from, to, slope; /* slope: work by virtual time */
};

/* Queue of one group's tickets that wait for one service, oldest first. With admission, of one
 * rank and kind. */
struct cqueue {
	struct cgroup *group;
	struct cservice *service;
	struct cticket *first, *last;
	uint32_t pos; /* position in the service's heap of queues that may get a grant */
	uint32_t n;
	/* By these queues are ordered. Copies, as reading them from the group and the ticket
	 * costs a cache miss each in every comparison. */
	int below_floor;
	double turn;
	int64_t arrived_us; /* of the first ticket */
	/* Admission: */
	int due;      /* of tickets whose appointment is due */
	int by_floor; /* of tickets that were admitted because too few are served */
	uint32_t rank, tier;
	struct ckind *kind;          /* NULL: without admission */
	double work, cost;           /* of its tickets, summed */
	double work_rate, cost_rate; /* of first attempts, by microsecond, at rate_us */
	int64_t rate_us;
	int listed;               /* in cahead.queues */
	uint32_t build;           /* of the tables that contain the spans below */
	struct cspan now, coming; /* waiting, and expected to arrive */
};

struct cgroup {
	uint64_t id;
	struct core_group_row row;
	int listed;     /* has a row in the table */
	double service; /* tokens charged, not divided by the weight */
	double vtime;   /* tokens charged divided by the weight; the lowest is served first.
			   With admission charged when a ticket joins: its tag */
	uint32_t running, waiting;
	double bucket; /* token bucket of the rate ceiling; below 0 the group gets no grants */
	int64_t bucket_at;
	GPtrArray *queues;
	struct cratio ratio; /* admission */
	uint32_t by_floor;   /* waiting tickets admitted by the floor */
};

#define CAGENDA_SLOTS 300      /* 30 s: the deadlines of callers are some tens of seconds */
#define CAGENDA_SLOT_US 100000 /* finer than the accuracy of forecasts */
#define CAPPOINTMENTS_MAX 4096 /* of one service */

/* Room promised to a caller that was refused. */
struct cappointment {
	uint64_t caller;
	int64_t due_us;
	double work;
	struct cappointment *next; /* of the same caller */
	uint32_t pos;              /* in the heap by due_us */
};

/* Appointments of one service, and the work promised in each slot of time. */
struct cagenda {
	double promised[CAGENDA_SLOTS]; /* ring; slot of a time: its number modulo the size */
	int64_t first;                  /* number of the first slot that is not over */
	struct heap by_due;
	GHashTable *by_caller; /* first of its appointments */
};

/* Rates at which work of first attempts arrives, by rank. Callers that return at their time are
 * in the agenda. */
struct carrivals {
	double rate[CORE_RANKS + 1]; /* work per microsecond, of the last seconds */
	int64_t at_us;
};

#define CAHEAD_NODES 64

struct cahead_line {
	double slope, constant;
};

/* Work of all queues of a tier that is granted before a virtual time: of what waits now, and of
 * what will have arrived when the time usually allowed is over. */
struct cahead_table {
	uint32_t build;
	double origin, end; /* virtual times */
	double now[CAHEAD_NODES + 1], coming[CAHEAD_NODES + 1];
};

struct cahead {
	GPtrArray *queues; /* with tickets or recent arrivals */
	GPtrArray *built;  /* those in the tables */
	struct cahead_table *table[CT_TIERS];
	uint32_t build, changes; /* changes: of queues since the last build */
	int64_t built_us;
	double reach_us; /* time from arrival to latest_us, smoothed */
};

/* Work of other queues of the same tier that is granted before a ticket. */
struct cahead_work {
	double waiting;
	double rate; /* of further work that arrives, per microsecond */
};

struct cservice {
	uint64_t id;
	struct heap ready; /* cqueues that may get a grant */
	GPtrArray *engines;
	uint32_t waiting;
	int64_t last_grant_us;
	double grant_gap_us; /* smoothed time between grants */
	/* Admission: */
	double tier_work[CT_TIERS]; /* of waiting tickets */
	struct cahead ahead;
	double least_misfit; /* the least need that fits on no engine; 0: not known */
	double mean_need;    /* tokens of a ticket, smoothed */
	double efficiency;   /* work granted while something waited, of what supply is for */
	double granted_work; /* since measured_us */
	double measured_span_us; /* of all measurements of the efficiency */
	int64_t measured_us;     /* since when it has waited all the time; 0: nothing waits */
	double lag;              /* work by which grants lag behind an even rate, at lag_us */
	int64_t lag_us;          /* 0: nothing waits */
	int64_t first_us;        /* first arrival */
	int64_t rush_us;         /* since when something has waited, pauses apart */
	int64_t waited_us;       /* when something last waited */
	double capacity;         /* cfit_capacity, computed at capacity_us */
	int64_t capacity_us;     /* 0: an engine changed */
	int64_t swept_us; /* when all that wait were last examined; 0: an engine changed */
	int in_vain;      /* nothing fits that might be granted, and no room was freed */
	double usual_use; /* tokens in use, averaged over a minute */
	int64_t use_us;
	struct carrivals arrivals;
	struct cagenda agenda;
	struct cengine *reserved; /* for reserved_for alone; NULL: none */
	const struct cticket *reserved_for;
};

struct cengine {
	uint64_t id;
	GPtrArray *services;
	GPtrArray *tickets; /* running here; cticket.at is the index */
	int leaving, reported;
	int failed_lately; /* an error occurred there since its last report */
	int64_t last_seen_us;
	struct core_load load;
	uint64_t prompt_sum; /* prompt tokens, and tokens generated before the grant, of its
				running tickets */
	uint64_t steps_sum;  /* sum of steps_at_grant over its running tickets */
	uint64_t growth_sum; /* expected growth of its running tickets */
};

enum cstate { CT_WAITING, CT_RUNNING };

struct cticket {
	struct core_ref ref; /* the key */
	struct core_ticket_info info;
	enum cstate state;
	struct cqueue *queue;
	struct cticket *prev, *next;
	struct cengine *engine;
	struct cgroup *group;
	uint32_t at;
	uint32_t pos; /* position in the heap of deadlines */
	uint64_t steps_at_grant;
	int64_t last_seen_us;
	/* Admission: virtual time at which it is served among tickets of its tier. It is fixed
	 * when the ticket joins: what its group is granted before its turn, by appointments and
	 * the floor, only delays tickets that come later. */
	double tag;
	int kept_appointment;
	int caller_counted; /* in ccaller.waiting */
};

struct core {
	struct core_config cfg;
	int64_t now;
	GHashTable *groups, *services, *engines, *tickets;
	struct heap deadlines; /* waiting tickets by deadline */
	GArray *orders;
	guint orders_read;
	double vnow; /* vtime of the last group served; an idle group restarts from it */
	/* Admission: the same by rank. Groups of a rank that is served more would otherwise put
	 * an idle group of another rank behind those that wait there. */
	double vnow_of[CORE_RANKS + 1];
	uint32_t waiting, running;
	/* Admission: */
	GHashTable *kinds, *callers;
	int64_t callers_us; /* when callers were last searched for those to be forgotten */
	struct cratio ratio;
	struct core_admission_stats stats;
};

/* core_group.c */
struct cgroup *cgroup_get(struct core *c, uint64_t id);
void cgroup_free(void *g);
void cgroup_charge(struct cgroup *g, double tokens);
/* Charges without a change of the virtual time. */
void cgroup_count(struct cgroup *g, double tokens);
void cgroup_refill(struct core *c, struct cgroup *g);
int cgroup_blocked(const struct cgroup *g);
/* Adds the group's queues to the heaps of their services or removes them, depending on whether
 * the group may get grants. */
void cgroup_update_queues(struct cgroup *g);
void cgroup_activate(struct core *c, struct cgroup *g);
/* Admission: t joins, or leaves without a grant. */
void cgroup_tag(struct core *c, struct cticket *t);
void cgroup_untag(struct cticket *t);
struct cqueue *cgroup_queue(struct cgroup *g, struct cservice *s, const struct cqueue *like);
int cqueue_before(const void *a, const void *b);
/* Sets the fields by which queues are ordered; 1 if one of them changed. */
int cqueue_refresh(struct cqueue *q);

/* core_engine.c */
void cservice_free(void *s);
void cengine_free(void *e);
void cengine_set(struct core *c, const struct core_event *ev);
void cengine_gone(struct core *c, uint64_t id);
void cengine_link_lost(struct core *c, uint64_t id);
void cengine_load(struct core *c, const struct core_load *l);
int64_t cengine_free_tokens(const struct core *c, const struct cengine *e);
/* Whether it counts as supply: an error there may concern one request only. */
int cengine_serves(const struct core *c, const struct cengine *e);
/* Whether it gets new work now. */
int cengine_accepts(const struct core *c, const struct cengine *e);
void cengine_add(struct cengine *e, struct cticket *t);
void cengine_remove(struct cengine *e, struct cticket *t);

/* core_ticket.c */
void cticket_new(struct core *c, const struct core_ticket_info *info);
void cticket_adopt(struct core *c, const struct core_ticket_info *info);
void cticket_end(struct core *c, struct core_ref ref, int known, uint32_t generated);
/* The entry reported the end of a request, successful or not. */
void cticket_done(struct core *c, const struct core_event *ev);
void cticket_refuse_all(struct core *c, struct cservice *s);
void cticket_entry_gone(struct core *c, uint64_t entry);
void cticket_start(struct core *c, struct cticket *t, struct cengine *e);
/* Joins t->queue. */
void cticket_enqueue(struct core *c, struct cticket *t);
void cticket_expire(struct core *c);
/* Ends a waiting ticket with this refusal. */
void cticket_reject(struct core *c, struct cticket *t, const struct core_order *o);
guint cref_hash(gconstpointer p);
gboolean cref_equal(gconstpointer a, gconstpointer b);
int cticket_due_before(const void *a, const void *b);

/* core_sched.c */
void csched_service(struct core *c, struct cservice *s);
void csched_all(struct core *c);
void csched_grant(struct core *c, struct cservice *s, struct cticket *t, struct cengine *e);
void csched_order(struct core *c, const struct core_order *o);
uint32_t csched_retry_ms(const struct core *c, const struct cservice *s);

/* core_fit.c: which engine a ticket runs on, with admission */
double cfit_need(const struct core_ticket_info *i);
/* The engine with the least cost where it fits, or NULL. */
struct cengine *cfit_pick(struct core *c, struct cservice *s, const struct cticket *t);
/* The engine that is expected to have room for it first, or NULL. */
struct cengine *cfit_soonest(const struct core *c, const struct cservice *s,
			     const struct cticket *t);
/* Tokens that all usable engines together can hold at once, by their memory and slots. whole:
 * in whole requests of the mean size. */
double cfit_capacity(const struct core *c, const struct cservice *s, int whole);
/* Tokens in use on them. */
double cfit_used(const struct core *c, const struct cservice *s);

/* core_floor.c: who is served too rarely */
void cfloor_init(struct core *c);
void cfloor_free(struct core *c);
struct ckind *cfloor_kind(struct core *c, uint64_t id);
void cfloor_asked(struct core *c, struct cgroup *g, struct ckind *k);
void cfloor_served(struct core *c, const struct cqueue *q);
/* Whether the group or kind is served too rarely, also if all that wait by the floor are
 * served.
 */
int cfloor_is_below(struct core *c, const struct cgroup *g, const struct ckind *k);
/* A ticket joined a queue of those admitted by the floor, or left it. */
void cfloor_waits(struct cqueue *q, int change);

/* core_forecast.c: how long a ticket is expected to wait */
double cforecast_work(const struct core_ticket_info *i);
/* What a group is charged for it. */
double cforecast_cost(const struct core_ticket_info *i);
uint32_t cforecast_class(uint32_t rank);
/* Work that is expected to be done per microsecond. */
double cforecast_supply(const struct core *c, struct cservice *s);
/* A first attempt that joins the queue. */
void cforecast_arrived(struct core *c, struct cqueue *q, const struct core_ticket_info *i);
void cforecast_granted(struct core *c, struct cservice *s, const struct core_ticket_info *i);
void cforecast_none_waits(struct cservice *s);
/* A ticket found no room at once, or tickets still wait. */
void cforecast_waiting(struct core *c, struct cservice *s);
void cforecast_observe_use(struct core *c, struct cservice *s);
/* Part of a rate of recent arrivals that has been seen, as a core may have just begun. */
double cforecast_observed(const struct core *c, const struct cservice *s);
/* Rates of arrivals, in work per microsecond. */
struct cforecast_arrivals {
	double recent, usual, lasted_us; /* lasted_us: of the rush so far */
};
struct cforecast_arrivals cforecast_arrivals(const struct core *c, const struct cservice *s);
/* The rate that is expected in in_us from now. */
double cforecast_arrivals_at(const struct cforecast_arrivals *f, int64_t in_us);
/* What the wait of a ticket is computed from. */
struct cforecast {
	double supply, rate; /* rate: what more urgent arrivals leave of the supply */
	double work;         /* that is granted before it, and its own */
	double deviation;    /* standard deviation of the work that will overtake it */
};
struct cforecast cforecast_of(const struct core *c, const struct cticket *t);
/* Microseconds until t, which waits, is granted; INT64_MAX: never. caution: standard deviations
 * of the arrivals that will overtake t, to allow for. */
int64_t cforecast_wait_us(const struct core *c, const struct cticket *t,
			  const struct cforecast *f, double caution);

/* core_ahead.c: work of other groups that is granted first */
void cahead_init(struct cahead *a);
void cahead_free(struct cahead *a);
/* A ticket joined the queue or left it. */
void cahead_changed(struct cqueue *q);
/* A first attempt arrived. */
void cahead_arrived(const struct core *c, struct cqueue *q, double work, double cost);
/* A ticket may wait for so long. */
void cahead_time_allowed(struct cservice *s, int64_t us);
struct cahead_work cahead_of(const struct core *c, const struct cticket *t);

/* core_agenda.c: appointments */
void cagenda_init(struct cagenda *a);
void cagenda_free(struct cagenda *a);
/* Microseconds until this much work is done besides what is promised until then, at a rate of
 * work per microsecond; INT64_MAX: later than appointments reach. */
int64_t cagenda_wait_us(const struct cagenda *a, int64_t now, double work, double rate);
/* Gives the ticket a time at least after_us from now. Returns the time until then, or 0. */
int64_t cagenda_give(struct core *c, struct cservice *s, const struct cticket *t,
		     int64_t after_us);
/* Takes an appointment of this caller that is due; 1 if there is one. */
int cagenda_take(struct core *c, struct cservice *s, uint64_t caller);
/* Time until the only appointment of this caller; 0: it has none, several, or it is due. */
int64_t cagenda_only(const struct core *c, const struct cservice *s, uint64_t caller);
void cagenda_expire(struct core *c, struct cservice *s);

/* core_caller.c: whether content identifies a caller */
void ccaller_init(struct core *c);
void ccaller_free(struct core *c);
void ccaller_joined(struct core *c, struct cticket *t);
void ccaller_left(struct core *c, struct cticket *t);
void ccaller_granted(struct core *c, uint64_t caller);
/* Whether another request with the same content waits or was granted lately. */
int ccaller_is_common(const struct core *c, uint64_t caller);
void ccaller_expire(struct core *c);
void ccaller_check(const struct core *c);

/* core_admit.c: the verdict on a new ticket */
/* 1 when the ticket was refused before it was queued. */
int cadmit_early(struct core *c, struct cservice *s, const struct core_ticket_info *i);
/* Queues t, and grants or refuses it, or lets it wait. */
void cadmit_ticket(struct core *c, struct cservice *s, struct cticket *t);
void cadmit_schedule(struct core *c, struct cservice *s);
/* Refuses a ticket whose latest time has passed. */
void cadmit_late(struct core *c, struct cticket *t);
void cadmit_tick(struct core *c);
void cadmit_joined(struct core *c, struct cticket *t);
void cadmit_left(struct core *c, struct cticket *t);
void cadmit_granted(struct core *c, struct cticket *t);
/* An engine was added to the service, left it, or changed. */
void cadmit_engines_changed(struct cservice *s);
/* Room may have become free at the services of e. */
void cadmit_room_changed(struct core *c, struct cengine *e);
/* The place of a queue in the order, computed anew. */
void cadmit_set_tier(struct core *c, struct cqueue *q);
#endif
