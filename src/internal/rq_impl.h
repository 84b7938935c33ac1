/* Private to src/relay/rq*.c. */
#ifndef SH_RQ_IMPL_H
#define SH_RQ_IMPL_H
#include "admit_step.h"
#include "al.h"
#include "cache.h"
#include "budget.h"
#include "dialect.h"
#include "ev.h"
#include "evs.h"
#include "fp.h"
#include "bx.h"
#include "hx.h"
#include "met.h"
#include "path.h"
#include "ro.h"
#include "rq.h"
#include <saddlehead/forecast.h>
#include <saddlehead/length.h>
#include <saddlehead/place.h>

#define RQ_CONNECT_US 250000    /* a live backend server answers within a few ms */
#define RQ_PRIORITY_MAX 9       /* the least urgent priority of engines; 0 is the most urgent */
#define RQ_SENDS_MAX 4          /* of one request, whatever their outcome */
#define RQ_CONNECTS_MAX 8       /* the same for closed ports: noticed in a round trip */
#define RETRY_SOON_US 150000    /* another instance may serve it at once */
#define RETRY_TRIED_US 300000   /* after servers were tried: a retry goes to others first */
#define RETRY_LATER_US 400000   /* what is missing is usually back within about a second */
#define RQ_PAUSE_MAX_US 2000000 /* callers abandon a stream that pauses for longer */
#define MOVE_RETRY_US 40000     /* wait after a copy order that can't be carried out yet */
#define MOVE_TRIES_MAX 12       /* copy orders of one move */

struct rq;

/* One exchange with a backend server on behalf of a request. */
struct attempt {
	struct rq *rq;
	struct be *be;
	struct hx *hx;           /* NULL once it has ended */
	int reached;             /* its server may have read the request */
	struct be *replica;      /* receives a replica of its memory from the engine; or NULL */
	int replica_refused;     /* a resumption from it was refused; its memory still counts */
	int replica_freed;       /* the run succeeded, or its replica was taken over */
	int from_copy;           /* resumes from a copy: the same run, not a retry */
	int resumed;             /* continues a stream that another attempt began */
	int prefill_counted;     /* its prompt is counted in the prefill of be */
	uint32_t forecast;       /* tokens counted on be and replica: expected in the end ... */
	uint32_t used;           /* ... and in use now */
	uint32_t unreplicated;   /* of used: must be moved if its engine leaves */
	uint64_t recounted;      /* count of events when its memory was last counted */
	int was_cold;            /* its server was cold when it was sent */
	int beyond_room;         /* sent though its server may have no room: room_is_beyond */
	int not_run;             /* the answer states that the request was not run */
	int answered;            /* the head of a valid answer arrived */
	int status;              /* of that answer */
	int is_stream;           /* it is passed on event by event ... */
	enum hp_framing framing; /* ... and is ended by this */
	int stop_ordered;    /* for a move; it may have stopped, unless it replied that not */
	int absences;        /* orders in a row that its engine answered without the run */
	int may_be_complete; /* its unframed stream was closed after an order to stop it */
	enum tn_fault fault; /* once it has ended: whose failure, if through a tunnel */
	struct sockaddr_in helper; /* that its tunnel leads through; no port: none */
	int64_t sent_us, first_us;
	struct evs evs;
	uint64_t held;       /* bytes of its plain answer, or of an incomplete event */
	uint64_t length;     /* of its plain answer; AL_NO_LENGTH: not stated */
	uint64_t head_bytes; /* received of its head when it ended */
	int64_t part_us;     /* when its plain answer, or the incomplete event, began */
	int size_checked;    /* its size was found unusual once */
	int64_t stopped_us;  /* since when it is not read for want of memory; 0: it is read */
	int retry_granted;   /* it is given up for a retry that was counted */
	enum al_reason given_up;
};

