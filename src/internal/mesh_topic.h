/* Frames between instances, for modules that exchange data through the mesh. The mesh
 * transports the frames without interpreting them. */
#ifndef SH_MESH_TOPIC_H
#define SH_MESH_TOPIC_H
#include "fp.h"
#include <glib.h>
#include <msgpack.h>
#include <stdint.h>
#include <sys/types.h>

enum mesh_type {
	MESH_HEARTBEAT = 1,
	MESH_LOADS,
	MESH_FETCH_LEGACY, /* requests items on the link; sent by earlier releases */
	MESH_ITEMS,
	MESH_LEAVING,
	MESH_PEERS_LEGACY, /* instances by address only; sent by earlier releases */
	MESH_UPDATES,
	MESH_SUSPECT,
	MESH_FETCH,     /* requests items on the same connection */
	MESH_PEERS,     /* instances with the bandwidth of their links */
	MESH_HOLDERS,   /* refuses a copy, and names instances that have it */
	MESH_CRASH,     /* a server crashed, and the requests that it ran */
	MESH_SUCCEEDED, /* a run succeeded of a request under which servers crashed */
	MESH_IN_FLIGHT, /* number of runs of such a request that have not answered yet */
	MESH_VERDICTS,  /* requests that are quarantined, or are no longer */
	MESH_ORDERS,    /* operators' orders: drained data centres, versions to roll out */
	MESH_ABSENT,    /* instances no longer seen alive, which keep their parts */
	MESH_LIMITS,    /* rate limits that backend servers stated */
	MESH_ROLLOUT,   /* state of a rollout, and outcomes of exchanges with the new version */
	MESH_PING,      /* requests an immediate heartbeat */
	MESH_TUNNEL,    /* requests a tunnel to a backend server on the same connection */
	MESH_BRITTLE,   /* rejections per second that backend servers bear */
	MESH_ORIGIN,    /* which version began a stream */
	MESH_ORIGIN_ASK,
	MESH_ORIGIN_ANSWER,
	MESH_CRASH_SEGMENTS, /* a server crashed, and prompt segments that it ran */
	MESH_TRIAL_ASK,      /* whether a quarantined request may run once */
	MESH_TRIAL_ANSWER,
	MESH_ADM_ASK,     /* a generation that waits for room, to the keeper of its service */
	MESH_ADM_VERDICT, /* the keeper's verdict */
	MESH_ADM_END,     /* the question needs no verdict any more */
	MESH_ADM_STATE    /* whether something waits for a service */
};

/* One kind of data that a module exchanges with the same module of other instances. */
struct mesh_topic {
	enum mesh_type type;
	/* Handles a frame of that type from another instance. 0 or -EBADMSG. */
	int (*handle)(const char *from, const msgpack_object_array *a);
	/* Appends frames with the whole state, for an instance that started or was cut off;
	 * NULL: none. */
	void (*write)(GString *out);
	/* The same for what concerns the instance at ip alone; NULL: none. Of a long state it
	 * writes the first part, and sends the rest itself. */
	void (*write_for)(const char *ip, GString *out);
};
/* To be called at start, before mesh_start. t is kept. */
void mesh_add_topic(const struct mesh_topic *t);

/* A frame being written: an array of the given number of fields, the first of which is the
 * type. */
struct mesh_frame {
	msgpack_sbuffer buf;
	msgpack_packer p;
};
msgpack_packer *mesh_frame_begin(struct mesh_frame *f, enum mesh_type type, int fields);
void mesh_frame_end(struct mesh_frame *f, GString *out);
void mesh_pack_text(msgpack_packer *p, const char *s);
void mesh_pack_fp(msgpack_packer *p, const struct fp *fp);

/* Malformed input gives -EBADMSG, except for an integer, which reads as 0. */
int mesh_text(const msgpack_object *o, char *out, size_t max);
int mesh_fp(const msgpack_object *o, struct fp *fp);
int64_t mesh_int(const msgpack_object *o);

void mesh_send_all(const GString *frame);
/* Sends to the instance at ip; nothing if no link to it is up. */
void mesh_send_to(const char *ip, const GString *frame);
/* Bytes that the link to it has queued, or -ENOTCONN. A link with much queued is given up. */
ssize_t mesh_queued_to(const char *ip);
/* Sends to all instances that receive caller traffic. */
void mesh_send_serving(const GString *frame);
/* Sends to these and to the hubs, some of which watch the store for all. */
void mesh_send_serving_and_hubs(const GString *frame);
#endif
