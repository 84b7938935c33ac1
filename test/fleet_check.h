/* Helpers for tests that start a fleet each. */
#ifndef SH_TEST_FLEET_CHECK_H
#define SH_TEST_FLEET_CHECK_H
#include "check.h"
#include "fleet.h"

/* The body of a streamed generation of n tokens. */
#define STREAM(n) \
	"{\"model\":\"brew\",\"prompt\":\"p\",\"stream\":true,\"x_output_tokens\":" #n "}"

/* Starts a fleet; engine_options may be NULL. */
struct fleet *fleet(int daemons, int engines, int services, const char *engine_options);
/* Stops the fleet; fails the test if a process did not stop or a log has a sanitizer report. */
void stop(struct fleet *f);
/* Waits until the stream is closed and checks that it has n tokens in order, of one generation,
 * without an error. */
void check_complete(struct stream *s, int n);

/* For await: whether this version of the table is in force at all daemons. */
struct version {
	struct fleet *f;
	int64_t want;
};
int all_have_version(void *version);
#endif
