/* Private to src/fleet/mesh*.c. */
#ifndef SH_MESH_IMPL_H
#define SH_MESH_IMPL_H
#include "cache.h"
#include "cn.h"
#include "mesh.h"
#include "mesh_topic.h"
#include <msgpack.h>

/* Of verdicts: some, all that the sender has, all that it and others have. */
enum { MESH_SOME, MESH_ALL, MESH_ALL_KNOWN };

/* What an instance tells of itself. */
struct mesh_beat {
	char name[ENTRY_TEXT_MAX + 1], ip[ENTRY_TEXT_MAX + 1], front[ENTRY_TEXT_MAX + 1];
	int ready, draining, store_up, store_late;
	int link_mbps; /* 0: not told */
	int serves;    /* callers come to it: it needs to know the loads of others */
	struct cache_revs revs;
	int64_t confirmed_ago_us; /* -1: never */
	int64_t stamp_us;         /* the sender's clock */
	int64_t echo_us;          /* the receiver's stamp that came last; 0: none */
	int64_t echo_held_us;     /* since it came */
	uint64_t verdicts;        /* digest of what it knows to be blamed */
	uint64_t orders;          /* the same of operators' orders */
	uint64_t from;   /* all changes of backend servers after it are known to it; 0: none */
	uint32_t dc;     /* hash of its data centre; 0: not told */
	uint32_t region; /* the same of its region */
	int every;       /* the next one comes so many times as late as the fastest */
};

struct mesh_row {
	char id[ENTRY_TEXT_MAX + 1];
	int64_t born_ms; /* which life of it; 0: not told */
	struct be_load load;
	struct be_outcomes ends;
};

struct member {
	char ip[ENTRY_TEXT_MAX + 1];
	struct mesh_beat said; /* name is empty before the first beat */
	int64_t heard_us;      /* monotonic; 0: never */
	int64_t learnt_us;
	int alive;
	int64_t alive_us; /* since when, or was last */
	int link_mbps;    /* as it or another instance told; 0: not told */
	int active, hub;  /* in this instance's view */
	int64_t tried_us; /* since when this instance has waited to hear it; 0: it has not */
	struct cn link;   /* to it: only this instance writes there */
	int64_t next_connect_us;
	int64_t link_up_us;     /* since when the link is up, or was when it was up last */
	int refused;            /* nothing listens there, since it was heard last */
	int64_t echoed_us;      /* newest of this instance's stamps that it has said to have */
	int64_t fetch_after_us; /* it refused a copy: not asked again before */
	struct cache_revs held; /* what another instance said that it has */
	GHashTable *loads;      /* id -> struct told_load */
	GHashTable *ends;       /* id -> struct told_ends */
};

/* Fields of a heartbeat and of a load, the type or the name included: both sides go by them. */
#define MESH_BEAT_FIELDS 22
#define MESH_BEAT_FIELDS_MIN 14 /* of earlier releases, which leave out the next eight */
#define MESH_BEAT_LINK 14       /* where link_mbps stands */
#define MESH_BEAT_SERVES 15     /* where serves stands; one that does not tell it wants loads */
#define MESH_BEAT_VERDICTS 16   /* where verdicts stands */
#define MESH_BEAT_ORDERS 17     /* where orders stands */
#define MESH_BEAT_FROM 18       /* where from stands */
#define MESH_BEAT_DC 19         /* where dc stands */
#define MESH_BEAT_REGION 20     /* where region stands */
#define MESH_BEAT_EVERY 21      /* where every stands */
#define MESH_ROW_FIELDS 11
#define MESH_ROW_FIELDS_MIN 10 /* of earlier releases, which leave out the next one */
#define MESH_ROW_BORN 10       /* where born_ms stands */

/* As mesh_read_item reads it. */
void mesh_pack_item(msgpack_packer *p, const struct st_item *i);

/* mesh_write.c: one frame each, appended to out. */
void mesh_write_beat(GString *out, const struct mesh_beat *b);
void mesh_write_loads(GString *out, const struct mesh_row *row, int n, int whole);
/* dc: of the one that asks, as in its beats. */
void mesh_write_fetch(GString *out, struct cache_revs after, uint32_t dc);
void mesh_write_items(GString *out, struct cache_revs after);
/* The same unasked: for those who know all up to after. */
void mesh_write_news(GString *out, struct cache_revs after);
/* Up to most of the members that have all that this instance has, drawn: of that data centre,
 * if there are any (0: of any). */
