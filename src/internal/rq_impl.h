/* Private to src/relay/rq*.c. */
#ifndef SH_RQ_IMPL_H
#define SH_RQ_IMPL_H
#include "board.h"
#include "budget.h"
#include "dialect.h"
#include "ev.h"
#include "evs.h"
#include "fp.h"
#include "hx.h"
#include "met.h"
#include "ro.h"
#include "rq.h"
#include <saddlehead/forecast.h>
#include <saddlehead/length.h>
#include <saddlehead/place.h>

#define RQ_CONNECT_US 250000    /* a backend server that is there answers in a few ms */
#define RQ_PRIORITY_MAX 9       /* the least urgent that engines know; 0 is the most */
#define RQ_SENDS_MAX 4          /* of one request, whatever they end in */
#define RQ_CONNECTS_MAX 8       /* the same where ports are closed: told in a round trip */
#define RETRY_SOON_US 150000    /* another instance may serve it at once */
#define RETRY_SERVERS_US 300000 /* servers that were tried: others are asked first */
#define RETRY_LATER_US 400000   /* what is missing comes back within about a second */
#define MOVE_AGAIN_US 40000     /* an order that came too early or too soon after another */
#define MOVE_TRIES_MAX 12       /* orders of one move */

struct rq;

/* One exchange with a backend server on a request's behalf. */
struct leg {
	struct rq *rq;
	struct be *be;
	struct hx *hx;     /* NULL once it ended */
	struct be *backup; /* is sent a copy of its memory by the engine; or NULL */
	int copy_bad;      /* it was refused; it takes memory all the same */
	int copy_freed;    /* the run ended well, or its copy was taken over */
	int from_copy;     /* goes on from a copy: the same run, not a repeat */
	int reading;       /* its prompt counts as unread there */
	uint32_t held;     /* tokens counted on be, foreseen ... */
	uint32_t used;     /* ... and now; on backup the same */
	uint32_t bare; /* the same while it has no copy and is to be moved with its engine */
	uint64_t recounted; /* its memory, at this count of events */
	int was_cold;       /* its server, when it was sent */
	int not_run;        /* the answer says so */
	int answered;       /* the head of an answer that counts came */
	int64_t sent_us, first_us;
	struct evs evs;
};

enum move_state {
	MOVE_NONE,
	MOVE_SETTLE, /* waits: for a first event, a copy to be whole, or its turn */
	MOVE_COPY,   /* memory is copied while the source runs */
	MOVE_LAST,   /* the source was told to stop; the rest is copied */
	MOVE_NEXT,   /* sent to the engine that has the copy */
};

struct move {
	enum move_state state;
	struct be *source, *target;
	uint32_t inbound; /* tokens counted as on their way to target */
	struct hx *hx;    /* the order under way */
	GString *body;
	struct ev_timer timer;
	char handle[DL_HANDLE_MAX + 1]; /* of what was copied */
	int stopped;                    /* the source has; the copy is all there is */
	int silent; /* its connection carries nothing, and its engine runs on */
	int tries;
	int refusals;       /* of the copy that is to be gone on with */
	int64_t ordered_us; /* when the order under way was given */
	int64_t turn_us;    /* begins then whoever comes before it; 0: not waited yet */
};

/* What a request waits for. */
enum rq_waits {
	RQ_WAITS_NOT,
	RQ_WAITS_ROOM, /* in an engine's memory */
	RQ_WAITS_TURN, /* at a server that bears only so many requests */
};

