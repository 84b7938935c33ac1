/*
 * A small platform for tests. The store, the backend servers, the operator and the callers run
 * on one event loop in the test process; entries run as real processes, each at its own
 * loopback address. Faults occur only where the test switches them on, never at random.
 */
#ifndef PW_H
#define PW_H
#include "cn.h"
#include "ev.h"
#include "hs.h"
#include "hx.h"
#include <glib.h>
#include <sys/types.h>

/* ---- pw.c: the loop and the addresses ---- */
/* Ports. They can't collide: each test program uses its own loopback addresses. */
#define PW_FRONT 7001
#define PW_READY 7002
#define PW_DIRECTORY 7003
#define PW_PEER 7004
#define PW_METRICS 7005
#define PW_STORE 7006
#define PW_SERVER 7100
#define PW_SECOND_STORE "platform.address=%s:7006\n" /* with pw_second_ip() */

/* Host parts of addresses in this program's loopback network; entries count from 1. */
#define PW_STORE_HOST 200
#define PW_SERVER_HOST 201
#define PW_SECOND_HOST 202 /* second address of the store */

/* Called at the start of each test; pw_end at its end. */
void pw_init(void);
/* Ends all entries, calls and servers, and clears the store. */
void pw_end(void);
/* Runs the event loop for ms. */
void pw_run(int ms);
/* Runs the loop until f(arg) is nonzero or ms have passed; returns the last value of f, which
 * may itself run the loop. */
int pw_until(int (*f)(void *), void *arg, int ms);
/* The address of a host; valid until the next call. */
const char *pw_ip(int host);
void pw_address_of(const char *ip, int port, struct sockaddr_in *at);
extern const struct hs_limits pw_limits; /* of the platform's servers: too wide to be reached */

/* ---- pw_entry.c ---- */
struct pw_entry {
	pid_t pid;
	char ip[32], settings[64], log[64];
};

/* The program that new entries run, relative to the build folder. */
extern const char *pw_entry_program;
/* Additional settings lines for entries started from now on; NULL: none. */
void pw_settings(const char *lines);
struct pw_entry *pw_entry_start(void);
/* Starts an entry and waits until it is ready. */
struct pw_entry *pw_entry_ready(void);
/* Waits for at most three seconds; returns 1 if the entry is ready. */
int pw_entry_until_ready(struct pw_entry *e);
/* Restarts an entry that has ended, with its settings and firstStart=false. */
void pw_entry_restart(struct pw_entry *e);
/* Returns 1 if the entry has ended, with its status as from waitpid. */
int pw_entry_ended(struct pw_entry *e, int *status);
void pw_entry_kill(struct pw_entry *e, int sig);
/* Waits up to ms for the entry to end; returns its wait status, -1 if it still runs. */
int pw_entry_wait(struct pw_entry *e, int ms);
/* Whether the entry's log contains text; the log is written with a delay of about 200 ms. */
int pw_log_has(struct pw_entry *e, const char *text);
/* The value of the metric with this name and labels, or -1 if there is none. */
double pw_metric(struct pw_entry *e, const char *name);
/* For pw.c: init once in a program, begin and end around each test. */
void pw_entries_init(void);
void pw_entries_begin(void);
void pw_entries_end(void);

/* ---- pw_store.c ---- */
enum pw_store_mode {
	PW_STORE_OK,
	PW_STORE_DOWN,  /* resets each request */
	PW_STORE_BUSY,  /* answers 503 */
	PW_STORE_LOST,  /* carries out the request, resets instead of answering */
	PW_STORE_CUT,   /* answers without a length, and closes after cut_bytes of the body */
	PW_STORE_SILENT /* never answers */
};
struct pw_store {
	enum pw_store_mode mode;
	enum pw_store_mode second_mode; /* at the second address */
	int watches_silent;             /* watches report no changes */
	int calls, watches, commits, listings;
	int slow_answers; /* answers that were sent in parts */
	int slow_bytes;   /* sent per 100 ms of an answer over 64 KB; 0: all at once */
	int cut_bytes;    /* of PW_STORE_CUT */
	int page;         /* items in one answer to a listing, sorted by key; 0: all */
	uint64_t revision;
	const char *era; /* of each answer, NULL: era_number */
	uint64_t era_number;
};
extern struct pw_store pw_store;
void pw_store_start(const char *ip);
/* Resets the faults and counters and removes all keys; revisions keep increasing. */
void pw_store_clear(void);
void pw_store_put(const char *key, const char *value);
void pw_store_remove(const char *key);
/* Discards the history of changes: open watches are reset, and a watch that continues from an
 * older revision gets 410. */
