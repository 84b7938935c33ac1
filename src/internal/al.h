/* Limits on answers of backend servers (al) that this instance holds until they are complete:
 * which one is given up, and why. Pure functions; times are microseconds. */
#ifndef SH_AL_H
#define SH_AL_H
#include <stdint.h>

/* Bytes of a plain answer: a thousand times the usual size. */
#define AL_ANSWER_MAX (4u << 20)
#define AL_NO_LENGTH UINT64_MAX

enum al_reason {
	AL_KEEP,
	AL_TOO_LARGE, /* it exceeds AL_ANSWER_MAX, or states that it will */
	AL_UNUSUAL,   /* it states no length and is far larger than the route's answers */
	AL_LATE,      /* it has begun and is not complete in time */
	AL_MEMORY,    /* all held answers together exceed their limit */
	AL_REASONS
};

/* Sizes of a route's plain answers. */
struct al_usual {
	double largest; /* of recent ones */
	uint32_t count;
};

struct al_answer {
	uint64_t bytes;  /* received so far */
	uint64_t length; /* as its head states; AL_NO_LENGTH: not stated */
	int64_t age_us;  /* since it began */
};

struct al_rule {
	const struct al_usual *usual;
	int64_t time_us; /* allowed from the beginning of the answer to its end */
	/* Another server may run the request: only then is it worth giving up an answer that
	 * may yet be complete. */
	int can_go_elsewhere;
};

/* Records the size of a complete answer. */
void al_observe(struct al_usual *u, uint64_t bytes);
/* Size above which an answer without a stated length is unusual; AL_ANSWER_MAX while too few
 * answers are known. */
uint64_t al_usual_max(const struct al_usual *u);
/* Whether an answer is to be given up, and why. */
enum al_reason al_judge(const struct al_answer *a, const struct al_rule *rule);
/* Whether it has taken longer than allowed, wherever the request can go. */
int al_is_late(const struct al_answer *a, int64_t time_us);
/* Limit on the sum of held answers for an instance that may use memory bytes. */
uint64_t al_held_max(uint64_t memory);
/* The answer to give up when memory is short: the largest without a stated length, or else the
 * largest; -1: n is 0. */
int al_victim(const struct al_answer *held, uint32_t n);
/* The answer to read on when memory is short and each has a stated length: the one with the
 * fewest bytes to come; -1: none has begun. */
int al_next_to_finish(const struct al_answer *held, uint32_t n);
/* Whether giving it up for this reason shows a fault of its server. */
int al_is_servers_fault(const struct al_answer *a, enum al_reason why);
const char *al_reason_name(enum al_reason why);
#endif
