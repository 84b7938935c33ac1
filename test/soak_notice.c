/* Servers of the soak that say something of themselves in their answers: a limit, that they
 * leave while their entries say nothing, that they want rest. */
#include "clock.h"
#include "soak.h"
#include <stdio.h>

#define LIMIT_PER_S 2
#define LIMIT_MS 4000         /* the bound is counted over so long ... */
#define LIMIT_FROM_US 3500000 /* ... from so long after it was first named */
#define REST_MS 2000
#define REST_FROM_MS 500 /* what is under way then may still come */
#define REST_EACH 2      /* from one entry in the rest of the time */
#define SERVE_ON_US 3000000

static int most_in_limit(void)
{
	return LIMIT_PER_S * 3 * LIMIT_MS / 2000 + 5;
}

enum soak_notice soak_notice_of(const struct soak_fault *f)
{
	return SOAK_SAYS_LIMIT + f->variant % 3;
}

void soak_notice_begin(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_spare(s, f->victim, -1);

	if (!v || v->notice || v->pw->mode != PW_OK) return;
	v->notice_us = clock_us();
	v->notice = soak_notice_of(f);
	switch (v->notice) {
	case SOAK_SAYS_LIMIT: v->pw->extra_fields = "Server-Limit: 2\r\n"; return;
	case SOAK_SAYS_REST:
		v->pw->extra_fields = "Retry-After: 2\r\n";
		v->pw->mode = PW_FULL;
		return;
	case SOAK_SAYS_LEAVES:
		v->pw->extra_fields = "Server-Leaving: 1\r\n";
		v->leaving = 1;
		v->unlist_us = v->notice_us + SERVE_ON_US;
		v->die_us = v->unlist_us;
		soak_replace(s, v);
		return;
	case SOAK_SAYS_NOTHING: return;
	}
}

/* Links that hold requests up let many arrive at once. */
static int links_were_sound(const struct soak *s, int64_t from_us)
{
	int64_t now = clock_us();
	uint32_t i;

	for (i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f = &g_array_index(s->faults, struct soak_fault, i);

		if (f->to_us < from_us || f->from_us > now) continue;
		if (f->kind == SOAK_SERVER_LINK || f->kind == SOAK_SILENCE) return 0;
	}
	return 1;
}

static void check(struct soak *s, const struct soak_server *v)
{
	int got, most;

	if (!links_were_sound(s, v->notice_us)) return;
	if (v->notice == SOAK_SAYS_LIMIT) {
		got = pw_server_max_arrivals(v->pw, v->notice_us + LIMIT_FROM_US, LIMIT_MS);
		most = most_in_limit();
	} else {
		got = pw_server_max_arrivals(v->pw, v->notice_us + REST_FROM_MS * 1000,
					     REST_MS - REST_FROM_MS);
		most = REST_EACH * SOAK_ENTRIES;
	}
	if (got <= most) return;
	s->notices_broken++;
	printf("  BROKEN notice %d at %.3f: %d requests, %d allowed\n", v->notice,
	       (double)(v->notice_us - s->began_us) / 1e6, got, most);
}

void soak_notice_end(struct soak *s)
{
	int i;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];

		if (v->notice == SOAK_SAYS_NOTHING || v->leaving) continue;
		check(s, v);
		v->notice = SOAK_SAYS_NOTHING;
		v->pw->extra_fields = NULL;
		v->pw->mode = PW_OK;
	}
}

/* From its first answer on it is known to leave. */
void soak_turn_notices(struct soak *s)
{
	int i;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];
		GArray *at = v->pw->arrived_us;

		if (v->notice != SOAK_SAYS_LEAVES || v->pw->leaving_us || !at->len) continue;
		if (g_array_index(at, int64_t, at->len - 1) > v->notice_us)
			v->pw->leaving_us = clock_us();
	}
}
