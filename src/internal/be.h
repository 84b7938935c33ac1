/* Backend servers as this instance knows them: where, in which state, how loaded, how sound. */
#ifndef SH_BE_H
#define SH_BE_H
#include "conf.h"
#include <glib.h>
#include <netinet/in.h>
#include <saddlehead/limit.h>
#include <saddlehead/quota.h>
#include <stdint.h>

enum be_state {
	BE_READY,
	BE_LEAVING, /* said so: gets no new work */
	BE_GONE,    /* its entry went */
};

/* Work of one instance, or of several added up, on one backend server. */
struct be_load {
	uint32_t runs;    /* requests sent and not ended */
	uint32_t unread;  /* prompt tokens of those that made no token yet */
	uint32_t held;    /* tokens of memory they will come to, as far as foreseen */
	uint32_t backup;  /* the same of copies kept there for runs elsewhere */
	uint32_t used;    /* tokens of memory that runs and copies have now */
	uint32_t bare;    /* of these, those of streams without a copy elsewhere */
	uint32_t inbound; /* tokens of streams that are being moved there */
};

/* How exchanges of one instance with one backend server ended, since the instance's start. */
struct be_ends {
	uint32_t good, bad; /* bad: broken off, silent, or not reached */
};

/* A server that asked this instance to send it nothing for a while. After that it gets one
 * request, and with each that it does not turn away for rest one more at once, up to its
 * places, until nothing waits for it. */
struct be_rest {
	int64_t until_us, said_us; /* 0: it has not asked, or is over it */
	uint32_t most, under_way;  /* exchanges at once, of those begun since */
	int64_t full_us;           /* when there were last as many, and another wanted to go */
};

struct be {
	int refs;
	char *id;
	int64_t born_ms; /* when this life of it began, by its own clock; 0: not told */
	char *service, *zone, *address;
	char *version;      /* of its software; empty: not told */
	const char *region; /* NULL: not told */
	struct sockaddr_in sa;
	enum be_state state;
	int leaves_by_word; /* its own, or another instance's: its entry may not tell */
	int unreadable;     /* its entry is, for now */
	int64_t drained_us; /* since when its data centre has been drained; 0: it is not */
	int64_t barred_us;  /* since when its version gets no work any more; 0: it may */
	/* Its part in a rollout of its service: bits of enum ro_part. */
	uint32_t ro_part;
	int64_t broke_us; /* when an exchange with it broke off last */
	uint32_t slots;
	int64_t since_us;      /* monotonic: when state became what it is */
	int64_t cold_until_us; /* cold until then, as it told */
	int64_t back_us;       /* when it came to be used, or was taken back; 0: long ago */
	struct be_rest rest;
	struct quota_pace pace[QUOTA_KINDS]; /* of this instance's requests to it */
	int64_t lapsed_us; /* its entry is missing since the platform's return; 0: it is not */
	/* It may be leaving, though no entry can say so now: */
	int64_t suspect_us, suspect_until_us;
	struct be_load own, others;
	/* From this instance's own exchanges: */
	int64_t busy_until_us;    /* it turned a request away */
	int64_t full_until_us;    /* it had no room for memory that was to be moved there */
	int refused;              /* a connection, and no exchange went well since */
	double failing;           /* part of its exchanges that failed, newest first */
	int64_t ejected_until_us; /* gets no work before; 0: sound */
	int64_t eject_us;         /* how long the last time */
	struct be_ends ends;
	/* From those of all instances: */
	uint32_t bad_row; /* bad ends without a good one between, each of another instance */
	uint32_t bad_by;  /* whose the last of them was */
	double answer_us; /* moving average of plain answers; 0: none yet */
	uint32_t answers; /* that it is made of */
	struct limit_report limit; /* what it said last of the requests that it takes */
	int64_t limited_us; /* since when this instance knows of a limit, or of its end; 0:
			       never */
	int64_t unread_us;  /* when a word that can't be used was logged last */
	int limit_heard;    /* its own answers said so since others were told */
	int probed;         /* its health check or report was asked for and has not come */
	int dirty;          /* own load changed since peers were told */
};

struct be_info { /* an entry as the platform lists it */
	const char *id, *service, *zone, *address, *version;
	uint32_t slots;
	int leaving;
	int64_t cold_us;
	int64_t born_ms; /* 0: not told */
};

/* A new or changed entry, or one that stands again after it had lapsed. One of a newer life
 * ends the life before; one of an older life changes nothing. 0 or -EINVAL (no such address, or
 * that of an instance). */
int be_update(const struct be_info *i);
/* Whether word of that life is word of b: where a life is not told, there is one. */
int be_is_life(const struct be *b, int64_t born_ms);
/* It leaves: said by its entry or by its own answer. Never turned back in this life. */
void be_leaving(struct be *b, const char *said_by);
/* The same told by another instance, which may know a newer or an older life: word of a newer
 * one is kept until its entry comes. */