enum move_state {
	MOVE_NONE,
	MOVE_PENDING,    /* waits for a first event, a complete replica, or the source's link */
	MOVE_COPYING,    /* memory is copied while the source runs */
	MOVE_FINAL_COPY, /* the source was ordered to stop; the rest is copied */
	MOVE_SWITCHING,  /* the request was sent to the engine that has the copy */
};

struct move {
	enum move_state state;
	struct be *source, *target;
	uint32_t inbound; /* tokens counted as in transfer to target */
	struct hx *hx;    /* the copy order in flight */
	GString *body;
	struct ev_timer timer;
	char handle[DL_HANDLE_MAX + 1]; /* of the copied memory */
	int source_stopped;             /* the source has stopped; only the copy is left */
	int from_silent; /* started because the connection is silent; its engine still runs */
	int tries;
	int returned;       /* the stream went on at its source: the next move is another try */
	int refusals;       /* of the copy that the stream is to resume from */
	int64_t ordered_us; /* when the copy order in flight was sent */
	int64_t start_by_us; /* latest start if others use the link first; 0: not set */
};

/* What a request in the queue waits for. */
enum rq_wait_reason {
	RQ_WAIT_NONE,
	RQ_WAIT_MEMORY,    /* free memory of an engine */
	RQ_WAIT_RATE,      /* a send slot at a server that limits its request rate */
	RQ_WAIT_ADMISSION, /* a verdict of the keeper of its service */
};

struct rq_admission {
	enum rq_adm_state state;
	uint64_t id; /* for adm.h; 0: none yet */
	uint32_t regrants;
	const char *keeper;               /* that it waits at, by its name; NULL: not known */
	char backend[ENTRY_TEXT_MAX + 1]; /* granted */
	int64_t granted_us;
};

/* What becomes of a generation that is about to be sent. */
enum rq_admit {
	RQ_ADMIT_LOCALLY, /* this instance decides: rq_wait_for_memory */
	RQ_ADMIT_SEND,
	RQ_ADMIT_WAIT /* it was queued for a verdict of its keeper */
};

/* Whether a stream may go on at one software version only. */
enum rq_bound {
	RQ_UNBOUND,      /* it has brought no event */
	RQ_BOUND,        /* to version_key */
	RQ_BOUND_UNKNOWN /* to one that its engine did not state */
};

/* Where a stream began, of a request that takes it up or may be taken up. */
struct rq_origin {
	uint64_t key; /* of the attempt that brought the first event; 0: not needed yet */
	int asked, unanswered; /* other instances; unanswered: the request waits for them */
	struct ev_timer timer;
};

/* The engine whose report a stream waits for before it goes on there; NULL: none. */
struct rq_confirm {
	struct be *be;
	struct ev_timer timer;
};

struct rq {
	struct hs *h;
	struct conf *conf;
	const struct conf_route *route;
	const struct conf_group *group;
	const struct conf_service *service;
	struct dl_request in;
	struct place_job job;
	int64_t began_us, end_us; /* received whole; deadline of the final answer */
	int64_t max_pause_us, max_pause_end_us; /* longest pause between events, and its end */
	int64_t first_us, event_us;             /* first byte to the caller; last event */
	int silences; /* consecutive silences after which the engine's memory was asked for */
	struct ev_timer end_timer, silence_timer;
	struct attempt *attempt, *next; /* the current one; the one that is to take over */
	struct move move;
	enum rq_wait_reason waiting; /* in the queue of rq_queue.c */
	struct rq_admission admission;
	int64_t wait_began_us;    /* when it joined the queue; 0: it has not waited */
	int64_t expected_wait_us; /* expected wait at that time ... */
	int64_t forecast_us;      /* ... and by the forecast alone, without past errors */
	struct rq_origin origin;
	struct rq_confirm confirm;
	enum rq_bound bound;
	uint64_t version_key;   /* of its service and version, if bound */
	uint32_t rollout_roles; /* bits of enum ro_role: servers that it may go to at present */
	int sends;              /* attempts started */
	int retry_denied;       /* the retry budget denied it a retry */
	int unreached_count;    /* attempts that reached no server */
	int reached_count;      /* attempts that reached a server, except those from a copy */
	int64_t retry_counted_us; /* when its last retry was counted */
	int copies_refused;       /* refusals of copies since its stream last resumed */
	int runs;                 /* attempts that may have run */
	int head_sent;
	char *media_type; /* stated by that head, in lower case; NULL: none */
	int status;
	GString *answer; /* body of a plain answer until it is complete */
	/* A server whose answer was given up as unusually large, and the size beyond which
	 * another one's answer shows that it was not at fault; or NULL. */
	struct be *doubted;
	uint64_t doubted_max;
	/* The last server that did not continue its stream from a copy; or NULL. */
	struct be *refused_copy;
	struct evs_seen seen;
	uint32_t index;
	struct fp fp; /* valid once has_fp is set */
	int has_fp;
	int held;           /* until this instance has received the quarantine verdicts */
	int on_trial;       /* quarantined, and allowed a single trial run */
	struct fp trial_fp; /* the quarantined request or segment ... */
	struct ev_timer trial_timer; /* ... and until when another instance may allow the run */
};

