/*
 * The fault soak: entry processes on the test platform, under load and faults drawn from a
 * seed, with a proxy on every link. The observations of callers and backend servers are checked
 * against the guarantees of the system.
 */
#ifndef SOAK_H
#define SOAK_H
#include "pw.h"
#include "soak_proxy.h"

#define SOAK_ENTRIES 4
#define SOAK_SERVERS 64 /* including those that have crashed */
#define SOAK_ENGINES 4
#define SOAK_CALLERS 12      /* requests at once */
#define SOAK_EVENTS 80       /* of a stream: 1.2 s */
#define SOAK_RUSH_CALLERS 48 /* requests at once of a rush */

enum soak_kind { SOAK_CHAT, SOAK_SUM, SOAK_SAFE, SOAK_UNSAFE, SOAK_KINDS };

struct soak_entry {
	struct pw_entry *pw;
	struct proxy *store, *peers; /* links: to the store; of the other entries to it */
	int down, frozen, stopping;
	int partitioned; /* without a path to servers */
};

enum soak_notice {
	SOAK_NOTICE_NONE,
	SOAK_NOTICE_LIMIT,
	SOAK_NOTICE_LEAVING,
	SOAK_NOTICE_BACKOFF
};

struct soak_server {
	struct pw_server *pw;
	struct proxy *link;
	int leaving, crashed;
	int restarting;             /* crashed, will restart under its id */
	int64_t unlist_us, exit_us; /* 0: not planned */
	enum soak_notice notice;    /* what its answers announce ... */
	int64_t notice_us;          /* ... since this time */
};

struct soak_call {
	struct pw_call *c;
	enum soak_kind kind;
	int entry;
	int key;         /* 0: the permanent key, else the serial of a key that gets revoked */
	int64_t sent_us; /* when it was sent */
	int64_t limit_ms;
	int64_t disconnect_us;           /* when its caller disconnects; 0: never */
	const struct soak_call *resumes; /* the attempt that began the stream; NULL: itself */
	int after;                       /* the last event that its caller has */
	char body[32];                   /* of a caller of a rush */
	int returned;                    /* its caller was refused before, until now */
	int left;
	int gave_up; /* no final answer long after its deadline */
};

enum soak_fault_kind {
	SOAK_TERM, /* planned: */
	SOAK_LEAVE,
	SOAK_KEYS,
	SOAK_ROUTES,
	SOAK_KILL, /* unplanned: */
	SOAK_FREEZE,
	SOAK_CRASH,
	SOAK_STORE,
	SOAK_LAPSE,
	SOAK_COMPACT,
	SOAK_SILENT_WATCHES,
	SOAK_STORE_LINK,
	SOAK_PEER_LINK,
	SOAK_SERVER_LINK,
	SOAK_SERVER_MODE,
	SOAK_DRAWN_KINDS, /* draw_one draws those above, so that old seeds draw the same */
	SOAK_GROW = SOAK_DRAWN_KINDS, /* planned */
	SOAK_SILENCE,
	SOAK_CRASHER,  /* a request that crashes servers */
	SOAK_RESTART,  /* a server crashes and restarts under its id */
	SOAK_FOREIGN,  /* list entries by another writer */
	SOAK_SUSPEND,  /* an entry's machine is suspended: clocks jump */
	SOAK_NOTICE,   /* a server announces a state in its answers */
	SOAK_PATH,     /* some entries lose their path to all servers */
	SOAK_RETURN,   /* the store comes back from a copy */
	SOAK_ENDINGS,  /* an engine's streams end well inside an event, framed in some way */
	SOAK_VERSIONS, /* planned: engines of another software version join */
	SOAK_SEGMENT,  /* a prompt segment that crashes engines */
	SOAK_RUSH,     /* planned: several times the callers, on the streaming routes */
	SOAK_REFUSAL,  /* engines answer resumptions with something that is no stream */
	SOAK_FAULT_KINDS
};
#define SOAK_FIRST_UNPLANNED SOAK_KILL

/* Which kinds a seed draws: a recorded seed draws only the kinds that existed when it was
 * added. */
enum soak_kinds {
	SOAK_FIRST_KINDS,
	SOAK_LATER_KINDS,
	SOAK_NOTICE_KINDS,
	SOAK_RECOVERY_KINDS,
	SOAK_STREAM_KINDS, /* callers take up streams, too */
	SOAK_SEGMENT_KINDS,
	SOAK_RUSH_KINDS, /* a rush in odd seeds, with admission over the fleet */
	SOAK_ALL_KINDS
};

struct soak_fault {
	enum soak_fault_kind kind;
	int64_t from_us, to_us;
	int victim, variant;
	int begun, over;
};

struct soak_crasher {
	char body[32];
	int64_t from_us, next_us; /* when it started; its next attempt */
	int64_t third_crash_us;   /* when it crashed the third server; 0: it hasn't */
	int over;
};

struct soak_segment {
	char id[16];
	int64_t from_us, to_us, next_us; /* to_us: 0 until it ends; next_us: its next request */
};

struct soak_version {
	int version;
	int64_t written_us, seen_us[SOAK_ENTRIES]; /* seen_us: first seen in force at an entry,
						      this version or a later one */
};

