/* Who is blamed for servers that end while the links between instances are cut, held up, reset
 * and delayed: wrong verdicts are counted both ways. */
#include "check.h"
#include "relayed.h"
#include <stdio.h>
#include <string.h>

#define ROUNDS 8
#define ENDS 5        /* by then two requests that ran on the same servers are told apart */
#define CRASH_MS 100  /* from when a server begins to run it until it ends */
#define NOTICE_MS 60  /* then instances have found out */
#define LISTED_MS 150 /* all know of a new server */
#define JUDGED_MS 2500

struct day {
	struct relayed f;
	GRand *rand;
	char guilty[32], innocent[32];
	int blamed_wrongly, missed;
};

static struct pw_call *ask(struct pw_entry *e, const char *body)
{
	return pw_call(e, "POST", "/unsafe/",
		       "X-Request-Id: r\r\nX-Credential: k1\r\nX-Deadline-Ms: 4000\r\n", body);
}

static struct pw_server *list_alone(int work_ms)
{
	struct pw_server *s = pw_server_add("app", 0);

	s->work_ms = work_ms;
	pw_run(LISTED_MS);
	return s;
}

/* Some link is disturbed, or mended. */
static void disturb(struct day *d)
{
	struct proxy *way = d->f.relay[g_rand_int_range(d->rand, 0, RELAYED)];

	proxy_set(way, g_rand_int_range(d->rand, 0, PROXY_MODES));
}

/* The server ends under the guilty request at one instance, beside another one at the rest. */
static void end_one(struct day *d)
{
	int i, at = g_rand_int_range(d->rand, 0, RELAYED);
	struct pw_server *s = list_alone(1000);

	disturb(d);
	for (i = 0; i < RELAYED; i++)
		if (i != at) ask(d->f.e[i], d->innocent);
	pw_run(g_rand_int_range(d->rand, 10, 40));
	ask(d->f.e[at], d->guilty);
	pw_run(CRASH_MS + NOTICE_MS);
	pw_server_unlist(s);
}

static int is_blamed(struct pw_entry *e, const char *body)
{
	struct pw_call *c = ask(e, body);

	pw_call_wait(c, 3000);
	return strstr(c->body->str, "crashes_engines") != NULL;
}

static void play_round(struct day *d, int n)
{
	struct pw_server *s;
	int i;

	g_snprintf(d->guilty, sizeof d->guilty, "guilty %d", n);
	g_snprintf(d->innocent, sizeof d->innocent, "what everybody sends %d", n);
	pw_crash.body = d->guilty;
	for (i = 0; i < ENDS; i++) end_one(d);
	for (i = 0; i < RELAYED; i++) proxy_set(d->f.relay[i], PROXY_OK);
	pw_run(JUDGED_MS);
	pw_crash.body = NULL; /* what is not blamed is served */
	s = list_alone(5);
	for (i = 0; i < RELAYED; i++) {
		d->missed += !is_blamed(d->f.e[i], d->guilty);
		d->blamed_wrongly += is_blamed(d->f.e[i], d->innocent);
	}
	pw_server_unlist(s);
}

/* Each instance judged by the word that it had: on links like these it blamed what ran beside
 * the guilty request. */
static void verdicts_on_disturbed_links_are_right(uint32_t seed)
{
	struct day d = {.rand = g_rand_new_with_seed(seed)};
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&d.f);
	for (i = 0; i < ROUNDS; i++) play_round(&d, i);
	fprintf(stderr, "seed %u: of %d blamed wrongly %d, missed %d\n", seed, ROUNDS * RELAYED,
		d.blamed_wrongly, d.missed);
	CU_ASSERT_EQUAL(d.blamed_wrongly, 0);
	CU_ASSERT_EQUAL(d.missed, 0);
	g_rand_free(d.rand);
	relayed_end(&d.f);
}

static void verdicts_seed_1(void)
{
	verdicts_on_disturbed_links_are_right(1);
}

static void verdicts_seed_2(void)
{
	verdicts_on_disturbed_links_are_right(2);
}

static const struct check list[] = {
	{"verdicts_seed_1", verdicts_seed_1},
	{"verdicts_seed_2", verdicts_seed_2},
};
CHECK_MAIN(list)
