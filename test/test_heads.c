/* Answers whose heads are not HTTP: a server in trouble sends them, no caller gets them. */
#include "check.h"
#include "hp.h"
#include "pw.h"
#include <errno.h>
#include <string.h>

#define DEADLINE_MS 2000

/* ---- the parser ---- */

#define OK "HTTP/1.1 200 OK\r\n"
#define END "Content-Length: 0\r\n\r\n"

/* A head, with its length, as it may contain a NUL. */
struct head {
	const char *bytes;
	size_t n;
};
#define HEAD(text)                       \
	{                                \
		(text), sizeof(text) - 1 \
	}

static const struct head bad_answers[] = {
	/* status lines */
	HEAD("HTTP/1.1 000 X\r\n" END),
	HEAD("HTTP/1.1 099 X\r\n" END),
	HEAD("HTTP/1.1 20 X\r\n" END),
	HEAD("HTTP/1.1 0200 X\r\n" END),
	HEAD("HTTP/1.1 600 X\r\n" END),
	HEAD("HTTP/1.1 999 X\r\n" END),
	HEAD("HTTP/1.1 2000 X\r\n" END),
	HEAD("HTTP/1.1 -20 X\r\n" END),
	HEAD("HTTP/1.1  200 X\r\n" END),
	HEAD("HTTP/1.1\t200 X\r\n" END),
	HEAD("HTTP/1.1 200\tX\r\n" END),
	HEAD("HTTP/0.9 200 X\r\n" END),
	HEAD("HTTP/2.0 200 X\r\n" END),
	HEAD("HTTP/11.1 200 X\r\n" END),
	HEAD("http/1.1 200 X\r\n" END),
	HEAD("ICY 200 X\r\n" END),
	HEAD("\r\n" OK END),
	HEAD("HTTP/1.1 200 O\1K\r\n" END),
	HEAD("HTTP/1.1 200 O\0K\r\n" END),
	HEAD("HTTP/1.1 200 O\177K\r\n" END),
	HEAD("HTTP/1.1 200 O\rK\r\n" END),
};

/* These are the same in requests. */
static const struct head bad_fields[] = {
	HEAD("X-A : b\r\n" END),
	HEAD("X A: b\r\n" END),
	HEAD(" X-A: b\r\n" END),
	HEAD("\tX-A: b\r\n" END),
	HEAD("X-A\t: b\r\n" END),
	HEAD("X\1A: b\r\n" END),
	HEAD("X\0A: b\r\n" END),
	HEAD("X\177A: b\r\n" END),
	HEAD("X\351A: b\r\n" END),
	HEAD(": b\r\n" END),
	HEAD("X-A\r\n" END),
	HEAD("X-A\rX-B: b\r\n" END),
	HEAD("X-A: \1b\r\n" END),
	HEAD("X-A: \0b\r\n" END),
	HEAD("X-A: a\1b\r\n" END),
	HEAD("X-A: a\0b\r\n" END),
	HEAD("X-A: a\177b\r\n" END),
	HEAD("X-A: a\rb\r\n" END),
	HEAD("X-A: \rX-B: b\r\n" END),
	HEAD("X-A: b\r\n\rX" END),
	HEAD("Content-Length : 0\r\n\r\n"),
	HEAD("Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
};

static const struct head good_answers[] = {
	HEAD(OK END),
	HEAD("HTTP/1.0 200 OK\r\n" END),
	HEAD("HTTP/1.1 200\r\n" END),
	HEAD("HTTP/1.1 200 \r\n" END),
	HEAD("HTTP/1.1 599 \351 \t reason\r\n" END),
	HEAD("HTTP/1.1 200 OK\nX-A: b\nContent-Length: 0\n\n"),
	HEAD(OK "X-A:b\r\n" END),
	HEAD(OK "X-A: \t b \t\r\n" END),
	HEAD(OK "X-A:\r\n" END),
	HEAD(OK "X-A: \351\r\n" END),
	HEAD(OK "X-A: a\r\n b\r\n" END),
	HEAD(OK "!#$%&'*+-.^_`|~09azAZ: b\r\n" END),
};

/* Whole, and byte by byte. */
static void feed(const char *p, size_t n, int request, ssize_t *whole, ssize_t *bytewise)
{
	struct hp h;
	size_t i;

	hp_init(&h, request);
	*whole = hp_feed(&h, p, n);
	if (*whole >= 0 && !h.done) *whole = -EPIPE;
	hp_free(&h);
	hp_init(&h, request);
	*bytewise = 0;
	for (i = 0; i < n && *bytewise >= 0; i++) *bytewise = hp_feed(&h, p + i, 1);
	if (*bytewise >= 0 && !h.done) *bytewise = -EPIPE;
	hp_free(&h);
}

static void check_bad(const char *p, size_t n, int request)
{
	ssize_t whole, bytewise;

	feed(p, n, request, &whole, &bytewise);
	if (whole != -EBADMSG || bytewise != -EBADMSG)
		fprintf(stderr, "accepted (%zd, %zd): %s", whole, bytewise, p);
	CU_ASSERT_EQUAL(whole, -EBADMSG);
	CU_ASSERT_EQUAL(bytewise, -EBADMSG);
}

static void check_field(const char *start, const struct head *field, int request)
{
	GString *g = g_string_new(start);

	g_string_append_len(g, field->bytes, (gssize)field->n);
	check_bad(g->str, g->len, request);
	g_string_free(g, TRUE);
}

/* A status of 000 was passed on, and so was a field whose name held a blank. */
static void heads_that_are_no_http_are_refused(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad_answers); i++)
		check_bad(bad_answers[i].bytes, bad_answers[i].n, 0);
	for (i = 0; i < G_N_ELEMENTS(bad_fields); i++) {
		check_field(OK, &bad_fields[i], 0);
		check_field("GET / HTTP/1.1\r\n", &bad_fields[i], 1);
	}
}

