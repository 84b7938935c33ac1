/* The programs' first moments, while their settings are read. */
#include "check.h"
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define LOOK_US 10000
#define BEGUN_US 300000 /* the program has opened its settings, and waits for them */
#define ENDS_US 5000000

static int exec_with(const char *program, const char *option, const char *file)
{
	const char *build = getenv("B");
	char *path = g_strdup_printf("%s/%s", build ? build : "build", program);
	pid_t pid = fork();

	if (!pid) {
		execl(path, path, option, file, NULL);
		_exit(127);
	}
	g_free(path);
	return pid;
}

/* Its status, as waitpid tells it; -1: it had to be killed. */
static int status_of(pid_t pid)
{
	int status, waited;

	for (waited = 0; waited < ENDS_US; waited += LOOK_US) {
		if (waitpid(pid, &status, WNOHANG) == pid) return status;
		usleep(LOOK_US);
	}
	kill(pid, SIGKILL);
	waitpid(pid, &status, 0);
	return -1;
}

/* The program waits for its settings at a pipe when it is asked to stop. */
static int stopped_while_it_read(const char *program, const char *option, const char *settings)
{
	char fifo[64];
	pid_t pid;
	int fd;

	g_snprintf(fifo, sizeof fifo, "/tmp/start-%d", getpid());
	if (mkfifo(fifo, 0600)) abort();
	pid = exec_with(program, option, fifo);
	usleep(BEGUN_US);
	kill(pid, SIGTERM);
	usleep(LOOK_US);
	fd = open(fifo, O_WRONLY | O_NONBLOCK);
	if (fd >= 0) {
		if (write(fd, settings, strlen(settings)) < 0) abort();
		close(fd);
	}
	unlink(fifo);
	return status_of(pid);
}

/* A planned stop in an entry's first milliseconds ended it by the signal's default action, with
 * no line in its log. */
static void an_entry_that_is_asked_to_stop_while_it_starts_stops_in_order(void)
{
	static const char settings[] =
		"nodeName=e1\nipAddress=127.66.1.1\nzone=a\nregion=r\n"
		"listenAddresses.front=127.66.1.1:7001\nlistenAddresses.ready=127.66.1.1:7002\n"
		"listenAddresses.directory=127.66.1.1:7003\ninternalPortRange=7004,7004\n"
		"seedNodes=127.66.1.1:1\nplatform.address=127.66.1.2:7006\n"
		"bounds.failClosed=true\nbounds.revokeMs=5000\nbounds.drainMs=2000\n"
		"bounds.graceS=3\nbounds.ttl_max_s=1\nbounds.retryBudgetRatio=0.2\n"
		"bounds.budgetSlack=40\nbounds.budgetWindowS=10\nbounds.seedPropagationS=0.2\n";
	int status = stopped_while_it_read("saddlehead-entry", "--settings", settings);

	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

/* The same of the own interface's daemon: it goes by its settings before it drains. */
static void a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings(void)
{
	int status = stopped_while_it_read("saddleheadd", "--config", "{}\n");

	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

static const struct check list[] = {
	{"an_entry_that_is_asked_to_stop_while_it_starts_stops_in_order",
	 an_entry_that_is_asked_to_stop_while_it_starts_stops_in_order},
	{"a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings",
	 a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings},
};
CHECK_MAIN(list)
