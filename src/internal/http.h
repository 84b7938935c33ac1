/* HTTP over CivetWeb: JSON and error responses, chunked event streams, request bodies. */
#ifndef SH_HTTP_H
#define SH_HTTP_H
#include "err.h"
#include "reason.h"
#include <civetweb.h>
#include <glib.h>
#include <stdint.h>

/* Whether the request was executed: the error field "ran". */
enum ran { RAN_NO, RAN_MAYBE, RAN_YES };

struct http_error {
	enum refusal reason;
	enum ran ran;
	uint32_t retry_after_ms; /* 0: a retry will not help */
	struct err err;
};

/* Sends the error as JSON and counts it in the metrics. Returns the HTTP status. */
int http_error(struct mg_connection *c, const struct http_error *e);
/* Shorthand for http_error for a request that was not executed and has no peer. */
int http_refuse(struct mg_connection *c, enum refusal why, enum step step, uint32_t retry_ms,
		const char *text);
void http_error_json(GString *out, const struct http_error *e);

int http_send(struct mg_connection *c, int status, const char *type, const char *body, size_t n,
	      const char *extra_headers);
int http_send_json(struct mg_connection *c, int status, const char *json);

/* Reads the whole body; free it with g_free. NULL with *why set if it is longer than max or
 * incomplete. */
char *http_body(struct mg_connection *c, size_t max, size_t *len, enum refusal *why);

/* The key of "Authorization: Bearer KEY", or NULL. */
const char *http_bearer(struct mg_connection *c);

/* A stream of server-sent events: the headers, then chunks, each sent by a single mg_write.
 * http_stream_head only formats the headers. scratch is a buffer that is overwritten. */
int http_stream_head(char *out, size_t max, const char *extra_headers);
int http_stream_start(struct mg_connection *c, const char *extra_headers);
int http_stream_write(struct mg_connection *c, GString *scratch, const char *p, size_t n);
int http_stream_end(struct mg_connection *c);

/* Sends a JSON error for a request that CivetWeb itself refuses. */
int http_on_error(struct mg_connection *c, int status, const char *text);

/* Thread callbacks of CivetWeb: they register its threads with RCU. */
void *http_thread_start(const struct mg_context *ctx, int type);
/* Waits until n more worker threads than before (an earlier http_worker_count) have started:
 * CivetWeb can lose a connection that arrives before its worker first waits for one. */
int http_worker_count(void);
void http_wait_workers(int before, int n);
void http_thread_stop(const struct mg_context *ctx, int type, void *p);

/* probes.c: handlers common to both ports. */
int probe_health(struct mg_connection *c, void *arg);
int probe_ready(struct mg_connection *c, void *arg);
int probe_not_found(struct mg_connection *c, void *arg);

/* http_serve.c: an HTTP server of an instance. */
struct http_path {
	const char *path; /* a CivetWeb URI pattern; NULL terminates a list */
	mg_request_handler handler;
};
/* Serves paths and the common ones. options are CivetWeb's, terminated by NULL, and set the
 * port. Returns once all threads accept connections, or NULL if CivetWeb can't start there. */
struct mg_context *http_serve(const char **options, int threads, const struct http_path *paths);
/* The port that the server listens on, or 0. */
uint16_t http_port(struct mg_context *ctx);

/* caller.c: detects that a caller closed its connection. */
struct caller {
	int fd; /* -1: not searched for yet; -2: not found */
};
int caller_left(struct caller *c, struct mg_connection *conn);
/* The connection's descriptor, or -1. */
int caller_fd(struct caller *c, struct mg_connection *conn);
#endif
