/* Trial runs of requests whose quarantine has run out: one in the whole fleet. One instance,
 * drawn by the fingerprint so that all choose the same, grants them. While membership changes
 * two may grant one each. */
#include "clock.h"
#include "entry_cfg.h"
#include "mesh.h"
#include "mesh_quarantine.h"
#include "mesh_topic.h"
#include "met.h"
#include "quarantine_impl.h"
#include <errno.h>
#include <string.h>

/* A run has crashed its server or come through by then; a granted trial that never began delays
 * the next one by as much. */
#define GRANT_US 60000000
/* How long to wait where the instance that grants does not answer, or knows of no trial. */
#define RETRY_US 1000000
#define MS_US 1000

struct grant {
	struct fp fp;
	int64_t until_us;
};

static const char *self_ip;
static void (*answered)(const struct fp *fp, int granted);
static GArray *granted; /* of struct grant: by this instance */
static GArray *denied;  /* of struct grant: to this instance, or asked for, until then */

static void drop_expired(GArray *list, int64_t now)
{
	uint32_t i;

	for (i = list->len; i-- > 0;)
		if (g_array_index(list, struct grant, i).until_us <= now)
			g_array_remove_index_fast(list, i);
}

static struct grant *find(GArray *list, const struct fp *fp)
{
	uint32_t i;

	drop_expired(list, clock_us());
	for (i = 0; i < list->len; i++) {
		struct grant *g = &g_array_index(list, struct grant, i);

		if (fp_equal(&g->fp, fp)) return g;
	}
	return NULL;
}

static void put(GArray *list, const struct fp *fp, int64_t for_us)
{
	struct grant *g = find(list, fp), added = {*fp, clock_us() + for_us};

	if (g)
		*g = added;
	else if (list->len < QUAR_SUSPECTS)
		g_array_append_val(list, added);
}

/* Returns 0 if the run is granted, otherwise how long to wait before asking again. */
static int64_t grant(const struct fp *fp)
{
	const struct grant *g = find(granted, fp);

	if (g) return g->until_us - clock_us();
	if (!quarantine_is_due(fp)) return RETRY_US;
	put(granted, fp, GRANT_US);
	met_add(MET_TRIALS, 1);
	return 0;
}

/* Whether this instance is the one that grants, as it is drawn first or nobody is linked. */
static int grants_itself(uint64_t key, const char **other)
{
	struct mesh_rivals rivals;

	if (!mesh_draw(key, other, 1)) return 1;
	if (!mesh_self_hub()) return 0;
	mesh_rivals_of(self_ip, &rivals);
	return mesh_draws(key, &rivals, 1);
}

static void ask(const char *ip, const struct fp *fp)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_TRIAL_ASK, 3);

	mesh_pack_fp(p, fp);
	mesh_pack_text(p, self_ip);
	mesh_frame_end(&f, out);
	mesh_send_to(ip, out);
	g_string_free(out, TRUE);
}

int quarantine_ask_trial(const struct fp *fp)
{
	const char *other;
	uint64_t key;

	memcpy(&key, fp->byte, sizeof key);
	if (grants_itself(key, &other)) return grant(fp) ? -EBUSY : 0;
	if (find(denied, fp)) return -EBUSY;
	put(denied, fp, RETRY_US);
	ask(other, fp);
	return -EINPROGRESS;
}

/* ---- frames of others ---- */

static int on_question(const char *from, const msgpack_object_array *a)
{
	char ip[ENTRY_TEXT_MAX + 1];
	struct fp fp;
	GString *out;
	struct mesh_frame f;
	msgpack_packer *p;

	(void)from;
	if (a->size < 3 || mesh_fp(&a->ptr[1], &fp) || mesh_text(&a->ptr[2], ip, sizeof ip))
		return -EBADMSG;
	out = g_string_new(NULL);
	p = mesh_frame_begin(&f, MESH_TRIAL_ANSWER, 3);
	mesh_pack_fp(p, &fp);
	msgpack_pack_int64(p, (grant(&fp) + MS_US - 1) / MS_US);
	mesh_frame_end(&f, out);
	mesh_send_to(ip, out);
	g_string_free(out, TRUE);
	return 0;
}

static int on_answer(const char *from, const msgpack_object_array *a)
{
	struct fp fp;
	int64_t wait_us;

	(void)from;
	if (a->size < 3 || mesh_fp(&a->ptr[1], &fp)) return -EBADMSG;
	wait_us = CLAMP(mesh_int(&a->ptr[2]), 0, GRANT_US / MS_US) * MS_US;
	if (wait_us) put(denied, &fp, wait_us);
	answered(&fp, !wait_us);
	return 0;
}

void quarantine_trial_start(const struct entry_cfg *c,
			    void (*f)(const struct fp *fp, int granted))
{
	static const struct mesh_topic question = {MESH_TRIAL_ASK, on_question, NULL, NULL},
				       answer = {MESH_TRIAL_ANSWER, on_answer, NULL, NULL};

	self_ip = c->ip;
	answered = f;
	granted = g_array_new(FALSE, FALSE, sizeof(struct grant));
	denied = g_array_new(FALSE, FALSE, sizeof(struct grant));
	mesh_add_topic(&question);
	mesh_add_topic(&answer);
}
