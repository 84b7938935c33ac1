/* The queue of requests that wait before they are sent: the most urgent first, then the oldest.
 */
#include "rq_impl.h"
#include <string.h>

#define POLL_US 10000 /* how often waiting requests are checked */

static GPtrArray *queue;
static struct ev_timer timer, wake_timer;
static GPtrArray *woken; /* names of services of which an exchange has just ended */

static int precedes(const struct rq *a, const struct rq *b)
{
	int ra = rq_rank(a), rb = rq_rank(b);

	return ra != rb ? ra < rb : a->began_us < b->began_us;
}

void rq_queue_leave(struct rq *r)
{
	if (r->waiting == RQ_WAIT_NONE) return;
	r->waiting = RQ_WAIT_NONE;
	g_ptr_array_remove(queue, r);
	met_set(MET_G_WAITING, queue->len);
}

void rq_queue_ahead(const struct rq *r, enum rq_wait_reason what,
		    void (*f)(const struct rq *other, void *arg), void *arg)
{
	uint32_t i;

	for (i = 0; queue && i < queue->len; i++) {
		const struct rq *o = g_ptr_array_index(queue, i);

		if (o == r || o->waiting != what || !precedes(o, r)) continue;
		if (!strcmp(o->service->name, r->service->name)) f(o, arg);
	}
}

int rq_queue_has(const char *service)
{
	uint32_t i;

	for (i = 0; queue && i < queue->len; i++) {
		const struct rq *r = g_ptr_array_index(queue, i);

		if (!strcmp(r->service->name, service)) return 1;
	}
	return 0;
}

/* 1 when it was sent or refused, 0 when it still waits. */
static int recheck(struct rq *r)
{
	switch (r->waiting) {
	case RQ_WAIT_MEMORY: return rq_recheck_memory(r);
	case RQ_WAIT_RATE: return rq_recheck_rate(r);
	case RQ_WAIT_ADMISSION: return rq_recheck_admission(r);
	case RQ_WAIT_NONE: break;
	}
	return 0;
}

static void on_timer(struct ev_timer *t)
{
	uint32_t i = 0;

	while (i < queue->len)
		if (!recheck(g_ptr_array_index(queue, i))) i++;
	if (queue->len) ev_in(t, POLL_US);
}

/* The first that still waits shows that those behind it do, too. */
static void recheck_service(const char *service)
{
	uint32_t i = 0;

	while (i < queue->len) {
		struct rq *r = g_ptr_array_index(queue, i);

		if (r->waiting != RQ_WAIT_RATE || strcmp(r->service->name, service))
			i++;
		else if (!recheck(r))
			return;
	}
}

static void on_wake(struct ev_timer *t)
{
	(void)t;
	while (woken->len) {
		char *service = g_ptr_array_steal_index(woken, woken->len - 1);

		recheck_service(service);
		g_free(service);
	}
}

void rq_queue_wake(const char *service)
{
	if (!queue || !queue->len) return;
	if (!woken) woken = g_ptr_array_new_with_free_func(g_free);
	if (g_ptr_array_find_with_equal_func(woken, service, g_str_equal, NULL)) return;
	g_ptr_array_add(woken, g_strdup(service));
	wake_timer.fire = on_wake;
	if (!wake_timer.armed) ev_in(&wake_timer, 0);
}

void rq_queue_join(struct rq *r, enum rq_wait_reason what)
{
	uint32_t i;

	if (!queue) queue = g_ptr_array_new();
	for (i = queue->len; i > 0; i--)
		if (!precedes(r, g_ptr_array_index(queue, i - 1))) break;
	g_ptr_array_insert(queue, (int)i, r);
	r->waiting = what;
	met_set(MET_G_WAITING, queue->len);
	timer.fire = on_timer;
	if (!timer.armed) ev_in(&timer, POLL_US);
}
