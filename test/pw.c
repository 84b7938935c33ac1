/* The small platform's loop, and the entries that run beside it. */
#include "pw.h"
#include "hostport.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRIES_MAX 8 /* of one test */
#define LOOK_US 2000  /* how often a condition is looked at */

const struct hs_limits pw_limits = {
	.head_max = 65536, .body_max = 1 << 20, .head_us = 5000000, .idle_us = 60000000};

static struct pw_entry entries[ENTRIES_MAX];
static int nentries, first_ip;
static char net[24], dir[64];
static const char *more_settings;

static volatile int stop;
static int (*condition)(void *);
static void *condition_arg;
static int64_t until_us;
static struct ev_timer look;

static void on_look(struct ev_timer *t)
{
	if ((condition && condition(condition_arg)) || ev_now() >= until_us)
		stop = 1;
	else
		ev_in(t, LOOK_US);
}

int pw_until(int (*f)(void *), void *arg, int ms)
{
	condition = f;
	condition_arg = arg;
	until_us = ev_now() + (int64_t)ms * 1000;
	stop = 0;
	look.fire = on_look;
	ev_in(&look, 0);
	ev_run(&stop);
	return f ? f(arg) : 1;
}

void pw_run(int ms)
{
	pw_until(NULL, NULL, ms);
}

const char *pw_server_ip(void)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.201", net);
	return ip;
}

const char *pw_second_ip(void)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.202", net);
	return ip;
}

void pw_address_of(const char *ip, int port, struct sockaddr_in *at)
{
	char text[48];

	g_snprintf(text, sizeof text, "%s:%d", ip, port);
	hostport_parse(text, at);
}

static void remove_dir(void)
{
	rmdir(dir); /* not with logs that were kept */
}

/* Each test program has a loopback network of its own. */
static void init_once(void)
{
	char ip[32];

	if (net[0]) return;
	signal(SIGPIPE, SIG_IGN);
	g_snprintf(net, sizeof net, "127.%d.%d", 1 + getpid() % 250, getpid() / 250 % 250);
	g_snprintf(dir, sizeof dir, "/tmp/pw-%d", getpid());
	/* One that a process of the same number left with its logs is used again. */
	if (mkdir(dir, 0700) && errno != EEXIST) abort();
	atexit(remove_dir);
	if (ev_init()) abort();
	g_snprintf(ip, sizeof ip, "%s.200", net);
	pw_store_start(ip);
}

void pw_init(void)
{
	init_once();
	more_settings = "";
	first_ip += nentries;
	nentries = 0;
	pw_conf = (struct pw_conf){.version = 1,
				   .timeout_ms = 5000,
				   .tokens = 34000,
				   .attempts = 2,
				   .keys = "[\"k1\"]",
				   .safe_service = "app"};
	pw_conf_write();
}

void pw_settings(const char *lines)
{
	more_settings = lines ? lines : "";
}

static void write_settings(const struct pw_entry *e)
{
	FILE *f = fopen(e->settings, "w");

	if (!f) abort();
	fprintf(f,
		"nodeName=e%d\nipAddress=%s\nzone=a\nregion=r\nlistenAddresses.front=%s:%d\n"
		"listenAddresses.ready=%s:%d\nlistenAddresses.directory=%s:%d\n"
		"internalPortRange=%d,%d\nseedNodes=%s.%d:1\nplatform.address=%s.200:%d\n"
		"bounds.failClosed=true\nbounds.revokeMs=5000\nbounds.drainMs=2000\nbounds."
		"graceS=3\n"
		"bounds.ttl_max_s=1\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=40\n"
		"bounds.budgetWindowS=10\n%s",
		first_ip + nentries, e->ip, e->ip, PW_FRONT, e->ip, PW_READY, e->ip,
		PW_DIRECTORY, PW_PEER, PW_PEER, net, first_ip + 1, net, PW_STORE,
		more_settings);
	fclose(f);
}

