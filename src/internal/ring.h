/* A bounded queue of pointers in a ring buffer, with many producers and one consumer. */
#ifndef SH_RING_H
#define SH_RING_H
#include <pthread.h>
#include <stdint.h>

struct ring {
	pthread_mutex_t lock;
	pthread_cond_t ready;
	void **slot;
	uint32_t cap, head, count;
	int wake_fd; /* eventfd, or -1 if the consumer waits on the condition variable */
};

/* cap: capacity in items. With use_fd, wake_fd becomes readable when items are queued. Returns
 * 0 or a negative errno. */
int ring_init(struct ring *r, uint32_t cap, int use_fd);
void ring_free(struct ring *r);

/* Returns 0, or -EAGAIN if the ring is full: the caller counts that and refuses the item. */
int ring_push(struct ring *r, void *item);

/* Takes up to max items without waiting; returns their number. */
uint32_t ring_take(struct ring *r, void **out, uint32_t max);

/* Like ring_take, but waits for an item until deadline_us (by clock_us()). Needs a ring without
 * wake_fd. */
uint32_t ring_wait(struct ring *r, void **out, uint32_t max, int64_t deadline_us);
#endif
