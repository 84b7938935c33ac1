/* Load generator for a fleet: requests drawn from a seeded generator, and their results. */
#ifndef SH_BENCH_LOAD_H
#define SH_BENCH_LOAD_H
#include "mux.h"
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdint.h>

#define LOAD_GROUPS_MAX 8
#define LOAD_ADDRESSES_MAX 16
#define LOAD_CODES_MAX 40

/* Request mix of one group. Lengths are in tokens; output lengths are log-normal, so long ones
 * are rare. */
struct load_group {
	const char *name, *model, *service; /* service: for plain calls, or NULL */
	double share;                       /* of the group in all requests */
	double call_share;                  /* of plain calls in the group's requests */
	double stream_share;                /* of streams in the group's generations */
	int prompt_min, prompt_max;
	double out_median, out_sigma;
	char key[64];
};

enum load_side { LOAD_SADDLEHEAD, LOAD_DIRECT, LOAD_SIDE_MAX };

/* Results of one group on one side: samples in microseconds, and counts. */
struct load_stats {
	GArray *first_token, *between_tokens, *stall, *call;
	uint64_t sent, completed, refused, failed, tokens;
	struct {
		char code[40];
		uint64_t n;
	} code[LOAD_CODES_MAX];
	int ncodes;
};

struct load {
	struct load_group group[LOAD_GROUPS_MAX];
	int ngroups;
	struct load_stats stats[LOAD_SIDE_MAX][LOAD_GROUPS_MAX];
	pthread_mutex_t lock;
	struct mux *mux;
	GRand *rand;
	const char *entries[LOAD_ADDRESSES_MAX], *engines[LOAD_ADDRESSES_MAX];
	int nentries, nengines;
	char where[LOAD_ADDRESSES_MAX][64]; /* cached answer of /v1/where */
	int nwhere;
	int64_t where_expires_us;
	uint64_t in_flight;
	/* Options. */
	double rate, direct_share;
	int64_t seconds;
	int out_tokens; /* length of every answer; 0: drawn per request */
	int quiet;
};

/* presets.c: "roasting", "calendar", "both" or "streams"; returns -1 for any other name. */
int load_preset(struct load *l, const char *name);

/* run.c */
int load_read_fleet(struct load *l, json_object *fleet);
void load_run(struct load *l);
uint64_t load_preemptions(const struct load *l);

/* one.c */
void load_send(struct load *l, enum load_side side, int group, int call, const char *address);

/* report.c */
void load_report(const struct load *l, uint64_t preemptions);
void load_report_json(const struct load *l, uint64_t preemptions);
#endif