extern const struct entry_cfg *rq_cfg;
extern GPtrArray *rq_all;

/* rq.c */
/* The request was not run: answers so, with a time to retry after. */
void rq_refuse(struct rq *r, enum refusal why, int64_t retry_us, const char *detail);
/* The request may have run: the answer promises nothing about that. */
void rq_fail(struct rq *r, enum refusal why, const char *detail);
/* Sends a complete plain answer to a caller who has received nothing yet. */
void rq_answer(struct rq *r, const struct hp_head *head);
/* Ends the caller's stream after its last event. */
void rq_stream_end(struct rq *r);
/* Backend servers crashed under the quarantined request or segment fp, which r is or has: a
 * final answer without a time to retry. */
void rq_refuse_quarantined(struct rq *r, const struct fp *fp);
/* Whether it may run more than once. */
int rq_retryable(const struct rq *r);
/* Whether another run can be told after which event to continue the stream. */
int rq_can_continue(const struct rq *r);

/* rq_begin.c */
/* Goes on with a request that has waited to learn its stream's version. */
void rq_admit_resolved(struct rq *r);
void rq_stop_holding(struct rq *r);
/* Whether the configuration accepts the request's key; without workspaces no key is required.
 */
int rq_key_is_valid(const struct rq *r, const struct conf *c);
/* 0 while the configuration is too old to decide whether the request's key is still valid. */
int rq_conf_is_confirmed(const struct rq *r);

/* Fingerprint by which retries of the same caller are recognized; computed on first use. */
const struct fp *rq_fp(struct rq *r);

/* rq_silent.c */
/* Asks the engine of a stream that pauses for its progress. */
void silent_request_report(struct rq *r);
/* The same for a stream that can't run again; after a long silence leaves the connection. */
void silent_check(struct rq *r);
int64_t silent_next_check_us(const struct rq *r);
/* Resumes from the memory that the engine of a silent connection holds. */
void silent_recover(struct rq *r);

/* rq_time.c */
/* 1 when it was sent to another server, and r may be freed; 0: it may not be retried now.
 * failed: counts as a failure of its server. */
int rq_retry_elsewhere(struct rq *r, int failed);
/* Microseconds since the last of: its last event, its last send, the end of a suspension of
 * this process. The request must have been sent. */
int64_t rq_silence_us(const struct rq *r);
/* How long to wait for the head of a server's answer. */
int64_t rq_answer_timeout_us(const struct rq *r);
/* Silence after which an engine is taken for dead. */
int64_t rq_silence_timeout_us(const struct rq *r);
/* Time that the engine needs for the prompts it has still to read; they delay the request. */
int64_t rq_prefill_us(const struct rq *r);
/* Whether its engine may be silent because it works for others. */
int rq_engine_is_busy(const struct rq *r);
/* Once the route is known: starts the timers of its deadline and of the checks for silence. */
void rq_start_timers(struct rq *r);

