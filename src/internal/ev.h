/* The event loop (ev_) of one thread: sockets through epoll, timers through a heap. */
#ifndef SH_EV_H
#define SH_EV_H
#include <stdint.h>

struct ev_fd {
	int fd; /* -1: not watched */
	void (*on_event)(struct ev_fd *f, uint32_t events);
};

struct ev_timer {
	uint32_t pos; /* in the heap */
	int armed;
	int64_t at_us; /* monotonic */
	void (*fire)(struct ev_timer *t);
};

/* These three return 0 or a negative errno. */
int ev_init(void);
int ev_add(struct ev_fd *f, uint32_t events);
int ev_mod(struct ev_fd *f, uint32_t events);
/* Closes the descriptor; no event of f is delivered afterwards. */
void ev_close(struct ev_fd *f);

/* Arm the timer, or move it if it is armed: for a time, or for a delay from ev_now(). */
void ev_at(struct ev_timer *t, int64_t at_us);
void ev_in(struct ev_timer *t, int64_t in_us);
void ev_stop(struct ev_timer *t);

/* Monotonic microseconds, read once per round of the loop. To judge the age of information,
 * read clock_us() instead: the process may have been suspended since the round began. */
int64_t ev_now(void);

/* Frees p with g_free after the current batch of events has been delivered. */
void ev_free_later(void *p);

/* Called when a round of the loop begins a second or more late, before anything that arrived
 * meanwhile is read: the process or its machine was suspended. Set once, may be NULL. */
extern void (*ev_on_resume)(void);

/* Runs the loop until *stop is set. */
void ev_run(const volatile int *stop);
#endif
