/* Signals that arrive while a program is starting and reads its settings. */
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

#define POLL_US 10000
#define OPEN_US 300000 /* by then the program waits to read its settings */
#define EXIT_US 5000000

static int start_program(const char *program, const char *option, const char *file)
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

/* Returns the status from waitpid, or -1 if the process did not exit in time and was killed. */
static int wait_status(pid_t pid)
{
	int status, waited;

	for (waited = 0; waited < EXIT_US; waited += POLL_US) {
		if (waitpid(pid, &status, WNOHANG) == pid) return status;
		usleep(POLL_US);
	}
	kill(pid, SIGKILL);
	waitpid(pid, &status, 0);
	return -1;
}

/* Sends SIGTERM to the program while it waits to read its settings from a FIFO; returns its
 * wait status. */
static int status_after_stop_while_reading(const char *program, const char *option,
					   const char *settings)
{
	char fifo[64];
	pid_t pid;
	int fd;

	g_snprintf(fifo, sizeof fifo, "/tmp/start-%d", getpid());
	if (mkfifo(fifo, 0600)) abort();
	pid = start_program(program, option, fifo);
	usleep(OPEN_US);
	kill(pid, SIGTERM);
	usleep(POLL_US);
	fd = open(fifo, O_WRONLY | O_NONBLOCK);
	if (fd >= 0) {
		if (write(fd, settings, strlen(settings)) < 0) abort();
		close(fd);
	}
	unlink(fifo);
	return wait_status(pid);
}

/* Guards against signal handlers that are installed too late: SIGTERM in an entry's first
 * milliseconds killed it by the default action, without a line in its log. */
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
	int status =
		status_after_stop_while_reading("saddlehead-entry", "--settings", settings);

	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

/* The same for the daemon: it reads its settings, here invalid, before it drains. */
static void a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings(void)
{
	int status = status_after_stop_while_reading("saddleheadd", "--config", "{}\n");

	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

static const struct check list[] = {
	{"an_entry_that_is_asked_to_stop_while_it_starts_stops_in_order",
	 an_entry_that_is_asked_to_stop_while_it_starts_stops_in_order},
	{"a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings",
	 a_daemon_that_is_asked_to_stop_while_it_starts_reads_its_settings},
};
CHECK_MAIN(list)
