#include "eng.h"
#include <string.h>

#define EVENT_MAX (1u << 20)

void sse_init(struct sse *s)
{
	*s = (struct sse){0};
	s->line = g_string_sized_new(256);
	s->data = g_string_sized_new(256);
}

void sse_free(struct sse *s)
{
	g_string_free(s->line, TRUE);
	g_string_free(s->data, TRUE);
}

/* Returns the value of a line "name: value", or NULL if the name differs. n is its length. */
static const char *field(const char *line, const char *name, size_t n)
{
	if (line[0] != name[0] || memcmp(line, name, n) || line[n] != ':') return NULL;
	return line + n + 1 + (line[n + 1] == ' ');
}

static int end_event(struct sse *s, int (*f)(struct sse *, void *), void *arg)
{
	int rc = 0;

	if (s->data->len) rc = f(s, arg);
	g_string_truncate(s->data, 0);
	s->id[0] = s->event[0] = 0;
	return rc;
}

static int end_line(struct sse *s, int (*f)(struct sse *, void *), void *arg)
{
	const char *v, *line = s->line->str;
	gsize n = s->line->len;

	if (n && line[n - 1] == '\r') g_string_truncate(s->line, --n);
	if (!n) return end_event(s, f, arg);
	if (n >= 5 && (v = field(line, "data", 4))) {
		if (s->data->len) g_string_append_c(s->data, '\n');
		g_string_append_len(s->data, v, line + n - v);
	} else if (n >= 3 && (v = field(line, "id", 2))) {
		g_strlcpy(s->id, v, sizeof s->id);
	} else if (n >= 6 && (v = field(line, "event", 5))) {
		g_strlcpy(s->event, v, sizeof s->event);
	}
	return s->data->len > EVENT_MAX ? -1 : 0;
}

int sse_feed(struct sse *s, const char *p, size_t n, int (*f)(struct sse *, void *), void *arg)
{
	const char *nl;

	while (n) {
		nl = memchr(p, '\n', n);
		g_string_append_len(s->line, p, nl ? nl - p : (gssize)n);
		if (s->line->len > EVENT_MAX) return -1;
		if (!nl) return 0;
		n -= (size_t)(nl - p) + 1;
		p = nl + 1;
		if (end_line(s, f, arg)) return -1;
		g_string_truncate(s->line, 0);
	}
	return 0;
}
