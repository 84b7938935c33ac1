/* Frames between instances: four bytes of length, then a msgpack array led by its type. */
#include "mesh_impl.h"
#include <errno.h>
#include <string.h>

static void pack_text(msgpack_packer *p, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(p, n);
	msgpack_pack_str_body(p, s, n);
}

static void finish(GString *out, const msgpack_sbuffer *b)
{
	uint32_t n = g_htonl((uint32_t)b->size);

	g_string_append_len(out, (const char *)&n, sizeof n);
	g_string_append_len(out, b->data, b->size);
}

#define ROW_FIELDS 8
#define BEAT_FIELDS 13

void mesh_write_beat(GString *out, const struct mesh_beat *b)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, BEAT_FIELDS);
	msgpack_pack_int(&p, MESH_BEAT);
	pack_text(&p, b->name);
	pack_text(&p, b->ip);
	pack_text(&p, b->front);
	msgpack_pack_int(&p, b->ready);
	msgpack_pack_int(&p, b->draining);
	msgpack_pack_uint64(&p, b->revs.conf);
	msgpack_pack_uint64(&p, b->revs.backends);
	msgpack_pack_int64(&p, b->confirmed_ago_us);
	msgpack_pack_int64(&p, b->stamp_us);
	msgpack_pack_int64(&p, b->echo_us);
	msgpack_pack_int64(&p, b->echo_held_us);
	msgpack_pack_int(&p, b->store_up);
	finish(out, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void mesh_write_loads(GString *out, const struct mesh_row *row, int n, int whole)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	int i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 2 + n);
	msgpack_pack_int(&p, MESH_LOADS);
	msgpack_pack_int(&p, whole);
	for (i = 0; i < n; i++) {
		msgpack_pack_array(&p, ROW_FIELDS);
		pack_text(&p, row[i].id);
		msgpack_pack_uint32(&p, row[i].load.runs);
		msgpack_pack_uint32(&p, row[i].load.unread);
		msgpack_pack_uint32(&p, row[i].load.held);
		msgpack_pack_uint32(&p, row[i].load.backup);
		msgpack_pack_uint32(&p, row[i].load.used);
		msgpack_pack_uint32(&p, row[i].load.bare);
		msgpack_pack_uint32(&p, row[i].load.inbound);
	}
	finish(out, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void mesh_write_want(GString *out, struct board_revs after)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 3);
	msgpack_pack_int(&p, MESH_WANT);
	msgpack_pack_uint64(&p, after.conf);
	msgpack_pack_uint64(&p, after.backends);
	finish(out, &buf);
	msgpack_sbuffer_destroy(&buf);
}

struct items {
	msgpack_packer p;
	int n;
};

static void count_item(const struct st_item *i, void *arg)
{
	(void)i;
	(*(int *)arg)++;
}

static void pack_item(const struct st_item *i, void *arg)
{
	msgpack_packer *p = arg;

	msgpack_pack_array(p, 3);
	pack_text(p, i->key);
	msgpack_pack_uint64(p, i->revision);
	if (!i->value) {
		msgpack_pack_int(p, 0); /* gone */
		return;
	}
	msgpack_pack_bin(p, i->len);
	msgpack_pack_bin_body(p, i->value, i->len);
}

static void write_newer(GString *out, enum mesh_type type, struct board_revs after)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	int n = 0;

	board_each_newer(after, count_item, &n);
	if (!n) return;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 3 + n);
	msgpack_pack_int(&p, type);
	msgpack_pack_uint64(&p, after.conf);
	msgpack_pack_uint64(&p, after.backends);
	board_each_newer(after, pack_item, &p);
	finish(out, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void mesh_write_items(GString *out, struct board_revs after)
{
	write_newer(out, MESH_ITEMS, after);
}

void mesh_write_news(GString *out, struct board_revs after)
{
	write_newer(out, MESH_NEWS, after);
}

static void write_texts(GString *out, enum mesh_type type, char (*text)[ENTRY_TEXT_MAX + 1],
			int n)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	int i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 1 + n);
	msgpack_pack_int(&p, type);
	for (i = 0; i < n; i++) pack_text(&p, text[i]);
	finish(out, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void mesh_write_leaving(GString *out, const char *id)
{
	char text[1][ENTRY_TEXT_MAX + 1];

	g_strlcpy(text[0], id, sizeof text[0]);
	write_texts(out, MESH_LEAVING, text, 1);
}

void mesh_write_members(GString *out, char (*ip)[ENTRY_TEXT_MAX + 1], int n)
{
	write_texts(out, MESH_MEMBERS, ip, n);
}

int mesh_text(const msgpack_object *o, char *out, size_t max)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= max) return -EBADMSG;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return 0;
}

int64_t mesh_int(const msgpack_object *o)
{
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return (int64_t)o->via.u64;
	return o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ? o->via.i64 : 0;
}

int mesh_read_beat(const msgpack_object_array *a, struct mesh_beat *b)
{
	if (a->size < BEAT_FIELDS) return -EBADMSG;
	if (mesh_text(&a->ptr[1], b->name, sizeof b->name) || !b->name[0]) return -EBADMSG;
	if (mesh_text(&a->ptr[2], b->ip, sizeof b->ip)) return -EBADMSG;
	if (mesh_text(&a->ptr[3], b->front, sizeof b->front)) return -EBADMSG;
	b->ready = mesh_int(&a->ptr[4]) != 0;
	b->draining = mesh_int(&a->ptr[5]) != 0;
	b->revs.conf = mesh_int(&a->ptr[6]);
	b->revs.backends = mesh_int(&a->ptr[7]);
	b->confirmed_ago_us = mesh_int(&a->ptr[8]);
	b->stamp_us = mesh_int(&a->ptr[9]);
	b->echo_us = mesh_int(&a->ptr[10]);
	b->echo_held_us = mesh_int(&a->ptr[11]);
	b->store_up = mesh_int(&a->ptr[12]) != 0;
	return 0;
}

int mesh_read_row(const msgpack_object *o, struct mesh_row *r)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY || a->size < ROW_FIELDS) return -EBADMSG;
	if (mesh_text(&a->ptr[0], r->id, sizeof r->id)) return -EBADMSG;
	r->load.runs = mesh_int(&a->ptr[1]);
	r->load.unread = mesh_int(&a->ptr[2]);
	r->load.held = mesh_int(&a->ptr[3]);
	r->load.backup = mesh_int(&a->ptr[4]);
	r->load.used = mesh_int(&a->ptr[5]);
	r->load.bare = mesh_int(&a->ptr[6]);
	r->load.inbound = mesh_int(&a->ptr[7]);
	return 0;
}

int mesh_read_want(const msgpack_object_array *a, struct board_revs *after)
{
	if (a->size < 3) return -EBADMSG;
	after->conf = mesh_int(&a->ptr[1]);
	after->backends = mesh_int(&a->ptr[2]);
	return 0;
}

int mesh_read_item(const msgpack_object *o, struct st_item *i, char *key, size_t max)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY || a->size < 3) return -EBADMSG;
	if (mesh_text(&a->ptr[0], key, max)) return -EBADMSG;
	*i = (struct st_item){.key = key, .revision = mesh_int(&a->ptr[1])};
	if (a->ptr[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER) return 0;
	if (a->ptr[2].type != MSGPACK_OBJECT_BIN) return -EBADMSG;
	i->value = a->ptr[2].via.bin.ptr;
	i->len = a->ptr[2].via.bin.size;
	return 0;
}
