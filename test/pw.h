/*
 * A small platform for tests: its store, its backend servers, its operator and its callers on
 * one event loop in the test's own process; entries run beside it as real processes, each at a
 * loopback address of its own. Faults are switched on by the test, never by chance.
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
/* Ports: any will do, each address is a test's own. */
#define PW_FRONT 7001
#define PW_READY 7002
#define PW_DIRECTORY 7003
#define PW_PEER 7004
#define PW_METRICS 7005
#define PW_STORE 7006
#define PW_SERVER 7100
#define PW_SECOND_STORE "platform.address=%s:7006\n" /* with pw_second_ip() */

/* Hosts of this program's own network; entries have those from 1. */
#define PW_STORE_HOST 200
#define PW_SERVER_HOST 201
#define PW_SECOND_HOST 202 /* a second address of the store */

/* Each test begins with it and ends with pw_end. */
void pw_init(void);
/* Ends what still runs. */
void pw_end(void);
void pw_run(int ms);
/* Runs until f(arg) or ms are over; what f said last. */
int pw_until(int (*f)(void *), void *arg, int ms);
/* The address of a host, until the next call. */
const char *pw_ip(int host);
void pw_address_of(const char *ip, int port, struct sockaddr_in *at);
extern const struct hs_limits pw_limits; /* of the platform's own servers: never the bound */

/* ---- pw_entry.c ---- */
struct pw_entry {
	pid_t pid;
	char ip[32], settings[64], log[64];
};

/* The program that entries run from now on, below the folder of the build. */
extern const char *pw_entry_program;
/* More settings lines for entries that start from now on; NULL: none. */
void pw_settings(const char *lines);
struct pw_entry *pw_entry_start(void);
/* Starts one and waits until it is ready. */
struct pw_entry *pw_entry_ready(void);
/* Waits for three seconds at most; 1 once it is ready. */
int pw_entry_until_ready(struct pw_entry *e);
/* Starts one that has ended, with the settings it had but for the fleet's first start. */
void pw_entry_again(struct pw_entry *e);
/* 1 once it has ended by now, with its status as waitpid tells it. */
int pw_entry_ended(struct pw_entry *e, int *status);
void pw_entry_kill(struct pw_entry *e, int sig);
/* The exit status, once it ended within ms; -1: it still runs. */
int pw_entry_wait(struct pw_entry *e, int ms);
/* Whether its log holds the text; the log is written with a delay of some 200 ms. */
int pw_log_has(struct pw_entry *e, const char *text);
/* The value of a metric, -1 when there is none of that name (labels included). */
double pw_metric(struct pw_entry *e, const char *name);
/* For pw.c: once in a program, and around each test. */
void pw_entries_init(void);
void pw_entries_begin(void);
void pw_entries_end(void);

/* ---- pw_store.c ---- */
enum pw_store_mode {
	PW_STORE_OK,
	PW_STORE_DOWN,
	PW_STORE_BUSY,
	PW_STORE_LOST,
	PW_STORE_SILENT
};
struct pw_store {
	enum pw_store_mode mode;
	enum pw_store_mode second_mode; /* of its second address, which an entry may be given */
	int watches_silent;             /* changes are not told to those who watch */
	int calls, watches, commits, listings;
	int slow_answers; /* that were begun */
	int slow_bytes;   /* of an answer over 64 KB are sent each tenth of a second; 0: at once
			   */
	int page;         /* items of an answer to a listing, in the order of keys; 0: all */
	uint64_t revision;
};
extern struct pw_store pw_store;
void pw_store_start(const char *ip);
/* Empties it; revisions go on rising. */
void pw_store_clear(void);
void pw_store_put(const char *key, const char *value);
void pw_store_remove(const char *key);
/* Forgets its history; watches are cut and told so when they come again. */
void pw_store_compact(void);
/* Breaks the calls that wait at its second address. */
void pw_store_cut_second(void);
/* What a key holds, or NULL. Free with g_free. */
char *pw_store_value(const char *key);
/* Keys that begin so and stand now. */
int pw_store_keys(const char *prefix);
/* Calls that wait for changes now. */
int pw_store_waiting(void);

/* ---- pw_query.c ---- */
/* A query argument of a request's target, decoded into out; 0 or -ENOENT. */
int pw_query(const char *target, const char *name, char *out, size_t max);

