/* Backend servers (be) in this instance's view: address, state, load and health. */
#ifndef SH_BE_H
#define SH_BE_H
#include "conf.h"
#include <glib.h>
#include <netinet/in.h>
#include <saddlehead/latency.h>
#include <saddlehead/limit.h>
#include <saddlehead/quota.h>
#include <stdint.h>

enum be_state {
	BE_READY,
	BE_LEAVING, /* announced that it stops: gets no new work */
	BE_GONE,    /* its entry was removed */
};

/* Load of one instance, or the sum over several, on one backend server. */
struct be_load {
	uint32_t runs;         /* requests in flight */
	uint32_t prefill;      /* prompt tokens of runs that have produced no token yet */
	uint32_t forecast;     /* tokens of memory that the runs are forecast to reach */
	uint32_t replicas;     /* the same for replicas kept there for runs elsewhere */
	uint32_t used;         /* tokens of memory that runs and replicas use now */
	uint32_t unreplicated; /* the part of used that belongs to streams without a replica */
	uint32_t inbound;      /* tokens of streams that are being moved there */
};

/* Outcomes of one instance's exchanges with one backend server since the instance's start. */
struct be_outcomes {
	uint32_t good, bad; /* bad: broken off, silent, or not reached */
	uint32_t rejected;  /* for want of room */
};

/* Back-off that a server asked this instance for: it gets no request until until_us. Then one
 * request may be in flight, and one more for each answer that does not ask for back-off again,
 * up to the server's slots. It is over once that many are allowed and no request has waited for
 * one of them lately. */
struct be_backoff {
	int64_t until_us, asked_us;        /* 0: none was asked for, or it is over */
	uint32_t max_in_flight, in_flight; /* of exchanges begun after until_us */
	int64_t last_full_us; /* when a request last had to wait for max_in_flight */
};

/* A bound over all instances together, which a server announces in its answers. */
struct be_limit {
	struct limit_report report; /* the last one */
	int64_t changed_us; /* when this instance last learned of it or of its end; 0: never */
	int pending; /* its own answers named one or none, which was not sent to peers yet */
};
/* Room at a server while it is brittle (room.h). */
#define BE_ROOM_UNKNOWN (-1)
struct be_room {
	/* Exchanges of this instance that it had room for when it last rejected one of its
	 * part; BE_ROOM_UNKNOWN: it has rejected none. */
	int own;
	uint32_t rejections;   /* by all instances since it last rejected none for a while */
	int64_t spare_from_us; /* free places of other instances are not used before */
	int64_t hold_us;       /* the time for which they were last not used */
};

/* This instance's network path to one backend server (path.h). */
struct be_path {
	int around;               /* it is reached only through another instance */
	int64_t up_us;            /* when a connection from here last came up; 0: never */
	int64_t checked_us;       /* when a lost path was last tried */
	uint32_t unreached_in;    /* the last series of unreached servers it was in (path.c) */
	struct path_check *check; /* in progress; or NULL */
	/* Failures that wait for the verdict of a check: their number, the last reason, and
	 * whether a connection was refused. */
	int failures, refused;
	const char *why;
};

