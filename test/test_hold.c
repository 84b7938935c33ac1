/* Callers that read slowly: the data buffered for them is bounded, for each and for all
 * together, and fast readers do not wait for slow ones. */
#include "check.h"
#include "clock.h"
#include "hs_hold.h"
#include "pw.h"
#include <stdio.h>
#include <string.h>

#define PENDING_MAX (8u << 20) /* bytes for all callers */
#define PIECE (256u << 10)
#define STREAM (16u << 20) /* bytes of one answer: more than the system's buffers hold */
#define PORT 7300
#define READERS 12

static struct hs_listener listener;
static GPtrArray *answering; /* of struct hs, with an answer in flight */
static int ended;

static void on_request(struct hs *h)
{
	h->user = GSIZE_TO_POINTER(STREAM); /* bytes that remain to be written */
	g_ptr_array_add(answering, h);
}

static void on_left(struct hs *h)
{
	g_ptr_array_remove_fast(answering, h);
}

static void on_slow(struct hs *h)
{
	g_ptr_array_remove_fast(answering, h);
	ended++;
	hs_abort(h);
}

/* As fast as possible: servers have all of it ready. */
static void write_some(void)
{
	static char piece[PIECE];
	uint32_t i;

	for (i = answering->len; i-- > 0;) {
		struct hs *h = g_ptr_array_index(answering, i);
		size_t left = GPOINTER_TO_SIZE(h->user);

		if (!left || !hs_may_hold(h)) continue;
		h->user = GSIZE_TO_POINTER(left - PIECE);
		hs_write(h, piece, PIECE);
	}
}

struct reader {
	struct cn cn;
	size_t received;
	int closed;
};

static void on_data(struct cn *c, const char *p, size_t n)
{
	(void)p;
	((struct reader *)c)->received += n;
}

static void on_end(struct cn *c, int err)
{
	(void)err;
	((struct reader *)c)->closed = 1;
	cn_close(c);
}

