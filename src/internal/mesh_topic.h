/* Frames between instances, for modules that tell each other things through the mesh: it
 * carries them, and knows nothing of what they mean. */
#ifndef SH_MESH_TOPIC_H
#define SH_MESH_TOPIC_H
#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

enum mesh_type {
	MESH_BEAT = 1,
	MESH_LOADS,
	MESH_WANT, /* asks for items, which come on the link: earlier releases do */
	MESH_ITEMS,
	MESH_LEAVING,
	MESH_MEMBERS, /* instances by address alone: earlier releases tell them so */
	MESH_NEWS,
	MESH_SUSPECT,
	MESH_FETCH,     /* asks for items, which come back on the same connection */
	MESH_PEERS,     /* instances with the width of their links */
	MESH_HOLDERS,   /* instead of items: instances that have them */
	MESH_ENDED,     /* a server ended, and what ran there */
	MESH_THROUGH,   /* a run came through of what servers ended under */
	MESH_UNDER_WAY, /* so many runs of it have not answered yet */
	MESH_VERDICTS,  /* what is blamed for ends of servers, or is not any longer */
	MESH_ORDERS,    /* of the operators: drained data centres, versions to bring in */
	MESH_ABSENT,  /* instances that were known and are not heard: their parts stay theirs */
	MESH_LIMITS,  /* what backend servers said of the requests that they take */
	MESH_ROLLOUT, /* how far a version is that is brought in, and how exchanges with it
			 went */
	MESH_ASK      /* asks for a heartbeat at once */
};

/* What one module tells the same module of other instances. */
struct mesh_topic {
	enum mesh_type type;
	/* A frame of that type from another instance. 0 or -EBADMSG. */
	int (*take)(const char *from, const msgpack_object_array *a);
	/* Appends frames with all that an instance should know that starts, or was cut off;
	 * NULL: nothing. */
	void (*write)(GString *out);
};
/* At the start, before the mesh's. t is kept. */
void mesh_add_topic(const struct mesh_topic *t);

/* A frame that is being written: an array of so many fields, its type the first. */
struct mesh_frame {
	msgpack_sbuffer buf;
	msgpack_packer p;
};
msgpack_packer *mesh_frame_begin(struct mesh_frame *f, enum mesh_type type, int fields);
void mesh_frame_end(struct mesh_frame *f, GString *out);
void mesh_pack_text(msgpack_packer *p, const char *s);

/* What is malformed gives -EBADMSG, but an integer 0. */
int mesh_text(const msgpack_object *o, char *out, size_t max);
int64_t mesh_int(const msgpack_object *o);

void mesh_send_all(const GString *frame);
/* To those that callers come to. */
void mesh_send_serving(const GString *frame);
/* To these and to those that ask the store for all. */
void mesh_send_judges(const GString *frame);
#endif
