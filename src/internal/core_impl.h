/* Internal interface between the files of the decision core. */
#ifndef SH_CORE_IMPL_H
#define SH_CORE_IMPL_H
#include "heap.h"
#include <glib.h>
#include <saddlehead/core.h>

/* Queue of one group's tickets that wait for one service, oldest first. */
struct cqueue {
	struct cgroup *group;
	struct cservice *service;
	struct cticket *first, *last;
	uint32_t pos; /* position in the service's heap of queues that may get a grant */
	uint32_t n;
};

struct cgroup {
	uint64_t id;
	struct core_group_row row;
	int listed;     /* has a row in the table */
	double service; /* tokens charged, not divided by the weight */
	double vtime;   /* tokens charged divided by the weight; the lowest is served first */
	uint32_t running, waiting;
	double bucket; /* token bucket of the rate ceiling; below 0 the group gets no grants */
	int64_t bucket_at;
	GPtrArray *queues;
};

struct cservice {
	uint64_t id;
	struct heap ready; /* cqueues that may get a grant */
	GPtrArray *engines;
	uint32_t waiting;
	int64_t last_grant_us;
	double grant_gap_us; /* smoothed time between grants */
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
};

struct core {
	struct core_config cfg;
	int64_t now;
	GHashTable *groups, *services, *engines, *tickets;
	struct heap deadlines; /* waiting tickets by deadline */
	GArray *orders;
	guint orders_read;
	double vnow; /* vtime of the last group served; an idle group restarts from it */
	uint32_t waiting, running;
};

/* core_group.c */
struct cgroup *cgroup_get(struct core *c, uint64_t id);
void cgroup_free(void *g);
void cgroup_charge(struct cgroup *g, double tokens);
void cgroup_refill(struct core *c, struct cgroup *g);
int cgroup_blocked(const struct cgroup *g);
/* Adds the group's queues to the heaps of their services or removes them, depending on whether
 * the group may get grants. */
void cgroup_update_queues(struct cgroup *g);
void cgroup_activate(struct core *c, struct cgroup *g);
struct cqueue *cgroup_queue(struct cgroup *g, struct cservice *s);
int cqueue_before(const void *a, const void *b);

/* core_engine.c */
void cservice_free(void *s);
void cengine_free(void *e);
void cengine_set(struct core *c, const struct core_event *ev);
void cengine_gone(struct core *c, uint64_t id);
void cengine_link_lost(struct core *c, uint64_t id);
void cengine_load(struct core *c, const struct core_load *l);
int64_t cengine_free_tokens(const struct core *c, const struct cengine *e);
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
void cticket_expire(struct core *c);
guint cref_hash(gconstpointer p);
gboolean cref_equal(gconstpointer a, gconstpointer b);
int cticket_due_before(const void *a, const void *b);

/* core_sched.c */
void csched_service(struct core *c, struct cservice *s);
void csched_all(struct core *c);
void csched_order(struct core *c, const struct core_order *o);
uint32_t csched_retry_ms(const struct core *c, const struct cservice *s);
#endif
