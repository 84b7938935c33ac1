/* Frames of admission between instances. Fields that a later release appended are ignored. */
#include "adm_impl.h"
#include "mesh_topic.h"
#include <arpa/inet.h>
#include <errno.h>

#define QUESTION_FIELDS 17
#define ANSWER_FIELDS 11
#define END_FIELDS 5
#define STATE_FIELDS 4
/* Weights travel as integers in this unit. */
#define WEIGHT_UNIT 1000
#define TOKENS_MAX (1u << 30) /* of a request; keeps sums in range whatever a peer claims */
#define TIME_MAX_US 3600000000ll

static struct adm_handlers handlers;

void adm_write_question(GString *out, const struct adm_question *q)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ADM_ASK, QUESTION_FIELDS);

	msgpack_pack_uint64(p, q->request);
	msgpack_pack_uint64(p, q->number);
	msgpack_pack_uint64(p, q->caller);
	mesh_pack_text(p, q->service);
	mesh_pack_text(p, q->workspace);
	mesh_pack_text(p, q->route);
	mesh_pack_text(p, q->excluded);
	mesh_pack_text(p, q->ip);
	msgpack_pack_uint64(p, (uint64_t)(q->weight * WEIGHT_UNIT));
	msgpack_pack_uint32(p, q->rank);
	msgpack_pack_uint32(p, q->prompt);
	msgpack_pack_uint32(p, q->growth);
	msgpack_pack_int64(p, q->age_us);
	msgpack_pack_int64(p, q->run_us);
	msgpack_pack_int64(p, q->latest_in_us);
	msgpack_pack_int64(p, q->horizon_us);
	mesh_frame_end(&f, out);
}

static int64_t read_time(const msgpack_object *o)
{
	return CLAMP(mesh_int(o), -TIME_MAX_US, TIME_MAX_US);
}

static uint32_t read_tokens(const msgpack_object *o)
{
	return (uint32_t)CLAMP(mesh_int(o), 0, TOKENS_MAX);
}

/* The address of an instance, into a field of ENTRY_TEXT_MAX + 1 bytes. 0 or -EBADMSG. */
static int read_ip(const msgpack_object *o, char *out)
{
	struct in_addr ip;

	if (mesh_text(o, out, ENTRY_TEXT_MAX + 1)) return -EBADMSG;
	return inet_pton(AF_INET, out, &ip) == 1 ? 0 : -EBADMSG;
}

static int read_texts(const msgpack_object_array *a, struct adm_question *q)
{
	return mesh_text(&a->ptr[4], q->service, sizeof q->service) ||
	       mesh_text(&a->ptr[5], q->workspace, sizeof q->workspace) ||
	       mesh_text(&a->ptr[6], q->route, sizeof q->route) ||
	       mesh_text(&a->ptr[7], q->excluded, sizeof q->excluded) ||
	       read_ip(&a->ptr[8], q->ip) || !q->service[0];
}

static int on_question(const char *from, const msgpack_object_array *a)
{
	struct adm_question q;

	(void)from;
	if (a->size < QUESTION_FIELDS || read_texts(a, &q)) return -EBADMSG;
	q.request = (uint64_t)mesh_int(&a->ptr[1]);
	q.number = (uint64_t)mesh_int(&a->ptr[2]);
	q.caller = (uint64_t)mesh_int(&a->ptr[3]);
	q.weight = (double)CLAMP(mesh_int(&a->ptr[9]), 1, 1000 * WEIGHT_UNIT) / WEIGHT_UNIT;
	q.rank = (uint32_t)CLAMP(mesh_int(&a->ptr[10]), 0, UINT8_MAX);
	q.prompt = read_tokens(&a->ptr[11]);
	q.growth = read_tokens(&a->ptr[12]);
	q.age_us = read_time(&a->ptr[13]);
	q.run_us = MAX(read_time(&a->ptr[14]), 1);
	q.latest_in_us = read_time(&a->ptr[15]);
	q.horizon_us = read_time(&a->ptr[16]);
	handlers.question(&q);
	return 0;
}