/* ---- pw_server.c: backend servers ---- */
enum pw_mode {
	PW_OK,
	PW_FULL,        /* 503, not run */
	PW_STRANGER,    /* 421: another incarnation */
	PW_HANG,        /* runs, never answers */
	PW_RESET,       /* runs, resets before an answer */
	PW_BREAK,       /* resets in the middle of an event or body, after break_after events */
	PW_WRONG_ID,    /* answers another request */
	PW_UNSIGNED,    /* a success without a signature */
	PW_ENCODED,     /* a success in an encoding */
	PW_FALSE_503,   /* 503 that does not say the request has not run */
	PW_ERROR,       /* 500, signed */
	PW_EXTRA,       /* a second answer behind the first */
	PW_GARBAGE,     /* bytes that are no HTTP */
	PW_UNTIL_CLOSE, /* no length: the answer ends with the connection */
	PW_CUT_CLOSE,   /* no length, reset on the way */
	PW_SILENT,      /* a stream that stops without a word after break_after events */
};

struct pw_run {
	char id[64], after[32], copy[96], backup[64], group[64], target[96], expect[64];
	char body_sum[32];
	int64_t deadline_ms, began_us, ended_us;
	int events, cancelled, finished, stopped;
	struct pw_server *server;
	struct hs *h;
	struct ev_timer timer;
};

struct pw_server {
	char id[64], service[64], ip[32], address[48];
	char zone[16];    /* "a" at first, where entries are, too */
	char version[16]; /* "v1" at first */
	int64_t born_ms;  /* of this life; 0: not told */
	int cold_ms;      /* that its entry tells */
	struct hs_listener listener;
	int64_t leaving_us; /* when its entry first said that it leaves, or went */
	enum pw_mode mode;
	int engine;
	int work_ms, event_ms, events, break_after;
	int event_bytes; /* of padding in each event */
	int move_status,
		copy_status; /* what orders and copies are answered; 0: as they should */
	int copy_refusals;   /* so many copies are turned away first */
	int copy_ms; /* from when a run goes on from a copy until its first event is read */
	int move_ms; /* until an order is carried out */
	int moving, moving_most; /* orders under way at once: now, and at most so far */
	int leaves;              /* its own report says so */
	int ailing;              /* its health check says so */
	int checks;              /* health checks so far */
	int reports;             /* asked for so far */
	int arrivals, moves, copies, drops;
	const char *says;   /* head lines of each of its answers, each ended by CRLF; or NULL */
	GArray *arrived_us; /* when each request came, of whatever kind: int64_t */
	char last_raw[1024]; /* the head that came last */
};
extern GPtrArray *pw_runs; /* of struct pw_run */
/* One that is not listed yet; its address may be set to that of something before it. */
struct pw_server *pw_server_new(const char *service, int engine);
struct pw_server *pw_server_add(const char *service, int engine);
/* Begins a test: n listed servers of service app, and an entry that is ready. */
struct pw_entry *pw_init_with(struct pw_server **s, int n);
const char *pw_server_ip(void);
const char *pw_second_ip(void);
/* Most requests of whatever kind that came to it within ms, from a moment on. */
int pw_server_most(const struct pw_server *s, int64_t from_us, int ms);
/* Answers with what it says of itself beside the fields. */
void pw_server_answer(struct pw_server *s, struct hs *h, int status, const char *fields,
		      const char *body);
void pw_servers_end(void);
/* The same in a data centre. */
struct pw_server *pw_server_add_in(const char *service, int engine, const char *zone);
/* Writes its entry; state "ready" or "draining". */
void pw_server_list(struct pw_server *s, const char *state);
void pw_server_unlist(struct pw_server *s);
/* It takes a new id, which is not listed yet. */
void pw_server_rename(struct pw_server *s);
/* Takes connections, at first or again after it died. */
void pw_server_listen(struct pw_server *s);
/* Breaks all its connections and listens no more. */
void pw_server_die(struct pw_server *s);
/* It takes no more connections, and says nothing to those who try: opening packets get lost.
 * Close the returned descriptor at the end. */
int pw_server_deaf(struct pw_server *s);

/* Requests that reached a server after they had reached one, but those that go on from a copy.
 */
int pw_repeats(void);

