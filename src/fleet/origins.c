/* Tells and asks other instances which version began a stream (origins.h). */
#include "origins.h"
#include "clock.h"
#include "ev.h"
#include "mesh.h"
#include "mesh_topic.h"
#include "met.h"
#include <errno.h>
#include <saddlehead/origin.h>
#include <string.h>

/* Instances told of each stream, besides the one that carries it: one may die with that one. */
#define KEEPERS 2
/* Instances asked: those told come first in the order of all that are drawn from, unless it has
 * changed meanwhile by so many. */
#define ASKED_MAX 6
#define MS_US 1000
#define KEEP_MAX_MS (3600 * 1000) /* of one statement, whatever a peer claims */
/* Places of the table from which another instance is told at once: at most 35 KB, so that
 * heartbeats get through a narrow link, which is given up with 256 KB queued. */
#define PART_PLACES 1024
#define PART_GAP_US 100000 /* between two parts */

/* An instance that has started, or that remains when this one stops: it is sent the streams
 * that it should keep, part by part. */
struct recipient {
	char ip[ENTRY_TEXT_MAX + 1];
	uint64_t place; /* where the next part begins */
};

static struct origins *table;
static const struct entry_cfg *cfg;
static og_answered *answered;
static GArray *recipients; /* of struct recipient */
static struct ev_timer part_timer;

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

int og_can_ask_all(void)
{
	return !mesh_misses_hub();
}

/* ---- parts of the table, for one instance ---- */

struct part {
	struct mesh_rivals rivals;
	GString *out;
};

static void write_if_keeper(const struct origin *o, void *arg)
{
	const struct part *p = arg;

	if (mesh_draws(o->key, &p->rivals, KEEPERS)) write_statement(p->out, o);
}

/* Returns whether another part follows. */
static int write_part(struct recipient *r, GString *out)
{
	struct part p = {.out = out};

	mesh_rivals_of(r->ip, &p.rivals);
	return origins_visit(table, &r->place, PART_PLACES, clock_us(), write_if_keeper, &p);
}

/* Returns whether another part follows. */
static int send_part(struct recipient *r)
{
	ssize_t queued = mesh_queued_to(r->ip);
	GString *out;
	int more;

	if (queued < 0) return 0; /* once a link is up again, it is told from the start */
	if (queued > 0) return 1;
	out = g_string_new(NULL);
	more = write_part(r, out);
	if (out->len) mesh_send_to(r->ip, out);
	g_string_free(out, TRUE);
	return more;
}

static void send_parts(struct ev_timer *t)
{
	uint32_t i;

	for (i = recipients->len; i-- > 0;)
		if (!send_part(&g_array_index(recipients, struct recipient, i)))
			g_array_remove_index_fast(recipients, i);
	if (recipients->len) ev_in(t, PART_GAP_US);
}

static void forget_recipient(const char *ip)
{
	uint32_t i;

	for (i = recipients->len; i-- > 0;)
		if (!strcmp(g_array_index(recipients, struct recipient, i).ip, ip))
			g_array_remove_index_fast(recipients, i);
}

static struct recipient recipient_new(const char *ip)
{
	struct recipient r = {.place = ORIGIN_NEWEST};

	g_strlcpy(r.ip, ip, sizeof r.ip);
	return r;
}

/* An instance that started again has lost what it was told. */
static void write_for(const char *ip, GString *out)
{
	struct recipient r = recipient_new(ip);

	forget_recipient(ip);
	if (!write_part(&r, out)) return;
	g_array_append_val(recipients, r);
	if (!part_timer.armed) ev_in(&part_timer, PART_GAP_US);
}

void og_hand_over(void)
{
	const char *ip[MESH_HUBS_MAX];
	int i, n = mesh_draw(0, ip, MESH_HUBS_MAX);

	for (i = 0; i < n; i++) {
		struct recipient r = recipient_new(ip[i]);

		forget_recipient(ip[i]);
		g_array_append_val(recipients, r);
	}
	if (n) ev_in(&part_timer, 0);
}

int og_is_telling(void)
{
	return recipients->len > 0;
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

void og_start(const struct entry_cfg *c, og_answered *f)
{
	static const struct mesh_topic statement = {MESH_ORIGIN, on_statement, NULL, write_for},
				       question = {MESH_ORIGIN_ASK, on_question, NULL, NULL},
				       answer = {MESH_ORIGIN_ANSWER, on_answer, NULL, NULL};

	cfg = c;
	answered = f;
	table = origins_new();
	recipients = g_array_new(FALSE, FALSE, sizeof(struct recipient));
	part_timer.fire = send_parts;
	mesh_add_topic(&statement);
	mesh_add_topic(&question);
	mesh_add_topic(&answer);
}
