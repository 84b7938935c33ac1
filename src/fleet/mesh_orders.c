/* Operators' orders, as instances tell each other: all that is known at once, as the keys are
 * few; and entries of servers that were found changed. The newest word on each counts, so that
 * it may come twice, or late. */
#include "dialect.h"
#include "mesh_impl.h"
#include <errno.h>
#include <string.h>

static void count(const struct st_item *i, void *n)
{
	(void)i;
	(*(int *)n)++;
}

static void pack(const struct st_item *i, void *p)
{
	mesh_pack_item(p, i);
}

void mesh_write_orders(GString *out)
{
	struct mesh_frame f;
	msgpack_packer *p;
	int n = 0;

	cache_each_order(count, &n);
	if (!n) return;
	p = mesh_frame_begin(&f, MESH_ORDERS, 1 + n);
	cache_each_order(pack, p);
	mesh_frame_end(&f, out);
}

int mesh_take_orders(const struct member *m, const msgpack_object_array *a)
{
	char key[CACHE_KEY_MAX + 1];
	struct st_item i;
	uint32_t k;

	for (k = 1; k < a->size; k++) {
		if (mesh_read_item(&a->ptr[k], &i, key, sizeof key)) return -EBADMSG;
		if (!cache_apply(&i, m->said.name) || dl_item_kind(key) != DL_BACKEND) continue;
		mesh_forward_item(&i);
	}
	return 0;
}

void mesh_heal_orders(struct member *m)
{
	GString *out;

	if (m->said.orders == cache_orders_digest()) return;
	out = g_string_new(NULL);
	mesh_write_orders(out);
	if (out->len) mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* Whoever has it from the store tells all; the rest heal each other by heartbeats. */
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
