/* Runs of suspects that are in flight and have not answered: the counts that other instances
 * reported, and those that this instance sent. */
#include "clock.h"
#include "entry_cfg.h"
#include "mesh_quarantine.h"
#include "quarantine_impl.h"
#include <string.h>

struct remote { /* count of another instance */
	struct fp fp;
	char from[ENTRY_TEXT_MAX + 1];
	uint32_t n;
	int64_t received_us;
};

static GArray *remote;   /* of struct remote */
static GHashTable *sent; /* struct fp -> count that was sent last; absent: 0 */

static struct remote *find_remote(const struct fp *fp, const char *from)
{
	uint32_t i;

	for (i = 0; i < remote->len; i++) {
		struct remote *r = &g_array_index(remote, struct remote, i);

		if (fp_equal(&r->fp, fp) && !strcmp(r->from, from)) return r;
	}
	return NULL;
}

static void drop_old_remote(int64_t now)
{
	uint32_t i;

	for (i = remote->len; i-- > 0;) {
		const struct remote *r = &g_array_index(remote, struct remote, i);

		if (!r->n || now - r->received_us > INFLIGHT_KEEP_US)
			g_array_remove_index_fast(remote, i);
	}
}

void inflight_recv(const char *from, const struct fp *fp, uint32_t n)
{
	struct remote *r, new = {.fp = *fp};
	int64_t now = clock_us();

	if (!remote) remote = g_array_new(FALSE, FALSE, sizeof(struct remote));
	drop_old_remote(now);
	r = find_remote(fp, from);
	if (!r) {
		if (remote->len >= QUAR_SUSPECTS) return;
		g_strlcpy(new.from, from, sizeof new.from);
		g_array_append_val(remote, new);
	}
	r = find_remote(fp, from);
	if (!r) return;
	r->n = n;
	r->received_us = now;
}

uint32_t inflight_count(const struct fp *fp, int64_t now)
{
	uint32_t i, n = 0;

	for (i = 0; remote && i < remote->len; i++) {
		const struct remote *r = &g_array_index(remote, struct remote, i);

		if (now - r->received_us <= INFLIGHT_KEEP_US && fp_equal(&r->fp, fp)) n += r->n;
	}
	return n;
}

void inflight_send(const struct fp *fp, uint32_t n)
{
	uint32_t before;

	if (!sent) sent = g_hash_table_new_full(fp_hash, fp_key_equal, g_free, NULL);
	before = GPOINTER_TO_UINT(g_hash_table_lookup(sent, fp));
	if (n == before) return;
	mesh_send_in_flight(fp, n);
	if (n)
		g_hash_table_insert(sent, g_memdup2(fp, sizeof *fp), GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(sent, fp);
}

void inflight_write(GString *out)
{
	GHashTableIter it;
	gpointer fp, n;

	if (!sent) return;
	g_hash_table_iter_init(&it, sent);
	while (g_hash_table_iter_next(&it, &fp, &n))
		mesh_write_in_flight(out, fp, GPOINTER_TO_UINT(n));
}