void be_told_leaving(const char *id, int64_t born_ms, const char *said_by);
/* A newer life answers at its address, or is listed: nothing of this one goes on. */
void be_end_life(struct be *b, const char *said_by);
/* Its entry can't be read: it gets no new work until it can, and what runs there goes on. */
void be_unreadable(const char *id);
void be_gone(const char *id);
/* Its entry is missing, but the platform was away: it is gone only if the entry does not come
 * back within be_need_us. */
void be_lapsed(const char *id);
/* Those whose entries did not come back are gone; to be called every tenth of a second or so.
 */
void be_check_lapsed(void);
/* Operators drain a data centre, or take it back: its servers get nothing new meanwhile, and
 * what runs there goes on elsewhere where it can. */
void be_drain_dc(const char *dc, int drained);
int be_dc_is_drained(const char *dc);
/* Whether a stream whose memory is there alone may still go on there: not where its data centre
 * has been drained for be_drain_need_us, even if it is lost. */
int be_may_go_on(const struct be *b);
/* Where a data centre lies; NULL: not told. */
void be_set_region(const char *dc, const char *region);
const char *be_region_of(const char *dc);
/* Whether no server of the service is ready but in drained data centres, and one is there. */
int be_only_drained(const char *service);
/* Servers stand in a data centre of that name. */
void be_know_dc(const char *name);
/* Names of the data centres where servers stand, or stood, or which are drained. Free with
 * g_ptr_array_unref. */
GPtrArray *be_dcs(void);
/* It may leave: what runs there is moved, and it gets no new work for a moment unless it is
 * said again. */
void be_suspect(struct be *b, const char *said_by);
void be_told_suspect(const char *id, int64_t born_ms, const char *said_by);
/* Servers of that version get nothing new, and what runs there goes on elsewhere; or may again.
 */
void be_bar_version(const char *service, const char *version, int on);
int be_version_is_barred(const char *service, const char *version);
/* Whether it leaves, is gone, or may be leaving, or its data centre is drained, or its version
 * barred. */
int be_leaves(const struct be *b);
/* Microseconds since it was first known that it does. */
int64_t be_left_for_us(const struct be *b);
struct be *be_find(const char *id);
/* All known of a service, those leaving and gone too; NULL when none. */
const GPtrArray *be_of(const char *service);
const GPtrArray *be_all(void);
struct be *be_ref(struct be *b);
void be_unref(struct be *b);

/* Its own load changed. */
void be_note_use(struct be *b);
/* Those on which this instance has requests, copies, or memory on its way. Free with
 * g_ptr_array_unref. */
GPtrArray *be_in_use(void);

/* It says that it is cold for so long. */
void be_cold(struct be *b, int64_t for_us);
/* Whether it has named a limit, and no answer since was without one. */
int be_limited(const struct be *b);

/* be_sound.c: */
/* An exchange went well or not: one that fails too often is ejected for a while, in a cap. */
void be_succeeded(struct be *b, int64_t took_us);
/* How little its answers' average says, 0 to 1: few of them are chance. */
double be_answer_doubt(const struct be *b);
void be_failed(struct be *b, const char *why);
/* It answered, with a failure: not held against it by other instances, whose requests are
 * others. */
void be_answered_badly(struct be *b);
/* Exchanges of another instance, known by any number but 0, ended so. Two in a row that end
 * badly, of two instances, eject it here, too. */
void be_heard(struct be *b, uint32_t instance, struct be_ends since);
/* Nothing listens at its address: ejected at once, its list entry may tell late or never. */
void be_refused_connection(struct be *b);
/* It turned a request away: others are asked first for a moment. */
void be_turned_away(struct be *b);
/* It has no room for the memory of a stream: others are moved elsewhere for a moment. */
void be_no_room(struct be *b);
/* Microseconds until it may get new work, as far as is known; INT64_MAX: it leaves. */
int64_t be_usable_in(const struct be *b, int64_t now);
/* May get new work now. */
int be_usable(const struct be *b, int64_t now);
/* Entries that lapsed all together are better than nothing for a moment. */
int be_last_resort(const struct be *b, int64_t now);

/* Called when a backend server begins to leave or is gone; set once. */
extern void (*be_on_leaving)(struct be *b);
/* Called when a life is over, and before its state changes; set once. */
extern void (*be_on_ended)(struct be *b);
/* Whether an instance has this address, where no backend server stands; NULL: it is not known.
 */
extern int (*be_is_instance)(const struct sockaddr_in *at);
/* Its part in a rollout of its service, asked for when it is first listed; set once. */
extern uint32_t (*be_ro_part)(const struct be *b);
/* Called when a new one, or a new life, is listed; set once. */
extern void (*be_on_new)(struct be *b);
/* How long after its notice a backend server may still get work in need; microseconds. */
extern int64_t be_need_us;
/* How long after a drain its servers may still get what can go nowhere else; microseconds. */
extern int64_t be_drain_need_us;
#endif
