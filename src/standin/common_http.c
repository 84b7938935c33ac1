#include "common.h"
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BODY_MAX (4u << 20)

static sigset_t stop_signals;

void standin_parse(const char *name, int argc, const char **argv, struct poptOption *table)
{
	poptContext ctx = poptGetContext(name, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1) {
		fprintf(stderr, "%s: %s: %s\n", name, poptBadOption(ctx, 0), poptStrerror(rc));
		exit(2);
	}
	poptFreeContext(ctx);
}

void standin_block_signals(void)
{
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void standin_wait(void)
{
	int sig;

	sigwait(&stop_signals, &sig);
}

static void write_ready(const char *path, int port)
{
	char *tmp = g_strdup_printf("%s.part", path);
	FILE *f = fopen(tmp, "w");

	if (!f || fprintf(f, "{\"address\":\"127.0.0.1:%d\"}\n", port) < 0 || fclose(f) ||
	    rename(tmp, path)) {
		perror(path);
		exit(1);
	}
	g_free(tmp);
}

struct mg_context *standin_serve(const struct standin_options *o, int threads)
{
	struct mg_callbacks cb = {.init_thread = http_thread_start,
				  .exit_thread = http_thread_stop};
	char listen[64], nthreads[16];
	const char *opt[] = {"listening_ports",
			     listen,
			     "num_threads",
			     nthreads,
			     "enable_keep_alive",
			     "yes",
			     "keep_alive_timeout_ms",
			     "500",
			     "request_timeout_ms",
			     "20000",
			     "tcp_nodelay",
			     "1",
			     "connection_queue",
			     "1024",
			     "listen_backlog",
			     "1024",
			     NULL};
	struct mg_context *ctx;
	int before;

	snprintf(listen, sizeof listen, "127.0.0.1:%d", o->port);
	snprintf(nthreads, sizeof nthreads, "%d", threads);
	mg_init_library(0);
	before = http_worker_count();
	ctx = mg_start(&cb, NULL, opt);
	if (!ctx) {
		fprintf(stderr, "can't listen on %s\n", listen);
		exit(1);
	}
	http_wait_workers(before, threads);
	return ctx;
}

void standin_ready(const struct standin_options *o, struct mg_context *ctx)
{
	struct mg_server_port p;

	if (mg_get_server_ports(ctx, 1, &p) != 1) exit(1);
	if (o->ready_file)
		write_ready(o->ready_file, p.port);
	else
		printf("127.0.0.1:%d\n", p.port);
}

void standin_journal(const struct standin_options *o, const char *fmt, ...)
{
	char line[512];
	va_list ap;
	int fd, n;

	if (!o->journal_file) return;
	va_start(ap, fmt);
	n = vsnprintf(line, sizeof line - 1, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof line - 2) n = sizeof line - 2;
	line[n++] = '\n';
	fd = open(o->journal_file, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	if (fd < 0 || write(fd, line, (size_t)n) != n) perror(o->journal_file);
	if (fd >= 0) close(fd);
}

json_object *standin_body(struct mg_connection *c)
{
	enum refusal why;
	size_t n;
	char *text = http_body(c, BODY_MAX, &n, &why);
	json_object *o = text && n ? json_tokener_parse(text) : NULL;

	g_free(text);
	return o;
}

int standin_has(json_object *o, const char *key)
{
	return json_object_object_get_ex(o, key, NULL);
}

int64_t standin_int(json_object *o, const char *key, int64_t def)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v) : def;
}

const char *standin_string(json_object *o, const char *key, const char *def)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v) : def;
}

int64_t standin_param(struct mg_connection *c, const char *name, int64_t def)
{
	const char *q = mg_get_request_info(c)->query_string;
	char buf[32];

	if (!q || mg_get_var(q, strlen(q), name, buf, sizeof buf) <= 0) return def;
	return strtoll(buf, NULL, 10);
}

static pthread_mutex_t extra_header_lock = PTHREAD_MUTEX_INITIALIZER;
static char extra_header[256]; /* header line of each response, with CRLF; or empty */

void standin_set_header(const char *line)
{
	int usable = line && *line && !strpbrk(line, "\r\n");

	pthread_mutex_lock(&extra_header_lock);
	g_snprintf(extra_header, sizeof extra_header, usable ? "%.200s\r\n" : "%s",
		   usable ? line : "");
	pthread_mutex_unlock(&extra_header_lock);
}

static void copy_extra_header(char *out)
{
	pthread_mutex_lock(&extra_header_lock);
	memcpy(out, extra_header, sizeof extra_header);
	pthread_mutex_unlock(&extra_header_lock);
}

int standin_send(struct mg_connection *c, int status, const char *fmt, ...)
{
	char *s, head[sizeof extra_header];
	va_list ap;

	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	copy_extra_header(head);
	http_send(c, status, "application/json", s, strlen(s), head);
	g_free(s);
	return status;
}
