/* Serves copies of the lists to instances that request them, so few at once that the link keeps
 * capacity for other frames. */
#include "mesh_impl.h"
#include "met.h"
#include <errno.h>
#include <stddef.h>

/*
 * Bandwidth of the link per copy in progress, Mbit/s: half of a wide link stays free, and a
 * narrow one carries one copy. An instance on 10 Mbit/s that was asked by all sent 12.6 MB of
 * copies in ten seconds, and got no answer to its own request for the next version in that
 * time.
 */
#define COPY_MBPS 20
#define SERVE_TIMEOUT_US 5000000 /* the largest frame takes 3.4 s on a link of 10 Mbit/s */

/* Number of holders named to an instance that is refused: it has the addresses of only a few,
 * and copies should spread from all that have one. */
#define HOLDERS_MAX 4

static int copies_in_progress;

static int max_copies(void)
{
	return MAX(1, mesh_cfg()->link_mbps / COPY_MBPS);
}

/* Resets the connection: what the kernel still holds of the copy is discarded, which frees the
 * link for the next one. */
static void on_serve_timeout(struct ev_timer *t)
{
	struct mesh_in *in =
		(struct mesh_in *)((char *)t - offsetof(struct mesh_in, serve_timer));

	cn_reset(&in->cn);
	mesh_drop_in(in);
}

static void start_copy(struct mesh_in *in)
{
	copies_in_progress++;
	in->sending_copy = 1;
	in->serve_timer.fire = on_serve_timeout;
	ev_in(&in->serve_timer, SERVE_TIMEOUT_US);
}

static void redirect(struct mesh_in *in, uint32_t dc)
{
	GString *out = g_string_new(NULL);

	met_add(MET_PEER_FETCHES_REFUSED, 1);
	mesh_write_holders(out, HOLDERS_MAX, dc);
	cn_write(&in->cn, out->str, out->len);
	g_string_free(out, TRUE);
}

int mesh_serve(struct mesh_in *in, struct cache_revs after, uint32_t dc)
{
	GString *out;
	int large, empty;

	if (in->sending_copy || in->outgoing) return -EBUSY;
	large = mesh_items_size(after) > MESH_SMALL_MAX;
	if (large && copies_in_progress >= max_copies()) {
		redirect(in, dc);
		return -EBUSY;
	}
	out = g_string_new(NULL);
	mesh_write_items(out, after);
	if (out->len && large) start_copy(in);
	met_add(MET_PEER_BYTES_OUT, out->len);
	cn_write(&in->cn, out->str, out->len);
	empty = !out->len;
	g_string_free(out, TRUE);
	return empty ? -ENOENT : 0;
}

void mesh_serve_end(struct mesh_in *in)
{
	if (!in->sending_copy) return;
	in->sending_copy = 0;
	ev_stop(&in->serve_timer);
	copies_in_progress--;
}
