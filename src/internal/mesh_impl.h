/* Private to src/fleet/mesh*.c. */
#ifndef SH_MESH_IMPL_H
#define SH_MESH_IMPL_H
#include "cache.h"
#include "cn.h"
#include "mesh.h"
#include "mesh_topic.h"
#include <inttypes.h>
#include <msgpack.h>

/* Contents of a frame of verdicts: some; all that the sender has; the same from a sender that
 * has received those of other instances. */
enum { MESH_VERDICTS_SOME, MESH_VERDICTS_ALL, MESH_VERDICTS_SYNCED };

/* An instance's path to backend servers, as its heartbeats report it. */
enum mesh_path {
	MESH_PATH_UNKNOWN, /* not reported: an earlier release, which opens no tunnels */
	MESH_PATH_GOOD,    /* opens tunnels for others */
	MESH_PATH_LOST
};

/* A heartbeat: the state that an instance reports of itself. */
struct mesh_heartbeat {
	char name[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1], front[ENTRY_TEXT_MAX + 1];
	int ready, draining, store_up, store_late;
	int link_mbps; /* 0: not reported */
	int serving;   /* it receives caller traffic, and needs the loads of others */
	struct cache_revs revs;
	int64_t confirmed_ago_us; /* age of the confirmation of its configuration; -1: none */
	int64_t stamp_us;         /* clock of the sender */
	int64_t echo_us;          /* last stamp_us received from the receiver; 0: none */
	int64_t echo_held_us;     /* time since that stamp arrived */
	uint64_t verdicts;        /* digest of its quarantine verdicts */
	uint64_t orders;          /* digest of its operators' orders */
	st_rev backends_from;     /* has all changes of servers after it; 0: none */
	uint32_t dc;              /* hash of its data centre; 0: not reported */
	uint32_t region;          /* hash of its region; 0: not reported */
	int interval;             /* until the next heartbeat, in units of MESH_HEARTBEAT_US */
	enum mesh_path path;      /* its path to backend servers */
	uint64_t version;         /* of its configuration; 0: none, or not reported */
	/* While its path is lost, the instance that last opened a tunnel for it; or empty. */
	char via[INET_ADDRSTRLEN];
	int admission; /* it can keep the queue of a service: not an earlier release */
};

struct mesh_load_row {
	char id[ENTRY_TEXT_MAX + 1];
	int64_t incarnation_ms; /* 0: not reported */
	struct be_load load;
	struct be_outcomes outcomes;
};

struct member {
	char ip[ENTRY_TEXT_MAX + 1];
	struct mesh_heartbeat hb; /* the last one; its name is empty before it */
	int64_t last_seen_us;     /* monotonic; 0: never */
	int64_t named_us;
	int alive;
	int64_t alive_us;     /* when it last became alive */
	int link_mbps;        /* reported by itself or another instance; 0: not reported */
	int active, hub;      /* roles as this instance computes them */
	int was_hub;          /* its role when it was last alive */
	int64_t candidate_us; /* since when it has been waited for; 0: it has not */
	struct cn link;       /* to the member; only this instance writes on it */
	int64_t next_connect_us;
	int64_t link_up_us;      /* when the link last came up */
	int refused;             /* the last connection was refused; cleared by a heartbeat */
	int64_t acked_us;        /* newest stamp of this instance that it has echoed */
	int64_t fetch_after_us;  /* it refused a copy, and is not asked again before */
	int64_t worked_us;       /* when it last reported a run at some server */
	int64_t tunnel_after_us; /* a tunnel failed, and is not asked for again before */
	struct cache_revs reported_revs; /* of its lists, as another instance reported */
	GHashTable *loads;               /* id -> struct peer_load */
	GHashTable *outcomes;            /* id -> struct peer_outcomes */
};

/* Fields of a heartbeat and of a load row, type or id included. Both sides rely on their
 * order. */