/* Microseconds since from_us, or since the end of a suspension of this process. */
int64_t rq_age_us(int64_t from_us);

/* rq_held.c */
/* Sets the limit, in bytes, on the sum of all held answers. */
void held_start(uint64_t max);
/* The attempt now holds so many bytes of an answer. */
void held_set(struct attempt *att, uint64_t bytes);
/* The attempt to give up; NULL while the sum is within its limit. */
struct attempt *held_victim(void);
/* The sum exceeds its limit, and att's answer states its length: stops reading it until memory
 * is free, unless it is the one to be finished next. */
void held_stop_reading(struct attempt *att);

/* rq_giveup.c */
struct al_answer rq_measure_answer(const struct attempt *att);
/* Whether an answer that has begun, or an event of it, has taken too long. The exchange must be
 * in flight. */
int rq_answer_is_late(const struct rq *r);
/* These two return 0, or -EMSGSIZE when the answer is given up: it has received so many more
 * bytes; the sum of all has grown by it, in which case others may be given up. */
int giveup_check_size(struct attempt *att, uint64_t more);
int giveup_check_memory(struct attempt *att);
/* 1 when its answer was late and was given up, and r may be freed. */
int giveup_check_time(struct rq *r);
/* Microseconds until a plain answer that has begun is late; not positive: it is. */
int64_t giveup_next_check_us(const struct rq *r);
void giveup_log(const struct attempt *att, enum al_reason why);
/* Its answer was given up: blames its server if it is at fault. */
void giveup_blame(const struct attempt *att);
/* A plain answer is complete and no error. */
void giveup_note_answer(struct rq *r);

/* rq_send.c */
/* Chooses a backend server and sends the request, queues it, or refuses it. */
void rq_place(struct rq *r);
/* Refuses a request that takes up a stream of a version without engines. */
void rq_refuse_version_gone(struct rq *r);
/* Refuses a request whose servers are all in data centres that operators drain. */
void rq_refuse_drained(struct rq *r);
/* Sends to b. copy NULL: from the start, or after the last event received. NULL: no connection
 * can be started. */
struct attempt *att_start(struct rq *r, struct be *b, const struct be *copy_at,
			  const char *copy);
/* Cancels the exchange if it is in flight and removes its load. */
void att_free(struct attempt *att);
/* 0 (most urgent) to 9; workspaces weigh more than routes. */
int rq_rank(const struct rq *r);
/* The class of its rank in metrics, from 0 up. */
int rq_rank_class(const struct rq *r);

/* rq_version.c */
/* b brought the stream's first event. No effect once it is bound. */
void rq_bind(struct rq *r, const struct be *b);
/* Whether the version that r is bound to, a rollout (roles: see ro.h) and regions allow b.
 * Every choice of a server asks this. */
int rq_allows_server(const struct rq *r, const struct be *b, uint32_t roles);
/* Whether r may use b when no server is usable. For a bound stream the few of its version may
 * be gone while others serve: not one that refuses connections, nor one whose entry is gone
 * while others of the service are listed, so that entries have not lapsed all together. */
int rq_allows_last_resort(const struct rq *r, const struct be *b);
/* Whether the version allows b, asked before each send: b may also be the incarnation that
 * runs the stream. */
int rq_may_start_at(const struct rq *r, const struct be *b);
/* Whether an engine of the version that r is bound to is ready and not blocked, usable at
 * present or not; 1 for a request that is bound to none. */
int rq_has_engine_of_version(const struct rq *r);

