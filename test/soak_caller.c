/* Callers of the soak: a fixed number of requests at once, some of which are left. */
#include "clock.h"
#include "soak.h"

#define LEAVES_IN 12         /* one caller in so many leaves before the end */
#define OTHER_KEY_IN 4       /* one in so many uses a key that may be taken away */
#define REST_US 100000       /* before the next request, where there was no answer */
#define PATIENCE_US 1200000  /* beyond the deadline */
#define STREAM_LIMIT_MS 8000 /* callers' deadlines */
#define CALL_LIMIT_MS 2000

static const char *const path[SOAK_KINDS] = {"/chat/", "/sum/", "/safe/", "/unsafe/"};
static const char *const method[SOAK_KINDS] = {"POST", "POST", "GET", "POST"};

struct soak_call *soak_send(struct soak *s, enum soak_kind kind, int entry, int key)
{
	struct soak_call *k = g_new0(struct soak_call, 1);
	char id[64], fields[512], secret[32] = "k1";

	if (key) g_snprintf(secret, sizeof secret, "r%d", key);
	k->kind = kind;
	k->entry = entry;
	k->key = key;
	k->limit_ms = kind <= SOAK_SUM ? STREAM_LIMIT_MS : CALL_LIMIT_MS;
	k->sent_us = clock_us();
	g_snprintf(id, sizeof id, "s%u-%u", s->seed, s->calls->len);
	g_snprintf(fields, sizeof fields,
		   "X-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\n"
		   "X-Token-Usage: 1000,400\r\nLength-Hint: 200\r\nX-Prompt-Prefix: "
		   "aa:500,bb:500\r\n",
		   id, secret, (int)k->limit_ms);
	k->c = pw_call(s->entry[entry].pw, method[kind], path[kind], fields,
		       kind == SOAK_SAFE ? NULL : "a prompt");
	g_strlcpy(k->c->id, id, sizeof k->c->id);
	g_ptr_array_add(s->calls, k);
	return k;
}

static struct soak_call *next_call(struct soak *s)
{
	enum soak_kind kind = g_rand_int_range(s->rand, 0, SOAK_KINDS);
	int entry = g_rand_int_range(s->rand, 0, SOAK_ENTRIES), key = 0;
	struct soak_call *k;

	/* The one in force, or the one that was taken away last. */
	if (!g_rand_int_range(s->rand, 0, OTHER_KEY_IN))
		key = MAX(s->key - g_rand_int_range(s->rand, 0, 2), 1);
	k = soak_send(s, kind, entry, key);
	if (!g_rand_int_range(s->rand, 0, LEAVES_IN))
		k->leaves_us = k->sent_us + g_rand_int_range(s->rand, 1000, 1000000);
	return k;
}

/* No answer long after its deadline: the caller goes, and the check is told. */
static void give_up(struct soak_call *k, int64_t now)
{
	if (now < k->sent_us + k->limit_ms * 1000 + PATIENCE_US) return;
	k->gave_up = 1;
	pw_call_cancel(k->c);
	k->c->ended_us = now;
}

static void turn(struct soak *s, struct soak_call **slot)
{
	struct soak_call *k = *slot;
	int64_t now = clock_us();

	if (k && !k->c->ended && k->leaves_us && now >= k->leaves_us) {
		k->left = 1;
		pw_call_cancel(k->c);
		k->c->ended_us = now;
	}
	if (k && !k->c->ended) give_up(k, now);
	if (k && k->c->ended && !k->c->status && now < k->c->ended_us + REST_US) return;
	if (!k || k->c->ended) *slot = now < s->end_us ? next_call(s) : NULL;
}

void soak_turn_callers(struct soak *s)
{
	int i;

	for (i = 0; i < SOAK_CALLERS; i++) turn(s, &s->slot[i]);
}
