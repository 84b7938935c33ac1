/* Placement: selects the backend server for a request. Pure functions. */
#ifndef SADDLEHEAD_PLACE_H
#define SADDLEHEAD_PLACE_H
#include <stdint.h>

/* Maximum number of candidates in one selection. More of them don't lead to a noticeably
 * cheaper server, and each costs some tens of ns. */
#define PLACE_SERVERS_MAX 128

/* One candidate. Loads are those from all instances together. */
struct place_server {
	int usable;
	int same_dc; /* in the data centre of the instance that places the request (or of the
			source server) */
	int other_region;  /* in another region, reached over a slow link */
	uint32_t slots;    /* maximum of concurrent requests; 0: unknown */
	uint32_t runs;     /* running requests */
	uint32_t prefill;  /* prompt tokens that wait for prefill */
	uint32_t forecast; /* tokens of memory that its requests use or will use soon */
	uint32_t replicas; /* the same for replicas of requests that run elsewhere */
	uint32_t used;     /* tokens of memory that both use now */
	uint32_t inbound;  /* tokens of memory that are being transferred to it */
	uint32_t tokens;   /* capacity of its memory in tokens; 0: unknown */
	double latency_us; /* moving average of its answer times; 0: no sample yet */
	/* Uncertainty of latency_us, 0 to 1: a choice ignores this share of its excess over the
	 * lowest of all candidates, and place_call_in_time this share of the whole. */
	double uncertainty;
};

struct place_job {
	uint32_t prompt; /* tokens */
	uint32_t growth; /* expected number of generated tokens */
	/* Expected number of generations that other instances place before this instance
	 * receives their updated loads. */
	double rivals;
};

/* Selects a server for a generation: one whose memory suffices and whose first token comes
 * soonest. Draws at random among so many of the cheapest that concurrent choosers rarely pick
 * the same one. Returns the index, or -1 if none is usable. */
int place_generation(const struct place_server *s, int n, const struct place_job *j,
		     uint32_t draw);

/* Selects a server to move a running generation to: one where its memory fits and arrives
 * soonest; if there is none, as place_generation. */
int place_move(const struct place_server *s, int n, const struct place_job *j, uint32_t draw);

/* Selects a server for a replica of a generation that runs on server source: one whose memory
 * in use, with the replica, stays within percent of its capacity. Returns -1 if there is none.
 */
int place_replica(const struct place_server *s, int n, int source, const struct place_job *j,
		  uint32_t percent, uint32_t draw);

/* Selects a server for a plain call: the least busy one; of equal ones the nearer. Returns -1
 * if none is usable. */
int place_call(const struct place_server *s, int n, uint32_t draw);

/* Whether a plain call with this much time left can still be expected to complete there. */
int place_call_in_time(const struct place_server *s, int64_t left_us);

/* Whether a generation's memory fits there without preempting others. */
int place_fits(const struct place_server *s, const struct place_job *j);

/* Time in microseconds in which an engine prefills this many prompt tokens while it also
 * decodes. */
int64_t place_prefill_us(uint32_t tokens);

/* Whether a generation that fits there should wait for another engine instead, as it can't be
 * placed elsewhere once it is sent. waited_us: time waited so far; objective_us: latency
 * objective of its first token. */
int place_should_wait(const struct place_server *s, int64_t waited_us, int64_t objective_us);
#endif