struct rq {
	struct hs *h;
	struct conf *conf;
	const struct conf_route *route;
	const struct conf_group *group;
	const struct conf_service *service;
	struct dl_request in;
	struct place_job job;
	int64_t began_us, end_us;   /* came whole; must have its final answer */
	int64_t gap_us, gap_at_us;  /* longest pause between events so far, and when it ended */
	int64_t first_us, event_us; /* first byte to the caller; last event */
	int stalls; /* silences since then after which its engine was asked for its memory */
	struct ev_timer end_timer, stall_timer;
	struct leg *leg, *next; /* the one that answers; the one that will */
	struct move move;
	enum rq_waits waiting; /* in the line of rq_line.c */
	int64_t waited_from;   /* since when; 0: it has not waited */
	int64_t foreseen_us;   /* how long it was then expected to wait ... */
	int64_t worked_out_us; /* ... and would have been by the forecast alone */
	uint32_t parts;        /* bits of enum ro_part: which servers it may go to, by now */
	int sends;             /* exchanges that were begun */
	int held_back;         /* a repeat was, by the allowance */
	int unreached;         /* of them, those that reached no server */
	int reached;           /* exchanges that reached a server, but those from a copy */
	int64_t counted_us;    /* when its last repeat was counted */
	int copies_refused;    /* since its stream last went on */
	int runs;              /* of sends, those that may have run */
	int head_sent;
	int status;
	GString *answer; /* of a plain call, until it is whole */
	struct evs_seen seen;
	uint32_t index;
	struct fp fp; /* once has_fp is set */
	int has_fp;
	int held;     /* until this instance has heard which requests end servers */
	int on_trial; /* blamed for ends of servers, and tried once more */
};

extern const struct entry_cfg *rq_cfg;
extern GPtrArray *rq_all;

/* rq.c */
/* Not run: told so, with a time to come back. */
void rq_refuse(struct rq *r, enum refusal why, int64_t retry_us, const char *detail);
/* May have run: the answer promises nothing. */
void rq_fail(struct rq *r, enum refusal why, const char *detail);
/* A whole plain answer. */
void rq_answer(struct rq *r, const struct hp_head *head);
/* The stream's last event is out. */
void rq_stream_end(struct rq *r);
/* Backend servers ended while it ran: final, and no time to come back. */
void rq_block(struct rq *r);
/* Whether it may run more than once. */
int rq_repeatable(const struct rq *r);

/* rq_begin.c */
void rq_stop_holding(struct rq *r);
/* Whether the configuration lets the request's key in; without workspaces it asks for none. */
int rq_key_known(const struct rq *r, const struct conf *c);
/* 0 while the configuration is too old to tell whether the request's key still holds. */
int rq_confirmed(const struct rq *r);

/* What makes it the same request as another try of its caller; worked out when it is asked
 * for. */
const struct fp *rq_fp(struct rq *r);

/* rq_silent.c */
/* Asks the engine of a stream that pauses how far it is. */
void silent_ask(struct rq *r);
/* The same, and leaves its connection when nothing has come for long; of one that can't run
 * again. */
void silent_look(struct rq *r);
int64_t silent_next_look_us(const struct rq *r);
/* Goes on from the memory that the engine of a silent connection has. */
void silent_leave(struct rq *r);

/* rq_time.c */
/* 1 when it was sent to another server, and may be gone; 0: it may not be repeated now. */
int rq_repeat_elsewhere(struct rq *r, int blame);
/* Microseconds since the last event, or since it was sent where it is, or this instance stood
 * still; it has been sent. */
int64_t rq_silence_us(const struct rq *r);
/* How long a server is waited for that has not answered. */
int64_t rq_patience_us(const struct rq *r);
/* Silence that is an engine's death. */
int64_t rq_stall_us(const struct rq *r);
/* What its engine has still to read comes first, or in between. */
int64_t rq_reading_us(const struct rq *r);
/* Whether its engine may be silent as it is at work for others. */
int rq_is_at_work(const struct rq *r);
/* Its route is known: from now on it ends in time, and silence is looked at. */
void rq_set_times(struct rq *r);

/* rq_send.c */
/* Looks for a backend server and sends; refuses when there is none. */
void rq_place(struct rq *r);
/* All its servers are in data centres that operators drain. */
void rq_refuse_drained(struct rq *r);
/* Sends to b; copy NULL: from the start, or after the last event seen. NULL: not possible. */
struct leg *leg_start(struct rq *r, struct be *b, const struct be *copy_at, const char *copy);
/* Cancels what is under way and takes its load off. */
void leg_free(struct leg *l);
/* 0 (most urgent) to 9, workspaces before routes. */
int rq_rank(const struct rq *r);

