#include "clock.h"

atomic_int_fast64_t clock_offset_us;

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* CLOCK_MONOTONIC stops while the machine is suspended, so stale state would appear recent. */
int64_t clock_us(void)
{
	return read_us(CLOCK_BOOTTIME) + atomic_load(&clock_offset_us);
}

int64_t clock_wall_ms(void)
{
	return (read_us(CLOCK_REALTIME) + atomic_load(&clock_offset_us)) / 1000;
}

int64_t clock_cpu_us(void)
{
	return read_us(CLOCK_PROCESS_CPUTIME_ID);
}

struct timespec clock_monotonic_spec(int64_t at_us)
{
	int64_t offset_us = read_us(CLOCK_MONOTONIC) - clock_us();
	int64_t us = at_us + offset_us;

	if (us < 0) us = 0; /* a negative timespec makes timed waits fail with EINVAL */
	return (struct timespec){.tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000};
}
