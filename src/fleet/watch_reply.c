/* Whether the store answers this instance, by the replies to all of its calls. */
#include "clock.h"
#include "jlog.h"
#include "mesh.h"
#include "met.h"
#include "watch_impl.h"
#include <errno.h>

/* After this time without an answer the store counts as up again if it answers other instances:
 * it refused this instance alone, or has not been called by it since. */
#define DOWN_MAX_US 5000000

static int up = 1; /* the store answered the last call, or none was made */
static int64_t down_since_us;

int watch_store_up(void)
{
	return up;
}

static void set_up(int now_up, int rc)
{
	GString *g;

	if (up == now_up) return;
	up = now_up;
	if (!up) down_since_us = clock_us();
	mesh_set_store_up(up);
	mesh_heartbeat_now();
	g = jlog_begin("fleet", up ? "store_regained" : "store_lost");
	if (!up) jlog_int(g, "error", rc);
	jlog_end(g);
}

void watch_check_down(void)
{
	if (up || !mesh_store_answers()) return;
	if (clock_us() - down_since_us > DOWN_MAX_US) set_up(1, 0);
}

/* A refusal by the store itself is an answer too. */
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
