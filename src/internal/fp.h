/* Fingerprints of requests: a caller's retry has the fingerprint of its first attempt. */
#ifndef SH_FP_H
#define SH_FP_H
#include <stddef.h>
#include <stdint.h>

/* Half of a SHA-256: long enough that nobody can construct a request with the fingerprint of
 * another caller's. */
#define FP_BYTES 16
#define FP_HEX (2 * FP_BYTES + 1) /* size of the hexadecimal text with its terminator */

struct fp {
	uint8_t byte[FP_BYTES];
};

/* The parts of a request that are the same in a retry. A text may be NULL if the request has
 * none. The request id is not one of them. */
struct fp_parts {
	const char *method, *host, *target;
	const char *key; /* the caller's API key; tells apart callers of one workspace */
	const char *body;
	size_t body_len;
};

void fp_make(struct fp *f, const struct fp_parts *p);
/* Identity of a prompt segment, which many requests may share; told apart from that of a
 * request by its last bytes. id: its hexadecimal name. Returns 0, or -EINVAL if it is none. */
int fp_make_segment(struct fp *f, const char *id, size_t len);
int fp_is_segment(const struct fp *f);
/* The segment's name; one of over 16 digits appears as "~" and 16 digits of its hash. */
#define FP_SEGMENT 18 /* size of that text with its terminator */
void fp_format_segment(const struct fp *f, char out[FP_SEGMENT]);
/* Eight bytes of a SHA-256 over two texts with their lengths, NULL counts as empty; never 0. */
uint64_t fp_short(const char *a, const char *b);
int fp_equal(const struct fp *a, const struct fp *b);
int fp_is_among(const struct fp *list, int n, const struct fp *f);
/* Hash and equality functions for a GHashTable with struct fp keys. */
unsigned fp_hash(const void *f);
int fp_key_equal(const void *a, const void *b);
/* Writes f as hexadecimal text. */
void fp_format(const struct fp *f, char out[FP_HEX]);
/* Returns 0, or -EINVAL if the text is not a fingerprint. */
int fp_parse(const char *text, struct fp *f);
#endif