void pw_store_compact(void);
/* Remembers the contents and the revision; later changes are lost by pw_store_restore, which
 * resets all watches, begins a new era and gives out revisions again. Leases are lost. */
void pw_store_copy(void);
void pw_store_restore(void);
/* Resets the watches that wait at the second address. */
void pw_store_cut_second(void);
/* The value of a key, or NULL. Free with g_free. */
char *pw_store_value(const char *key);
/* Number of existing keys with this prefix. */
int pw_store_keys(const char *prefix);
/* Number of watches that wait for changes now. */
int pw_store_waiting(void);

/* ---- pw_query.c ---- */
/* Decodes a query argument of a request's target into out; returns 0 or -ENOENT. */
int pw_query(const char *target, const char *name, char *out, size_t max);

/* ---- pw_server.c: backend servers ---- */
enum pw_mode {
	PW_OK,
	PW_FULL,              /* 503, not run */
	PW_OTHER_INCARNATION, /* 421: another incarnation is at the address */
	PW_HANG,              /* runs, never answers */
	PW_RESET,             /* runs, resets before an answer */
	PW_BREAK,       /* resets in the middle of an event or body, after break_after events */
	PW_WRONG_ID,    /* answers another request */
	PW_UNSIGNED,    /* a success without a signature */
	PW_ENCODED,     /* a success in an encoding */
	PW_FALSE_503,   /* 503 without the field for a request that was not run */
	PW_ERROR,       /* 500, signed */
	PW_NO_CONTENT,  /* 204, signed */
	PW_EXTRA,       /* a second answer after the first */
	PW_GARBAGE,     /* bytes that are not HTTP */
	PW_RAW,         /* the bytes of raw_answer */
	PW_CUT_HEAD,    /* a success whose head is cut by a close */
	PW_UNTIL_CLOSE, /* no length: the answer ends when the connection closes */
	PW_CUT_CLOSE,   /* no length, reset in the middle */
	PW_SILENT, /* a stream that sends nothing more after break_after events, left open */
	/* Sends bytes until the caller closes: in the head; in a body without a length, in
	 * chunks, or with a length of a terabyte (a megabyte if it trickles); in a line of a
	 * stream's event, after break_after events. */
	PW_ENDLESS_HEAD,
	PW_ENDLESS_BODY,
	PW_ENDLESS_CHUNKS,
	PW_ENDLESS_LENGTH,
	PW_ENDLESS_LINE,
};

/* How an engine frames its streams. */
enum pw_framing { PW_CHUNKED, PW_WITH_LENGTH, PW_UNFRAMED };
/* How PW_BREAK ends a stream: with a reset, or as its framing ends a complete one. */
enum pw_break_end { PW_BY_RESET, PW_BY_END };

struct pw_run {
	char id[64], after[32], copy[96], backup[64], group[64], target[96], expect[64];
	char body_sum[32];
	int64_t deadline_ms, began_us, ended_us;
	int events, cancelled, finished, stopped;
	int resume_status;       /* its server's at its start, if it continues a stream */
	int body_sent;           /* bytes of a plain answer in parts, or of one without end */
	enum pw_framing framing; /* that of its server at its start */
	struct pw_server *server;
	struct hs *h;
	struct ev_timer timer;
	struct ev_timer crash_timer; /* the run crashes its server when it fires */
	int segment;                 /* of pw_crash that its prompt has, from 1; 0: none */
	int crashed;                 /* it crashed its server, at ended_us */
};

