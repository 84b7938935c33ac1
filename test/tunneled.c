#include "tunneled.h"
#include "partition.h"
#include <signal.h>

void tunneled_start(struct pw_entry **e)
{
	union sigval v = {.sival_int = PARTITION_VALUE(PARTITION_REFUSED, 0)};
	int i;

	for (i = 0; i < 2; i++) e[i] = pw_entry_ready();
	pw_run(900);
	sigqueue(e[0]->pid, SIGUSR1, v);
	for (i = 0; i < 20; i++) {
		pw_request(e[0], "POST", "/safe/", 1500);
		pw_run(50);
	}
	pw_run(2000);
}
