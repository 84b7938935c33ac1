/* A replay of the worst load: long and short prompts on engines with little memory, of which a
 * seventh leaves every few seconds; what runs there moves. The decisions are the product's. */
#ifndef CROWDING_H
#define CROWDING_H

struct crowding_load {
	int engines, seconds;
	double long_per_s, short_per_s;
	unsigned seed;
	/* Mechanisms, to be taken out: */
	int counts_inbound; /* memory that is on its way is taken */
	int waits;          /* for another engine than one with much to read */
};

struct crowding_result {
	int longs, late; /* long streams whose first token came; of these, after their aim */
	int preempted;   /* runs put off for lack of memory, and read again */
	int refused;
};

struct crowding_result crowding_run(const struct crowding_load *l);
#endif