struct be {
	int refs;
	char *id;
	int64_t incarnation_ms; /* start of this incarnation by its own clock; 0: unknown */
	int64_t confirmed_us;   /* when its own report stated that; 0: never */
	char *service, *dc, *address;
	char *version; /* of its software; empty: not stated */
	/* Equal for servers of one service and version; 0: unknown, and equal to none. */
	uint64_t version_key;
	int version_disputed; /* entries of this incarnation stated two versions */
	const char *region;   /* NULL: unknown */
	struct sockaddr_in sa;
	enum be_state state;
	int leaving_reported; /* by its own answers or another instance; its entry may lag */
	int unreadable;       /* its entry can't be parsed at present */
	int64_t drained_us;   /* since when its data centre is drained; 0: it is not */
	int64_t blocked_us;   /* since when its version is blocked; 0: it is not */
	/* Its role in a rollout of its service: a bit of enum ro_role. */
	uint32_t ro_role;
	int64_t last_broken_us; /* when an exchange with it last broke off */
	uint32_t slots;
	int64_t state_since_us; /* monotonic: last change of state */
	int64_t cold_until_us;  /* end of its cold start, as it announced */
	/* When it was added, listed again or restored; 0: at this instance's start. */
	int64_t available_us;
	struct be_backoff backoff;
	struct be_path path;
	struct quota_pace pace[QUOTA_KINDS]; /* of this instance's requests to it */
	int64_t lapsed_us; /* since when its entry has lapsed (be_set_lapsed); 0: it has not */
	/* Suspected to be leaving, which no entry can confirm at present: */
	int64_t suspect_us, suspect_until_us;
	struct be_load own, others;
	/* From this instance's own exchanges: */
	int64_t busy_until_us;    /* it rejected a request */
	int64_t full_until_us;    /* it had no free memory for a stream to be moved there */
	int refused;              /* it refused a connection, and no exchange succeeded since */
	double failure_rate;      /* moving average over its exchanges */
	int64_t ejected_until_us; /* gets no work until then; 0: healthy */
	int64_t eject_us;         /* duration of the last ejection */
	struct be_outcomes outcomes;
	/* From the exchanges of all instances: */
	uint32_t bad_streak; /* bad outcomes in a row, each of another instance than the last */
	uint32_t last_bad_by;    /* the instance of the last of them */
	struct latency latency;  /* of plain answers */
	struct be_limit limit;   /* requests per second */
	struct be_limit brittle; /* rejections per second after which it falls over */
	struct be_room room;
	int64_t unusable_logged_us; /* when an unusable notice of it was last logged */
	int probing;                /* a health check or report is in flight */
	int load_dirty;             /* own load changed since it was last sent to peers */
};

struct be_info { /* an entry of the platform's list */
	const char *id, *service, *dc, *address, *version;
	uint32_t slots;
	int leaving;
	int64_t cold_us;
	int64_t incarnation_ms; /* 0: unknown */
};

/* Applies a new or changed entry, or one that is listed again after it had lapsed. An entry of
 * a newer incarnation ends the one before; one of an older incarnation is ignored. Returns 0,
 * or -EINVAL if the address can't be parsed or is that of an instance. */
int be_update(const struct be_info *i);
/* Whether a message about that incarnation concerns b; an unknown incarnation matches any. */
int be_is_incarnation(const struct be *b, int64_t incarnation_ms);
/* Marks b as leaving, by its entry or its own answer. Never undone for this incarnation. */
void be_set_leaving(struct be *b, const char *source);
/* Applies the same from another instance, which may have a newer or older incarnation: a report
 * about a newer one is kept until its entry arrives. */
void be_apply_leaving(const char *id, int64_t incarnation_ms, const char *source);
/* Ends b because a newer incarnation answers at its address or is listed: every exchange with
 * it is over. */
void be_end_incarnation(struct be *b, const char *source);
/* Its entry can't be parsed: it gets no new work until it can; runs there continue. */
void be_set_unreadable(const char *id);
void be_set_gone(const char *id);
/* Its entry is missing after an outage of the store: it is gone only if the entry is not listed
 * again within be_last_resort_us. */
void be_set_lapsed(const char *id);
/* Marks servers as gone whose lapsed entries were not listed again; to be called about ten
 * times a second. */
void be_check_lapsed(void);
/* Operators drain a data centre or restore it: its servers get no new work meanwhile, and runs
 * there are moved elsewhere where possible. */
void be_drain_dc(const char *dc, int drained);
int be_dc_is_drained(const char *dc);
int be_is_any_dc_drained(void);
/* Whether a stream whose memory is only at b may still continue there: not once its data centre
 * has been drained for be_drain_grace_us, even if the stream is lost by that. */
int be_may_continue(const struct be *b);
/* The region of a data centre; NULL: unknown. */
void be_set_region(const char *dc, const char *region);
const char *be_region_of(const char *dc);
/* Whether the data centres are in more than one region. */
int be_in_several_regions(void);
/* Whether the service has ready servers, all of them in drained data centres. */
int be_only_drained(const char *service);
/* Records the name of a data centre that has servers. */
void be_add_dc(const char *name);
/* Names of the data centres that have or had servers, or are drained. Free with
 * g_ptr_array_unref. */
