/* msgpack-c allocates an array as soon as it reads the length, however little data follows.
 * Therefore all lengths in a frame are checked against its size before it is unpacked. */
#include "wire.h"
#include <stdint.h>

#define DEPTH_MAX 8

struct reader {
	const unsigned char *p, *end;
};

static int skip(struct reader *w, size_t n)
{
	if ((size_t)(w->end - w->p) < n) return -1;
	w->p += n;
	return 0;
}

/* Reads a big-endian length of n bytes; -1 at the end of the frame. */
static int64_t read_length(struct reader *w, int n)
{
	int64_t v = 0;

	if (w->end - w->p < n) return -1;
	while (n--) v = v << 8 | *w->p++;
	return v;
}

static int check_value(struct reader *w, int depth);

static int check_values(struct reader *w, int64_t n, int depth)
{
	if (n < 0 || n > w->end - w->p || depth == DEPTH_MAX) return -1;
	while (n--)
		if (check_value(w, depth + 1)) return -1;
	return 0;
}

static int check_bytes(struct reader *w, int64_t n)
{
	return n < 0 ? -1 : skip(w, (size_t)n);
}

/* Accepts only the msgpack types that the messages use. */
static int check_value(struct reader *w, int depth)
{
	static const int number_size[] = {1, 2, 4, 8};
	unsigned char t;

	if (w->p == w->end) return -1;
	t = *w->p++;
	if (t < 0x80 || t >= 0xe0) return 0;
	if (t >= 0x90 && t < 0xa0) return check_values(w, t & 15, depth);
	if (t >= 0xa0 && t < 0xc0) return skip(w, t & 31);
	if (t >= 0xcc && t <= 0xd3) return skip(w, (size_t)number_size[(t - 0xcc) & 3]);
	switch (t) {
	case 0xc4:
	case 0xd9: return check_bytes(w, read_length(w, 1));
	case 0xc5:
	case 0xda: return check_bytes(w, read_length(w, 2));
	case 0xc6:
	case 0xdb: return check_bytes(w, read_length(w, 4));
	case 0xdc: return check_values(w, read_length(w, 2), depth);
	case 0xdd: return check_values(w, read_length(w, 4), depth);
	}
	return -1;
}

int wire_check(const char *body, size_t len)
{
	struct reader w = {(const unsigned char *)body, (const unsigned char *)body + len};

	return check_value(&w, 0) || w.p != w.end ? -1 : 0;
}
