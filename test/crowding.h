/* Simulates the worst load: long and short prompts on engines with little memory, a seventh of
 * which leaves every few seconds, so that their runs are moved. Uses the product's own
 * placement. */
#ifndef CROWDING_H
#define CROWDING_H

struct crowding_load {
	int engines, seconds;
	double long_per_s, short_per_s;
	unsigned seed;
	/* Mechanisms that can be disabled: */
	int counts_inbound; /* memory in transfer counts as used */
	int waits; /* requests wait for another engine if one has a long prefill backlog */
};

struct crowding_result {
	int long_streams, late; /* long streams with a first token; those where it missed the
			    latency objective */
	int preempted;          /* runs preempted for lack of memory, and prefilled again */
	int refused;
};

struct crowding_result crowding_run(const struct crowding_load *l);
#endif
