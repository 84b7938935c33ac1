/* The HTTP server for callers. */
#include "front.h"
#include "call.h"
#include "gen.h"
#include "node.h"
#include "req.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define REFUSAL_THREADS 16 /* beyond limits.requests, to refuse excess ones at once */
#define WRITE_TIMEOUT_MS "20000"

static struct mg_context *ctx;

static int on_completions(struct mg_connection *c, void *arg)
{
	(void)arg;
	return gen_serve(c, 0);
}

static int on_chat(struct mg_connection *c, void *arg)
{
	(void)arg;
	return gen_serve(c, 1);
}

static int on_call(struct mg_connection *c, void *arg)
{
	(void)arg;
	return call_serve(c);
}

static int on_where(struct mg_connection *c, void *arg)
{
	(void)arg;
	return where_serve(c);
}

int front_start(struct err *e)
{
	static const struct http_path paths[] = {{"/v1/completions$", on_completions},
						 {"/v1/chat/completions$", on_chat},
						 {"/v1/call/", on_call},
						 {"/v1/where$", on_where},
						 {NULL, NULL}};
	int nthreads = (int)node.cfg.requests + REFUSAL_THREADS;
	char listen[160], threads[16];
	const char *opt[] = {"listening_ports",
			     listen,
			     "num_threads",
			     threads,
			     "enable_keep_alive",
			     "yes",
			     "keep_alive_timeout_ms",
			     "2000",
			     "request_timeout_ms",
			     WRITE_TIMEOUT_MS,
			     "tcp_nodelay",
			     "1",
			     "connection_queue",
			     "512",
			     "listen_backlog",
			     "512",
			     "max_request_size",
			     "16384",
			     NULL};

	snprintf(listen, sizeof listen, "%s:%d", node.cfg.ip, (int)node.cfg.front_port);
	snprintf(threads, sizeof threads, "%d", nthreads);
	mg_init_library(0);
	ctx = http_serve(opt, nthreads, paths);
	if (!ctx)
		return err_set(e, -EADDRINUSE, STEP_SETTINGS, listen,
			       "can't serve callers there");
	return 0;
}

void front_stop(void)
{
	if (ctx) mg_stop(ctx);
	ctx = NULL;
}

uint16_t front_port(void)
{
	return http_port(ctx);
}
