#include "ring.h"
#include "clock.h"
#include <errno.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

int ring_init(struct ring *r, uint32_t cap, int use_fd)
{
	pthread_condattr_t attr;

	*r = (struct ring){.cap = cap, .wake_fd = -1};
	r->slot = calloc(cap, sizeof *r->slot);
	if (!r->slot) return -ENOMEM;
	if (use_fd) r->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (use_fd && r->wake_fd < 0) return -errno;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->ready, &attr);
	pthread_condattr_destroy(&attr);
	return 0;
}

void ring_free(struct ring *r)
{
	if (r->wake_fd >= 0) close(r->wake_fd);
	pthread_mutex_destroy(&r->lock);
	pthread_cond_destroy(&r->ready);
	free(r->slot);
}

int ring_push(struct ring *r, void *item)
{
	int was_empty;

	pthread_mutex_lock(&r->lock);
	if (r->count == r->cap) {
		pthread_mutex_unlock(&r->lock);
		return -EAGAIN;
	}
	r->slot[(r->head + r->count) % r->cap] = item;
	was_empty = r->count++ == 0;
	if (was_empty && r->wake_fd < 0) pthread_cond_signal(&r->ready);
	pthread_mutex_unlock(&r->lock);
	if (was_empty && r->wake_fd >= 0) eventfd_write(r->wake_fd, 1);
	return 0;
}

static uint32_t take_locked(struct ring *r, void **out, uint32_t max)
{
	uint32_t n = 0;

	while (n < max && r->count) {
		out[n++] = r->slot[r->head];
		r->head = (r->head + 1) % r->cap;
		r->count--;
	}
	return n;
}

uint32_t ring_take(struct ring *r, void **out, uint32_t max)
{
	eventfd_t pushes;
	uint32_t n;
	int remaining;

	if (r->wake_fd >= 0) eventfd_read(r->wake_fd, &pushes);
	pthread_mutex_lock(&r->lock);
	n = take_locked(r, out, max);
	remaining = r->count > 0;
	pthread_mutex_unlock(&r->lock);
	if (remaining && r->wake_fd >= 0) eventfd_write(r->wake_fd, 1);
	return n;
}

uint32_t ring_wait(struct ring *r, void **out, uint32_t max, int64_t deadline_us)
{
	struct timespec ts = clock_monotonic_spec(deadline_us);
	uint32_t n;

	pthread_mutex_lock(&r->lock);
	while (!r->count)
		if (pthread_cond_timedwait(&r->ready, &r->lock, &ts) == ETIMEDOUT) break;
	n = take_locked(r, out, max);
	pthread_mutex_unlock(&r->lock);
	return n;
}
