/* What operators configured: routes, services and workspaces with their keys; immutable. */
#ifndef SH_CONF_H
#define SH_CONF_H
#include <glib.h>
#include <stdint.h>

#define CONF_SPLIT_MAX 8 /* services one route is divided over */

enum conf_kind {
	CONF_SAFE,   /* may run more than once */
	CONF_UNSAFE, /* runs at most once for each attempt of a caller */
	CONF_STREAM, /* server-sent events; may run again only where resumable */
};

struct conf_split {
	char *service;
	double weight;
};

struct conf_route {
	char *name, *host, *prefix;
	enum conf_kind kind;
	int64_t timeout_us; /* longest time a request is held */
	int64_t aim_us;     /* to the first byte, for the full worth */
	int64_t gap_us;     /* longest pause between events; 0: not told */
	int priority;       /* 0: most urgent */
	int attempts;       /* most backend servers one request is run on */
	int open;           /* needs no key */
	int resumable;      /* a stream may go on in a new run */
	struct conf_split split[CONF_SPLIT_MAX];
	int nsplit;
	char **regions; /* it may be served there alone; NULL: anywhere */
};

struct conf_service {
	char *name;
	uint32_t connections; /* one server takes from all instances; 0: not told */
	char *check;          /* path of a server's health check; NULL: not told */
	int64_t cold_us;      /* after its start a server is cold so long; 0: it is not */
	double cold_per_s;    /* requests a second that it bears while cold; 0: not told */
	/* Model engines only: */
	int engine;
	uint32_t slots;       /* requests at once */
	uint32_t tokens;      /* memory for them */
	uint32_t token_bytes; /* memory of one token */
	uint32_t stride;      /* tokens in one event of a stream; 1 where not told */
	double link_mbps;     /* over which memory moves */
	int moves, backups;
	int64_t handle_us; /* a copy is kept so long */
};

struct conf_group {
	char *name;
	int priority;   /* -1: none of its own */
	char **regions; /* as a route's */
};

struct conf {
	int refs;
	uint64_t version;  /* the operators' */
	uint64_t revision; /* the store's */
	GPtrArray *routes, *services, *groups;
	GHashTable *by_place; /* "host prefix" -> route */
	GHashTable *by_key, *by_service;
	int keyed; /* workspaces are listed, be it none: routes that are not open need a key */
	uint32_t head_bytes, body_bytes; /* limits of a request; 0: not told */
	int64_t head_us, idle_us;
};

struct conf *conf_new(void);
struct conf *conf_ref(struct conf *c);
void conf_unref(struct conf *c);

/* Each takes its argument's texts over. */
void conf_add_route(struct conf *c, struct conf_route *r);
void conf_add_service(struct conf *c, struct conf_service *s);
struct conf_group *conf_add_group(struct conf *c, char *name, int priority);
void conf_add_key(struct conf *c, struct conf_group *g, char *key);

/* The route of the host whose prefix is the longest that begins the path, or NULL. */
const struct conf_route *conf_route(const struct conf *c, const char *host, const char *path);
const struct conf_group *conf_group(const struct conf *c, const char *key);
const struct conf_service *conf_service(const struct conf *c, const char *name);
/* Whether something of the route, and of the group (NULL: of none), may be served and kept in
 * the region (NULL: not known where). */
int conf_allows(const struct conf_route *r, const struct conf_group *g, const char *region);
/* Whether some route of the host, or some group, is bound to regions. */
int conf_binds_regions(const struct conf *c, const char *host);
/* The service for a draw from 0 up to 1. */
const char *conf_pick(const struct conf_route *r, double draw);
#endif
