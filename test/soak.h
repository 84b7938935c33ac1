/*
 * The fault soak: real entries on the small platform, under load and faults drawn from a seed,
 * with every link behind a relay. What callers and backend servers saw is checked against what
 * must always hold.
 */
#ifndef SOAK_H
#define SOAK_H
#include "pw.h"
#include "soak_proxy.h"

#define SOAK_ENTRIES 4
#define SOAK_SERVERS 64 /* those that died included */
#define SOAK_ENGINES 4
#define SOAK_CALLERS 12 /* requests at once */
#define SOAK_EVENTS 80  /* of a stream: 1.2 s */

enum soak_kind { SOAK_CHAT, SOAK_SUM, SOAK_SAFE, SOAK_UNSAFE, SOAK_KINDS };

struct soak_entry {
	struct pw_entry *pw;
	struct proxy *store, *peers; /* its way to the store; the others' way to it */
	int down, frozen, stopping;
};

enum soak_notice { SOAK_SAYS_NOTHING, SOAK_SAYS_LIMIT, SOAK_SAYS_LEAVES, SOAK_SAYS_REST };

struct soak_server {
	struct pw_server *pw;
	struct proxy *link;
	int leaving, dead;
	int between;               /* it ended, and will be back under its id */
	int64_t unlist_us, die_us; /* 0: not planned */
	enum soak_notice notice;   /* in its answers ... */
	int64_t notice_us;         /* ... since then */
};

struct soak_call {
	struct pw_call *c;
	enum soak_kind kind;
	int entry;
	int key; /* 0: the one that stays, else the serial of a key that is taken away */
	int64_t sent_us; /* the same as the call's, kept when it is over */
	int64_t limit_ms;
	int64_t leaves_us; /* when its caller leaves; 0: stays */
	int left;
	int gave_up; /* had no answer long after its deadline */
};

enum soak_fault_kind {
	SOAK_TERM, /* planned: */
	SOAK_LEAVE,
	SOAK_KEYS,
	SOAK_ROUTES,
	SOAK_KILL, /* unplanned: */
	SOAK_FREEZE,
	SOAK_DIE,
	SOAK_STORE,
	SOAK_LAPSE,
	SOAK_FORGET,
	SOAK_DEAF_WATCHES,
	SOAK_STORE_LINK,
	SOAK_PEER_LINK,
	SOAK_SERVER_LINK,
	SOAK_SERVER_MODE,
	SOAK_DRAWN_KINDS, /* a seed that failed once draws those before as it did then */
	SOAK_GROW = SOAK_DRAWN_KINDS, /* planned */
	SOAK_SILENCE,
	SOAK_CRASHER, /* a request that ends servers */
	SOAK_REBORN,  /* a server ends, and is back under its id */
	SOAK_FOREIGN, /* entries by another writer */
	SOAK_SUSPEND, /* an entry's machine is suspended */
	SOAK_NOTICE,  /* a server says something of itself in its answers */
	SOAK_FAULT_KINDS
};
#define SOAK_FIRST_UNPLANNED SOAK_KILL

/* Which kinds a seed draws: one that failed once draws those that there were then. */
enum soak_kinds { SOAK_FIRST_KINDS, SOAK_LATER_KINDS, SOAK_ALL_KINDS };

struct soak_fault {
	enum soak_fault_kind kind;
	int64_t from_us, to_us;
	int victim, variant;
	int begun, over;
};

struct soak_crasher {
	char body[32];
	int64_t from_us, next_us; /* when it began; its next try */
	int64_t third_crash_us;   /* when the third server ended under it; 0: it did not */
	int over;
};

struct soak_version {
	int version;
	int64_t written_us, seen_us[SOAK_ENTRIES]; /* at an entry: this one or a later one */
};

struct soak {
	uint32_t seed;
	enum soak_kinds kinds;
	int notices_broken;
	GRand *rand;
	int64_t began_us, end_us;
	struct soak_entry entry[SOAK_ENTRIES];
	struct soak_server server[SOAK_SERVERS];
	int nservers;
	int next_port;       /* of servers in later lives */
	GArray *faults;      /* struct soak_fault */
	GPtrArray *calls;    /* struct soak_call */
	GArray *versions;    /* struct soak_version */
	int64_t versions_us; /* when they were looked at last */
	struct soak_call *slot[SOAK_CALLERS];
	int key;                   /* serial of the key in force beside the one that stays */
	int64_t key_gone_us[1024]; /* when a key was taken away; 0: it was not */
	int64_t safe_moved_us;     /* when the route of safe calls was moved last */
	int64_t relist_us;         /* when entries that lapsed come back; 0: none did */
	int crashes;
	GArray *crashers; /* struct soak_crasher: one for each fault of the kind */
};

/* soak.c: runs and checks. The number of broken promises; each is printed. */
int soak_run(uint32_t seed, int seconds, enum soak_kinds kinds);

/* soak_draw.c */
void soak_draw_faults(struct soak *s, int seconds);
const char *soak_fault_name(enum soak_fault_kind k);

/* soak_server.c */
struct soak_server *soak_add_server(struct soak *s, const char *service, int engine);
/* It ends untold; another one takes its place. */
void soak_end_server(struct soak *s, struct soak_server *v);
/* One says that it leaves, and does; or dies untold. Another takes its place. */
void soak_leave(struct soak *s, const struct soak_fault *f);
void soak_crash_server(struct soak *s, const struct soak_fault *f);
/* All entries of servers that live, at once: they lapse together, and come back together. */
void soak_list_all(struct soak *s, int listed);
/* One ends untold, and begins its next life: at its address, or for an odd variant elsewhere.
 */
void soak_end_life(struct soak *s, const struct soak_fault *f);
void soak_begin_life(struct soak *s, const struct soak_fault *f);
/* Entries that name no server: a new one, and for an odd variant over a server's own. */
void soak_write_foreign(struct soak *s, const struct soak_fault *f);
void soak_set_server_mode(struct soak *s, const struct soak_fault *f);
/* Does what was planned for them and is due. */
void soak_turn_servers(struct soak *s);

/* A server that neither left nor died, engine or not (-1: any); NULL when it is the last of its
 * service. */
struct soak_server *soak_spare(struct soak *s, int victim, int engine);
/* Another one takes its place. */
void soak_replace(struct soak *s, const struct soak_server *v);

/* soak_notice.c */
enum soak_notice soak_notice_of(const struct soak_fault *f);
void soak_notice_begin(struct soak *s, const struct soak_fault *f);
/* Of all servers; what they got is checked. */
void soak_notice_end(struct soak *s);
void soak_turn_notices(struct soak *s);

/* soak_crash.c: a request that ends whatever runs it, sent again and again. */
void soak_crasher_begin(struct soak *s);
void soak_crasher_end(struct soak *s);
void soak_turn_crasher(struct soak *s);
/* How often it came to servers long after it had ended three. */
int soak_check_crasher(const struct soak *s);

/* soak_fault.c */
/* Begins and ends what is due. */
void soak_turn_faults(struct soak *s);
/* Ends all faults. */
void soak_mend(struct soak *s);

/* soak_caller.c */
void soak_turn_callers(struct soak *s);
struct soak_call *soak_send(struct soak *s, enum soak_kind kind, int entry, int key);

/* soak_check.c */
/* Whether nothing unplanned went on from some time before until then. */
int soak_was_calm(const struct soak *s, int64_t from_us, int64_t to_us);
/* Looks which versions of the configuration are in force, and where. */
void soak_turn_versions(struct soak *s);
int soak_check(struct soak *s);
#endif
