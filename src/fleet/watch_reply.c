/* Whether the store serves this instance: every reply tells, whoever asked. */
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "watch_impl.h"
#include <errno.h>

static int up; /* the store answered the last call */

int watch_store_up(void)
{
	return up;
}

static void set_up(int now_up, int rc)
{
	GString *g;

	if (up == now_up) return;
	up = now_up;
	mesh_set_store_up(up);
	mesh_beat_now();
	g = jlog_begin("fleet", up ? "store_regained" : "store_lost");
	if (!up) jlog_int(g, "error", rc);
	jlog_end(g);
}

/* Also what it says no to is an answer. */
static int is_answer(int rc)
{
	return !rc || rc == -ENOENT || rc == -ECANCELED || rc == -ESTALE;
}

void watch_note_reply(const struct st_reply *r)
{
	met_add(MET_KV_CALLS, 1);
	if (is_answer(r->rc)) {
		set_up(1, 0);
		return;
	}
	met_add(MET_KV_ERRORS, 1);
	set_up(0, r->rc);
}
