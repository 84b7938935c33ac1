/* Monotonic, wall-clock and processor time. */
#ifndef SH_CLOCK_H
#define SH_CLOCK_H
#include <stdatomic.h>
#include <stdint.h>
#include <time.h>

/* Monotonic time in microseconds (CLOCK_BOOTTIME), including time during which the machine was
 * suspended. */
int64_t clock_us(void);
/* Wall-clock time in milliseconds since the Unix epoch. */
int64_t clock_wall_ms(void);
/* Converts a clock_us() time to CLOCK_MONOTONIC, for timed waits on condition variables. */
struct timespec clock_monotonic_spec(int64_t at_us);
/* Processor time used by this process so far, in microseconds. */
int64_t clock_cpu_us(void);
/* Added to clock_us() and clock_wall_ms(). Always 0 except in tests, which use it to simulate a
 * suspension of the machine. */
extern atomic_int_fast64_t clock_offset_us;
#endif
