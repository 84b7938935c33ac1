/* Checks of the head of a message (hp_scan_) that are left out by http-parser, unless it was
 * built to be strict, which packaged builds are not, and by libcurl. */
#ifndef SH_HP_SCAN_H
#define SH_HP_SCAN_H
#include <sys/types.h>

struct hp_scan {
	int request;
	size_t bytes, line; /* so far: all, and those of the present line */
	int begun;          /* some line was not empty */
	int cr;             /* the last byte was a carriage return */
	int over;           /* the head has ended */
};

/* Reads on. Returns the number of bytes that belong to the head; -EBADMSG if a carriage return
 * does not end a line, or an answer does not begin with a status line of HTTP/1 and a status of
 * 100 to 599. */
ssize_t hp_scan_head(struct hp_scan *s, const char *at, size_t n);
/* Whether the name of a field has no blank and no control byte. */
int hp_scan_is_name(const char *at, size_t n);
/* The same of a value or a reason, which may have blanks and tabs. */
int hp_scan_is_text(const char *at, size_t n);
/* Whether a line of an answer's head, with its end, is a status line, a field, the rest of a
 * field, or empty. */
int hp_scan_is_line(const char *at, size_t n);
#endif