#define MESH_HB_FIELDS 29
#define MESH_HB_FIELDS_MIN 14    /* sent by earlier releases, without the next 15 */
#define MESH_HB_LINK 14          /* index of link_mbps */
#define MESH_HB_SERVING 15       /* index of serving; a sender without it gets loads */
#define MESH_HB_VERDICTS 16      /* index of verdicts */
#define MESH_HB_ORDERS 17        /* index of orders */
#define MESH_HB_BACKENDS_FROM 18 /* index of backends_from */
#define MESH_HB_DC 19            /* index of dc */
#define MESH_HB_REGION 20        /* index of region */
#define MESH_HB_INTERVAL 21      /* index of interval */
#define MESH_HB_PATH 22          /* index of path */
#define MESH_HB_ERAS 23          /* index of the eras of revs and backends_from */
#define MESH_HB_VERSION 26       /* index of version */
#define MESH_HB_VIA 27           /* index of via */
#define MESH_HB_ADMISSION 28     /* index of admission */
/* Fields of a request for a copy, and of the first item of a frame of items. */
#define MESH_FETCH_FIELDS 6
#define MESH_FETCH_ERAS \
	4 /* index of the eras; a sender without them is of an earlier release */
#define MESH_ERAS_TEXT "eras %" PRIu64 " %" PRIu64
#define MESH_ITEM_ERA 3
#define MESH_MARKER_FIELDS 6
#define MESH_MARKER_ERAS 4 /* index of the eras of the revisions before the items */
#define MESH_ROW_FIELDS 12
#define MESH_ROW_FIELDS_MIN 10  /* sent by earlier releases, without the next two */
#define MESH_ROW_INCARNATION 10 /* index of incarnation_ms */
#define MESH_ROW_REJECTED 11    /* index of outcomes.rejected */

/* Packs an item for mesh_read_item. */
void mesh_pack_item(msgpack_packer *p, const struct st_item *i);

/* mesh_write.c: each appends one frame to out. */
void mesh_write_heartbeat(GString *out, const struct mesh_heartbeat *b);
void mesh_write_loads(GString *out, const struct mesh_load_row *row, int n, int whole);
/* dc: the hash of this instance's data centre. */
void mesh_write_fetch(GString *out, struct cache_revs after, uint32_t dc);
void mesh_write_items(GString *out, struct cache_revs after);
/* The same items, sent unasked to instances that have all up to after. */
void mesh_write_updates(GString *out, struct cache_revs after);
/* Writes up to max members, from a random one on, that have all that this instance has: those
 * of data centre dc if there are any (0: of any). */
void mesh_write_holders(GString *out, int max, uint32_t dc);
/* Writes the live members, or the hubs among them. Dead ones are left out, so that all
 * instances forget them. */
void mesh_write_peers(GString *out, int hubs_only);

/* Bytes of items: larger updates are not sent unasked, and an answer of that size counts as a
 * copy. */
#define MESH_SMALL_MAX 8192
/* Approximate size of a frame with the items newer than after; 0: there are none. */
size_t mesh_items_size(struct cache_revs after);

struct mesh_in { /* a connection that receives frames from another instance */
	struct cn cn;
	GString *buf;
	struct member *from;         /* set by the first heartbeat */
	struct ev_timer serve_timer; /* ends a copy that takes too long */
	int64_t last_data_us;        /* when data last arrived, or it was accepted */
	int sending_copy;            /* a copy is being sent on it */
	int redirected;              /* a copy was refused here; holders were named */
	int outgoing;                /* opened by this instance, which serves no copy on it */
	struct mesh_tunnel *tunnel;  /* passes its bytes to a backend server; or NULL */
};
#define MESH_FRAME_MAX (4u << 20) /* bytes; the largest configuration is under a megabyte */

/* mesh_read.c: malformed input gives -EBADMSG, except for an integer, which reads as 0. */
int mesh_read_heartbeat(const msgpack_object_array *a, struct mesh_heartbeat *b);
int mesh_read_load_row(const msgpack_object *o, struct mesh_load_row *r);
int mesh_read_fetch(const msgpack_object_array *a, struct cache_revs *after);
int mesh_read_revs(const msgpack_object_array *a, struct cache_revs *after);
int mesh_read_item(const msgpack_object *o, struct st_item *i, char *key, size_t max);
/* Link bandwidth, clamped to what machines have. */
int mesh_mbps(const msgpack_object *o);

