/* Evaluates what another instance's heartbeat states of the platform's lists. */
#include "clock.h"
#include "mesh_impl.h"
#include <string.h>

/*
 * The sender's configuration was confirmed confirmed_ago_us before it sent this heartbeat, and
 * the stamp echo_us of this instance had arrived there echo_held_us before. So it was confirmed
 * no earlier than echo_us plus the difference, by this instance's clock, however long the
 * heartbeat took to arrive and be read.
 */
static void apply_confirmation(const struct mesh_heartbeat *b)
{
	if (!b->echo_us || b->confirmed_ago_us < 0) return;
	cache_confirm(b->revs.conf, b->echo_us + b->echo_held_us - b->confirmed_ago_us);
}

void mesh_check_lists(struct member *m)
{
	cache_report_version(m->hb.version);
	apply_confirmation(&m->hb);
	mesh_fetch_soon(m);
}