GPtrArray *be_dcs(void);
/* Suspects b of leaving: its runs are moved, and it gets no new work for some seconds after the
 * last report. */
void be_set_suspect(struct be *b, const char *source);
void be_apply_suspect(const char *id, int64_t incarnation_ms, const char *source);
/* An entry of b states this version; NULL or empty: none. */
void be_note_version(struct be *b, const char *version);
/* Whether b runs the same software as a: the same incarnation, or one of a known version that
 * is that of a. */
int be_is_same_version(const struct be *a, const struct be *b);
/* Whether a server of the service, gone ones included, is of the version with this key. */
int be_service_has_version(const char *service, uint64_t key);
/* The name of the version with this key, if a server of it is known; or NULL. */
const char *be_version_name(uint64_t key);
/* Blocks or unblocks a version: servers of a blocked version get no new work, and runs there
 * are moved elsewhere. */
void be_block_version(const char *service, const char *version, int on);
int be_version_is_blocked(const char *service, const char *version);
/* Whether it is leaving, gone or suspect, its data centre is drained or its version blocked. */
int be_is_leaving(const struct be *b);
/* Microseconds since that became known. */
int64_t be_leaving_for_us(const struct be *b);
struct be *be_find(const char *id);
/* All servers of a service, also leaving and gone ones; NULL: none. */
const GPtrArray *be_of_service(const char *service);
const GPtrArray *be_all(void);
struct be *be_ref(struct be *b);
void be_unref(struct be *b);

/* To be called when b->own changed. */
void be_update_use(struct be *b);
/* Servers with runs, replicas or inbound memory of this instance. Free with
 * g_ptr_array_unref. */
GPtrArray *be_in_use(void);

/* It announced a cold start that lasts for_us. */
void be_set_cold(struct be *b, int64_t for_us);
/* Whether its last answers named a rate limit. */
int be_is_limited(const struct be *b);
/* The same for a bound on rejections. */
int be_is_brittle(const struct be *b);

/* be_health.c: */
/* An exchange succeeded or failed: a server that fails too often is ejected for a while, with a
 * cap on the share of ejected servers. */
void be_succeeded(struct be *b, int64_t took_us);
void be_failed(struct be *b, const char *why);
/* It answered with a failure. Not reported to other instances, as their requests differ. */
void be_answered_error(struct be *b);
/* Applies outcomes of another instance (any number but 0). Two bad ones in a row, of two
 * instances, eject the server here too. */
void be_apply_outcomes(struct be *b, uint32_t instance, struct be_outcomes since);
/* It refused a connection: ejected at once, as its entry may change late or never. */
void be_refused_connection(struct be *b);
/* It rejected a request as busy: other servers are preferred for a moment. */
void be_rejected_request(struct be *b);
/* It has no free memory for a stream: streams are moved elsewhere for a moment. */
void be_memory_full(struct be *b);
/* Microseconds until it may get new work; INT64_MAX: no time is known, e.g. it is leaving. */
int64_t be_usable_in(const struct be *b, int64_t now);
/* Whether it may get new work now. */
int be_usable(const struct be *b, int64_t now);
/* Whether it may be used when no server is usable: it is ready, or its entry was removed less
 * than be_last_resort_us ago, as entries may lapse all together. */
int be_last_resort(const struct be *b, int64_t now);

/* Called when a server starts to leave or is gone; set once. */
extern void (*be_on_leaving)(struct be *b);
/* Called when an incarnation ended, before its state changes; set once. */
extern void (*be_on_incarnation_end)(struct be *b);
/* Whether an instance has this address, so that no backend server can; NULL: unknown. */
extern int (*be_is_instance)(const struct sockaddr_in *at);
/* Its role in a rollout of its service, called when it is first listed; set once. */
extern uint32_t (*be_ro_role)(const struct be *b);
/* Called when a new server or incarnation is listed; set once. */
extern void (*be_on_new)(struct be *b);
/* How long a server whose entry was removed may still get work as a last resort; microseconds.
 */
extern int64_t be_last_resort_us;
/* How long after a drain streams that can't be moved may continue there; microseconds. */
extern int64_t be_drain_grace_us;
#endif
