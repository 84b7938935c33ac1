#include "jlog.h"
#include "clock.h"
#include "jsonw.h"
#include "ring.h"
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#define RING_LINES 1024 /* queued lines, about 300 KB at most */
#define LINES_PER_S 400 /* more would take processor time from requests */
#define BATCH_LINES 64  /* most lines per write */
#define FLUSH_US 200000 /* pause after a partial batch, to collect more lines per wake-up */
#define STOP_TIMEOUT_US 500000 /* to write the queued lines on stop */
#define STACK_BYTES 65536      /* enough for a thread that only copies lines */

static struct ring ring;
static pthread_t thread;
static int started;
static atomic_int stopping;
static atomic_uint_fast64_t dropped;
static uint64_t reported_dropped;
static char instance[64];
static int64_t second_start_us;
static int lines_in_second;

static void write_all(const char *p, size_t n)
{
	while (n) {
		ssize_t written = write(STDOUT_FILENO, p, n);

		if (written < 0 && errno == EINTR) continue;
		if (written <= 0) return; /* there is no other place to report a failed write */
		p += written;
		n -= written;
	}
}

static void write_lines(GString *out, void **line, uint32_t n)
{
	uint32_t i;

	g_string_truncate(out, 0);
	for (i = 0; i < n; i++) {
		g_string_append_len(out, ((GString *)line[i])->str, ((GString *)line[i])->len);
		g_string_free(line[i], TRUE);
	}
	write_all(out->str, out->len);
}

static void *writer_main(void *arg)
{
	GString *out = g_string_new(NULL);
	void *line[BATCH_LINES];
	uint32_t n;

	(void)arg;
	while (!stopping) {
		n = ring_wait(&ring, line, BATCH_LINES, clock_us() + 1000000);
		if (!n) continue;
		write_lines(out, line, n);
		if (n < BATCH_LINES && !stopping) usleep(FLUSH_US);
	}
	while ((n = ring_take(&ring, line, BATCH_LINES))) write_lines(out, line, n);
	g_string_free(out, TRUE);
	return NULL;
}

int jlog_start(const char *name)
{
	pthread_attr_t attr;
	int rc;

	g_strlcpy(instance, name, sizeof instance);
	rc = ring_init(&ring, RING_LINES, 0);
	if (rc) return rc;
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	rc = -pthread_create(&thread, &attr, writer_main, NULL);
	pthread_attr_destroy(&attr);
	started = !rc;
	return rc;
}

void jlog_stop(void)
{
	struct timespec deadline;

	if (!started) return;
	stopping = 1;
	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_nsec += STOP_TIMEOUT_US * 1000;
	deadline.tv_sec += deadline.tv_nsec / 1000000000;
	deadline.tv_nsec %= 1000000000;
	pthread_timedjoin_np(thread, NULL, &deadline);
	started = 0;
}

uint64_t jlog_dropped(void)
{
	return dropped;
}

GString *jlog_begin(const char *part, const char *event)
{
	GString *g = g_string_sized_new(256);

	g_string_printf(g,
			"{\"t_ms\":%" G_GINT64_FORMAT
			",\"instance\":\"%s\",\"part\":\"%s\",\"event\":\"%s\"",
			clock_wall_ms(), instance, part, event);
	return g;
}

void jlog_str(GString *line, const char *key, const char *value)
{
	if (!value) return;
	g_string_append_printf(line, ",\"%s\":", key);
	jsonw_str(line, value);
}

void jlog_int(GString *line, const char *key, int64_t value)
{
	g_string_append_printf(line, ",\"%s\":%" G_GINT64_FORMAT, key, value);
}

static int over_rate(void)
{
	int64_t now = clock_us();

	if (now - second_start_us >= 1000000) {
		second_start_us = now;
		lines_in_second = 0;
	}
	return ++lines_in_second > LINES_PER_S;
}

void jlog_end(GString *line)
{
	if (!started || over_rate()) {
		if (started) dropped++;
		g_string_free(line, TRUE);
		return;
	}
	if (dropped != reported_dropped)
		jlog_int(line, "lines_dropped", dropped - reported_dropped);
	g_string_append(line, "}\n");
	if (!ring_push(&ring, line)) {
		reported_dropped = dropped;
		return;
	}
	dropped++;
	g_string_free(line, TRUE);
}
