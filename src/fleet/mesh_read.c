/* Parses frames of other instances. Fields that a later release appended are ignored. */
#include "mesh_impl.h"
#include "st_era.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#define LINK_MAX_MBPS 1000000 /* more than any machine has; keeps random weights finite */

int mesh_text(const msgpack_object *o, char *out, size_t max)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= max) return -EBADMSG;
	/* The pointer of an empty string may be NULL. */
	if (o->via.str.size) memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return 0;
}

int mesh_fp(const msgpack_object *o, struct fp *fp)
{
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != sizeof fp->byte)
		return -EBADMSG;
	memcpy(fp->byte, o->via.bin.ptr, sizeof fp->byte);
	return 0;
}

int64_t mesh_int(const msgpack_object *o)
{
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return (int64_t)o->via.u64;
	return o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ? o->via.i64 : 0;
}

int mesh_mbps(const msgpack_object *o)
{
	return (int)CLAMP(mesh_int(o), 0, LINK_MAX_MBPS);
}

/* A revision whose era stands in another field. Earlier releases send none: they take the store
 * to be in the era that is known here. */
static st_rev read_rev(const msgpack_object_array *a, uint32_t number, uint32_t era)
{
	uint64_t e = a->size > era ? (uint64_t)mesh_int(&a->ptr[era]) : st_era();

	return st_rev_of(e, st_rev_number((uint64_t)mesh_int(&a->ptr[number])));
}

int mesh_read_heartbeat(const msgpack_object_array *a, struct mesh_heartbeat *b)
{
	struct in_addr ip;

	if (a->size < MESH_HB_FIELDS_MIN) return -EBADMSG;
	if (mesh_text(&a->ptr[1], b->name, sizeof b->name) || !b->name[0]) return -EBADMSG;
	if (mesh_text(&a->ptr[2], b->ip, sizeof b->ip)) return -EBADMSG;
	if (inet_pton(AF_INET, b->ip, &ip) != 1) return -EBADMSG;
	if (mesh_text(&a->ptr[3], b->front, sizeof b->front)) return -EBADMSG;
	b->ready = mesh_int(&a->ptr[4]) != 0;
	b->draining = mesh_int(&a->ptr[5]) != 0;
	b->revs.conf = read_rev(a, 6, MESH_HB_ERAS);
	b->revs.backends = read_rev(a, 7, MESH_HB_ERAS + 1);
	b->confirmed_ago_us = mesh_int(&a->ptr[8]);
	b->stamp_us = mesh_int(&a->ptr[9]);
	b->echo_us = mesh_int(&a->ptr[10]);
	b->echo_held_us = mesh_int(&a->ptr[11]);
	b->store_up = mesh_int(&a->ptr[12]) != 0;
	b->store_late = mesh_int(&a->ptr[13]) != 0;
	b->link_mbps = a->size > MESH_HB_LINK ? mesh_mbps(&a->ptr[MESH_HB_LINK]) : 0;
	b->serving = a->size > MESH_HB_SERVING ? mesh_int(&a->ptr[MESH_HB_SERVING]) != 0 : 1;
	b->verdicts = b->orders = b->backends_from = 0;
	if (a->size > MESH_HB_VERDICTS)
		b->verdicts = (uint64_t)mesh_int(&a->ptr[MESH_HB_VERDICTS]);
	if (a->size > MESH_HB_ORDERS) b->orders = (uint64_t)mesh_int(&a->ptr[MESH_HB_ORDERS]);
	if (a->size > MESH_HB_BACKENDS_FROM)
		b->backends_from = read_rev(a, MESH_HB_BACKENDS_FROM, MESH_HB_ERAS + 2);
	b->dc = a->size > MESH_HB_DC ? (uint32_t)mesh_int(&a->ptr[MESH_HB_DC]) : 0;
	b->region = a->size > MESH_HB_REGION ? (uint32_t)mesh_int(&a->ptr[MESH_HB_REGION]) : 0;
	b->interval = a->size > MESH_HB_INTERVAL ? (int)mesh_int(&a->ptr[MESH_HB_INTERVAL]) : 1;
	b->interval = CLAMP(b->interval, 1, MESH_STANDBY_INTERVAL);
	b->path = a->size > MESH_HB_PATH ? (enum mesh_path)mesh_int(&a->ptr[MESH_HB_PATH])
					 : MESH_PATH_UNKNOWN;
	b->version =
		a->size > MESH_HB_VERSION ? (uint64_t)mesh_int(&a->ptr[MESH_HB_VERSION]) : 0;
	b->via[0] = 0;
	b->admission = a->size > MESH_HB_ADMISSION && mesh_int(&a->ptr[MESH_HB_ADMISSION]);
	if (a->size <= MESH_HB_VIA) return 0;
	return mesh_text(&a->ptr[MESH_HB_VIA], b->via, sizeof b->via);
}

int mesh_read_load_row(const msgpack_object *o, struct mesh_load_row *r)
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
	r->outcomes.good = mesh_int(&a->ptr[8]);
	r->outcomes.bad = mesh_int(&a->ptr[9]);
	r->incarnation_ms =
		a->size > MESH_ROW_INCARNATION ? mesh_int(&a->ptr[MESH_ROW_INCARNATION]) : 0;
	r->outcomes.rejected =
		a->size > MESH_ROW_REJECTED ? mesh_int(&a->ptr[MESH_ROW_REJECTED]) : 0;
	return 0;
}

int mesh_read_fetch(const msgpack_object_array *a, struct cache_revs *after)
{
	if (a->size < 3) return -EBADMSG;
	after->conf = read_rev(a, 1, MESH_FETCH_ERAS);
	after->backends = read_rev(a, 2, MESH_FETCH_ERAS + 1);
	return 0;
}

/* The eras stand in the first item, if the sender knows them. */
int mesh_read_revs(const msgpack_object_array *a, struct cache_revs *after)
{
	const msgpack_object_array *marker;
	uint64_t conf = st_era(), backends = conf;

	if (a->size < 3) return -EBADMSG;
	marker = a->size > 3 && a->ptr[3].type == MSGPACK_OBJECT_ARRAY ? &a->ptr[3].via.array
								       : NULL;
	if (marker && marker->size > MESH_MARKER_ERAS + 1) {
		conf = (uint64_t)mesh_int(&marker->ptr[MESH_MARKER_ERAS]);
		backends = (uint64_t)mesh_int(&marker->ptr[MESH_MARKER_ERAS + 1]);
	}
	after->conf = st_rev_of(conf, st_rev_number((uint64_t)mesh_int(&a->ptr[1])));
	after->backends = st_rev_of(backends, st_rev_number((uint64_t)mesh_int(&a->ptr[2])));
	return 0;
}

int mesh_read_item(const msgpack_object *o, struct st_item *i, char *key, size_t max)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY || a->size < 3) return -EBADMSG;
	if (mesh_text(&a->ptr[0], key, max)) return -EBADMSG;
	*i = (struct st_item){.key = key, .revision = read_rev(a, 1, MESH_ITEM_ERA)};
	if (a->ptr[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER) return 0;
	if (a->ptr[2].type != MSGPACK_OBJECT_BIN) return -EBADMSG;
	i->value = a->ptr[2].via.bin.ptr;
	i->len = a->ptr[2].via.bin.size;
	return 0;
}