/* rq_origin.c */
/* 1 when r takes up a stream and waits to learn its version, or was refused; 0: it goes on. */
int rq_resolve_origin(struct rq *r);
/* b brings the first event of an attempt: binds the stream, and has it known elsewhere. */
void rq_note_origin(struct rq *r, const struct be *b);
/* The service of its route that has servers of the version that r is bound to; NULL: none. */
const char *rq_bound_service(const struct rq *r);

/* rq_confirm.c */
/* 1 when r is to go on at b and waits for b's report; 0: it may be sent. */
int rq_confirm_incarnation(struct rq *r, struct be *b);
/* These have an effect if r waits for b's report. It has arrived: places r again, or refuses
 * it.
 */
void confirm_on_report(struct rq *r, const struct be *b);
/* b leaves, or has ended: places r again. */
void confirm_on_loss(struct rq *r, const struct be *b);
void confirm_stop(struct rq *r);
/* Whether it has left its server, if it had one, and waits to be sent: in the queue, or for a
 * report. The exchange that it has left may still be in flight. */
int rq_waits_to_be_sent(const struct rq *r);

/* rq_pick.c */
/* The place in the ring of servers where this instance starts its walk. */
uint32_t rq_walk_start(void);
/* Whether the regions of its route and workspace allow b. */
int rq_region_allowed(const struct rq *r, const struct be *b);
/* The best server of the service other than except (which may be NULL); NULL: none is usable.
 */
struct be *rq_pick(struct rq *r, const struct be *except);
/* Whether a plain call can still be answered by b before its deadline; always 1 for
 * generations, which wait by forecast. */
int rq_can_answer_in_time(const struct rq *r, struct be *b);
/* Counts a generation that was sent; other instances are assumed to send as many. */
void rq_count_placed(void);
/* Where its memory should move from source. */
struct be *rq_pick_move_target(struct rq *r, const struct be *source);
/* Where a replica of its memory should be kept, or NULL. */
struct be *rq_pick_replica(struct attempt *att);
/* Microseconds until b may get new work of r's service; INT64_MAX: no such time is known. */
int64_t rq_usable_in(struct be *b, const struct rq *r, int64_t now);
/* Describes b as a candidate; dc: the data centre from which it is reached. */
void rq_fill_server(struct place_server *s, struct be *b, const struct rq *r, const char *dc,
		    int64_t now);
/* Load of all instances together on b. */
struct be_load rq_total_load(const struct be *b);

/* rq_memory.c */
/* Whether the request at its present size fits into b's memory. */
int rq_fits(const struct rq *r, struct be *b);
/* Whether it fits into b but should wait for another engine. */
int rq_should_wait(const struct rq *r, struct be *b);
/* Microseconds until some server has free memory for the request, after as many tokens that are
 * queued before it; FORECAST_NEVER: no such time is known. */
int64_t rq_memory_free_in(const struct rq *r, uint64_t before);

/* rq_wait.c */
/* 1 when r was queued for memory, or refused since the wait would be too long. b: the server
 * chosen for it, or NULL. */
int rq_wait_for_memory(struct rq *r, struct be *b);
/* Re-checks a request that waits for memory. 1 when it was sent or refused, 0 when it still
 * waits. */
int rq_recheck_memory(struct rq *r);

/* rq_admit.c */
void rq_admission_start(void);
/* b: the server chosen for it, or NULL. */
enum rq_admit rq_admit(struct rq *r, struct be *b);
/* Whether a request that waits locally is to be placed anew, as the scope has changed. */
int rq_admit_changed(const struct rq *r);
/* Re-checks a request that waits for a verdict, or for the news of the room that it was
 * granted. 1 when it was sent, refused or queued anew as the scope has changed, 0 when it still
 * waits. */
int rq_recheck_admission(struct rq *r);
/* The server that the keeper granted, if r may use it and it has room; or NULL. */
struct be *rq_granted_server(struct rq *r);
/* r was sent. */
void rq_admission_sent(struct rq *r);
/* r is about to be freed. */
void rq_admission_end(struct rq *r);

