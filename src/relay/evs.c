/* Splits a stream of server-sent events into complete ones and drops those already seen. */
#include "evs.h"
#include <errno.h>
#include <string.h>

void evs_init(struct evs *s)
{
	s->partial = g_string_new(NULL);
	s->count = 0;
}

void evs_free(struct evs *s)
{
	if (s->partial) g_string_free(s->partial, TRUE);
	s->partial = NULL;
}

int evs_is_inside_event(const struct evs *s)
{
	return s->partial->len != 0;
}

/* Length of the first complete event, including its blank line; 0: none yet. */
static size_t event_length(const char *p, size_t n)
{
	size_t i = 0;

	while (i < n) {
		const char *nl = memchr(p + i, '\n', n - i);
		size_t line;

		if (!nl) return 0;
		line = nl - (p + i);
		if (line && p[i + line - 1] == '\r') line--;
		i = nl - p + 1;
		if (!line) return i;
	}
	return 0;
}

/* Copies the value of the event's id line; 0 when it has none. */
static int event_id(const char *p, size_t n, char *id)
{
	const char *end = p + n;

	while (p < end) {
		const char *nl = memchr(p, '\n', end - p);
		size_t line = (nl ? nl : end) - p;

		if (line > 3 && !memcmp(p, "id:", 3)) {
			const char *v = p + 3;
			size_t len = line - 3;

			while (len && *v == ' ') v++, len--;
			if (len && v[len - 1] == '\r') len--;
			if (len > EVS_ID_MAX) return 0;
			memcpy(id, v, len);
			id[len] = '\0';
			return 1;
		}
		p += line + 1;
	}
	return 0;
}

/* Comments, for example, carry none. */
static int has_data(const char *p, size_t n)
{
	const char *end = p + n;

	while (p && p < end) {
		if (end - p >= 4 && !memcmp(p, "data", 4)) return 1;
		p = memchr(p, '\n', end - p);
		if (p) p++;
	}
	return 0;
}

/* Ids increase as numbers; ids that are no numbers are duplicates only if they equal the last
 * one. */
static int was_seen(const struct evs_seen *seen, const char *id)
{
	char *end_old, *end_new;
	uint64_t old, new;

	if (!seen->id[0]) return 0;
	old = g_ascii_strtoull(seen->id, &end_old, 10);
	new = g_ascii_strtoull(id, &end_new, 10);
	if (*end_old || *end_new || end_new == id) return !strcmp(seen->id, id);
	return new <= old;
}

static void accept_event(struct evs_seen *seen, const char *p, size_t n, GString *out)
{
	char id[EVS_ID_MAX + 1];

	if (event_id(p, n, id)) {
		if (was_seen(seen, id)) {
			seen->duplicates++;
			return;
		}
		g_strlcpy(seen->id, id, sizeof seen->id);
		seen->no_id = 0;
	} else if (has_data(p, n)) {
		seen->no_id = 1;
	}
	seen->count++;
	g_string_append_len(out, p, n);
}

int evs_feed(struct evs *s, struct evs_seen *seen, const char *p, size_t n, GString *out)
{
	size_t off = 0, len;

	g_string_append_len(s->partial, p, n);
	while ((len = event_length(s->partial->str + off, s->partial->len - off))) {
		accept_event(seen, s->partial->str + off, len, out);
		off += len;
		s->count++;
	}
	g_string_erase(s->partial, 0, off);
	return s->partial->len > EVS_EVENT_MAX ? -EMSGSIZE : 0;
}
