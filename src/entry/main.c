/* saddlehead-entry: the process of one instance that serves callers on the platform. */
#include "clock.h"
#include "dialect.h"
#include "entry.h"
#include "ev.h"
#include "jlog.h"
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIGNAL_POLL_US 50000 /* how often the flags set by signals are checked */

static volatile sig_atomic_t drain_requested, reload_requested;
static volatile int stopped;
static const char *settings_path;
static struct entry_cfg cfg;
static struct ev_timer signal_timer;

struct options {
	char *settings;
	int metrics_port, check;
};

static void on_term(int sig)
{
	(void)sig;
	drain_requested = 1;
}

static void on_hup(int sig)
{
	(void)sig;
	reload_requested = 1;
}

/* Interrupted reads are restarted, among them that of the settings. */
static void catch_signals(void)
{
	struct sigaction term = {.sa_handler = on_term, .sa_flags = SA_RESTART};
	struct sigaction hup = {.sa_handler = on_hup, .sa_flags = SA_RESTART};

	sigaction(SIGTERM, &term, NULL);
	sigaction(SIGINT, &term, NULL);
	sigaction(SIGHUP, &hup, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void reload(void)
{
	struct entry_cfg new;
	struct err e;
	GString *g;

	if (!dl_read_settings(settings_path, &new, &e)) {
		entry_reload(&new);
		return;
	}
	g = jlog_begin("main", "settings_refused");
	jlog_str(g, "why", e.text);
	jlog_end(g);
}

static void on_signal_timer(struct ev_timer *t)
{
	ev_in(t, SIGNAL_POLL_US);
	if (reload_requested) {
		reload_requested = 0;
		reload();
	}
	if (drain_requested) entry_drain();
	if (entry_drained()) stopped = 1;
}

static int parse(int argc, const char **argv, struct options *o)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "settings as the platform lays them", "FILE"},
		{"metrics-port", 0, POPT_ARG_INT, &o->metrics_port, 0, "0: no metrics", "PORT"},
		{"check", 0, POPT_ARG_NONE, &o->check, 0, "check the settings and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext("saddlehead-entry", argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1)
		fprintf(stderr, "saddlehead-entry: %s: %s\n", poptBadOption(ctx, 0),
			poptStrerror(rc));
	poptFreeContext(ctx);
	if (o->metrics_port < 0 || o->metrics_port > 65535) return -1;
	return rc < -1 ? -1 : 0;
}

static void log_stopped(const char *detail)
{
	GString *g = jlog_begin("main", "stopped");

	jlog_str(g, "detail", detail);
	jlog_end(g);
	jlog_stop();
}

static int run(void)
{
	struct err e;
	GString *g;

	if (jlog_start(cfg.instance) || ev_init()) {
		fprintf(stderr, "saddlehead-entry: cannot start the log or event loop\n");
		return 1;
	}
	if (drain_requested) {
		log_stopped("stop requested while the settings were read");
		return 0;
	}
	if (entry_start(&cfg, &e)) {
		fprintf(stderr, "saddlehead-entry: %s\n", e.text);
		return 1;
	}
	g = jlog_begin("main", "started");
	jlog_str(g, "front", cfg.front_text);
	jlog_str(g, "data_centre", cfg.data_centre);
	jlog_end(g);
	signal_timer.fire = on_signal_timer;
	ev_in(&signal_timer, SIGNAL_POLL_US);
	ev_run(&stopped);
	entry_stop();
	log_stopped(NULL);
	return 0;
}

int main(int argc, const char **argv)
{
	struct options o = {0};
	struct err e;

	catch_signals();
	if (parse(argc, argv, &o)) return 2;
	settings_path = o.settings ? o.settings : dl_settings_path();
	if (dl_read_settings(settings_path, &cfg, &e)) {
		fprintf(stderr, "saddlehead-entry: %s\n", e.text);
		return 2;
	}
	if (o.check) {
		printf("%s: settings are good\n", settings_path);
		return 0;
	}
	cfg.metrics_port = o.metrics_port;
	return run();
}