static void on_up(struct cn *c)
{
	static const char ask[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	cn_write(c, ask, sizeof ask - 1);
}

static void begin(struct reader *r, int n)
{
	struct sockaddr_in at;
	int i;

	pw_init();
	pw_address_of(pw_ip(1), PORT, &at);
	answering = g_ptr_array_new();
	ended = 0;
	memset(&listener, 0, sizeof listener);
	listener.limits = pw_limits;
	listener.on_request = on_request;
	listener.on_disconnect = on_left;
	CU_ASSERT_EQUAL(hs_listen(&listener, &at), 0);
	hs_hold_start(&listener, PENDING_MAX, on_slow);
	memset(r, 0, n * sizeof *r);
	for (i = 0; i < n; i++) {
		r[i].cn.on_connected = on_up;
		r[i].cn.on_data = on_data;
		r[i].cn.on_end = on_end;
		cn_connect(&r[i].cn, &at);
	}
	pw_run(50);
}

static size_t pending(void)
{
	size_t sum = 0;
	uint32_t i;

	for (i = 0; i < answering->len; i++)
		sum += cn_pending(&((struct hs *)g_ptr_array_index(answering, i))->cn);
	return sum;
}

/* The most bytes pending at any time. */
static size_t serve(int ms)
{
	int64_t until = clock_us() + ms * 1000LL;
	size_t most = 0;

	while (clock_us() < until) {
		write_some();
		most = MAX(most, pending());
		pw_run(5);
	}
	return most;
}

static void end(struct reader *r, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (!r[i].closed) cn_reset(&r[i].cn);
	pw_run(20);
	hs_stop(&listener);
	g_ptr_array_free(answering, TRUE);
	pw_end();
}

/* One reader continues, the others have stopped. */
static void readers_that_stop_hold_up_nobody(void)
{
	static struct reader r[READERS];
	int i;

	begin(r, READERS);
	for (i = 1; i < READERS; i++) cn_pause(&r[i].cn, 1);
	CU_ASSERT(serve(2500) <= READERS * ((1u << 20) + PIECE));
	CU_ASSERT_EQUAL(r[0].received, STREAM);
	CU_ASSERT(!r[0].closed);
	CU_ASSERT(pending() <= PENDING_MAX);
	end(r, READERS);
}

/* A reader stops for a while and reads the rest later. */
static void a_reader_that_returns_has_all_of_it(void)
{
	static struct reader r[1];

	begin(r, 1);
	cn_pause(&r[0].cn, 1);
	serve(1500);
	cn_pause(&r[0].cn, 0);
	serve(1500);
	CU_ASSERT_EQUAL(r[0].received, STREAM);
	CU_ASSERT_EQUAL(ended, 0);
	end(r, 1);
}

/* Each may hold 128 KB however little is left, and this many hold more than PENDING_MAX then.
 */
#define MANY_READERS (6 * READERS)

/* Memory does not suffice for all readers: those that read nothing are closed, readers are not.
 */
static void memory_that_is_short_ends_those_that_take_nothing(void)
{
	static struct reader r[MANY_READERS];
	int i;

	begin(r, MANY_READERS);
	for (i = 1; i < MANY_READERS; i++) cn_pause(&r[i].cn, 1);
	serve(2500);
	CU_ASSERT(pending() <= PENDING_MAX);
	CU_ASSERT_EQUAL(r[0].received, STREAM);
	CU_ASSERT(ended > 0);
	end(r, MANY_READERS);
}

#define MEMORY_MB 88 /* of the smallest instance */
#define CALLERS 200
#define ENGINES 60
#define PAGE_KB 4

static long rss_mb(const struct pw_entry *e)
{
	char path[64], *text = NULL;
	long pages = 0;

	g_snprintf(path, sizeof path, "/proc/%d/statm", (int)e->pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) sscanf(text, "%*d %ld", &pages);
	g_free(text);
	return pages * PAGE_KB / 1024;
}

/* Streams of 6 MB each, partly in the system's buffers. Only one caller keeps reading. */
static void hundreds_of_readers_that_stop_do_not_end_a_small_instance(void)
{
	struct pw_call *c[CALLERS];
	struct pw_entry *e;
	long most = 0;
	int i, begun = 0;

	pw_init();
	pw_settings("limits.memoryMb=88\n");
	pw_conf.tokens = 100000000; /* so that no request waits for an engine */
	pw_conf.timeout_ms = 30000;
	pw_conf_write();
	for (i = 0; i < ENGINES; i++) {
		struct pw_server *s = pw_server_add("llm", 1);

		s->events = 60;
		s->event_ms = 50;
		s->event_bytes = 100000;
	}
	e = pw_entry_ready();
	for (i = 0; i < CALLERS; i++) {
		c[i] = pw_request(e, "POST", "/sum/", 20000);
		pw_run(5);
		if (i && c[i]->x) cn_pause(&c[i]->x->cn, 1);
	}
	pw_run(100);
	for (i = 0; i < CALLERS; i++) begun += pw_runs_of(c[i]->id) > 0;
	CU_ASSERT(begun > CALLERS / 2);
	for (i = 0; i < 50; i++) {
		pw_run(100);
		most = MAX(most, rss_mb(e));
	}
	CU_ASSERT(!pw_entry_ended(e, &i));
	CU_ASSERT(most < MEMORY_MB);
	CU_ASSERT(pw_call_wait(c[0], 8000));
	CU_ASSERT_EQUAL(c[0]->status, 200);
	fprintf(stderr, "at most %ld of %d MB\n", most, MEMORY_MB);
	for (i = 1; i < CALLERS; i++)
		if (c[i]->x) pw_call_cancel(c[i]);
	pw_end();
}

static const struct check list[] = {
	{"hundreds_of_readers_that_stop_do_not_end_a_small_instance",
	 hundreds_of_readers_that_stop_do_not_end_a_small_instance},
	{"readers_that_stop_hold_up_nobody", readers_that_stop_hold_up_nobody},
	{"a_reader_that_returns_has_all_of_it", a_reader_that_returns_has_all_of_it},
	{"memory_that_is_short_ends_those_that_take_nothing",
	 memory_that_is_short_ends_those_that_take_nothing},
};

CHECK_MAIN(list)
