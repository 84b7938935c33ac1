/* The wire dialect (dl_) of callers, backend servers, resolution queries, the platform's lists
 * and the settings file, translated to the product's own types. One adapter, in platform/,
 * implements it; no other code uses the names on the wire. */
#ifndef SH_DIALECT_H
#define SH_DIALECT_H
#include "be.h"
#include "conf.h"
#include "entry_cfg.h"
#include "fp.h"
#include "hp.h"
#include "store.h"
#include <glib.h>
#include <saddlehead/rollout.h>
#include <stdint.h>

#define DL_HANDLE_MAX 127 /* characters of a memory copy's handle; longer ones are invalid */

#define DL_SEGMENTS_MAX 16 /* of a prompt; twice as many as requests have */

/* Contents of the head of a caller's request. The strings point into the head. */
struct dl_request {
	const char *id; /* names this attempt of the caller */
	const char *host, *target;
	const char *key;                    /* NULL: none */
	int64_t deadline_us;                /* how long the caller waits; 0: not stated */
	uint32_t prompt_tokens, output_max; /* 0: not stated */
	uint32_t output_hint;     /* the caller's estimate of the output tokens; 0: none */
	const char *resume_after; /* id of the last event received; NULL: none */
	/* The attempt of the caller that brought the stream's first event; NULL: not stated. */
	const char *resumes;
	/* Segments of the prompt that other requests may have too. None if the field is missing
	 * or malformed, names a segment twice or more than DL_SEGMENTS_MAX. */
	struct fp segment[DL_SEGMENTS_MAX];
	int nsegments;
};

/* Returns 0, or -EINVAL if the deadline or the token counts are malformed, or the host or the
 * id is missing. */
int dl_read_request(const struct hp_head *h, struct dl_request *r);

/* Fields that this instance adds to a request to a backend server. */
struct dl_send {
	const char *backend;    /* incarnation it is meant for; another one refuses it */
	const char *group;      /* the workspace; NULL: the route is open */
	int64_t deadline_us;    /* time left */
	int priority;           /* 0 (most urgent) to 9; -1: none */
	const char *replica_at; /* address of the engine that holds the replica; NULL: none */
	const char *copy_at, *copy; /* copy to resume from: address and handle; NULL: none */
	const char *resume_after;   /* replaces the caller's; NULL: keep the caller's */
};
void dl_write_request(GString *out, const struct hp_head *h, const GString *body,
		      const struct dl_send *s);

/* Contents of the head of a backend server's answer. */
struct dl_answer {
	const char *id; /* of the request it answers; NULL: not stated */
	int not_run;    /* the request has not run and never will */
	int intact;     /* it carries the signature and its body is not encoded */
};
void dl_read_answer(const struct hp_head *h, struct dl_answer *a);

/* State that a backend server reports of itself in the head of any answer. */
struct dl_notice {
	int has_limit;        /* a limit is stated, valid or not */
	double limit_per_s;   /* requests per second that it accepts; negative: not stated */
	int has_brittle;      /* a bound on rejections is stated, valid or not */
	double brittle_per_s; /* rejections in a second that it bears; negative: not stated */
	int leaving;          /* it will shut down soon */
	int64_t cold_us;      /* remaining time of its cold start; 0: not stated */
	int64_t backoff_us;   /* requested back-off of this instance; 0: not stated */
	const char *invalid;  /* name of a field with an invalid value; or NULL */
};
/* own: the request was this instance's own, so that a time to retry is meant for it whatever
 * the status; in the answer to a caller's it is with 503 alone. Returns 0, or -ENOENT if
 * another incarnation answers: its state is not that of this one. */
int dl_read_notice(const struct hp_head *h, int own, struct dl_notice *n);

/* Writes the answer's head for the caller. length -1: the body is chunked. keep: the connection
 * stays open. */
void dl_write_head(GString *out, const struct hp_head *h, int64_t length, int keep);
/* Header fields of a refusal. retry_us: when to retry; 0: not stated. Free with g_free. */
char *dl_retry_fields(const char *request_id, int64_t retry_us);

/* Writes the request to copy the memory of a run to target. last: the source stops the run
 * first. */
void dl_write_move(GString *out, const struct be *source, const char *run, const char *target,
		   int last);
