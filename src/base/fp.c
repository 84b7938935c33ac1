#include "fp.h"
#include <errno.h>
#include <glib.h>
#include <string.h>

/* The length prefix keeps the boundaries between parts unambiguous. */
static void add_part(GChecksum *c, const char *p, size_t len)
{
	uint64_t n = GUINT64_TO_BE((uint64_t)len);

	g_checksum_update(c, (const guchar *)&n, sizeof n);
	g_checksum_update(c, (const guchar *)p, (gssize)len);
}

static void add_text(GChecksum *c, const char *s)
{
	add_part(c, s ? s : "", s ? strlen(s) : 0);
}

void fp_make(struct fp *f, const struct fp_parts *p)
{
	GChecksum *c = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 sum[32];
	gsize n = sizeof sum;

	add_text(c, p->method);
	add_text(c, p->host);
	add_text(c, p->target);
	add_text(c, p->key);
	add_part(c, p->body, p->body_len);
	g_checksum_get_digest(c, sum, &n);
	g_checksum_free(c);
	memcpy(f->byte, sum, sizeof f->byte);
}

/* Layout of a segment's identity: its value in eight bytes, the lowest first, as tables hash
 * the first bytes; its number of digits; a tag that no request has by chance. */
#define SEGMENT_TAG "segment"
#define SEGMENT_DIGITS 16 /* longer names are hashed */
#define SEGMENT_HASHED 0xff
#define SEGMENT_NAME_MAX 64

static uint64_t segment_value(const char *id, size_t len)
{
	char name[SEGMENT_NAME_MAX + 1];
	uint64_t v = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		name[i] = g_ascii_tolower(id[i]);
		v = v << 4 | (uint64_t)g_ascii_xdigit_value(id[i]);
	}
	name[len] = '\0';
	return len > SEGMENT_DIGITS ? fp_short(SEGMENT_TAG, name) : v;
}

int fp_make_segment(struct fp *f, const char *id, size_t len)
{
	uint64_t v;
	size_t i;

	if (!len || len > SEGMENT_NAME_MAX) return -EINVAL;
	for (i = 0; i < len; i++)
		if (!g_ascii_isxdigit(id[i])) return -EINVAL;
	v = GUINT64_TO_LE(segment_value(id, len));
	memcpy(f->byte, &v, sizeof v);
	f->byte[8] = len > SEGMENT_DIGITS ? SEGMENT_HASHED : (uint8_t)len;
	memcpy(f->byte + 9, SEGMENT_TAG, sizeof f->byte - 9);
	return 0;
}

int fp_is_segment(const struct fp *f)
{
	return !memcmp(f->byte + 9, SEGMENT_TAG, sizeof f->byte - 9);
}

void fp_format_segment(const struct fp *f, char out[FP_SEGMENT])
{
	int hashed = f->byte[8] > SEGMENT_DIGITS, digits = hashed ? SEGMENT_DIGITS : f->byte[8];
	uint64_t v;

	memcpy(&v, f->byte, sizeof v);
	g_snprintf(out, FP_SEGMENT, "%s%0*" G_GINT64_MODIFIER "x", hashed ? "~" : "", digits,
		   GUINT64_FROM_LE(v));
}

uint64_t fp_short(const char *a, const char *b)
{
	GChecksum *c = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 sum[32];
	gsize n = sizeof sum;
	uint64_t key;

	add_text(c, a);
	add_text(c, b);
	g_checksum_get_digest(c, sum, &n);
	g_checksum_free(c);
	memcpy(&key, sum, sizeof key);
	return key ? key : 1;
}

int fp_equal(const struct fp *a, const struct fp *b)
{
	return !memcmp(a->byte, b->byte, sizeof a->byte);
}

int fp_is_among(const struct fp *list, int n, const struct fp *f)
{
	int i;

	for (i = 0; i < n; i++)
		if (fp_equal(&list[i], f)) return 1;
	return 0;
}

unsigned fp_hash(const void *f)
{
	unsigned h;

	memcpy(&h, ((const struct fp *)f)->byte, sizeof h);
	return h;
}

int fp_key_equal(const void *a, const void *b)
{
	return fp_equal(a, b);
}

void fp_format(const struct fp *f, char out[FP_HEX])
{
	int i;

	for (i = 0; i < FP_BYTES; i++) g_snprintf(out + 2 * i, 3, "%02x", f->byte[i]);
}

int fp_parse(const char *text, struct fp *f)
{
	int i;

	if (strlen(text) != FP_HEX - 1) return -EINVAL;
	for (i = 0; i < FP_BYTES; i++) {
		int hi = g_ascii_xdigit_value(text[2 * i]);
		int lo = g_ascii_xdigit_value(text[2 * i + 1]);

		if (hi < 0 || lo < 0) return -EINVAL;
		f->byte[i] = (uint8_t)(hi << 4 | lo);
	}
	return 0;
}
