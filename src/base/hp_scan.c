#include "hp_scan.h"
#include <errno.h>
#include <string.h>

#define DELETE 0x7f

static int is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Whether c may be byte i of an answer: "HTTP/1.1 200" and a byte that ends the status. */
static int may_start(size_t i, char c)
{
	static const char version[] = "HTTP/1.";
	const size_t minor = sizeof version - 1;

	if (i < minor) return c == version[i];
	switch (i - minor) {
	case 0: return is_digit(c);
	case 1: return c == ' ';
	case 2: return c >= '1' && c <= '5';
	case 3:
	case 4: return is_digit(c);
	case 5: return c == ' ' || c == '\r' || c == '\n';
	default: return 1;
	}
}

/* Empty lines before a request belong to no message. */
static void end_line(struct hp_scan *s)
{
	s->begun |= s->line > 0;
	s->over = s->begun && !s->line;
	s->line = 0;
}

static int scan_byte(struct hp_scan *s, char c)
{
	if (s->cr && c != '\n') return -EBADMSG;
	if (!s->request && !may_start(s->bytes, c)) return -EBADMSG;
	s->bytes++;
	s->cr = c == '\r';
	if (c == '\n')
		end_line(s);
	else if (!s->cr)
		s->line++;
	return 0;
}

ssize_t hp_scan_head(struct hp_scan *s, const char *at, size_t n)
{
	size_t i;

	for (i = 0; i < n && !s->over; i++)
		if (scan_byte(s, at[i])) return -EBADMSG;
	return (ssize_t)i;
}

int hp_scan_is_name(const char *at, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if ((unsigned char)at[i] <= ' ' || at[i] == DELETE) return 0;
	return 1;
}

int hp_scan_is_text(const char *at, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (((unsigned char)at[i] < ' ' && at[i] != '\t') || at[i] == DELETE) return 0;
	return 1;
}

static int is_status_line(const char *at, size_t n)
{
	struct hp_scan s = {0};

	return n >= sizeof "HTTP/1.1 200" && hp_scan_head(&s, at, n) == (ssize_t)n;
}

static size_t without_end(const char *at, size_t n)
{
	if (n && at[n - 1] == '\n') n--;
	if (n && at[n - 1] == '\r') n--;
	return n;
}

int hp_scan_is_line(const char *at, size_t n)
{
	size_t len = without_end(at, n);
	const char *colon;

	if (!hp_scan_is_text(at, len)) return 0;
	if (!len || *at == ' ' || *at == '\t') return 1;
	if (len >= 5 && !memcmp(at, "HTTP/", 5)) return is_status_line(at, n);
	colon = memchr(at, ':', len);
	return colon && colon > at && hp_scan_is_name(at, (size_t)(colon - at));
}
