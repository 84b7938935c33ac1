/* Which data centres are drained, as instances tell each other: all that is known at once, as
 * the keys are few. The newest word on each counts, so that it may come twice, or late. */
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

void mesh_write_drains(GString *out)
{
	struct mesh_frame f;
	msgpack_packer *p;
	int n = 0;

	board_each_drain(count, &n);
	if (!n) return;
	p = mesh_frame_begin(&f, MESH_DRAINS, 1 + n);
	board_each_drain(pack, p);
	mesh_frame_end(&f, out);
}

int mesh_take_drains(const struct member *m, const msgpack_object_array *a)
{
	char key[BOARD_KEY_MAX + 1];
	struct st_item i;
	uint32_t k;

	for (k = 1; k < a->size; k++) {
		if (mesh_read_item(&a->ptr[k], &i, key, sizeof key)) return -EBADMSG;
		board_apply(&i, m->said.name);
	}
	return 0;
}

void mesh_heal_drains(struct member *m)
{
	GString *out;

	if (m->said.drains == board_drains_digest()) return;
	out = g_string_new(NULL);
	mesh_write_drains(out);
	if (out->len) mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* Whoever has it from the store tells all; the rest heal each other by heartbeats. */
static void on_drain(const char *from)
{
	GString *out;

	if (strcmp(from, board_platform) != 0) return;
	out = g_string_new(NULL);
	mesh_write_drains(out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

void mesh_drains_start(void)
{
	board_on_drain = on_drain;
}