static void heads_that_are_http_are_accepted(void)
{
	ssize_t whole, bytewise;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(good_answers); i++) {
		feed(good_answers[i].bytes, good_answers[i].n, 0, &whole, &bytewise);
		CU_ASSERT_EQUAL(whole, (ssize_t)good_answers[i].n);
		CU_ASSERT(bytewise >= 0);
	}
	feed("\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 31, 1, &whole, &bytewise);
	CU_ASSERT_EQUAL(whole, 31);
	CU_ASSERT(bytewise >= 0);
}

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
static const struct head bad_chunks[] = {
	HEAD("1\r\naXX0\r\n\r\n"),   HEAD("1\r\na\rX0\r\n\r\n"),   HEAD("1\r\nab\r\n0\r\n\r\n"),
	HEAD("1\rXa\r\n0\r\n\r\n"),  HEAD("1\r\na\r\n0\rX\r\n"),   HEAD("1\r\na\r\n0\r\n\rX"),
	HEAD("g\r\na\r\n0\r\n\r\n"), HEAD("-1\r\na\r\n0\r\n\r\n"), HEAD("\r\na\r\n0\r\n\r\n"),
};

/* What followed a chunk in place of its line end was dropped, and the rest was passed on. */
static void chunks_that_are_not_framed_are_refused(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad_chunks); i++) {
		check_field(CHUNKED, &bad_chunks[i], 0);
		check_field("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
			    &bad_chunks[i], 1);
	}
}

static int on_body(struct hp *h, const char *p, size_t n)
{
	g_string_append_len(h->user, p, (gssize)n);
	return 0;
}

/* Fed in blocks of each size: line ends fall between two of them. */
static void chunks_are_read_whatever_their_blocks(void)
{
	static const char in[] = CHUNKED "2\r\nab\r\nA;x=y\r\n0123456789\r\n"
					 "1 \r\n\n\r\n000\r\nX-T: a\r\n\r\n";
	size_t n, i;

	for (n = 1; n <= sizeof in - 1; n++) {
		GString *body = g_string_new(NULL);
		ssize_t rc = 0;
		struct hp h;

		hp_init(&h, 0);
		h.on_body = on_body;
		h.user = body;
		for (i = 0; i < sizeof in - 1 && rc >= 0; i += n)
			rc = hp_feed(&h, in + i, MIN(n, sizeof in - 1 - i));
		CU_ASSERT(rc > 0);
		CU_ASSERT(h.done);
		CU_ASSERT_STRING_EQUAL(body->str, "ab0123456789\n");
		hp_free(&h);
		g_string_free(body, TRUE);
	}
}