void mesh_write_holders(GString *out, int most, uint32_t dc);
/* The members that this instance hears, or the hubs among them: the dead are forgotten by all.
 */
void mesh_write_peers(GString *out, int hubs_alone);

/* Bytes of items: more is not passed on unasked, and counts as a copy that is handed on. */
#define MESH_SMALL_MAX 8192
/* About as many bytes as a frame with the items newer than after has; 0: there are none. */
size_t mesh_items_size(struct cache_revs after);

struct mesh_in { /* frames from another instance */
	struct cn cn;
	GString *buf;
	struct member *from;         /* after its first beat */
	struct ev_timer serve_timer; /* ends a copy that takes too long */
	int64_t heard_us;            /* when bytes came last, or it was accepted */
	int serving;                 /* a copy is handed on here */
	int turned_away;             /* asked for a copy here, and was told who else has it */
	int ours;                    /* opened from here: nothing is asked for on it */
};
#define MESH_FRAME_MAX (4u << 20) /* bytes: the largest configuration is under a megabyte */

/* mesh_read.c: what is malformed gives -EBADMSG, but an integer 0. */
int mesh_read_beat(const msgpack_object_array *a, struct mesh_beat *b);
int mesh_read_row(const msgpack_object *o, struct mesh_row *r);
int mesh_read_revs(const msgpack_object_array *a, struct cache_revs *after);
int mesh_read_item(const msgpack_object *o, struct st_item *i, char *key, size_t max);
/* The width of a link, within what machines have. */
int mesh_mbps(const msgpack_object *o);

/* mesh_in.c: dispatches one whole frame. 0; -EBADMSG; or what mesh_serve says. */
int mesh_dispatch(struct mesh_in *in, const char *p, size_t n);

/* mesh_accept.c */
/* 0 or a negative errno. */
int mesh_listen(void);
/* Dispatches the whole frames that these bytes complete. 0, or the first error. */
int mesh_cut_frames(struct mesh_in *in, const char *p, size_t n);
/* Closes the connection; what it pointed to is freed at the end of the turn. */
void mesh_drop_in(struct mesh_in *in);
/* m is about to be freed: what still comes from it is not read. */
void mesh_in_forget(const struct member *m);
/* Closes connections on which nothing has come for long: the other end may have left them
 * without a word that got through. */
void mesh_close_idle(int64_t now);

/* Nobody is sent to an instance that serves none: that it died may be known later, for a third
 * of the messages of most of a large fleet. Those that stand by hear a few hubs as often as
 * these hear each other, and of the death of the others from these. */
#define MESH_QUIET_BEATS 3

/* mesh.c */
/* Between heartbeats of those that callers come to, and of hubs. */
#define MESH_BEAT_US 400000
/* Three heartbeats missed and some way: the peer, or the link, is dead. */
#define MESH_DEAD_US 1500000

/* A beat came that answers one of this instance's that it sent then. */
void mesh_heard_echo(int64_t sent_us);
/* When this instance last stood still; 0: it has not. */
int64_t mesh_stood_still_us(void);
const struct entry_cfg *mesh_cfg(void);
int mesh_self_takes_callers(void);
int mesh_self_draining(void);
int mesh_self_store_up(void);
/* A data centre's or a region's name as beats tell it; never 0. */
uint32_t mesh_place_hash(const char *name);
/* Hashes of this instance's data centre and region, as its beats tell them; never 0. */
uint32_t mesh_self_dc(void);
uint32_t mesh_self_region(void);
/* What this instance tells of itself to m; answers: and that it has heard m. */
void mesh_write_own_beat(GString *out, const struct member *m, int answers);
/* The same, if a link to m is up. */
void mesh_answer(struct member *m);

/* mesh_members.c */
const GPtrArray *mesh_members(void);
/* The one at this address, added if it is new. */
struct member *mesh_member_at(const char *ip);
/* The one at this address, or NULL. */
struct member *mesh_member_known(const char *ip);
/* The one that another instance names, unless there are too many or this is none; link_mbps: 0
 * if not told. */
struct member *mesh_learnt(const char *ip, int link_mbps);
/* A beat of m came: it lives. */
void mesh_heard(struct member *m, const struct mesh_beat *b);
/* Another instance has not heard m for so long. */
void mesh_told_silent(struct member *m, int64_t silent_us);
/* Finds the dead, and forgets those not heard of for long. */
void mesh_check_members(int64_t now);
void mesh_members_start(void);