/* mesh_in.c: dispatches one complete frame. 0, -EBADMSG, or the result of mesh_serve. */
int mesh_dispatch(struct mesh_in *in, const char *p, size_t n);

/* mesh_accept.c */
/* 0 or a negative errno. */
int mesh_listen(void);
/* Dispatches the frames that these bytes complete. 0, or the first error. */
int mesh_split_frames(struct mesh_in *in, const char *p, size_t n);
/* Closes the connection; its memory is freed at the end of the current turn of the loop. */
void mesh_drop_in(struct mesh_in *in);
/* m is about to be freed: detaches the connections that came from it. */
void mesh_in_forget(const struct member *m);
/* Closes connections on which nothing has arrived for long: the other side may have closed them
 * while its packets were lost. */
void mesh_close_idle(int64_t now);

/*
 * Interval of heartbeats of instances that receive no caller traffic, in units of
 * MESH_HEARTBEAT_US. No caller is sent to them, so that their death may be detected later, and
 * most instances of a large fleet need only a third of the messages. Standby instances get
 * heartbeats of a few hubs at the full rate, and learn the death of other instances from these
 * hubs.
 */
#define MESH_STANDBY_INTERVAL 3

/* mesh.c */
/* Interval of heartbeats between serving instances and hubs. */
#define MESH_HEARTBEAT_US 400000
/* Three heartbeats missed, plus network delay: the peer or the link is dead. */
#define MESH_DEAD_US 1500000

/* A heartbeat arrived that echoes the one that this instance sent at sent_us. */
void mesh_echo_received(int64_t sent_us);
/* When this process last resumed after a suspension; 0: never. */
int64_t mesh_resumed_us(void);
const struct entry_cfg *mesh_cfg(void);
int mesh_self_accepts_callers(void);
int mesh_self_draining(void);
int mesh_self_store_up(void);
/* Hash of the name of a data centre or region, as heartbeats report it; never 0. */
uint32_t mesh_place_hash(const char *name);
/* Hashes of this instance's own data centre and region. */
uint32_t mesh_self_dc(void);
uint32_t mesh_self_region(void);
/* Writes this instance's heartbeat to m. With echo set it echoes m's last stamp. */
void mesh_write_own_heartbeat(GString *out, const struct member *m, int echo);
/* Sends such a heartbeat, with an echo, if a link to m is up. */
void mesh_send_heartbeat(struct member *m);

/* mesh_members.c */
const GPtrArray *mesh_members(void);
/* Returns the member with this address, which is added if it is new. */
struct member *mesh_member_get(const char *ip);
/* Returns the member with this address, or NULL. */
struct member *mesh_member_find(const char *ip);
/* Adds or refreshes a member that another instance named. NULL if there are too many, or if
 * this is no address of another instance. link_mbps: 0 if not reported. */
struct member *mesh_add_member(const char *ip, int link_mbps);
/* A heartbeat of m arrived: m is alive. */
void mesh_heartbeat_received(struct member *m, const struct mesh_heartbeat *b);
/* Another instance has received nothing of m for that long. */
void mesh_reported_silent(struct member *m, int64_t silent_us);
/* Detects dead members, and forgets those that have not been named and have sent nothing for
 * long. */
void mesh_check_members(int64_t now);
void mesh_members_start(void);

/* mesh_roles.c */
/* Something that roles are computed from has changed. */
void mesh_roles_stale(void);
/* Computes all roles again: the passing of time can change them. */
void mesh_choose_roles(void);
/* m died: its role passes to another instance until m sends a heartbeat again. */
void mesh_release_role(struct member *m);
/* Whether this instance is active, or received requests recently. */
int mesh_self_serving(void);
/* This instance's load changed: it counts as serving for a while. */
void mesh_mark_serving(void);
/* Whether a link to m is kept, which is the case if one of both is a hub. */
int mesh_keeps_link(const struct member *m);

/* mesh_part.c */
void mesh_part_start(void);
/* m exists, or did a moment ago, as reported by itself or by another instance. */
void mesh_part_add(const struct member *m);
/* A heartbeat of m arrived. */
void mesh_part_seen(const struct member *m);
/* Writes the instances that were seen alive and are not now; nothing if there are none. */
void mesh_write_absent(GString *out);
/* Handles a frame of that type. 0 or -EBADMSG. */
int mesh_handle_absent(const msgpack_object_array *a);