struct soak {
	uint32_t seed;
	enum soak_kinds kinds;
	int notices_broken;
	GRand *rand;
	GRand *take_up; /* which streams are taken up, and where */
	int releases;   /* versions beside the first */
	int64_t began_us, end_us;
	struct soak_entry entry[SOAK_ENTRIES];
	struct soak_server server[SOAK_SERVERS];
	int nservers;
	int next_port;       /* of restarted servers */
	GArray *faults;      /* struct soak_fault */
	GPtrArray *calls;    /* struct soak_call */
	GArray *versions;    /* struct soak_version */
	int64_t versions_us; /* time of the last check */
	struct soak_call *slot[SOAK_CALLERS];
	struct soak_call *rush_slot[SOAK_RUSH_CALLERS];
	GRand *rush; /* its callers; NULL: this seed has none */
	int rushing;
	int key;                      /* serial of the valid key beside the permanent one */
	int64_t key_revoked_us[1024]; /* when a key was revoked; 0: it wasn't */
	int64_t safe_moved_us;   /* when the route of safe calls last changed its service */
	int64_t relist_us;       /* when lapsed list entries are written again; 0: none */
	int64_t longest_step_us; /* of the loop that sends and checks ... */
	int64_t longest_end_us;  /* ... and when it ended */
	int crashes;
	GArray *crashers; /* struct soak_crasher: one for each fault of the kind */
	GArray *segments; /* struct soak_segment: the same */
};

/* soak.c: runs and checks. Returns the number of broken guarantees; each is printed. */
int soak_run(uint32_t seed, int seconds, enum soak_kinds kinds);

/* soak_draw.c */
void soak_draw_faults(struct soak *s, int seconds);
const char *soak_fault_name(enum soak_fault_kind k);

/* soak_server.c */
struct soak_server *soak_add_server(struct soak *s, const char *service, int engine);
struct soak_server *soak_add_server_of(struct soak *s, const char *service, int engine,
				       const char *version);
/* Crashes the server without notice and adds a replacement. */
void soak_crash_now(struct soak *s, struct soak_server *v);
/* A server leaves as announced, or crashes without notice. A replacement is added. */
void soak_retire_server(struct soak *s, const struct soak_fault *f);
void soak_crash_server(struct soak *s, const struct soak_fault *f);
/* Writes, or removes, the list entries of all running servers at once. */
void soak_list_all(struct soak *s, int listed);
/* A server crashes without notice, and restarts: at its address, or for an odd variant at
 * another. */
void soak_begin_restart(struct soak *s, const struct soak_fault *f);
void soak_end_restart(struct soak *s, const struct soak_fault *f);
/* Writes an invalid list entry under a new id, and for an odd variant also over a server's own.
 */
void soak_write_foreign(struct soak *s, const struct soak_fault *f);
void soak_set_server_mode(struct soak *s, const struct soak_fault *f);
/* Carries out due list changes and exits of servers. */
void soak_step_servers(struct soak *s);

/* A server that is neither leaving nor crashed, from victim on; engine: 1, 0 or -1 for any.
 * NULL if it is the last of its service. */
struct soak_server *soak_pick_server(struct soak *s, int victim, int engine);
/* Adds a server of the same service. */
void soak_replace(struct soak *s, const struct soak_server *v);

/* soak_notice.c */
enum soak_notice soak_notice_of(const struct soak_fault *f);
void soak_notice_begin(struct soak *s, const struct soak_fault *f);
/* Ends the notices of all servers but leaving ones, and checks the requests they received. */
void soak_notice_end(struct soak *s);
void soak_step_notices(struct soak *s);

/* soak_crash.c: a request that crashes the servers that run it, sent repeatedly. */
void soak_crasher_begin(struct soak *s);
void soak_crasher_end(struct soak *s);
void soak_step_crasher(struct soak *s);
/* Number of these requests that reached servers too often after the third crash. */
int soak_check_crasher(const struct soak *s);

/* soak_segment.c: a prompt segment that crashes engines, in requests that are all different. */
void soak_segment_begin(struct soak *s);
void soak_segment_end(struct soak *s);
void soak_step_segment(struct soak *s);
/* Number of these segments that reached engines too often after the fifth crash. */
int soak_check_segments(const struct soak *s);

/* soak_fault.c */
/* Begins and ends faults that are due. */
void soak_step_faults(struct soak *s);
/* Ends all faults. */
void soak_end_faults(struct soak *s);

/* soak_stream.c: how streams end, which versions serve, and what callers take up. */
void soak_endings_begin(struct soak *s, const struct soak_fault *f);
void soak_refusal_begin(struct soak *s, const struct soak_fault *f);
void soak_release(struct soak *s);
/* Takes up the stream of a call that has ended; NULL: it is not taken up. */
struct soak_call *soak_take_up(struct soak *s, const struct soak_call *k);
/* Number of streams with events of two versions. */
int soak_check_versions(const struct soak *s);

/* soak_caller.c */
void soak_step_callers(struct soak *s);
struct soak_call *soak_send(struct soak *s, enum soak_kind kind, int entry, int key);
/* An attempt that takes up the stream of another one after that event. */
struct soak_call *soak_resume(struct soak *s, const struct soak_call *first, int entry,
			      int after);

/* soak_check.c */
/* The runs of an attempt in the order of their starts; NULL: none. Valid within soak_check. */
const GPtrArray *soak_runs_of(const char *id);
/* Whether no unplanned fault but SOAK_CRASHER and SOAK_SEGMENT was active in the period or
 * shortly before. */
int soak_was_calm(const struct soak *s, int64_t from_us, int64_t to_us);
/* Records which configuration version is in force at each entry. */
void soak_step_versions(struct soak *s);
int soak_check(struct soak *s);
#endif
