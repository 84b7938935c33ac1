#include "check.h"
#include "clock.h"
#include "eng.h"
#include "heap.h"
#include "ring.h"
#include "slot.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

static void ring_is_bounded(void)
{
	struct ring r;
	void *out[4];
	int v[3];

	CU_ASSERT_EQUAL_FATAL(ring_init(&r, 2, 0), 0);
	CU_ASSERT_EQUAL(ring_push(&r, &v[0]), 0);
	CU_ASSERT_EQUAL(ring_push(&r, &v[1]), 0);
	CU_ASSERT_EQUAL(ring_push(&r, &v[2]), -EAGAIN);
	CU_ASSERT_EQUAL(ring_take(&r, out, 4), 2);
	CU_ASSERT_PTR_EQUAL(out[0], &v[0]);
	CU_ASSERT_PTR_EQUAL(out[1], &v[1]);
	CU_ASSERT_EQUAL(ring_wait(&r, out, 4, 0), 0);
	ring_free(&r);
}

static void *push_many(void *arg)
{
	intptr_t i;

	for (i = 1; i <= 10000;)
		if (!ring_push(arg, (void *)i)) i++;
	return NULL;
}

static void ring_keeps_every_item(void)
{
	struct ring r;
	pthread_t t[2];
	void *out[32];
	intptr_t sum = 0;
	uint32_t i, n, got = 0;

	ring_init(&r, 64, 0);
	pthread_create(&t[0], NULL, push_many, &r);
	pthread_create(&t[1], NULL, push_many, &r);
	while (got < 20000) {
		n = ring_wait(&r, out, 32, INT64_MAX / 2);
		for (i = 0; i < n; i++) sum += (intptr_t)out[i];
		got += n;
	}
	pthread_join(t[0], NULL);
	pthread_join(t[1], NULL);
	CU_ASSERT_EQUAL(sum, 2 * 10000L * 10001 / 2);
	ring_free(&r);
}

static void slot_handles_go_stale(void)
{
	struct slot_table t = {0};
	int a, b;
	uint64_t h = slot_add(&t, &a), h2;

	CU_ASSERT_PTR_EQUAL(slot_get(&t, h), &a);
	CU_ASSERT_PTR_EQUAL(slot_remove(&t, h), &a);
	CU_ASSERT_PTR_NULL(slot_get(&t, h));
	h2 = slot_add(&t, &b);
	CU_ASSERT_NOT_EQUAL(h, h2);
	CU_ASSERT_PTR_NULL(slot_get(&t, h));
	CU_ASSERT_PTR_EQUAL(slot_get(&t, h2), &b);
	CU_ASSERT_PTR_NULL(slot_get(&t, 0));
	CU_ASSERT_PTR_NULL(slot_get(&t, UINT64_MAX));
	slot_free(&t);
}

struct item {
	uint32_t key, pos;
};

static int before(const void *a, const void *b)
{
	return ((const struct item *)a)->key < ((const struct item *)b)->key;
}

static void heap_sorts_what_moves(void)
{
	struct item x[200], *top;
	struct heap h;
	uint32_t i, last = 0;

	srand(7);
	heap_init(&h, before, offsetof(struct item, pos));
	for (i = 0; i < 200; i++) {
		x[i].key = (uint32_t)rand() % 1000;
		heap_push(&h, &x[i]);
	}
	for (i = 0; i < 200; i += 3) {
		x[i].key = (uint32_t)rand() % 1000;
		heap_move(&h, &x[i]);
	}
	for (i = 1; i < 200; i += 7) heap_remove(&h, &x[i]);
	while ((top = heap_top(&h))) {
		CU_ASSERT(top->key >= last);
		last = top->key;
		heap_remove(&h, top);
		CU_ASSERT_EQUAL(top->pos, HEAP_OUT);
	}
	heap_free(&h);
}

struct received {
	int n;
	char last[64], id[64];
};

static int on_event(struct sse *s, void *arg)
{
	struct received *e = arg;

	e->n++;
	g_strlcpy(e->last, s->data->str, sizeof e->last);
	g_strlcpy(e->id, s->id, sizeof e->id);
	return e->n == 99 ? -1 : 0;
}

/* The parser gives the same events wherever the input is split. */
static void sse_does_not_mind_cuts(void)
{
	static const char text[] =
		"id: a:1\r\ndata: one\r\n\r\n: note\n\ndata: two\ndata: more\n\n"
		"event: load\ndata:three\n\n";
	size_t cut, n = sizeof text - 1;
	struct received e;
	struct sse s;

	for (cut = 0; cut <= n; cut++) {
		memset(&e, 0, sizeof e);
		sse_init(&s);
		CU_ASSERT_EQUAL(sse_feed(&s, text, cut, on_event, &e), 0);
		CU_ASSERT_EQUAL(sse_feed(&s, text + cut, n - cut, on_event, &e), 0);
		CU_ASSERT_EQUAL(e.n, 3);
		CU_ASSERT_STRING_EQUAL(e.last, "three");
		sse_free(&s);
	}
}

/* Guards against a busy loop: a wait until time 0 became one until a negative time, whose error
 * was taken for a wake-up, and four daemons spun for minutes. */
static void a_time_that_is_over_can_be_waited_for(void)
{
	struct timespec over = clock_monotonic_spec(0),
			soon = clock_monotonic_spec(clock_us() + 1000000);
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	CU_ASSERT(over.tv_sec >= 0 && over.tv_nsec >= 0);
	CU_ASSERT(soon.tv_sec - now.tv_sec <= 1);
	CU_ASSERT(soon.tv_sec - now.tv_sec >= 0);
}

static const struct check list[] = {
	{"ring_is_bounded", ring_is_bounded},
	{"ring_keeps_every_item", ring_keeps_every_item},
	{"slot_handles_go_stale", slot_handles_go_stale},
	{"heap_sorts_what_moves", heap_sorts_what_moves},
	{"sse_does_not_mind_cuts", sse_does_not_mind_cuts},
	{"a_time_that_is_over_can_be_waited_for", a_time_that_is_over_can_be_waited_for},
};
CHECK_MAIN(list)
