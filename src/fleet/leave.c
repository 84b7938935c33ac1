/* Reports between instances of servers that leave or are suspected to. */
#include "leave.h"
#include "entry_cfg.h"
#include "mesh_topic.h"
#include <errno.h>

static int any_leaving; /* some server has announced that it leaves, here or to a peer */

static void write_report(GString *out, enum mesh_type type, const struct be *b)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, type, 3);

	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->incarnation_ms);
	mesh_frame_end(&f, out);
}

static void send_report(const struct be *b, enum mesh_type type)
{
	GString *out = g_string_new(NULL);

	write_report(out, type, b);
	mesh_send_serving(out);
	g_string_free(out, TRUE);
}

static int read_report(const msgpack_object_array *a, char *id, size_t max,
		       int64_t *incarnation_ms)
{
	if (a->size < 2 || mesh_text(&a->ptr[1], id, max)) return -EBADMSG;
	*incarnation_ms = a->size > 2 ? mesh_int(&a->ptr[2]) : 0;
	return 0;
}

static int apply_leaving(const char *from, const msgpack_object_array *a)
{
	char id[ENTRY_TEXT_MAX + 1];
	int64_t incarnation_ms;

	if (read_report(a, id, sizeof id, &incarnation_ms)) return -EBADMSG;
	any_leaving = 1;
	be_apply_leaving(id, incarnation_ms, from);
	return 0;
}

static int apply_suspect(const char *from, const msgpack_object_array *a)
{
	char id[ENTRY_TEXT_MAX + 1];
	int64_t incarnation_ms;

	if (read_report(a, id, sizeof id, &incarnation_ms)) return -EBADMSG;
	be_apply_suspect(id, incarnation_ms, from);
	return 0;
}

/* Servers that the store's list may still show as ready. */
static void write_all(GString *out)
{
	uint32_t i;

	for (i = 0; any_leaving && i < be_all()->len; i++) {
		const struct be *b = g_ptr_array_index(be_all(), i);

		if (b->leaving_reported) write_report(out, MESH_LEAVING, b);
	}
}

void leave_report(struct be *b, const char *source)
{
	any_leaving = 1;
	if (b->leaving_reported) return;
	be_set_leaving(b, source);
	send_report(b, MESH_LEAVING);
}

void leave_report_suspect(struct be *b, const char *source)
{
	be_set_suspect(b, source);
	send_report(b, MESH_SUSPECT);
}

void leave_start(void)
{
	static const struct mesh_topic leaving = {MESH_LEAVING, apply_leaving, write_all, NULL},
				       suspect = {MESH_SUSPECT, apply_suspect, NULL, NULL};

	mesh_add_topic(&leaving);
	mesh_add_topic(&suspect);
}