/* mesh_roles.c */
/* Something that roles follow from has changed. */
void mesh_roles_stale(void);
/* Works them out anew: time alone may have changed them. */
void mesh_choose_roles(void);
/* m died: its role goes to another one until it is heard again. */
void mesh_passed_over(struct member *m);
/* Callers come here, or came lately. */
int mesh_self_serves(void);
/* This instance's load changed. */
void mesh_note_load(void);
/* Whether a link to m is kept: one of both is a hub. */
int mesh_linked_to(const struct member *m);

/* mesh_part.c */
void mesh_part_start(void);
/* m exists, or did a moment ago, by its own or another instance's word. */
void mesh_part_know(const struct member *m);
/* m was heard. */
void mesh_part_heard(const struct member *m);
/* Those that were heard and are not any more; nothing where there are none. */
void mesh_write_absent(GString *out);
/* A frame of its type. 0 or -EBADMSG. */
int mesh_take_absent(const msgpack_object_array *a);

/* mesh_link.c */
void mesh_connect(struct member *m);
/* Whether heartbeats on the link to m, which come so many times as late as the fastest either
 * way, have not arrived there for long. */
int mesh_link_is_silent(const struct member *m, int every, int64_t now);
/* Breaks the link off and makes it anew: its kernel may see no fault in one that carries
 * nothing any more. */
void mesh_renew_link(struct member *m, const char *why);
/* Nothing is sent where no link is up; one that is full is broken off. */
void mesh_send(struct member *m, const GString *frame);

/* mesh_tree.c */
/* Whether this hub is one of the few that tell m, which stands by, of all instances, and beat
 * to it as to hubs. */
int mesh_tells(const struct member *m);
/* m died: those that stand by are told which have it from this hub. */
void mesh_tell_death(const struct member *m);
/* News came from another instance: passes what is newer than base on to those that have it from
 * this hub. */
void mesh_forward(struct cache_revs base);

/* The same of one item that says nothing of others. */
void mesh_forward_item(const struct st_item *item);

/* mesh_know.c: takes what m just said of its lists: how sure it is, and that it knows more. */
void mesh_learn_from(struct member *m);

/* mesh_fetch.c */
void mesh_fetch_start(void);
/* Fetches what this instance lacks, if m has it and nothing is under way. */
void mesh_fetch_soon(const struct member *m);
/* m has, by another instance's word, what this one lacks up to those revisions. */
void mesh_fetch_holder(struct member *m, struct cache_revs held);
/* m is about to be freed. */
void mesh_fetch_forget(const struct member *m);

/* mesh_serve.c */
/* Hands on what is newer than after. 0; -EBUSY: too much is under way; -ENOENT: nothing is. */
int mesh_serve(struct mesh_in *in, struct cache_revs after, uint32_t dc);
/* The connection is about to be dropped. */
void mesh_serve_end(struct mesh_in *in);

/* mesh_poison.c */
/* All that this instance knows to be blamed. */
void mesh_write_verdicts(GString *out);
/* Tells them to m if it knows others. */
void mesh_heal_verdicts(struct member *m);
/* A frame of its types. 0 or -EBADMSG. */
int mesh_take_poison(const struct member *m, const msgpack_object_array *a);

/* mesh_rank.c */
void mesh_rank_start(void);

/* mesh_topic.c */
/* What an instance that begins to hear this one should know of each topic. */
void mesh_write_topics(GString *out);
/* A frame of some topic's type. 0 or -EBADMSG. */
int mesh_take_topic(const struct member *m, const msgpack_object_array *a);

/* mesh_orders.c */
void mesh_orders_start(void);
/* All orders that this instance knows, also those that are over; nothing where it knows none.
 */
void mesh_write_orders(GString *out);
/* Tells them to m if it knows others. */
void mesh_heal_orders(struct member *m);
/* A frame of its type. 0 or -EBADMSG. */
int mesh_take_orders(const struct member *m, const msgpack_object_array *a);

/* mesh_loads.c */
void mesh_init_loads(struct member *m);
void mesh_take_loads(struct member *m, const msgpack_object_array *a);
void mesh_drop_loads(struct member *m);
void mesh_write_all_loads(GString *out);
void mesh_loads_start(void);
#endif