struct dl_move_reply {
	char handle[DL_HANDLE_MAX + 1];
};
/* Returns 0 or -EBADMSG. The answer of a failed move may name a handle too. */
int dl_read_move_reply(const char *body, size_t n, struct dl_move_reply *m);
/* Writes the request to delete a copy. */
void dl_write_release(GString *out, const struct be *at, const char *handle);

/* Writes a query for an engine's report. */
void dl_write_report(GString *out, const struct be *at);
struct dl_report {
	int leaving;
	int64_t incarnation_ms; /* of the server that answers, Unix ms; 0: not stated */
	GHashTable *events; /* id of a running request -> events it has produced; NULL: none */
};
/* A malformed report reads as an empty one. Reports are some hundred milliseconds old. */
void dl_read_report(const char *body, size_t n, struct dl_report *r);
/* Returns 1 if the report lists the run, and sets *events to the events it has produced. */
int dl_report_events(const struct dl_report *r, const char *id, uint32_t *events);
void dl_free_report(struct dl_report *r);
/* The health check shows a change half a second earlier than the report, but may be wrong. */
enum dl_health { DL_HEALTHY, DL_FAILING, DL_OTHER_INCARNATION, DL_UNKNOWN };
void dl_write_check(GString *out, const struct be *at, const char *path);
/* id: of the incarnation that was checked. */
enum dl_health dl_read_check(const struct hp_head *h, const char *id);

/* The platform's lists. */
enum dl_item {
	DL_OTHER,
	DL_CONF,
	DL_DRAIN,   /* of a data centre, while the key exists, whatever its value */
	DL_ROLLOUT, /* order for a service's new version */
	DL_BACKEND
};
struct dl_list {
	const char *prefix; /* of its keys */
	enum dl_item kind;  /* items that it is watched for */
};
extern const struct dl_list dl_lists[]; /* lists to watch; ends with a NULL prefix */
extern const char *const dl_conf_key;
extern const char *const dl_drains;   /* prefix of the keys of drains */
extern const char *const dl_rollouts; /* prefix of the keys of rollout orders */
enum dl_item dl_item_kind(const char *key);
/* The data centre named by the key of a drain. */
const char *dl_drained_dc(const char *key);
/* The service named by the key of a rollout order. */
const char *dl_rollout_service(const char *key);
struct dl_rollout {
	char target[ENTRY_TEXT_MAX + 1]; /* the version to introduce */
	int64_t duration_us;             /* time in which to complete it */
};
/* Reads an order. Returns 0 or -EBADMSG. */
int dl_read_rollout(const char *value, size_t n, const char *service, struct dl_rollout *d);
/* Key and value of the status that operators read. Free both with g_free. */
char *dl_rollout_status_key(const char *service);
char *dl_write_rollout_status(enum rollout_stage s, const char *target);
/* Returns 0, -ENOENT if the status is of another version, or -EBADMSG. */
int dl_read_rollout_status(const char *value, size_t n, const char *target,
			   enum rollout_stage *s);
/* The id of the backend server, from the key of its entry. */
const char *dl_backend_id(const char *key);
/* Reads the configuration. Returns NULL and sets e if it is malformed. */
struct conf *dl_read_conf(const char *value, size_t n, struct err *e);
/* Reads a backend server's entry and calls be_update. Returns NULL, or the name of the invalid
 * field: then the entry must not be used, and the server gets no new work. */
const char *dl_read_backend(const char *key, const char *value, size_t n);

/* Queries that this instance answers itself. DL_NONE: an ordinary request. */
enum dl_query { DL_NONE, DL_READY, DL_RESOLVE };
enum dl_query dl_query(const struct hp_head *h);
/* Arguments of DL_RESOLVE: the host and the caller's region; empty if not stated. */
struct dl_resolve {
	char host[ENTRY_TEXT_MAX + 1], region[ENTRY_TEXT_MAX + 1];
};
void dl_read_resolve(const struct hp_head *h, struct dl_resolve *w);
void dl_write_resolve(GString *out, const char *const *address, int n, double ttl_s);

/* Reads the settings file of the platform. Returns 0, or a negative errno with e set. */
int dl_read_settings(const char *path, struct entry_cfg *c, struct err *e);
/* Path of the settings file. */
const char *dl_settings_path(void);
#endif