/* ---- pw_crash.c: a request that ends whatever runs it ---- */
struct pw_crash {
	const char *body; /* of that request; NULL: there is none */
	int after_ms;     /* from when a server begins to run it until the server ends */
	int back_ms;      /* from then until it stands again at its address; 0: never */
	int same_id;      /* under the id that it had, in a new life; else under a new one */
	int ends;         /* servers that ended under it */
	int64_t third_us; /* when the third did; 0: not yet */
	/* What becomes of the server then; NULL: pw_crash_now */
	void (*end)(struct pw_server *s);
};
/* Whatever a test sets here is gone with pw_end. */
extern struct pw_crash pw_crash;
/* Whether that is the request, and its server will end. */
int pw_crash_begin(struct pw_run *r, const char *body);
/* s ends now, and is back as pw_crash says. */
void pw_crash_now(struct pw_server *s);
/* Runs of it that began so long after the third end. */
int pw_crash_runs_after(int ms);
void pw_crash_end(void);

/* ---- pw_run.c: what runs on them ---- */
/* Runs of a request, started anywhere. */
int pw_runs_of(const char *id);
struct pw_run *pw_run_of(const char *id, int nth);
/* copy: the run goes on from it; empty: from the start. */
void pw_run_begin(struct pw_server *s, struct hs *h, const char *copy);
void pw_run_over(struct pw_run *r);
/* The stream of that id that has begun on s, or NULL. */
struct pw_run *pw_run_at(struct pw_server *s, const char *id);
/* A run that may be gone on with: by its own id (a backup), or by a handle of a move. */
struct pw_run *pw_run_copied(const char *copy);
/* The field's value, empty where there is none. */
void pw_field(struct hs *h, const char *name, char *out, size_t max);

/* ---- pw_conf.c: the operator ---- */
/* Routes on host test.example: /chat/ (stream, not resumable), /sum/ (stream, resumable),
 * /safe/, /unsafe/ (keyed), /open/ (needs no key). Key "k1" belongs to workspace "w1". */
struct pw_conf {
	int version, timeout_ms, extra_routes, attempts;
	int aim_ms;       /* of each route */
	int tokens;       /* memory of an engine */
	int link_mbps;    /* over which it moves */
	int cold_per_s;   /* requests that a server of app bears in its first second; 0: any */
	const char *keys; /* JSON list of w1's keys */
	const char *regions; /* JSON list of those of /chat/ and /safe/; NULL: any */
	const char *safe_service;
};
extern struct pw_conf pw_conf;
/* The configuration as it would be written. */
GString *pw_conf_text(void);
void pw_conf_write(void);

/* ---- pw_caller.c ---- */
struct pw_call {
	struct hx *x;
	int status, ended, err, events;
	int64_t began_us, first_us, ended_us, gap_us; /* longest pause between events */
	int64_t event_us;
	char retry_after[32], id[64], signature[64], connection[32];
	GString *body;
};
/* path with a leading slash; kind of request by path; fields: more head lines or NULL. */
struct pw_call *pw_call(struct pw_entry *e, const char *method, const char *path,
			const char *fields, const char *body);
/* The same with k1, an id, a deadline and a prompt. */
struct pw_call *pw_ask(struct pw_entry *e, const char *method, const char *path,
		       int deadline_ms);
/* The status of a safe call with that key. */
int pw_status_of_key(struct pw_entry *e, const char *key);
void pw_call_leave(struct pw_call *c);
/* Frees the calls of a test that ends. */
void pw_calls_end(void);
int pw_call_wait(struct pw_call *c, int ms);
/* Whether the body holds the events 1..n of the request, each once and in order. */
int pw_stream_whole(const struct pw_call *c, int n);
/* Sends bytes as they are on one connection; what came back until it ended or ms are over. */
char *pw_raw(struct pw_entry *e, const char *bytes, size_t n, int ms, int *closed);
char *pw_raw_at(const char *ip, int port, const char *bytes, size_t n, int ms, int *closed);
void pw_address(const struct pw_entry *e, int port, struct sockaddr_in *at);
void pw_ignore_data(struct cn *c, const char *p, size_t n);
void pw_ignore_end(struct cn *c, int err);
/* GET on another port of an entry; the status, body into out. */
int pw_question(const char *ip, int port, const char *target, GString *out);
/* Whether an entry's directory names the one at this address to callers. */
int pw_where_names(struct pw_entry *asked, const char *ip);
#endif