struct pw_server {
	char id[64], service[64], ip[32], address[48];
	char zone[16];          /* "a" by default, the entries' zone */
	char version[16];       /* "v1" by default */
	int64_t incarnation_ms; /* start time of this incarnation, Unix ms; 0: unstated */
	int cold_ms;            /* remaining cold start in its list entry */
	struct hs_listener listener;
	int64_t leaving_us; /* when its list entry was first draining, or removed */
	enum pw_mode mode;
	enum pw_framing framing;
	enum pw_break_end break_end;
	const char *raw_answer; /* "%s" in it stands for the request's id */
	int break_between;      /* PW_BREAK ends a stream between two events, not inside one */
	int engine;
	int work_ms, event_ms, events, break_after;
	int event_bytes;    /* of padding in each event */
	int trickles;       /* endless bytes are sent slowly, 16 in 20 ms */
	int answer_bytes;   /* of padding in each plain answer ... */
	int answer_chunked; /* ... which is sent in chunks ... */
	int answer_parts;   /* ... or in so many parts, 20 ms apart; 0: at once */
	/* Answer to move orders, 0: the correct one; nonzero: runs from a copy are refused. */
	int move_status, copy_status;
	int copy_refusals; /* the first so many copies are refused */
	int copy_ms; /* from when a run continues from a copy until its first event is sent */
	int move_ms; /* until a move order is carried out */
	int stop_ms; /* the same for one that stops the run; 0: move_ms */
	int moving, max_moving; /* concurrent move orders: now, and the maximum so far */
	/* A stream that stops for a move is closed, not reset. */
	int stop_closes;
	int stop_unanswered; /* it is carried out, and its reply is lost */
	int draining;        /* its report states draining */
	int report_endless;  /* its report is a byte every TRICKLE_US, without end */
	int unhealthy;       /* its health check fails */
	int no_id_from;      /* events from this one on state no id; 0: all state theirs */
	int resume_status;   /* of plain answers to runs that the system sends it to continue a
				stream; 0: it continues them */
	int room;            /* runs at once; more are rejected; 0: no limit */
	int running;         /* runs now */
	int checks;          /* health checks received */
	int reports;         /* reports requested */
	int arrivals, moves, copies, drops;
	const char *extra_fields; /* additional header lines of each answer, each ended by CRLF;
				     or NULL */
	GArray *rejected_us;      /* time of each rejection for want of room: int64_t */
	GArray *arrived_us;       /* arrival time of each request of any kind: int64_t */
	char last_raw[1024];      /* the last request head */
};
extern GPtrArray *pw_runs; /* of struct pw_run */
/* Creates a server that is not listed; its address may be changed to that of a proxy. */
struct pw_server *pw_server_new(const char *service, int engine);
/* Creates a server and lists it as ready. */
struct pw_server *pw_server_add(const char *service, int engine);
/* Starts a test with n listed servers of service app and an entry that is ready. */
struct pw_entry *pw_init_with(struct pw_server **s, int n);
const char *pw_server_ip(void);
const char *pw_second_ip(void);
/* The most requests of any kind that arrived within any period of ms since from_us. */
int pw_server_max_arrivals(const struct pw_server *s, int64_t from_us, int ms);
/* The same for rejections for want of room. */
int pw_server_max_rejections(const struct pw_server *s, int64_t from_us, int ms);
/* Answers with the server's additional header lines after fields. */
void pw_server_answer(struct pw_server *s, struct hs *h, int status, const char *fields,
		      const char *body);
void pw_servers_end(void);
/* pw_server_add in a zone. */
struct pw_server *pw_server_add_in(const char *service, int engine, const char *zone);
/* Writes its list entry; state "ready" or "draining". */
void pw_server_list(struct pw_server *s, const char *state);
void pw_server_unlist(struct pw_server *s);
/* Lists n servers of a service that no route uses, with keys before those of the others;
 * nothing listens at their addresses. */
void pw_servers_list_idle(int n);
/* Gives the server a new id, which is not listed yet. */
void pw_server_rename(struct pw_server *s);
/* Accepts connections, also after pw_server_crash. */
void pw_server_listen(struct pw_server *s);
/* Resets all its connections and stops listening. */
void pw_server_crash(struct pw_server *s);
/* Connection attempts get no reply from now on: the accept queue is full and SYNs are dropped.
 * Close the returned descriptor at the end. */
int pw_server_unreachable(struct pw_server *s);

/* Requests that reached a server though they had reached one before, without those that
 * continue from a copy. */
int pw_retries(void);

/* ---- pw_crash.c: requests that crash the servers that run them ---- */
#define PW_SEGMENTS 2
struct pw_crash {
	const char *body; /* of that request; NULL: none */
	/* Segments of prompts that do the same, whatever else a request holds; NULL: none. */
	const char *segment[PW_SEGMENTS];
	int answers;       /* its server sends events until it crashes ... */
	int silent_copies; /* ... but not in a run from a copy */
	int after_ms;      /* from the start of a run until its server crashes */
	int restart_ms;    /* from the crash until it restarts at its address; 0: never */
	int same_id; /* restarts under its id, as a new incarnation; else under a new id */
	int crashes; /* server crashes so far */
	int64_t third_crash_us; /* time of the third crash; 0: none yet */
	/* Called instead of pw_crash_now, unless NULL. */
	void (*on_crash)(struct pw_server *s);
};
/* Reset by pw_end. */
extern struct pw_crash pw_crash;
/* Schedules the crash if r is a run of that request or of that segment; returns 1 if the server
 * makes no answer until then. prompt: segments as ID:TOKENS, joined by commas. */
int pw_crash_begin(struct pw_run *r, const char *body, const char *prompt);
/* Crashes s now; it restarts as set in pw_crash. */
void pw_crash_now(struct pw_server *s);
/* Number of runs of it that began more than ms after the third crash. */
int pw_crash_runs_after(int ms);
/* When the fifth server crashed under a segment, counted from 1; 0: fewer have. */
int64_t pw_crash_fifth_us(int segment);
/* Number of runs with that segment that began after from_us. */
int pw_crash_runs_of_segment(int segment, int64_t from_us);
void pw_crash_end(void);