/* mesh_link.c */
void mesh_connect(struct member *m);
/* Whether heartbeats sent on the link to m have not arrived there for long. interval: the
 * longer of both directions. */
int mesh_link_is_silent(const struct member *m, int interval, int64_t now);
/* Closes the link and opens it again: the kernel may report no error on one that carries
 * nothing any more. */
void mesh_renew_link(struct member *m, const char *why);
/* Sends nothing if no link is up; a link whose queue is full is closed. */
void mesh_send(struct member *m, const GString *frame);

/* mesh_tree.c */
/* Whether this hub is one of the few that send m, a standby instance, the list of all members,
 * and heartbeats at the full rate. */
int mesh_informs(const struct member *m);
/* m died: informs the standby instances that get updates from this hub. */
void mesh_announce_death(const struct member *m);
/* Updates arrived from another instance: forwards what is newer than base to the standby
 * instances that get updates from this hub. */
void mesh_forward(struct cache_revs base);

/* Forwards one item, which states nothing about others. */
void mesh_forward_item(const struct st_item *item);

/* mesh_confirm.c: evaluates m's last heartbeat: confirms the configuration, and schedules a
 * fetch if m has newer lists. */
void mesh_check_lists(struct member *m);

/* mesh_fetch.c */
void mesh_fetch_start(void);
/* Schedules a fetch if m has newer lists and no fetch is in progress. */
void mesh_fetch_soon(const struct member *m);
/* Another instance reported that m has the lists up to those revisions. */
void mesh_fetch_add_holder(struct member *m, struct cache_revs held);
/* m is about to be freed: a fetch from it is abandoned. */
void mesh_fetch_forget(const struct member *m);

/* mesh_serve.c */
/* Sends the lists newer than after. 0; -EBUSY: too many copies are in progress; -ENOENT:
 * nothing is newer. */
int mesh_serve(struct mesh_in *in, struct cache_revs after, uint32_t dc);
/* The connection is about to be dropped. */
void mesh_serve_end(struct mesh_in *in);

/* mesh_helper.c: m announces that it stops. */
void mesh_helper_leaves(const struct member *m);

/* tunnel_serve.c */
/* Handles a request for a tunnel. From then on the connection carries no frames. 0, -EBADMSG,
 * or another negative errno, which the requester has been told. */
int mesh_handle_tunnel(struct mesh_in *in, const msgpack_object_array *a);
/* Passes bytes of the requester on. */
void mesh_tunnel_data(struct mesh_in *in, const char *p, size_t n);
/* The requester's connection is about to be dropped. */
void mesh_tunnel_end(struct mesh_in *in);

/* mesh_quarantine.c */
/* Writes all verdicts that this instance has. */
void mesh_write_verdicts(GString *out);
/* Sends them to m if its digest differs. */
void mesh_sync_verdicts(struct member *m);
/* Handles the frames of mesh_quarantine.h. 0 or -EBADMSG. */
int mesh_handle_quarantine(const struct member *m, const msgpack_object_array *a);

/* mesh_rank.c */
void mesh_rank_start(void);

/* mesh_topic.c */
/* Writes the state of every topic for m, to which a link came up. */
void mesh_write_topics(const struct member *m, GString *out);
/* Handles a frame of some topic's type. 0 or -EBADMSG. */
int mesh_handle_topic(const struct member *m, const msgpack_object_array *a);

/* mesh_orders.c */
void mesh_orders_start(void);
/* Writes all orders that this instance has, withdrawn ones included; nothing if it has none. */
void mesh_write_orders(GString *out);
/* Sends them to m if its digest differs. */
void mesh_sync_orders(struct member *m);
/* Handles a frame of that type. 0 or -EBADMSG. */
int mesh_handle_orders(const struct member *m, const msgpack_object_array *a);

/* mesh_loads.c */
void mesh_init_loads(struct member *m);
void mesh_handle_loads(struct member *m, const msgpack_object_array *a);
void mesh_drop_loads(struct member *m);
void mesh_write_all_loads(GString *out);
void mesh_loads_start(void);
#endif
