/* Runs a fleet under load with faults drawn from a seed, and checks the system's guarantees. */
#ifndef SH_TEST_CHAOS_H
#define SH_TEST_CHAOS_H
#include "fleet.h"

#define CHAOS_CALLERS 16

enum chaos_kind { CHAOS_STREAM, CHAOS_WHOLE, CHAOS_BOOKING, CHAOS_KINDS };

/* The outcome of one request as its caller observed it. */
struct chaos_record {
	char tag[32];
	enum chaos_kind kind;
	int64_t from_us, to_us;
	int whole;   /* answered completely */
	int not_run; /* every attempt was refused as "not run" */
	int lost;    /* ended with a final error after it may have run */
	int bad; /* out of order, of two generations, or incomplete though reported complete */
	char last_code[48]; /* the last refusal's code */
};

/* The period in which a fault may affect requests. */
struct chaos_window {
	int64_t from_us, to_us;
	char what[64];
};

struct chaos {
	struct fleet *f;
	uint32_t seed;
	int seconds, verbose;
	volatile int over;
	GArray *records, *windows;
	pthread_mutex_t lock;
	GRand *rand;                                     /* for the faults */
	char entry[FLEET_MAX][64], admin[FLEET_MAX][64]; /* restarts change ports */
	int64_t accepted; /* version of the last edit that was accepted */
	int64_t edits, went_back;
};

struct chaos_result {
	int requests, whole, untouched, untouched_whole;
	int twice, ran_though_refused, missing, bad, unsettled, went_back, diverged, leftover;
};

/* Runs and checks; broken guarantees are printed. */
struct chaos_result chaos_run(uint32_t seed, int seconds, int verbose);
/* The number of broken guarantees. */
int chaos_broken(const struct chaos_result *r);

/* chaos_caller.c */
void *chaos_caller(void *arg);
struct chaos_caller_arg {
	struct chaos *c;
	int number;
};
/* Copies the front address of a random entry to out. */
void chaos_entry(struct chaos *c, GRand *r, char out[64]);

/* chaos_fault.c */
void chaos_faults(struct chaos *c);
void chaos_end_faults(struct chaos *c);

/* chaos_check.c */
struct chaos_result chaos_check(struct chaos *c);
#endif
