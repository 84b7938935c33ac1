/* Lists are handed on to instances that ask for them, to so few at a time that the link also
 * carries what else this instance has to say. */
#include "mesh_impl.h"
#include "met.h"
#include <errno.h>
#include <stddef.h>

/*
 * Link for each copy under way, Mbit/s: half of a wide link is left, and a narrow one carries
 * one. An instance on 10 Mbit/s that was asked by all sent 12.6 MB of copies in ten
 * seconds, in which it had no answer to its own question for the next version.
 */
#define COPY_MBPS 20
#define SERVE_US 5000000 /* the largest frame takes 3.4 s on a link of 10 Mbit/s */

/* Instances that one which is turned away hears of: copies spread from all that have one, where
 * it knows but a few of them. */
#define HOLDERS_MAX 4

static int serving;

static int places(void)
{
	return MAX(1, mesh_cfg()->link_mbps / COPY_MBPS);
}

/* What the kernel still holds of it is not sent either: the link is the next one's. */
static void on_late(struct ev_timer *t)
{
	struct mesh_in *in =
		(struct mesh_in *)((char *)t - offsetof(struct mesh_in, serve_timer));

	cn_reset(&in->cn);
	mesh_drop_in(in);
}

static void count_in(struct mesh_in *in)
{
	serving++;
	in->serving = 1;
	in->serve_timer.fire = on_late;
	ev_in(&in->serve_timer, SERVE_US);
}

static void turn_away(struct mesh_in *in, uint32_t dc)
{
	GString *out = g_string_new(NULL);

	met_add(MET_PEER_FETCHES_REFUSED, 1);
	mesh_write_holders(out, HOLDERS_MAX, dc);
	cn_write(&in->cn, out->str, out->len);
	g_string_free(out, TRUE);
}

int mesh_serve(struct mesh_in *in, struct board_revs after, uint32_t dc)
{
	GString *out;
	int large, empty;

	if (in->serving || in->ours) return -EBUSY;
	large = mesh_items_size(after) > MESH_SMALL_MAX;
	if (large && serving >= places()) {
		turn_away(in, dc);
		return -EBUSY;
	}
	out = g_string_new(NULL);
	mesh_write_items(out, after);
	if (out->len && large) count_in(in);
	met_add(MET_PEER_BYTES_OUT, out->len);
	cn_write(&in->cn, out->str, out->len);
	empty = !out->len;
	g_string_free(out, TRUE);
	return empty ? -ENOENT : 0;
}

void mesh_serve_end(struct mesh_in *in)
{
	if (!in->serving) return;
	in->serving = 0;
	ev_stop(&in->serve_timer);
	serving--;
}