/* rq_pick.c */
/* Where this instance begins to look among servers, as be_walk has it. */
uint32_t rq_own_place(void);
/* Whether it may be served there, by the regions that its route and workspace are bound to. */
int rq_allows(const struct rq *r, const struct be *b);
/* The best of the service but not_this (NULL: any); NULL: none is usable. */
struct be *rq_pick(struct rq *r, const struct be *not_this);
/* Whether a plain call can still be answered there in its time; generations wait by forecast.
 */
int rq_in_time(const struct rq *r, struct be *b);
/* A generation was sent: others are taken to send as many. */
void rq_count_placed(void);
/* Where its memory should move from source. */
struct be *rq_pick_target(struct rq *r, const struct be *source);
/* Where a running copy of its memory should be kept, or NULL. */
struct be *rq_pick_backup(struct leg *l);
/* Microseconds until b may get new work of r's service; INT64_MAX: not as far as is known. */
int64_t rq_usable_in(struct be *b, const struct rq *r, int64_t now);
/* b as a candidate; dc: the data centre from which it is near or far. */
void rq_fill_site(struct place_site *s, struct be *b, const struct rq *r, const char *dc,
		  int64_t now);
/* What all instances together have on b. */
struct be_load rq_load_of(const struct be *b);

/* rq_room.c */
/* Whether the request as it is now fits into b's memory. */
int rq_fits(const struct rq *r, struct be *b);
/* Whether it had better wait for another engine than b, where it fits. */
int rq_waits(const struct rq *r, struct be *b);
/* Microseconds until there is room for the request somewhere, after so many tokens that waited
 * before it; FORECAST_NEVER: not as far as is known. */
int64_t rq_room_in(const struct rq *r, uint64_t before);

/* rq_wait.c */
/* 1 when r waits for memory from now on, or is refused as it would wait for too long. b: where
 * it would go, or NULL. */
int rq_wait(struct rq *r, struct be *b);
/* Looks at one that waits for room. 1 when it was sent or refused, 0 when it still waits. */
int rq_room_try(struct rq *r);

/* rq_turn.c */
/* 1 when r waits for its turn from now on, or is refused as that comes too late; 0 when no
 * server's turn is foreseen. */
int rq_wait_turn(struct rq *r);
/* Logs whose turn it waits for, if it waits for one. */
void rq_note_paced(const struct rq *r);
/* As rq_room_try, of one that waits for its turn. */
int rq_turn_try(struct rq *r);

/* rq_line.c */
void rq_line_join(struct rq *r, enum rq_waits what);
/* Those of the same service that wait for that, and go before r. */
void rq_line_ahead(const struct rq *r, enum rq_waits what,
		   void (*f)(const struct rq *other, void *arg), void *arg);
/* Nothing where it does not wait. */
void rq_stop_waiting(struct rq *r);

/* rq_load.c */
void leg_count_in(struct leg *l);
void leg_count_out(struct leg *l);
/* Its prompt is read: the first token came. */
void leg_read(struct leg *l);
/* Microseconds from one of its tokens to the next, as the route's were lately. */
double rq_token_us(const struct rq *r);
/* Counts its memory anew after it grew. */
void leg_recount(struct leg *l);
/* Its running copy is of no use any more. */
void leg_drop_backup(struct leg *l);
/* Its running copy stays until the engine lets it go: counted until then. */
void leg_leave_copy(const struct leg *l);
/* What is known of the lengths of the request's route. */
struct length_stats *rq_lengths(const struct rq *r);
/* Tokens that the request has made. */
uint32_t rq_made(const struct rq *r);
/* Tokens of memory that it has, and is still expected to take. */
uint32_t rq_held(const struct rq *r);

