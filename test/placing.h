/* A replay of generations that many instances place on the same engines, each knowing what the
 * others sent only after a while. The decisions are the product's own (place_generation). */
#ifndef PLACING_H
#define PLACING_H

struct placing_load {
	int instances;
	int engines;
	double per_s;  /* generations, over all instances */
	double age_ms; /* how late an instance hears of the others' sends */
	int seconds;
	int reckons; /* with rivals: what they send meanwhile is reckoned with */
	unsigned seed;
};

struct placing_result {
	double mean_ms, p99_ms; /* that a prompt waits for others before it is read */
};

struct placing_result placing_run(const struct placing_load *l);
#endif
