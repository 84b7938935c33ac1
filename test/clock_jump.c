/* Simulates a suspension of the machine in an entry: SIGUSR2 advances its clocks by the
 * milliseconds in the signal's value. */
#include "clock.h"
#include <signal.h>
#include <stddef.h>

static void on_jump(int sig, siginfo_t *info, void *context)
{
	(void)sig;
	(void)context;
	atomic_fetch_add(&clock_offset_us, info->si_value.sival_int * 1000LL);
}

__attribute__((constructor)) static void init(void)
{
	struct sigaction sa = {.sa_sigaction = on_jump, .sa_flags = SA_SIGINFO | SA_RESTART};

	sigaction(SIGUSR2, &sa, NULL);
}
