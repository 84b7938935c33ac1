/* What is in frames of other instances; more fields than are known here are left alone. */
#include "mesh_impl.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#define LINK_MOST_MBPS 1000000 /* no machine has more; what is drawn by it stays a number */

int mesh_text(const msgpack_object *o, char *out, size_t max)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= max) return -EBADMSG;
	/* An empty one may have no bytes to point to. */
	if (o->via.str.size) memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return 0;
}

int64_t mesh_int(const msgpack_object *o)
{
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return (int64_t)o->via.u64;
	return o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ? o->via.i64 : 0;
}

int mesh_mbps(const msgpack_object *o)
{
	return (int)CLAMP(mesh_int(o), 0, LINK_MOST_MBPS);
}

int mesh_read_beat(const msgpack_object_array *a, struct mesh_beat *b)
{
	struct in_addr ip;

	if (a->size < MESH_BEAT_FIELDS_MIN) return -EBADMSG;
	if (mesh_text(&a->ptr[1], b->name, sizeof b->name) || !b->name[0]) return -EBADMSG;
	if (mesh_text(&a->ptr[2], b->ip, sizeof b->ip)) return -EBADMSG;
	if (inet_pton(AF_INET, b->ip, &ip) != 1) return -EBADMSG;
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
	b->store_late = mesh_int(&a->ptr[13]) != 0;
	b->link_mbps = a->size > MESH_BEAT_LINK ? mesh_mbps(&a->ptr[MESH_BEAT_LINK]) : 0;
	b->serves = a->size > MESH_BEAT_SERVES ? mesh_int(&a->ptr[MESH_BEAT_SERVES]) != 0 : 1;
	b->verdicts = b->orders = b->from = 0;
	if (a->size > MESH_BEAT_VERDICTS)
		b->verdicts = (uint64_t)mesh_int(&a->ptr[MESH_BEAT_VERDICTS]);
	if (a->size > MESH_BEAT_ORDERS)
		b->orders = (uint64_t)mesh_int(&a->ptr[MESH_BEAT_ORDERS]);
	if (a->size > MESH_BEAT_FROM) b->from = (uint64_t)mesh_int(&a->ptr[MESH_BEAT_FROM]);
	b->dc = a->size > MESH_BEAT_DC ? (uint32_t)mesh_int(&a->ptr[MESH_BEAT_DC]) : 0;
	b->region =
		a->size > MESH_BEAT_REGION ? (uint32_t)mesh_int(&a->ptr[MESH_BEAT_REGION]) : 0;
	b->every = a->size > MESH_BEAT_EVERY ? (int)mesh_int(&a->ptr[MESH_BEAT_EVERY]) : 1;
	b->every = CLAMP(b->every, 1, MESH_QUIET_BEATS);
	return 0;
}

int mesh_read_row(const msgpack_object *o, struct mesh_row *r)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY || a->size < MESH_ROW_FIELDS_MIN) return -EBADMSG;
	if (mesh_text(&a->ptr[0], r->id, sizeof r->id)) return -EBADMSG;
	r->load.runs = mesh_int(&a->ptr[1]);
	r->load.prefill = mesh_int(&a->ptr[2]);
	r->load.forecast = mesh_int(&a->ptr[3]);
	r->load.replicas = mesh_int(&a->ptr[4]);
	r->load.used = mesh_int(&a->ptr[5]);
	r->load.unreplicated = mesh_int(&a->ptr[6]);
	r->load.inbound = mesh_int(&a->ptr[7]);
	r->ends.good = mesh_int(&a->ptr[8]);
	r->ends.bad = mesh_int(&a->ptr[9]);
	r->born_ms = a->size > MESH_ROW_BORN ? mesh_int(&a->ptr[MESH_ROW_BORN]) : 0;
	return 0;
}

int mesh_read_revs(const msgpack_object_array *a, struct cache_revs *after)
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
