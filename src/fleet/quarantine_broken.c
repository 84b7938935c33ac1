/* Exchanges that broke off on a server of which this instance can't tell whether it crashed, as
 * it has lost its path to all servers. Their runs count if another instance reports the crash.
 */
#include "quarantine_impl.h"
#include <stdlib.h>
#include <string.h>

#define BROKEN_MAX 64 /* the oldest are dropped first */
/* Exchanges break off at all instances within this time of a crash. */
#define SAME_CRASH_US 200000

struct broken {
	char server[QUAR_NAME];
	int64_t incarnation_ms, at_us;
	GArray *run; /* of struct quarantine_run */
};

static GPtrArray *all; /* of struct broken, oldest first */

static void broken_free(gpointer p)
{
	struct broken *b = p;

	g_array_unref(b->run);
	g_free(b);
}

void broken_note(const struct be *be, const struct quarantine_run *run, int n, int64_t at_us)
{
	struct broken *b = g_new0(struct broken, 1);

	if (!all) all = g_ptr_array_new_with_free_func(broken_free);
	if (all->len == BROKEN_MAX) g_ptr_array_remove_index(all, 0);
	g_strlcpy(b->server, be->id, sizeof b->server);
	b->incarnation_ms = be->incarnation_ms;
	b->at_us = at_us;
	b->run = g_array_sized_new(FALSE, FALSE, sizeof *run, (guint)n);
	g_array_append_vals(b->run, run, (guint)n);
	g_ptr_array_add(all, b);
}

GArray *broken_take(const char *server, int64_t incarnation_ms, int64_t at_us)
{
	GArray *run;
	uint32_t i;

	for (i = 0; all && i < all->len; i++) {
		const struct broken *b = g_ptr_array_index(all, i);

		if (strcmp(b->server, server) || b->incarnation_ms != incarnation_ms) continue;
		if (llabs(b->at_us - at_us) > SAME_CRASH_US) continue;
		run = g_array_ref(b->run);
		g_ptr_array_remove_index(all, i);
		return run;
	}
	return NULL;
}
