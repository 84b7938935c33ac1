#include "sink.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* A longer gap between tokens is visible to the reader; the excess counts as stall. */
#define STALL_GAP_US 250000

struct sink *sink_new(struct met_group *met, int64_t arrived_us)
{
	struct sink *s = g_new0(struct sink, 1);

	s->fd = -1;
	s->met = met;
	s->arrived_us = arrived_us;
	s->out = g_string_sized_new(1024);
	s->event = g_string_sized_new(512);
	return s;
}

void sink_free(struct sink *s)
{
	if (!s) return;
	g_string_free(s->out, TRUE);
	g_string_free(s->event, TRUE);
	g_free(s);
}

void sink_count_token(struct sink *s, uint32_t offset, int64_t at_us)
{
	int64_t gap = at_us - s->last_us;

	if (!s->received) {
		met_observe(s->met, MET_H_FIRST_TOKEN, at_us - s->arrived_us);
		s->stall_us = at_us - s->arrived_us;
	} else {
		met_observe(s->met, MET_H_BETWEEN_TOKENS, gap);
		if (gap > STALL_GAP_US) s->stall_us += gap - STALL_GAP_US;
	}
	s->last_us = at_us;
	s->next = offset + 1;
	s->received++;
	met_add(MET_TOKENS, 1);
}

static void add_number(GString *s, uint64_t v, unsigned base)
{
	static const char digits[] = "0123456789abcdef";
	char buf[24];
	int i = sizeof buf;

	do buf[--i] = digits[v % base];
	while (v /= base);
	g_string_append_len(s, buf + i, (gssize)sizeof buf - i);
}

void sink_add_chunk(struct sink *s, const char *text, size_t n)
{
	if (!s->started) {
		s->started = 1;
		g_string_append(s->out, s->head);
	}
	add_number(s->out, n, 16);
	g_string_append_len(s->out, "\r\n", 2);
	g_string_append_len(s->out, text, (gssize)n);
	g_string_append_len(s->out, "\r\n", 2);
}

void sink_add_event(struct sink *s, uint32_t offset, const char *data, uint32_t len)
{
	GString *e = s->event;

	g_string_truncate(e, 0);
	if (s->prefix[0]) {
		g_string_append_len(e, "id: ", 4);
		g_string_append(e, s->prefix);
		add_number(e, offset, 10);
		g_string_append_c(e, '\n');
	}
	g_string_append_len(e, "data: ", 6);
	g_string_append_len(e, data, len);
	g_string_append_len(e, "\n\n", 2);
	sink_add_chunk(s, e->str, e->len);
}

void sink_add_last_chunk(struct sink *s)
{
	g_string_append_len(s->out, "0\r\n\r\n", 5);
}

int sink_write(struct sink *s)
{
	size_t at = 0;
	ssize_t n;

	if (s->reader_gone) return -EPIPE;
	while (at < s->out->len) {
		n = send(s->fd, s->out->str + at, s->out->len - at,
			 MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR) continue;
		if (n < 0) break;
		at += (size_t)n;
	}
	if (at == s->out->len) {
		g_string_truncate(s->out, 0);
		return 0;
	}
	g_string_erase(s->out, 0, (gssize)at);
	if (errno == EAGAIN || errno == EWOULDBLOCK) return -EAGAIN;
	s->reader_gone = 1;
	return -EPIPE;
}
