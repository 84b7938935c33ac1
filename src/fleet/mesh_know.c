/* What instances know of the platform's lists, and how it gets from one to the other. */
#include "clock.h"
#include "mesh_impl.h"
#include <string.h>

/*
 * The sender was sure of its configuration confirmed_ago before it sent this, and our stamp had
 * reached it echo_held before it did. So it was sure no earlier than our stamp plus the
 * difference, by our own clock, however long this message was under way or lay unread.
 */
static void take_confirmation(const struct mesh_beat *b)
{
	if (!b->echo_us || b->confirmed_ago_us < 0) return;
	cache_confirm(b->revs.conf, b->echo_us + b->echo_held_us - b->confirmed_ago_us);
}

void mesh_learn_from(struct member *m)
{
	take_confirmation(&m->said);
	mesh_fetch_soon(m);
}
