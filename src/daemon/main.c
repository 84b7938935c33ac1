/* saddleheadd: the daemon that runs one instance. */
#include "cfg.h"
#include "log.h"
#include "node.h"
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#define VERSION "0.1.0"

static volatile sig_atomic_t drain_requested;
static volatile sig_atomic_t stop_requested;

struct options {
	char *config, *ready_file, *log_level, *log_format;
	int check, version;
};

/* The first signal starts draining; a second one stops the daemon without waiting for it. */
static void on_signal(int sig)
{
	(void)sig;
	if (drain_requested) stop_requested = 1;
	drain_requested = 1;
}

/* SA_RESTART: a signal must not interrupt reads, such as that of the settings. */
static void install_signal_handlers(void)
{
	struct sigaction sa = {.sa_handler = on_signal, .sa_flags = SA_RESTART};

	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Writes a temporary file and renames it, so that readers never see a partial file. */
static int write_ready_file(const char *path)
{
	char tmp[4096];
	FILE *f;

	snprintf(tmp, sizeof tmp, "%s.part", path);
	f = fopen(tmp, "w");
	if (!f) return -1;
	fprintf(f,
		"{\"instance\":\"%s\",\"front\":\"%s:%u\",\"admin\":\"%s:%u\",\"peer\":\"%s:%"
		"u\"}\n",
		node.self.name, node.self.ip, node.self.front_port, node.self.ip,
		node.self.admin_port, node.self.ip, node.self.peer_port);
	if (fclose(f)) return -1;
	return rename(tmp, path);
}

static void wait_until_drained(void)
{
	struct timespec ts = {0, 20000000};

	while (!stop_requested) {
		if (drain_requested) node_drain();
		if (node_drained()) break;
		nanosleep(&ts, NULL);
	}
}

static int parse_options(int argc, const char **argv, struct options *o)
{
	struct poptOption table[] = {
		{"config", 'c', POPT_ARG_STRING, &o->config, 0, "settings, JSON with comments",
		 "FILE"},
		{"check", 0, POPT_ARG_NONE, &o->check, 0, "check the settings and exit", NULL},
		{"ready-file", 0, POPT_ARG_STRING, &o->ready_file, 0,
		 "write the listening addresses there when ready", "FILE"},
		{"log-level", 0, POPT_ARG_STRING, &o->log_level, 0,
		 "error, warning, info or debug", "LEVEL"},
		{"log-format", 0, POPT_ARG_STRING, &o->log_format, 0, "text or json", "FORMAT"},
		{"version", 0, POPT_ARG_NONE, &o->version, 0, "print the version and exit",
		 NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext("saddleheadd", argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);
	const char *extra;

	if (rc < -1)
		fprintf(stderr, "saddleheadd: %s: %s\n", poptBadOption(ctx, 0),
			poptStrerror(rc));
	extra = poptGetArg(ctx);
	if (extra) fprintf(stderr, "saddleheadd: %s: not expected\n", extra);
	poptFreeContext(ctx);
	return rc < -1 || extra ? -1 : 0;
}

static void free_options(struct options *o)
{
	free(o->config);
	free(o->ready_file);
	free(o->log_level);
	free(o->log_format);
}

static int init_log(const struct options *o, const struct cfg *c)
{
	const char *level = o->log_level ? o->log_level : c->log_level;
	const char *format = o->log_format ? o->log_format : c->log_format;

	if (!log_init(level, format)) return 0;
	fprintf(stderr, "saddleheadd: log level \"%s\" or format \"%s\" is unknown\n", level,
		format);
	return -1;
}

static int run(const struct options *o, const struct cfg *cfg)
{
	struct err e;

	if (node_start(cfg, &e)) {
		fprintf(stderr, "saddleheadd: %s\n", e.text);
		return 1;
	}
	if (o->ready_file && write_ready_file(o->ready_file)) {
		fprintf(stderr, "saddleheadd: can't write %s\n", o->ready_file);
		return 1;
	}
	log_info("main", "%s accepts requests on port %u.", node.self.name,
		 node.self.front_port);
	wait_until_drained();
	node_stop();
	log_info("main", "%s has stopped.", node.self.name);
	return 0;
}

static int load_and_run(const struct options *o)
{
	struct cfg cfg;
	struct err e;
	int rc;

	if (cfg_load(o->config, &cfg, &e)) {
		fprintf(stderr, "saddleheadd: %s\n", e.text);
		return 2;
	}
	if (init_log(o, &cfg)) return 2;
	if (o->check) {
		printf("%s: settings are good\n", o->config);
		return 0;
	}
	rcu_register_thread();
	rc = run(o, &cfg);
	rcu_unregister_thread();
	return rc;
}

int main(int argc, const char **argv)
{
	struct options o = {0};
	int rc = 0;

	install_signal_handlers();
	if (parse_options(argc, argv, &o)) {
		rc = 2;
	} else if (o.version) {
		puts("saddleheadd " VERSION);
	} else if (!o.config) {
		fprintf(stderr, "saddleheadd: --config is missing\n");
		rc = 2;
	} else {
		rc = load_and_run(&o);
	}
	free_options(&o);
	return rc;
}