/* last: closed after all others that it inherited. */
static void become(const struct pw_entry *e, int last)
{
	const char *build = getenv("B");
	char program[128], port[16];
	int fd = open(e->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	prctl(PR_SET_PDEATHSIG, SIGKILL); /* a test that dies leaves nothing behind */
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	close_range(STDERR_FILENO + 1, last - 1, 0);
	close_range(last + 1, ~0U, 0);
	close(last);
	g_snprintf(program, sizeof program, "%s/saddlehead-entry", build ? build : "build");
	g_snprintf(port, sizeof port, "%d", PW_METRICS);
	execl(program, program, "--settings", e->settings, "--metrics-port", port, NULL);
	_exit(127);
}

/* Waits until the new process has closed what it inherited: a descriptor that this one closes
 * while the other still has it would go on being told of by epoll. */
void pw_entry_again(struct pw_entry *e)
{
	int ends[2];
	char none;

	if (pipe2(ends, O_CLOEXEC)) abort();
	e->pid = fork();
	if (!e->pid) become(e, ends[1]);
	close(ends[1]);
	while (read(ends[0], &none, 1) < 0 && errno == EINTR) {
	}
	close(ends[0]);
}

struct pw_entry *pw_entry_start(void)
{
	struct pw_entry *e = &entries[nentries++];

	g_snprintf(e->ip, sizeof e->ip, "%s.%d", net, first_ip + nentries);
	g_snprintf(e->settings, sizeof e->settings, "%s/e%d.conf", dir, nentries);
	g_snprintf(e->log, sizeof e->log, "%s/e%d.log", dir, nentries);
	unlink(e->log); /* of an earlier process */
	write_settings(e);
	pw_entry_again(e);
	return e;
}

int pw_entry_ended(struct pw_entry *e, int *status)
{
	if (e->pid <= 0 || waitpid(e->pid, status, WNOHANG) != e->pid) return 0;
	e->pid = 0;
	return 1;
}

const char *pw_ip(int n)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.%d", net, n);
	return ip;
}

struct pw_entry *pw_entry_ready(void)
{
	struct pw_entry *e = pw_entry_start();
	int i;

	for (i = 0; i < 100; i++) {
		pw_run(30);
		if (pw_question(e->ip, PW_READY, "/-/readiness", NULL) == 200) return e;
	}
	fprintf(stderr, "the entry is not ready after three seconds\n");
	return e;
}

void pw_entry_kill(struct pw_entry *e, int sig)
{
	if (e->pid > 0) kill(e->pid, sig);
}

int pw_entry_wait(struct pw_entry *e, int ms)
{
	int status, waited;

	for (waited = 0; waited <= ms; waited += 10) {
		if (waitpid(e->pid, &status, WNOHANG) == e->pid) {
			e->pid = 0;
			return status;
		}
		pw_run(10);
	}
	return -1;
}

int pw_log_has(struct pw_entry *e, const char *text)
{
	char *log = NULL;
	int has;

	pw_run(400);
	if (!g_file_get_contents(e->log, &log, NULL, NULL)) return 0;
	has = strstr(log, text) != NULL;
	g_free(log);
	return has;
}

double pw_metric(struct pw_entry *e, const char *name)
{
	GString *out = g_string_new("\n");
	char *line = g_strdup_printf("\n%s ", name), *at;
	double v = -1;

	if (pw_question(e->ip, PW_METRICS, "/metrics", out) == 200 &&
	    (at = strstr(out->str, line)))
		v = g_ascii_strtod(at + strlen(line), NULL);
	g_free(line);
	g_string_free(out, TRUE);
	return v;
}

void pw_end(void)
{
	int i, status;

	for (i = 0; i < nentries; i++) {
		if (entries[i].pid <= 0) continue;
		kill(entries[i].pid, SIGCONT);
		kill(entries[i].pid, SIGKILL);
		waitpid(entries[i].pid, &status, 0);
		entries[i].pid = 0;
	}
	for (i = 0; i < nentries; i++) {
		unlink(entries[i].settings);
		if (!getenv("PW_KEEP")) unlink(entries[i].log);
	}
	pw_calls_end();
	pw_run(20); /* what was given back is freed between rounds of the loop */
	pw_servers_end();
	pw_store_clear();
}