/* rq_budget.c */
/* A request came for its service. */
void rq_count_request(const struct rq *r);
/* The copy that its stream was to go on from was turned away. */
void rq_note_copy_refused(struct rq *r);
/* Whether its stream may go on from a copy now: the same run, but one that was turned away is
 * asked for again only within the allowance of repeats. */
int rq_may_go_on(struct rq *r);
/* Its exchange reached a server. */
void rq_note_reached(const struct leg *l);
/* 1 and counted as sent anew where a server was reached, or 0: the budget is used up, or it was
 * sent too often. */
int rq_may_repeat(struct rq *r);

/* rq_rollout.c */
/* Its server is cold or not, now that it is sent. */
void leg_note_cold(struct leg *l);
/* Its exchange ended: what that tells of its server's version. */
void leg_tell_version(const struct leg *l, enum ro_result how);

/* rq_poison.c */
/* Its exchange broke off with this error: perhaps its server ended. */
void leg_note_broken(const struct leg *l, int err);
/* Its server takes no connections. */
void leg_note_refused(const struct leg *l);
/* A server's life is over by its entry's word: where exchanges broke off, it ended. */
void leg_note_life_over(const struct be *b);
/* A run of it was answered whole. */
void rq_came_through(struct rq *r);
/* 1 when it was refused, or blocked, for servers that ended while it ran. */
int rq_is_held_off(struct rq *r);

/* rq_answer.c */
void leg_on_up(struct hx *x);
int leg_on_head(struct hx *x);
int leg_on_body(struct hx *x, const char *p, size_t n);
int leg_is_stream(const struct leg *l, const struct hx *x);
/* Its exchange ended well: what is left of the stream goes out. */
void leg_stream_done(struct leg *l, const struct hp_head *head);

/* rq_end.c */
void leg_on_end(struct hx *x, int err);
/* Its exchange, which is under way, has no server any more. */
void leg_server_ended(struct leg *l);

/* rq_move.c */
void move_init(struct rq *r);
void move_begin(struct rq *r);
/* The same without a notice: no event has come from its engine for long. */
void move_from_silent(struct rq *r);
/* The first event came, or another change that may let a move go on. */
void move_go_on(struct rq *r);
/* The source was told to stop: its stream ends without its end. */
int move_stops_source(const struct rq *r);
/* The source's stream ended without its end. 1: the move goes on without it. */
int move_source_ended(struct rq *r);
void move_stop(struct rq *r);
/* Of a move that is under way: */
void move_log(const struct rq *r, const char *event, int status);
void move_later(struct rq *r, int64_t in_us);
void move_forget_ends(struct move *m);
/* So many tokens are on their way to its target: others choose other targets meanwhile. */
void move_count_inbound(struct move *m, uint32_t tokens);
void move_lost(struct rq *r, const char *why);

/* rq_move_next.c */
/* Whether a running copy of its memory can be gone on with now. */
int move_has_backup(const struct rq *r);
/* The engine is silent or broke: goes on from the running copy. 0, or -ENOENT without one. */
int move_to_backup(struct rq *r);
/* The source has stopped and its memory is at the target: the stream goes on there. */
void move_use_handle(struct rq *r);
/* The same where the memory is kept at the source, which may go on with it. */
void move_use_source(struct rq *r);
/* Once more where a copy was refused a moment ago. */
void move_use_again(struct rq *r);
/* The copy's engine is sent the request: from now on both may run. */
void move_reached(struct rq *r);
/* It has not answered: the source is let go, or where it is gone the copy asked for again. */
void move_not_answered(struct rq *r);
/* The exchange with the copy's engine: answered, or refused. turned_away: it said so itself. */
void move_answered(struct rq *r);
void move_refused(struct rq *r, int turned_away);

/* rq_move_copy.c */
void move_copy_begin(struct rq *r);
/* Orders a copy of the next part; last: the source stops first. */
void move_order(struct rq *r, int last);
/* What was copied for a move that did not come to its end takes memory until it is dropped. */
void move_drop_copy(struct move *m);
#endif
