/* Other instances, played by the test: they send heartbeats, hand on a configuration, and ask
 * for one. */
#ifndef PW_PEER_H
#define PW_PEER_H
#include "fp.h"
#include "pw.h"

struct pw_peer {
	char ip[32], name[32];
	struct pw_entry *entry;
	uint64_t conf;     /* revision of the configuration that it says it has */
	GString *copy;     /* the frame with that configuration, if it hands it on */
	int pace_bytes;    /* of the copy are sent each tenth of a second; 0: all at once */
	int read_pause_ms; /* rests so long when a copy has begun to come */
	int link_mbps;     /* that it tells; 0 at first */
	int takes_callers; /* it says that it is ready, at an address of its own */
	int store_up;      /* it says that the store answers it */
	int mute;          /* says nothing on its link, and leaves it open */
	int wants;         /* asks the entry for a copy until it has one */
	int asks;          /* came from the entry */
	int copies;        /* came whole */
	int verdicts;      /* frames that name blamed requests */
	int leavings;      /* frames that name a server that leaves */
	int64_t beat_us;   /* when the last heartbeat came */
	int64_t gap_us;    /* longest time between two so far */
	int64_t heard_stamp_us; /* the entry's clock as its last heartbeat tells it; 0: none */
	struct pw_peer_cn *link, *asking; /* to the entry; the second for one question */
	GPtrArray *in;                    /* of struct pw_peer_cn, from the entry */
	struct ev_fd listener;
	struct ev_timer beat;
};

/* Copies that had begun to come and were not whole, over all peers, at most so far. */
extern int pw_peer_at_once;

/* Listens, connects to e, and sends heartbeats from now on; conf: see above. */
struct pw_peer *pw_peer_new(struct pw_entry *e, uint64_t conf);
/* It hands on this configuration. */
void pw_peer_holds(struct pw_peer *p, const char *value);
/* It has none to spare, and says that another one has it. */
void pw_peer_names(struct pw_peer *p, const struct pw_peer *holder);
/* Says on its link that this item is new to those who know all up to conf and backends. */
void pw_peer_tells(struct pw_peer *p, uint64_t conf, uint64_t backends, const char *key,
		   uint64_t revision, const char *value);
/* Says that a backend server ended under this request. */
void pw_peer_tells_end(struct pw_peer *p, const char *server, const struct fp *fp, int ran_ms);
/* Says that a backend server leaves, in that life of it. */
void pw_peer_tells_leaving(struct pw_peer *p, const char *server, int64_t born_ms);
/* Says that this request is blamed for such ends. */
void pw_peer_tells_verdict(struct pw_peer *p, const struct fp *fp);
/* What the entry has open to it carries nothing more; new connections do. */
void pw_peer_silence(struct pw_peer *p);
/* Says nothing any more, as if it had died. */
void pw_peer_stop(struct pw_peer *p);
/* Ends all of them, before pw_end. */
void pw_peers_end(void);
#endif
