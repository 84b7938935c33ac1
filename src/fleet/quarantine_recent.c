/* Recent crashes of backend servers that this instance saw, kept to repeat them to peers that
 * may have missed the first report. */
#include "clock.h"
#include "mesh_quarantine.h"
#include "quarantine_impl.h"
#include <string.h>

#define RECENT_MAX 64 /* crashes; the oldest are dropped first */

struct recent {
	char server[QUAR_NAME];
	int64_t incarnation_ms, at_us;
	GArray *run; /* of struct quarantine_run */
};

static GPtrArray *recent; /* of struct recent, oldest first */

static void recent_free(gpointer p)
{
	struct recent *r = p;

	g_array_free(r->run, TRUE);
	g_free(r);
}

static void drop_old(int64_t now)
{
	const struct recent *first;

	while (recent->len) {
		first = g_ptr_array_index(recent, 0);
		if (recent->len < RECENT_MAX && now - first->at_us <= RECENT_CRASH_US) return;
		g_ptr_array_remove_index(recent, 0);
	}
}

void recent_note(const char *server, int64_t incarnation_ms, const struct quarantine_run *run,
		 int n, int64_t at_us)
{
	struct recent *r = g_new0(struct recent, 1);

	if (!recent) recent = g_ptr_array_new_with_free_func(recent_free);
	drop_old(clock_us());
	g_strlcpy(r->server, server, sizeof r->server);
	r->incarnation_ms = incarnation_ms;
	r->at_us = at_us;
	r->run = g_array_sized_new(FALSE, FALSE, sizeof *run, (guint)n);
	g_array_append_vals(r->run, run, (guint)n);
	g_ptr_array_add(recent, r);
}

void recent_write(GString *out, int64_t now)
{
	uint32_t i;

	for (i = 0; recent && i < recent->len; i++) {
		const struct recent *r = g_ptr_array_index(recent, i);
		struct quarantine_crash e = {.incarnation_ms = r->incarnation_ms,
					     .ago_us = now - r->at_us,
					     .n = (int)r->run->len};

		if (e.ago_us > RECENT_CRASH_US) continue;
		g_strlcpy(e.server, r->server, sizeof e.server);
		mesh_write_crash(out, &e, (const struct quarantine_run *)(void *)r->run->data);
	}
}
