/* Client of the platform's key-value service over HTTP. Every call counts against a budget. */
#ifndef SH_KV_H
#define SH_KV_H
#include "docs.h"
#include "err.h"
#include "mux.h"
#include <stdint.h>

struct kv_config {
	char address[64];
	int64_t timeout_ms, watch_ms;
	uint32_t calls_per_s; /* this daemon's call budget; calls over it fail with -EBUSY */
};

void kv_init(const struct kv_config *cfg);

/* Reads key. 0, -ENOENT, -EBUSY (over budget) or -EIO (the call failed). Free *value with
 * g_free. */
int kv_get(const char *key, char **value, size_t *len, uint64_t *version, struct err *e);

/*
 * Writes key if its version is still expect (0: if it does not exist). Returns 0 and sets
 * *version (unless NULL), or -ECANCELED (it has another version), -EBUSY (over budget), -EINVAL
 * (another status), or -EIO, after which the value may have been written.
 */
int kv_put(const char *key, const char *value, size_t len, uint64_t expect, uint64_t *version,
	   struct err *e);

/*
 * Whether a header line tells where the body ends. A value without one ends with its
 * connection, and half of it can't be told from the whole: it counts as a failed call.
 */
int kv_is_framing(const char *line, size_t n);

/* Returns an exchange that completes once the version of key is above after, or after
 * watch_ms; without wait it completes at once. NULL when over budget. */
struct mux_xfer *kv_watch(const char *key, uint64_t after, int wait);

#endif
