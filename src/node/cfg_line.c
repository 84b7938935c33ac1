/* Finds the line number of a key by scanning the text, since json-c keeps no positions. */
#include "cfg.h"
#include <string.h>

#define DEPTH_MAX 8

struct scan {
	const char *p;
	int line, depth;
	const char *key[DEPTH_MAX]; /* the current key at each depth, not terminated */
	size_t len[DEPTH_MAX];
};

static void skip_comment(struct scan *s)
{
	if (s->p[1] == '/') {
		while (*s->p && *s->p != '\n') s->p++;
		return;
	}
	if (s->p[1] != '*') {
		s->p++;
		return;
	}
	for (s->p += 2; *s->p && !(s->p[0] == '*' && s->p[1] == '/'); s->p++)
		if (*s->p == '\n') s->line++;
	if (*s->p) s->p += 2;
}

static void skip_string(struct scan *s)
{
	for (s->p++; *s->p && *s->p != '"'; s->p++) {
		if (*s->p == '\\' && s->p[1]) s->p++;
		if (*s->p == '\n') s->line++;
	}
	if (*s->p) s->p++;
}

static int is_key(const char *p)
{
	p += strspn(p, " \t\r\n");
	return *p == ':';
}

static int matches(const struct scan *s, const char *path)
{
	size_t n;
	int d;

	for (d = 1; d <= s->depth; d++) {
		n = strcspn(path, ".");
		if (n != s->len[d] || strncmp(path, s->key[d], n)) return 0;
		path += n;
		if (*path == '.')
			path++;
		else if (d < s->depth)
			return 0;
	}
	return !*path;
}

int cfg_line(const char *text, const char *path)
{
	struct scan s = {.p = text, .line = 1};
	const char *start;

	while (*s.p) {
		if (*s.p == '"') {
			start = s.p + 1;
			skip_string(&s);
			if (!is_key(s.p) || s.depth >= DEPTH_MAX || s.depth < 1) continue;
			s.key[s.depth] = start;
			s.len[s.depth] = (size_t)(s.p - start - 1);
			if (matches(&s, path)) return s.line;
			continue;
		}
		if (*s.p == '/') {
			skip_comment(&s);
			continue;
		}
		if (*s.p == '{') s.depth++;
		if (*s.p == '}') s.depth--;
		if (*s.p == '\n') s.line++;
		s.p++;
	}
	return 0;
}