/* ---- pw_run.c: runs on the servers ---- */
/* Number of runs of a request, on all servers. */
int pw_runs_of(const char *id);
struct pw_run *pw_run_of(const char *id, int nth);
/* Starts a run, from a copy, or from the beginning if copy is empty. */
void pw_run_begin(struct pw_server *s, struct hs *h, const char *copy);
/* Detaches the run from its connection and records its end. */
void pw_run_finish(struct pw_run *r);
/* The running stream with this id on s that has sent events, or NULL. */
struct pw_run *pw_run_at(struct pw_server *s, const char *id);
/* The run that a copy continues, by its id (a backup) or the handle of a move, or NULL. */
struct pw_run *pw_run_by_copy(const char *copy);
/* Copies a header field's value; empty if there is none. */
void pw_field(struct hs *h, const char *name, char *out, size_t max);

/* ---- pw_conf.c: the operator ---- */
/* Routes on host test.example: /chat/ (stream, not resumable), /sum/ (stream, resumable),
 * /safe/, /unsafe/ (keyed), /open/ (needs no key). Key "k1" belongs to workspace "w1". */
struct pw_conf {
	int version, timeout_ms, extra_routes;
	int attempts;          /* of /safe/ */
	int resume_attempts;   /* of /sum/ */
	int target_latency_ms; /* latency objective of each route */
	int tokens;            /* memory of an engine */
	int link_mbps;         /* link over which engines move it */
	int no_replicas;       /* engines keep no replicas */
	int split;             /* /sum/ is shared by llm and llm2, which is added */
	int cold_per_s;        /* rate limit of a server of app in its first second; 0: none */
	const char *keys;      /* JSON list of w1's API keys */
	const char *regions; /* JSON list of allowed regions of /chat/ and /safe/; NULL: any */
	const char *safe_service;
	const char *admission; /* JSON object; NULL: none */
	const char *tenants;   /* JSON list of workspaces; NULL: the default ones */
};
extern struct pw_conf pw_conf;
/* The configuration as JSON. */
GString *pw_conf_text(void);
void pw_conf_write(void);

/* ---- pw_caller.c ---- */
struct pw_call {
	struct hx *x;
	int status, ended, err, events;
	int64_t began_us, first_us, ended_us, gap_us; /* gap_us: longest pause between events */
	int64_t event_us;
	char retry_after[32], id[64], signature[64], connection[32];
	GString *body;
};
/* path: with a leading slash, selects the route; fields: additional header lines or NULL. */
struct pw_call *pw_call(struct pw_entry *e, const char *method, const char *path,
			const char *fields, const char *body);
/* pw_call with key k1, a new id, a deadline and a prompt. */
struct pw_call *pw_request(struct pw_entry *e, const char *method, const char *path,
			   int deadline_ms);
/* The same with a key and a body that are not those of all callers, and without a hint of the
 * length. */
struct pw_call *pw_request_as(struct pw_entry *e, const char *path, const char *key,
			      const char *body, int deadline_ms);
/* The status of a request to /safe/ with this key. */
int pw_status_of_key(struct pw_entry *e, const char *key);
/* Closes the caller's connection. */
void pw_call_cancel(struct pw_call *c);
/* Frees all calls of the test. */
void pw_calls_end(void);
/* Runs the loop until the call has ended or ms have passed; returns whether it has. */
int pw_call_wait(struct pw_call *c, int ms);
/* Whether the call ended well and its body is events 1..n, each once and in order. */
int pw_stream_complete(const struct pw_call *c, int n);
/* Whether its body is whole events 1, 2, ..., n at most, each once and in order. */
int pw_has_whole_events(const struct pw_call *c, int n);
/* Sends bytes unchanged on one connection; returns what was received until it closed or ms
 * passed. Free with g_free. */
char *pw_raw(struct pw_entry *e, const char *bytes, size_t n, int ms, int *closed);
char *pw_raw_at(const char *ip, int port, const char *bytes, size_t n, int ms, int *closed);
void pw_address(const struct pw_entry *e, int port, struct sockaddr_in *at);
void pw_ignore_data(struct cn *c, const char *p, size_t n);
void pw_ignore_end(struct cn *c, int err);
/* GET at any port of an entry; returns the status or -1, appends the body to out unless NULL.
 */
int pw_get(const char *ip, int port, const char *target, GString *out);
/* Whether the directory of an entry lists the entry at ip for callers. */
int pw_directory_has(struct pw_entry *e, const char *ip);
#endif