void adm_write_answer(GString *out, const struct adm_answer *n)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ADM_VERDICT, ANSWER_FIELDS);

	msgpack_pack_uint64(p, n->request);
	msgpack_pack_uint64(p, n->number);
	msgpack_pack_int(p, n->kind);
	msgpack_pack_int(p, n->why);
	mesh_pack_text(p, n->backend);
	msgpack_pack_int64(p, n->age_us);
	msgpack_pack_int64(p, n->first_us);
	msgpack_pack_int64(p, n->second_us);
	mesh_pack_text(p, n->service);
	mesh_pack_text(p, n->ip);
	mesh_frame_end(&f, out);
}

static int on_answer(const char *from, const msgpack_object_array *a)
{
	struct adm_answer n;
	int64_t kind;

	if (a->size < ANSWER_FIELDS) return -EBADMSG;
	if (mesh_text(&a->ptr[5], n.backend, sizeof n.backend) ||
	    mesh_text(&a->ptr[9], n.service, sizeof n.service) || read_ip(&a->ptr[10], n.ip))
		return -EBADMSG;
	n.request = (uint64_t)mesh_int(&a->ptr[1]);
	n.number = (uint64_t)mesh_int(&a->ptr[2]);
	kind = mesh_int(&a->ptr[3]);
	if (kind < ADM_SEND || kind > ADM_NO_KEEPER) return -EBADMSG;
	n.kind = (enum adm_kind)kind;
	n.why = (enum core_refusal)CLAMP(mesh_int(&a->ptr[4]), 0, CORE_REF_LATE);
	n.age_us = read_time(&a->ptr[6]);
	n.first_us = read_time(&a->ptr[7]);
	n.second_us = mesh_int(&a->ptr[8]);
	if (n.second_us < 0 || n.second_us > TIME_MAX_US) n.second_us = INT64_MAX;
	handlers.answer(from, &n);
	return 0;
}

void adm_write_end(GString *out, const struct adm_end *e)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ADM_END, END_FIELDS);

	msgpack_pack_uint64(p, e->request);
	msgpack_pack_uint64(p, e->number);
	mesh_pack_text(p, e->service);
	mesh_pack_text(p, e->ip);
	mesh_frame_end(&f, out);
}

static int on_end(const char *from, const msgpack_object_array *a)
{
	struct adm_end e;

	(void)from;
	if (a->size < END_FIELDS || mesh_text(&a->ptr[3], e.service, sizeof e.service) ||
	    read_ip(&a->ptr[4], e.ip))
		return -EBADMSG;
	e.request = (uint64_t)mesh_int(&a->ptr[1]);
	e.number = (uint64_t)mesh_int(&a->ptr[2]);
	handlers.end(&e);
	return 0;
}

void adm_write_state(GString *out, const struct adm_state *s)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_ADM_STATE, STATE_FIELDS);

	mesh_pack_text(p, s->service);
	mesh_pack_text(p, s->ip);
	msgpack_pack_int(p, s->contended);
	mesh_frame_end(&f, out);
}

static int on_state(const char *from, const msgpack_object_array *a)
{
	struct adm_state s;

	(void)from;
	if (a->size < STATE_FIELDS || mesh_text(&a->ptr[1], s.service, sizeof s.service) ||
	    read_ip(&a->ptr[2], s.ip))
		return -EBADMSG;
	s.contended = mesh_int(&a->ptr[3]) != 0;
	handlers.state(&s);
	return 0;
}

void adm_add_topics(const struct adm_handlers *h)
{
	static const struct mesh_topic ask = {MESH_ADM_ASK, on_question, NULL, NULL},
				       verdict = {MESH_ADM_VERDICT, on_answer, NULL, NULL},
				       end = {MESH_ADM_END, on_end, NULL, NULL},
				       state = {MESH_ADM_STATE, on_state,
						adm_keeper_write_states, NULL};

	handlers = *h;
	mesh_add_topic(&ask);
	mesh_add_topic(&verdict);
	mesh_add_topic(&end);
	mesh_add_topic(&state);
}