/* Fields after the body were taken for fields of the head: another id, another workspace. */
static void a_trailer_is_no_part_of_the_head(void)
{
	static const char answer[] = CHUNKED "0\r\nX-Request-Id: b\r\nX-T: a\r\n\r\n";
	struct hp h;

	hp_init(&h, 0);
	CU_ASSERT_EQUAL(hp_feed(&h, answer, sizeof answer - 1), (ssize_t)sizeof answer - 1);
	CU_ASSERT(h.done);
	CU_ASSERT_EQUAL(hp_count(&h.head), 1);
	CU_ASSERT_PTR_NULL(hp_get(&h.head, "X-Request-Id"));
	hp_free(&h);
}

static const struct head unknown_codings[] = {
	HEAD("Transfer-Encoding: gzip\r\n\r\n"),
	HEAD("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
	HEAD("Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"),
	HEAD("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
	HEAD("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n"),
	HEAD("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
};

/* The coding was not passed on, and the coded bytes were. */
static void bodies_in_an_unknown_coding_are_refused(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unknown_codings); i++) {
		check_field(OK, &unknown_codings[i], 0);
		check_field("POST / HTTP/1.1\r\n", &unknown_codings[i], 1);
	}
}

#define ENDLESS_MAX (8 << 20) /* bytes fed */
#define KEPT_MAX (256 << 10)

/* The bytes fed until the message is given up. */
static size_t feed_endless(struct hp *h, const char *start, const char *more)
{
	GString *block = g_string_new(start);
	size_t fed = 0;
	ssize_t rc = 0;

	while (rc >= 0 && fed < ENDLESS_MAX && !h->done) {
		while (block->len < 16384) g_string_append(block, more);
		rc = hp_feed(h, block->str, block->len);
		fed += block->len;
		g_string_truncate(block, 0);
	}
	g_string_free(block, TRUE);
	return fed;
}

/* A server that sends without end filled the memory of whoever had called it. */
static void no_head_without_end_is_kept(void)
{
	static const char *const endless[][2] = {
		{OK "X: ", "x"},
		{OK "X: ", " "},
		{OK "X: y\r\n", " \r\n"},
		{OK, "X: y\r\n"},
		{OK, "x"},
		{OK "Content-Length: ", "0"},
		{"HTTP/1.1 200 ", "x"},
		{"", "\r\n"},
		{"", "noise"},
		{"", "HTTP/1.1 100 X\r\nX: y\r\n\r\n"},
		{CHUNKED "1;", "x"},
		{CHUNKED, "0"},
		{CHUNKED "1", " "},
		{CHUNKED "0\r\n", "X: y\r\n"},
		{CHUNKED "0\r\nX: ", "y"},
		{CHUNKED "0\r\nX: y\r\n", " \r\n"},
	};
	size_t i, fed;
	struct hp h;

	for (i = 0; i < G_N_ELEMENTS(endless); i++) {
		hp_init(&h, 0);
		fed = feed_endless(&h, endless[i][0], endless[i][1]);
		if (fed > KEPT_MAX || h.done) fprintf(stderr, "%zu: %zu bytes\n", i, fed);
		CU_ASSERT(!h.done);
		CU_ASSERT(fed <= KEPT_MAX);
		CU_ASSERT(h.head.text->len <= KEPT_MAX);
		hp_free(&h);
	}
}

/* ---- the whole way ---- */

#define NAMED "X-Request-Id: %s\r\nX-Response-Signature: sig\r\n"

static const char *const odd[] = {
	"HTTP/1.1 000 X\r\n" NAMED END,
	"HTTP/1.1 999 X\r\n" NAMED END,
	"HTTP/1.1 0200 X\r\n" NAMED END,
	"HTTP/2.0 200 X\r\n" NAMED END,
	OK NAMED "X-A : b\r\n" END,
	OK NAMED "X A: b\r\n" END,
	OK NAMED "X-A: \1b\r\n" END,
	OK NAMED "Content-Length : 9\r\n" END,
	OK NAMED "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	OK NAMED "X-A: b\r\n\rXContent-Length: 0\r\n\r\n",
};

static void begin(struct pw_server **s, struct pw_entry **e, const char *service)
{
	int i;

	pw_init();
	for (i = 0; i < 2; i++) s[i] = pw_server_add(service, !strcmp(service, "llm"));
	*e = pw_entry_ready();
}

static void answer_oddly(struct pw_server *s, const char *bytes)
{
	s->mode = PW_RAW;
	s->raw_answer = bytes;
}

/* Both servers answer so. */
static void check_refused(const char *service, const char *path, const char *bytes)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;

	begin(s, &e, service);
	answer_oddly(s[0], bytes);
	answer_oddly(s[1], bytes);
	c = pw_request(e, "POST", path, DEADLINE_MS);
	CU_ASSERT(pw_call_wait(c, DEADLINE_MS + 500));
	if (c->status != 502) fprintf(stderr, "%s: %d for %s", path, c->status, bytes);
	CU_ASSERT_EQUAL(c->status, 502);
	CU_ASSERT_STRING_EQUAL(c->signature, "");
	CU_ASSERT(pw_runs_of(c->id) >= 1);
	pw_end();
}

