/* Servers of the soak that announce a state in their answers: a rate limit, that they leave
 * (while their list entries don't show it), or a back-off. */
#include "clock.h"
#include "soak.h"
#include <stdio.h>

#define LIMIT_PER_S 2
#define LIMIT_MS 4000         /* requests are counted over this period ... */
#define LIMIT_FROM_US 3500000 /* ... from this time after the first announcement */
#define BACKOFF_MS 2000
#define BACKOFF_FROM_MS 500 /* requests in flight may still arrive before this */
#define BACKOFF_EACH 2      /* allowed from one entry during the remaining back-off */
#define SERVE_ON_US 3000000

static int most_in_limit(void)
{
	return LIMIT_PER_S * 3 * LIMIT_MS / 2000 + 5;
}

enum soak_notice soak_notice_of(const struct soak_fault *f)
{
	return SOAK_NOTICE_LIMIT + f->variant % 3;
}

void soak_notice_begin(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_pick_server(s, f->victim, -1);

	if (!v || v->notice || v->pw->mode != PW_OK) return;
	v->notice_us = clock_us();
	v->notice = soak_notice_of(f);
	switch (v->notice) {
	case SOAK_NOTICE_LIMIT: v->pw->extra_fields = "Server-Limit: 2\r\n"; return;
	case SOAK_NOTICE_BACKOFF:
		v->pw->extra_fields = "Retry-After: 2\r\n";
		v->pw->mode = PW_FULL;
		v->pw->unhealthy = 1; /* its health check answers 503, which asks for it too */
		return;
	case SOAK_NOTICE_LEAVING:
		v->pw->extra_fields = "Server-Leaving: 1\r\n";
		v->leaving = 1;
		v->unlist_us = v->notice_us + SERVE_ON_US;
		v->exit_us = v->unlist_us;
		soak_replace(s, v);
		return;
	case SOAK_NOTICE_NONE: return;
	}
}

/* Links that hold requests back release many at once, so the bounds don't apply then. */
static int links_were_healthy(const struct soak *s, int64_t from_us)
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

	if (!links_were_healthy(s, v->notice_us)) return;
	if (v->notice == SOAK_NOTICE_LIMIT) {
		got = pw_server_max_arrivals(v->pw, v->notice_us + LIMIT_FROM_US, LIMIT_MS);
		most = most_in_limit();
	} else {
		got = pw_server_max_arrivals(v->pw, v->notice_us + BACKOFF_FROM_MS * 1000,
					     BACKOFF_MS - BACKOFF_FROM_MS);
		most = BACKOFF_EACH * SOAK_ENTRIES;
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

		if (v->notice == SOAK_NOTICE_NONE || v->leaving) continue;
		check(s, v);
		v->notice = SOAK_NOTICE_NONE;
		v->pw->extra_fields = NULL;
		v->pw->mode = PW_OK;
		v->pw->unhealthy = 0;
	}
}

/* Marks a server as leaving from the first request after its notice began. */
void soak_step_notices(struct soak *s)
{
	int i;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];
		GArray *at = v->pw->arrived_us;

		if (v->notice != SOAK_NOTICE_LEAVING || v->pw->leaving_us || !at->len) continue;
		if (g_array_index(at, int64_t, at->len - 1) > v->notice_us)
			v->pw->leaving_us = clock_us();
	}
}
