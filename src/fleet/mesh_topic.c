/* Registry of the modules that handle frames of their own types. */
#include "mesh_topic.h"
#include "mesh_impl.h"

#define TOPICS_MAX 16

static const struct mesh_topic *topics[TOPICS_MAX];
static int ntopics;

void mesh_add_topic(const struct mesh_topic *t)
{
	g_assert(ntopics < TOPICS_MAX);
	topics[ntopics++] = t;
}

void mesh_write_topics(const struct member *m, GString *out)
{
	int i;

	for (i = 0; i < ntopics; i++) {
		if (topics[i]->write) topics[i]->write(out);
		if (topics[i]->write_for) topics[i]->write_for(m->ip, out);
	}
}

int mesh_handle_topic(const struct member *m, const msgpack_object_array *a)
{
	int64_t type = mesh_int(&a->ptr[0]);
	int i;

	for (i = 0; i < ntopics; i++)
		if (topics[i]->type == type) return topics[i]->handle(m->hb.name, a);
	return 0; /* of a later release; not an error */
}