static void no_caller_gets_an_answer_that_is_no_http(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		check_refused("app", "/safe/", odd[i]);
		check_refused("app", "/unsafe/", odd[i]);
		check_refused("llm", "/chat/", odd[i]);
	}
}

#define BODY "Content-Length: 2\r\n\r\nab"

/* An interim answer was taken for the answer, or for none that is valid. */
static void an_interim_answer_is_not_the_answer(void)
{
	static const char *const interim[] = {
		"HTTP/1.1 100 X\r\n\r\n" OK NAMED BODY,
		"HTTP/1.1 103 X\r\n" NAMED "X-A: b\r\n\r\n" OK NAMED BODY,
		"HTTP/1.1 102 X\r\nConnection: close\r\n" NAMED
		"\r\nHTTP/1.1 199 X\r\n\r\n" OK NAMED BODY,
	};
	static const char *const alone[] = {
		"HTTP/1.1 100 X\r\n" NAMED "\r\n",
		"HTTP/1.1 101 X\r\n" NAMED "\r\n",
		"HTTP/1.1 101 X\r\n" NAMED
		"Connection: upgrade\r\nUpgrade: a\r\n\r\n" OK NAMED BODY,
	};
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	size_t i;

	begin(s, &e, "app");
	for (i = 0; i < G_N_ELEMENTS(interim); i++) {
		answer_oddly(s[0], interim[i]);
		answer_oddly(s[1], interim[i]);
		c = pw_request(e, "POST", "/unsafe/", DEADLINE_MS);
		CU_ASSERT(pw_call_wait(c, DEADLINE_MS + 500));
		CU_ASSERT_EQUAL(c->status, 200);
		CU_ASSERT_STRING_EQUAL(c->body->str, "ab");
	}
	pw_end();
	for (i = 0; i < G_N_ELEMENTS(alone); i++) check_refused("app", "/unsafe/", alone[i]);
}

static void a_safe_call_is_served_by_another_server(void)
{
	struct pw_server *s[2];
	struct pw_entry *e;
	struct pw_call *c;
	size_t i;

	begin(s, &e, "app");
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		answer_oddly(s[0], odd[i]);
		c = pw_request(e, "POST", "/safe/", DEADLINE_MS);
		CU_ASSERT(pw_call_wait(c, DEADLINE_MS + 500));
		CU_ASSERT_EQUAL(c->status, 200);
	}
	pw_end();
}

static const struct check list[] = {
	{"heads_that_are_no_http_are_refused", heads_that_are_no_http_are_refused},
	{"heads_that_are_http_are_accepted", heads_that_are_http_are_accepted},
	{"no_caller_gets_an_answer_that_is_no_http", no_caller_gets_an_answer_that_is_no_http},
	{"chunks_that_are_not_framed_are_refused", chunks_that_are_not_framed_are_refused},
	{"chunks_are_read_whatever_their_blocks", chunks_are_read_whatever_their_blocks},
	{"a_trailer_is_no_part_of_the_head", a_trailer_is_no_part_of_the_head},
	{"bodies_in_an_unknown_coding_are_refused", bodies_in_an_unknown_coding_are_refused},
	{"an_interim_answer_is_not_the_answer", an_interim_answer_is_not_the_answer},
	{"no_head_without_end_is_kept", no_head_without_end_is_kept},
	{"a_safe_call_is_served_by_another_server", a_safe_call_is_served_by_another_server},
};

CHECK_MAIN(list)
