/* Simulates many instances that place generations on the same engines, each receiving the
 * others' loads with a delay. Uses the product's own decisions (place_generation). */
#ifndef PLACING_H
#define PLACING_H

struct placing_load {
	int instances;
	int engines;
	double per_s;  /* generations per second, from all instances */
	double age_ms; /* delay until an instance has the other instances' sends */
	int seconds;
	int counts_rivals; /* whether place_job.rivals is set */
	unsigned seed;
};

struct placing_result {
	double mean_ms, p99_ms; /* time that a prompt waits before its prefill */
};

struct placing_result placing_run(const struct placing_load *l);
#endif
