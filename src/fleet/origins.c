/* Tells and asks other instances which version began a stream (origins.h). */
#include "origins.h"
#include "clock.h"
#include "mesh.h"
#include "mesh_topic.h"
#include "met.h"
#include <errno.h>
#include <saddlehead/origin.h>

/* Instances told of each stream, besides the one that carries it: one may die with that one. */
#define KEEPERS 2
/* Instances asked: those told come first in the order of all that are drawn from, unless it has
 * changed meanwhile by so many. */
#define ASKED_MAX 6
#define MS_US 1000
#define KEEP_MAX_MS (3600 * 1000) /* of one statement, whatever a peer claims */

static struct origins *table;
static const struct entry_cfg *cfg;
static og_answered *answered;

static void put(uint64_t key, uint64_t version, int64_t age_us, int64_t for_us)
{
	int64_t now = clock_us();

	if (for_us <= 0) return;
	for_us = MIN(for_us, KEEP_MAX_MS * (int64_t)MS_US);
	origins_put(table, key, version, now - age_us, now + for_us);
	met_set(MET_G_ORIGINS, origins_count(table));
}

static void write_statement(GString *out, const struct origin *o)
{
	int64_t now = clock_us();
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ORIGIN, 5);

	msgpack_pack_uint64(p, o->key);
	msgpack_pack_uint64(p, o->version);
	msgpack_pack_int64(p, (now - o->noted_us) / MS_US);
	msgpack_pack_int64(p, (o->expires_us - now) / MS_US);
	mesh_frame_end(&f, out);
}

static void tell(const struct origin *o)
{
	const char *keeper[KEEPERS];
	GString *out = g_string_new(NULL);
	int i, n = mesh_draw(o->key, keeper, KEEPERS);

	write_statement(out, o);
	for (i = 0; i < n; i++) mesh_send_to(keeper[i], out);
	met_add(MET_ORIGINS_TOLD, (uint64_t)n);
	g_string_free(out, TRUE);
}

void og_note(uint64_t key, uint64_t version, int64_t for_us)
{
	const struct origin *o;

	put(key, version, 0, for_us);
	o = origins_get(table, key, clock_us());
	if (o) tell(o);
}

int og_find(uint64_t key, struct og_known *k)
{
	const struct origin *o = origins_get(table, key, clock_us());

	*k = (struct og_known){0};
	if (!o) return -ENOENT;
	k->version = o->version;
	k->age_us = clock_us() - o->noted_us;
	return 0;
}

int og_ask(uint64_t key)
{
	const char *asked[ASKED_MAX];
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ORIGIN_ASK, 3);
	int i, n = mesh_draw(key, asked, ASKED_MAX);

	msgpack_pack_uint64(p, key);
	mesh_pack_text(p, cfg->ip);
	mesh_frame_end(&f, out);
	for (i = 0; i < n; i++) mesh_send_to(asked[i], out);
	met_add(MET_ORIGINS_ASKED, (uint64_t)n);
	g_string_free(out, TRUE);
	return n;
}

static void hand_over(const struct origin *o, void *arg)
{
	(void)arg;
	tell(o);
}

void og_hand_over(void)
{
	origins_each(table, clock_us(), hand_over, NULL);
}

/* ---- frames of others ---- */

static uint64_t read_key(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? o->via.u64 : 0;
}

static int64_t read_us(const msgpack_object *o)
{
	return CLAMP(mesh_int(o), 0, KEEP_MAX_MS) * MS_US;
}

static int on_statement(const char *from, const msgpack_object_array *a)
{
	uint64_t key;

	(void)from;
	if (a->size < 5) return -EBADMSG;
	key = read_key(&a->ptr[1]);
	if (!key) return -EBADMSG;
	put(key, read_key(&a->ptr[2]), read_us(&a->ptr[3]), read_us(&a->ptr[4]));
	return 0;
}

static int on_question(const char *from, const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	struct og_known k;
	uint64_t key;
	GString *out;
	struct mesh_frame f;
	msgpack_packer *p;

	(void)from;
	if (a->size < 3 || mesh_text(&a->ptr[2], ip, sizeof ip)) return -EBADMSG;
	key = read_key(&a->ptr[1]);
	og_find(key, &k);
	out = g_string_new(NULL);
	p = mesh_frame_begin(&f, MESH_ORIGIN_ANSWER, 4);
	msgpack_pack_uint64(p, key);
	msgpack_pack_uint64(p, k.version);
	msgpack_pack_int64(p, k.age_us / MS_US);
	mesh_frame_end(&f, out);
	mesh_send_to(ip, out);
	g_string_free(out, TRUE);
	return 0;
}

static int on_answer(const char *from, const msgpack_object_array *a)
{
	if (a->size < 4) return -EBADMSG;
	answered(read_key(&a->ptr[1]), read_key(&a->ptr[2]), read_us(&a->ptr[3]), from);
	return 0;
}

struct recipient {
	const char *ip;
	GString *out;
};

static void write_if_keeper(const struct origin *o, void *arg)
{
	const struct recipient *r = arg;

	if (mesh_draws(o->key, r->ip, KEEPERS)) write_statement(r->out, o);
}

/* An instance that started again has lost what it was told. */
static void write_for(const char *ip, GString *out)
{
	struct recipient r = {ip, out};

	origins_each(table, clock_us(), write_if_keeper, &r);
}

void og_start(const struct entry_cfg *c, og_answered *f)
{
	static const struct mesh_topic statement = {MESH_ORIGIN, on_statement, NULL, write_for},
				       question = {MESH_ORIGIN_ASK, on_question, NULL, NULL},
				       answer = {MESH_ORIGIN_ANSWER, on_answer, NULL, NULL};

	cfg = c;
	answered = f;
	table = origins_new();
	mesh_add_topic(&statement);
	mesh_add_topic(&question);
	mesh_add_topic(&answer);
}