/* rq_rate.c */
/* 1 when r was queued for a send slot, or refused since its slot comes too late; 0 when no slot
 * of any server is predictable. */
int rq_wait_for_rate(struct rq *r);
/* Logs whose rate limit it waits for, if any. */
void rq_log_rate_wait(const struct rq *r);
/* Like rq_recheck_memory, for a request that waits for a send slot. */
int rq_recheck_rate(struct rq *r);

/* rq_queue.c */
void rq_queue_join(struct rq *r, enum rq_wait_reason what);
/* Calls f for the requests of the same service that wait for the same and precede r. */
void rq_queue_ahead(const struct rq *r, enum rq_wait_reason what,
		    void (*f)(const struct rq *other, void *arg), void *arg);
/* Calls f for all that wait, in their order. */
void rq_queue_each(void (*f)(const struct rq *r, void *arg), void *arg);
/* Whether something waits for the service. */
int rq_queue_has(const char *service);
/* No effect on a request that does not wait. */
void rq_queue_leave(struct rq *r);
/* An exchange with a server of the service ended: the first that wait for it may be sent. */
void rq_queue_wake(const char *service);

/* rq_load.c */
/* Adds its load to its servers, or removes it. */
void att_count_in(struct attempt *att);
void att_count_out(struct attempt *att);
/* The first token arrived, so its prompt has been read. */
void att_prompt_read(struct attempt *att);
/* Microseconds between two of its tokens, by recent streams of the route. */
double rq_token_us(const struct rq *r);
/* Updates its counted memory after it grew. */
void att_recount(struct attempt *att);
/* Its replica is no longer usable: stops counting it. */
void att_drop_replica(struct attempt *att);
/* Its replica stays at the engine until it expires: keeps counting it until then. */
void att_leave_replica(const struct attempt *att);
/* Statistics of answer lengths of the request's route. */
struct length_stats *rq_length_stats(const struct rq *r);
/* Tokens that the request has generated. */
uint32_t rq_tokens_made(const struct rq *r);
/* Tokens of memory in use plus those it is expected to need still. */
uint32_t rq_expected_memory(const struct rq *r);

/* rq_budget.c */
/* Counts a new request for its service. */
void rq_count_request(const struct rq *r);
/* The copy that its stream was to resume from was refused. */
void rq_note_copy_refused(struct rq *r);
/* Whether its stream may resume from a copy now. That is the same run, but after a refusal it
 * is asked for again only within the retry budget. */
int rq_may_resume_from_copy(struct rq *r);
/* Its exchange reached a server. */
void att_note_reached(const struct attempt *att);
/* 1, counted as a retry if a server was reached before; 0: the retry budget is used up, or it
 * was sent too often. */
int rq_may_retry(struct rq *r);

/* rq_rollout.c */
/* Records whether its server is cold at the time of sending. */
void att_note_cold(struct attempt *att);
/* Reports the outcome of its exchange as evidence about its server's version. */
void att_report_outcome(const struct attempt *att, enum ro_result how);

/* rq_crash.c */
/* Its exchange broke off with this error: its server may have crashed. */
void att_note_broken(const struct attempt *att, int err);
/* b refused a connection from here: unless another instance reaches it, it crashed. */
void att_note_refused(const struct be *b);
/* Another instance reaches it: only the path from here is lost. */
void att_note_alive(const struct be *b);
/* By its list entry an incarnation is over: exchanges that broke off there were cut by a crash.
 */
void rq_note_incarnation_end(const struct be *b);
/* Number of servers being checked on which a run with that fingerprint broke off. */
uint32_t crash_count_checks(const struct fp *fp);
/* Calls f for each request and segment on each server being checked. */
void crash_each_run(void (*f)(const struct fp *fp, void *arg), void *arg);

