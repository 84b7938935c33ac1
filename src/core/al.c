/* Decides which answers of backend servers are given up before they are complete. */
#include "al.h"
#include <stddef.h>

/* Fewer answers than this do not show what is usual. */
#define USUAL_COUNT_MIN 20
#define USUAL_FACTOR 16 /* times the largest recent answer */
/* Smaller answers are never unusual: a hundred of them take a few MB. */
#define USUAL_MAX_MIN (64u << 10)
#define LARGEST_DECAY 0.99 /* of the largest size with each answer: hundreds count */
/* An answer that has more than half of its stated length when its time is over is complete
 * sooner than a new one, and may take as long again. */
#define TIME_FACTOR_HALF_DONE 2
/* Deployments give an instance 88 to 512 MB. An eighth leaves room for two of the largest
 * answers at the least. At most 20 MB, as buffers grow in steps and are copied once to be sent:
 * the process must grow by less than 32 MB. */
#define HELD_DIVISOR 8
#define HELD_MAX (20u << 20)
#define HELD_MIN (2 * AL_ANSWER_MAX)

void al_observe(struct al_usual *u, uint64_t bytes)
{
	u->largest *= LARGEST_DECAY;
	if ((double)bytes > u->largest) u->largest = (double)bytes;
	if (u->count < USUAL_COUNT_MIN) u->count++;
}

uint64_t al_usual_max(const struct al_usual *u)
{
	double max = u->largest * USUAL_FACTOR;

	if (u->count < USUAL_COUNT_MIN || max > AL_ANSWER_MAX) return AL_ANSWER_MAX;
	return max > USUAL_MAX_MIN ? (uint64_t)max : USUAL_MAX_MIN;
}

int al_is_late(const struct al_answer *a, int64_t time_us)
{
	if (a->age_us < time_us) return 0;
	if (a->length == AL_NO_LENGTH || a->bytes <= a->length / 2) return 1;
	return a->age_us >= time_us * TIME_FACTOR_HALF_DONE;
}

enum al_reason al_judge(const struct al_answer *a, const struct al_rule *rule)
{
	if (a->bytes > AL_ANSWER_MAX) return AL_TOO_LARGE;
	if (a->length != AL_NO_LENGTH && a->length > AL_ANSWER_MAX) return AL_TOO_LARGE;
	if (!rule->can_go_elsewhere) return AL_KEEP;
	if (al_is_late(a, rule->time_us)) return AL_LATE;
	if (a->length == AL_NO_LENGTH && a->bytes > al_usual_max(rule->usual))
		return AL_UNUSUAL;
	return AL_KEEP;
}

uint64_t al_held_max(uint64_t memory)
{
	uint64_t max = memory / HELD_DIVISOR;

	if (max > HELD_MAX) return HELD_MAX;
	return max < HELD_MIN ? HELD_MIN : max;
}

static int is_before(const struct al_answer *a, const struct al_answer *b)
{
	int ends_a = a->length != AL_NO_LENGTH, ends_b = b->length != AL_NO_LENGTH;

	return ends_a != ends_b ? ends_a < ends_b : a->bytes > b->bytes;
}

int al_victim(const struct al_answer *held, uint32_t n)
{
	uint32_t i;
	int found = -1;

	for (i = 0; i < n; i++)
		if (found < 0 || is_before(&held[i], &held[found])) found = (int)i;
	return found;
}

int al_next_to_finish(const struct al_answer *held, uint32_t n)
{
	uint32_t i;
	int found = -1;

	for (i = 0; i < n; i++) {
		if (!held[i].bytes || held[i].length == AL_NO_LENGTH) continue;
		if (found < 0 ||
		    held[i].length - held[i].bytes < held[found].length - held[found].bytes)
			found = (int)i;
	}
	return found;
}

int al_is_servers_fault(const struct al_answer *a, enum al_reason why)
{
	switch (why) {
	case AL_TOO_LARGE:
	case AL_LATE: return 1;
	case AL_MEMORY: return a->length == AL_NO_LENGTH;
	case AL_UNUSUAL: /* another server's answer to the same request shows it */
	case AL_KEEP:
	case AL_REASONS: break;
	}
	return 0;
}

const char *al_reason_name(enum al_reason why)
{
	static const char *const names[AL_REASONS] = {"none", "too_large", "unusual", "late",
						      "memory"};

	return (unsigned)why < AL_REASONS ? names[why] : "unknown";
}
