/* The operators' configuration: routes, services, and workspaces with their keys. Immutable. */
#ifndef SH_CONF_H
#define SH_CONF_H
#include "st_rev.h"
#include <glib.h>
#include <stdint.h>

#define CONF_SPLIT_MAX 8     /* services that one route may split its traffic over */
#define CONF_SHARES_MAX 4096 /* workspaces with a share each: bounds what keepers hold */

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
	int64_t timeout_us;   /* longest time for which a request is held */
	int64_t objective_us; /* latency objective of the first byte */
	int64_t gap_us;       /* longest pause between events; 0: unknown */
	int priority;         /* 0: most urgent */
	int attempts;         /* maximum number of backend servers that one request is run on */
	int open;             /* needs no key */
	int resumable;        /* a stream may continue in a new run */
	struct conf_split split[CONF_SPLIT_MAX];
	int nsplit;
	char **regions; /* regions it may be served in; NULL: all */
};

struct conf_service {
	char *name;
	uint32_t connections; /* connections that one server accepts from all instances; 0:
				 unknown */
	char *check;          /* path of a server's health check; NULL: unknown */
	int64_t cold_us;      /* how long a server is cold after its start; 0: never */
	double cold_per_s; /* requests per second that it can handle while cold; 0: unknown */
	/* Model engines only: */
	int engine;
	int runs_once;   /* its generations may neither run again nor be resumed: conf_note_runs
			  */
	uint32_t slots;  /* requests at once */
	uint32_t tokens; /* memory for them, in tokens */
	uint32_t token_bytes; /* memory of one token, in bytes */
	uint32_t stride;      /* tokens in one event of a stream; 1 if unknown */
	double link_mbps;     /* bandwidth for memory transfers */
	int moves, replicas;  /* memory can be moved to, or replicated at, other engines */
	int64_t handle_us;    /* how long a replica is kept */
};

struct conf_group {
	char *name;
	int priority;   /* -1: not set */
	double weight;  /* of its share among workspaces of one rank; 1 by default */
	char **regions; /* regions it may be served in; NULL: all */
};

/* Who decides which generations wait and which are refused. */
enum conf_scope {
	/* Not said. If neither the configuration nor the settings say, the fleet where no
	 * generation of the service may run again: one that an engine turns away or preempts is
	 * lost, so that its place must be right the first time. Else each instance. */
	CONF_SCOPE_DEFAULT,
	CONF_SCOPE_INSTANCE, /* each instance for itself */
	CONF_SCOPE_FLEET     /* one instance for each service */
};

/* Defaults. Below a quarter a workspace or kind of request counts as starved by the rules of
 * deployments. Half of the room is left for first attempts, which are served sooner. */
#define CONF_FLOOR 0.25
#define CONF_PROMISED 0.5

struct conf_admission {
	enum conf_scope scope;
	/* A workspace or route is served at least this fraction as often as all. */
	double floor;
	double promised;  /* part of the foreseen room that appointments may take */
	int appointments; /* refused callers are given times at which room is foreseen */
};

struct conf {
	int refs;
	struct conf_admission admission;
	uint64_t version; /* version set by the operators */
	st_rev revision;  /* revision of the store */
	GPtrArray *routes, *services, *groups;
	GHashTable *by_prefix; /* "host prefix" -> route */
	GHashTable *by_key, *by_service;
	int keyed; /* workspaces are configured, possibly none: routes that are not open require
		      a key */
	uint32_t head_bytes, body_bytes; /* limits of a request's size; 0: unknown */
	int64_t head_us, idle_us;
};

struct conf *conf_new(void);
struct conf *conf_ref(struct conf *c);
void conf_unref(struct conf *c);

/* These functions take ownership of the strings in their arguments. */
void conf_add_route(struct conf *c, struct conf_route *r);
void conf_add_service(struct conf *c, struct conf_service *s);
struct conf_group *conf_add_group(struct conf *c, char *name, int priority);
void conf_add_key(struct conf *c, struct conf_group *g, char *key);

/* Sets runs_once of all services, once all routes and services have been added. */
void conf_note_runs(struct conf *c);
/* Returns the host's route with the longest prefix that matches the path, or NULL. */
const struct conf_route *conf_route(const struct conf *c, const char *host, const char *path);
const struct conf_group *conf_group(const struct conf *c, const char *key);
const struct conf_service *conf_service(const struct conf *c, const char *name);
/* Whether requests of the route and the group (NULL: no group) may be served and stored in the
 * region (NULL: region unknown). */
int conf_allows(const struct conf_route *r, const struct conf_group *g, const char *region);
/* Whether a route of the host, or any group, is restricted to regions. */
int conf_restricts_regions(const struct conf *c, const char *host);
/* Selects a service by weight for a draw in [0, 1). */
const char *conf_pick(const struct conf_route *r, double draw);
#endif