/* rq_quarantine.c */
/* Whether it has brought events for so long that it won't crash its server any more. */
int att_has_run_long(const struct attempt *att);
/* It was answered completely; prompt_read: from its prompt, not with an error. */
void att_note_success(const struct attempt *att, int prompt_read);
/* 1 when it was refused because servers crashed under it or under one of its segments, or waits
 * until another instance allows a trial run. */
int rq_check_quarantine(struct rq *r);
/* Whether another run of it should not start now for the same reason. */
int rq_is_held_back(struct rq *r);

/* rq_trial.c */
/* The quarantine of fp, which r is or has, has run out. 0: r may run; 1: it was refused, or
 * waits until another instance allows it. */
int rq_begin_trial(struct rq *r, const struct fp *fp);
/* Another instance answered whether a request with fp may run here. */
void rq_on_trial_answer(const struct fp *fp, int granted);

/* rq_answer.c */
void att_on_up(struct hx *x);
int att_on_head(struct hx *x);
int att_on_body(struct hx *x, const char *p, size_t n);
/* Its stream is complete: ends that of the caller. head: of the answer; may be NULL once the
 * caller has the head of its stream. */
void att_stream_done(struct attempt *att, const struct hp_head *head);

/* rq_end.c */
/* Adds to a log line how its answer is framed, and how much of an incomplete event it has. */
void att_log_framing(const struct attempt *att, GString *g);
void att_on_end(struct hx *x, int err);
/* Ends its exchange, which is in flight. Its request may be freed. */
void att_give_up(struct attempt *att, enum al_reason why);
/* Whether a request that may have run may run once more; counts a retry if so. more: the number
 * of its runs that are not counted yet. */
int rq_may_run_again(struct rq *r, int more);
/* Its exchange is in flight, and its server no longer exists. */
void att_server_gone(struct attempt *att);

/* rq_move.c */
void move_init(struct rq *r);
void move_begin(struct rq *r);
/* Like move_begin, without a notice of the server: its engine has sent no event for long. */
void move_from_silent(struct rq *r);
/* Continues a pending move, after the first event or another change that may allow it. */
void move_continue(struct rq *r);
/* Whether the source was ordered to stop, so that its stream ends early. */
int move_stops_source(const struct rq *r);
/* The source's stream ended early. 1: the move continues without it. */
int move_source_ended(struct rq *r);
void move_reset(struct rq *r);
/* For a move in progress: */
void move_log(const struct rq *r, const char *event, int status);
void move_postpone(struct rq *r, int64_t in_us);
void move_clear_servers(struct move *m);
/* Counts tokens in transfer to its target, so that other instances choose other targets
 * meanwhile. */
void move_count_inbound(struct move *m, uint32_t tokens);
void move_fail(struct rq *r, const char *why);

/* rq_move_next.c */
/* Whether the stream can resume from a replica of its memory now. */
int move_has_replica(const struct rq *r);
/* The engine is silent or broke off: resumes from the replica. 0, or -ENOENT without one. */
int move_to_replica(struct rq *r);
/* The source has stopped and its memory is at the target: resumes the stream there. */
void move_resume_at_target(struct rq *r);
/* Resumes at the source, which keeps the memory that the target could not take. */
void move_resume_at_source(struct rq *r);
/* Tries once more after a copy was refused. */
void move_resume_again(struct rq *r);
/* The engine with the copy has been reached: from now on both engines may run. */
void move_next_reached(struct rq *r);
/* It has not answered in time: the source is cancelled, or without one the copy is asked for
 * again. */
void move_next_timed_out(struct rq *r);
/* The exchange with the copy's engine was answered, or refused. rejected: by the engine's
 * own answer. */
void move_next_answered(struct rq *r);
void move_next_refused(struct rq *r, int rejected);

/* rq_move_copy.c */
void move_copy_begin(struct rq *r);
/* Orders a copy of the next part; final: the source stops first. */
void move_order_copy(struct rq *r, int final);
/* Drops what was copied for a move that did not complete; it takes memory until then. */
void move_drop_copy(struct move *m);
#endif
