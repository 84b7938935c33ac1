/* Exchange of operators' orders, all at once as there are few keys, and of entries of servers
 * that were found changed. The newest revision of each key counts, so that a frame may arrive
 * twice or late. */
#include "dialect.h"
#include "mesh_impl.h"
#include <errno.h>
#include <string.h>

static void count_item(const struct st_item *i, void *n)
{
	(void)i;
	(*(int *)n)++;
}

static void pack_item(const struct st_item *i, void *p)
{
	mesh_pack_item(p, i);
}

void mesh_write_orders(GString *out)
{
	struct mesh_frame f;
	msgpack_packer *p;
	int n = 0;

	cache_each_order(count_item, &n);
	if (!n) return;
	p = mesh_frame_begin(&f, MESH_ORDERS, 1 + n);
	cache_each_order(pack_item, p);
	mesh_frame_end(&f, out);
}

int mesh_handle_orders(const struct member *m, const msgpack_object_array *a)
{
	char key[CACHE_KEY_MAX + 1];
	struct st_item i;
	uint32_t k;

	for (k = 1; k < a->size; k++) {
		if (mesh_read_item(&a->ptr[k], &i, key, sizeof key)) return -EBADMSG;
		if (!cache_apply(&i, m->hb.name) || dl_item_kind(key) != DL_BACKEND) continue;
		mesh_forward_item(&i);
	}
	return 0;
}

void mesh_sync_orders(struct member *m)
{
	GString *out;

	if (m->hb.orders == cache_orders_digest()) return;
	out = g_string_new(NULL);
	mesh_write_orders(out);
	if (out->len) mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* The instance that gets an order from the store sends it to all; the others synchronize by the
 * digests in heartbeats. */
static void on_order(const char *from)
{
	GString *out;

	if (strcmp(from, cache_platform) != 0) return;
	out = g_string_new(NULL);
	mesh_write_orders(out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

void mesh_orders_start(void)
{
	cache_on_order = on_order;
}
