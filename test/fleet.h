/* Starts a fleet of real processes for a test, and HTTP clients for it. */
#ifndef SH_TEST_FLEET_H
#define SH_TEST_FLEET_H
#include "httpc.h"
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdint.h>

#define FLEET_MAX 16

struct fleet {
	char dir[64];
	json_object *json;
	const char *entry[FLEET_MAX], *admin[FLEET_MAX], *engine[FLEET_MAX],
		*service[FLEET_MAX];
	const char *kv;
	int entries, engines, services;
};

struct fleet_options {
	int daemons, engines, services;
	const char *engine_options, *settings; /* settings: members of a JSON object */
};

/* Exits the test program if the fleet can't be started. */
struct fleet *fleet_start(const struct fleet_options *o);
/* Nonzero if a process did not stop or a log has a sanitizer report. */
int fleet_stop(struct fleet *f);

/* Sends sig to a process: "kv", "engine1", "service1", "entry1", ... */
void fleet_signal(struct fleet *f, const char *process, int sig);
/* Whether the process has exited; seen at once, because its parent is the fleet script. */
int fleet_exited(struct fleet *f, const char *process);

/* Sends a request with key as bearer token. Returns the response's JSON, to be put, or NULL if
 * it is not JSON; *status is 0 if there was no response. */
json_object *fleet_call(const char *method, const char *address, const char *path,
			const char *key, const char *body, long *status);
/* As fleet_call, with headers "Name: value", terminated by NULL, instead of the key. */
json_object *fleet_call_with(const char *method, const char *address, const char *path,
			     const char *const *headers, const char *body, long *status);
/* Injects faults into a stand-in process; fault is a JSON object. */
void fleet_fault(const char *address, const char *fault);
/* The number or text at a path of keys ("error.code"), or -1 or NULL if there is none. */
int64_t json_int_at(json_object *o, const char *path);
const char *json_text_at(json_object *o, const char *path);
/* A metric of the daemon; without labels in name, the sum over all labels. */
double fleet_metric(const char *admin, const char *name);
/* The version of the operators' table in force at a daemon, or -1. */
int64_t fleet_table_version(const char *admin);

/* Polls until f(arg) is true: 0, or -1 after a timeout too long to affect any result. */
int await(int (*f)(void *arg), void *arg);

/* A streamed generation, read by its own thread. */
struct stream {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t more;
	char *address, *key, *body, *last_id;
	int cut, closed;
	long status;
	int events, done, error;
	int out_of_order, mixed; /* violations: wrong offsets, tokens of several generations */
	long next;               /* expected offset of the next token */
	char tag[16];
	char id[256]; /* of the last event received */
	GString *raw, *line;
	size_t parsed;
};

/* Starts a generation, or resumes one after event last_id (may be NULL). from is the offset
 * expected of the first token. */
struct stream *stream_open(const char *address, const char *key, const char *body,
			   const char *last_id, long from);
/* Waits until n tokens arrived or the stream is closed; returns the tokens received. */
int stream_wait(struct stream *s, int n);
/* Waits until the stream is closed. */
void stream_join(struct stream *s);
/* Closes the connection from the reader's side and waits for the reading thread. */
void stream_cut(struct stream *s);
void stream_free(struct stream *s);

#define KEY_MEMBERS "key-members"
#define KEY_PACKING "key-packing"
#define KEY_RESIDENTS "key-residents"
#define ADMIN_KEY "fleet-admin-key"
#endif
