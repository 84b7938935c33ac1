/* Streams in the soak: how they end, which software versions serve, what callers take up. */
#include "soak.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BREAK_AFTER 30    /* events of a stream that ends inside one */
#define RELEASE_ENGINES 2 /* of each new version */
#define SPARE_SERVERS 16  /* left for replacements */
#define TAKE_UP_IN 4      /* all but one in so many broken streams are taken up */

void soak_endings_begin(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_pick_server(s, f->victim, 1);

	if (!v) return;
	v->pw->framing = (enum pw_framing)(f->variant % 3);
	v->pw->break_end = PW_BY_END;
	v->pw->break_between = 0;
	v->pw->break_after = f->variant / 3 % 4 ? BREAK_AFTER : 0;
	v->pw->mode = PW_BREAK;
}

/* One engine, or all of them. */
void soak_refusal_begin(struct soak *s, const struct soak_fault *f)
{
	static const int status[] = {500, 404, 200, 204};
	int i, all = f->variant / 4 % 2;

	for (i = 0; i < s->nservers; i++) {
		struct pw_server *v = s->server[i].pw;

		if (v->engine && (all || i == f->victim % SOAK_ENGINES))
			v->resume_status = status[f->variant % G_N_ELEMENTS(status)];
	}
}

void soak_release(struct soak *s)
{
	char version[16];
	int i;

	g_snprintf(version, sizeof version, "v1.%d", ++s->releases);
	for (i = 0; i < RELEASE_ENGINES && s->nservers + SPARE_SERVERS < SOAK_SERVERS; i++)
		soak_add_server_of(s, "llm", 1, version);
}

/* The id of the last whole event that the caller has. */
static int last_event(const struct soak_call *k)
{
	const char *p = k->c->body->str;
	int last = k->after;

	while ((p = strstr(p, "id: "))) {
		p += 4;
		if (strstr(p, "\n\n")) last = atoi(p);
	}
	return last;
}

struct soak_call *soak_take_up(struct soak *s, const struct soak_call *k)
{
	int last;

	if (s->kinds < SOAK_STREAM_KINDS || k->kind != SOAK_SUM || k->c->status != 200)
		return NULL;
	if (!k->left && !k->c->err) return NULL;
	last = last_event(k);
	if (!last || last >= SOAK_EVENTS) return NULL;
	if (!g_rand_int_range(s->take_up, 0, TAKE_UP_IN)) return NULL;
	return soak_resume(s, k->resumes ? k->resumes : k,
			   g_rand_int_range(s->take_up, 0, SOAK_ENTRIES), last);
}

/* Whether the run brought events to the caller: the next one goes on after them. */
static int brought_events(const struct soak_call *k, const GPtrArray *runs, uint32_t i)
{
	const struct pw_run *r = g_ptr_array_index(runs, i);
	int upto = last_event(k);

	if (i + 1 < runs->len)
		upto = atoi(((const struct pw_run *)g_ptr_array_index(runs, i + 1))->after);
	return upto > atoi(r->after);
}

/* Checks the runs of one attempt; *version: that of the stream so far, NULL before its first
 * event. Returns 1 if another version went on. */
static int mixes(const struct soak_call *k, const char **version)
{
	const GPtrArray *runs = soak_runs_of(k->c->id);
	uint32_t i;
	int bad = 0;

	for (i = 0; runs && i < runs->len; i++) {
		const struct pw_run *r = g_ptr_array_index(runs, i);

		if (!brought_events(k, runs, i)) continue;
		if (!*version) *version = r->server->version;
		bad |= strcmp(*version, r->server->version) != 0;
	}
	return bad;
}

static const char *version_of(const struct soak_call *first)
{
	const char *version = NULL;

	mixes(first, &version);
	return version;
}

int soak_check_versions(const struct soak *s)
{
	int bad = 0, taken_up = 0, went_on = 0;
	uint32_t i;

	for (i = 0; i < s->calls->len; i++) {
		const struct soak_call *k = g_ptr_array_index(s->calls, i);
		const char *version = k->resumes ? version_of(k->resumes) : NULL;

		if (k->kind > SOAK_SUM) continue;
		taken_up += k->resumes != NULL;
		went_on += k->resumes && k->c->status == 200;
		if (!mixes(k, &version)) continue;
		bad++;
		printf("  BROKEN two versions: %s, begun as %s\n", k->c->id,
		       k->resumes ? k->resumes->c->id : k->c->id);
	}
	if (taken_up) printf("  taken up: %d of %d streams went on\n", went_on, taken_up);
	return bad;
}
