/* The event loop: epoll for sockets, a heap for timers, deferred frees between rounds. */
#include "ev.h"
#include "clock.h"
#include "heap.h"
#include <errno.h>
#include <glib.h>
#include <stddef.h>
#include <sys/epoll.h>
#include <unistd.h>

#define BATCH 64            /* events per epoll_wait; more only delay timers */
#define WAIT_MAX_MS 1000    /* longest sleep: *stop, set by signals, is seen within it */
#define TIMER_SLACK_US 1000 /* timers due within it fire together: epoll_wait counts in ms */

/* A round this late means that the process or its machine was suspended. */
#define SUSPENDED_US 1000000

void (*ev_on_resume)(void);

static int ep = -1;
static int64_t now_us;
static struct heap timers;
static GPtrArray *garbage;

static int is_sooner(const void *a, const void *b)
{
	return ((const struct ev_timer *)a)->at_us < ((const struct ev_timer *)b)->at_us;
}

int ev_init(void)
{
	ep = epoll_create1(EPOLL_CLOEXEC);
	if (ep < 0) return -errno;
	heap_init(&timers, is_sooner, offsetof(struct ev_timer, pos));
	garbage = g_ptr_array_new_with_free_func(g_free);
	now_us = clock_us();
	return 0;
}

static int control(struct ev_fd *f, int op, uint32_t events)
{
	struct epoll_event e = {.events = events, .data.ptr = f};

	return epoll_ctl(ep, op, f->fd, &e) ? -errno : 0;
}

int ev_add(struct ev_fd *f, uint32_t events)
{
	return control(f, EPOLL_CTL_ADD, events);
}

int ev_mod(struct ev_fd *f, uint32_t events)
{
	return control(f, EPOLL_CTL_MOD, events);
}

void ev_close(struct ev_fd *f)
{
	if (f->fd < 0) return;
	close(f->fd);
	f->fd = -1;
}

void ev_at(struct ev_timer *t, int64_t at_us)
{
	t->at_us = at_us;
	if (t->armed) {
		heap_move(&timers, t);
		return;
	}
	t->armed = 1;
	heap_push(&timers, t);
}

void ev_in(struct ev_timer *t, int64_t in_us)
{
	ev_at(t, now_us + in_us);
}

void ev_stop(struct ev_timer *t)
{
	if (!t->armed) return;
	heap_remove(&timers, t);
	t->armed = 0;
}

int64_t ev_now(void)
{
	return now_us;
}

void ev_free_later(void *p)
{
	g_ptr_array_add(garbage, p);
}

static void fire_due(void)
{
	struct ev_timer *t;

	while ((t = heap_top(&timers)) && t->at_us <= now_us + TIMER_SLACK_US) {
		ev_stop(t);
		t->fire(t);
	}
}

static int wait_ms(void)
{
	const struct ev_timer *t = heap_top(&timers);
	int64_t ms;

	if (!t) return WAIT_MAX_MS;
	ms = (t->at_us - clock_us()) / 1000;
	if (ms < 0) return 0;
	return ms < WAIT_MAX_MS ? (int)ms : WAIT_MAX_MS;
}

/* since_us: time since the round before, of which epoll_wait may take waited_ms. */
static void check_suspension(int64_t since_us, int waited_ms)
{
	if (since_us - waited_ms * 1000LL >= SUSPENDED_US && ev_on_resume) ev_on_resume();
}

static void run_round(void)
{
	struct epoll_event e[BATCH];
	int64_t before_us = now_us;
	int ms = wait_ms(), i, n = epoll_wait(ep, e, BATCH, ms);

	now_us = clock_us();
	check_suspension(now_us - before_us, ms);
	for (i = 0; i < n; i++) {
		struct ev_fd *f = e[i].data.ptr;

		if (f->fd >= 0) f->on_event(f, e[i].events);
	}
	fire_due();
	g_ptr_array_set_size(garbage, 0);
}

void ev_run(const volatile int *stop)
{
	while (!*stop) run_round();
}
