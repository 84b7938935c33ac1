/* Word of servers that leave, between instances. */
#include "leave.h"
#include "entry_cfg.h"
#include "mesh_topic.h"
#include <errno.h>

static int any_said; /* some server has told that it leaves, here or elsewhere */

static void write_one(GString *out, enum mesh_type type, const struct be *b)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, type, 3);

	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->born_ms);
	mesh_frame_end(&f, out);
}

static void tell(const struct be *b, enum mesh_type type)
{
	GString *out = g_string_new(NULL);

	write_one(out, type, b);
	mesh_send_serving(out);
	g_string_free(out, TRUE);
}

static int read_one(const msgpack_object_array *a, char *id, size_t max, int64_t *born_ms)
{
	if (a->size < 2 || mesh_text(&a->ptr[1], id, max)) return -EBADMSG;
	*born_ms = a->size > 2 ? mesh_int(&a->ptr[2]) : 0;
	return 0;
}

static int take_leaving(const char *from, const msgpack_object_array *a)
{
	char id[ENTRY_TEXT_MAX + 1];
	int64_t born_ms;

	if (read_one(a, id, sizeof id, &born_ms)) return -EBADMSG;
	any_said = 1;
	be_told_leaving(id, born_ms, from);
	return 0;
}

static int take_suspect(const char *from, const msgpack_object_array *a)
{
	char id[ENTRY_TEXT_MAX + 1];
	int64_t born_ms;

	if (read_one(a, id, sizeof id, &born_ms)) return -EBADMSG;
	be_told_suspect(id, born_ms, from);
	return 0;
}

/* Those that the store's list may still call ready. */
static void write_all(GString *out)
{
	uint32_t i;

	for (i = 0; any_said && i < be_all()->len; i++) {
		const struct be *b = g_ptr_array_index(be_all(), i);

		if (b->leaves_by_word) write_one(out, MESH_LEAVING, b);
	}
}

void leave_said(struct be *b, const char *said_by)
{
	any_said = 1;
	if (b->leaves_by_word) return;
	be_leaving(b, said_by);
	tell(b, MESH_LEAVING);
}

void leave_suspected(struct be *b, const char *said_by)
{
	be_suspect(b, said_by);
	tell(b, MESH_SUSPECT);
}

void leave_start(void)
{
	static const struct mesh_topic leaving = {MESH_LEAVING, take_leaving, write_all},
				       suspect = {MESH_SUSPECT, take_suspect, NULL};

	mesh_add_topic(&leaving);
	mesh_add_topic(&suspect);
}
