/* Starts an HTTP server with the paths of one port and those common to both. */
#include "http.h"

static void register_paths(struct mg_context *ctx, const struct http_path *p)
{
	for (; p->path; p++) mg_set_request_handler(ctx, p->path, p->handler, NULL);
}

struct mg_context *http_serve(const char **options, int threads, const struct http_path *paths)
{
	static const struct http_path common_paths[] = {{"/healthz$", probe_health},
							{"/readyz$", probe_ready},
							{"/", probe_not_found},
							{NULL, NULL}};
	struct mg_callbacks cb = {.init_thread = http_thread_start,
				  .exit_thread = http_thread_stop,
				  .http_error = http_on_error};
	int workers_before = http_worker_count();
	struct mg_context *ctx = mg_start(&cb, NULL, options);

	if (!ctx) return NULL;
	register_paths(ctx, paths);
	register_paths(ctx, common_paths);
	http_wait_workers(workers_before, threads);
	return ctx;
}

uint16_t http_port(struct mg_context *ctx)
{
	struct mg_server_port p;

	return mg_get_server_ports(ctx, 1, &p) == 1 ? (uint16_t)p.port : 0;
}
