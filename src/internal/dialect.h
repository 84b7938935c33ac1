/* What is spoken with callers, backend servers, the directory's callers and the platform's
 * lists, in the product's own types. One adapter implements it; nothing else knows its names.
 */
#ifndef SH_DIALECT_H
#define SH_DIALECT_H
#include "be.h"
#include "conf.h"
#include "entry_cfg.h"
#include "hp.h"
#include "store.h"
#include <glib.h>
#include <saddlehead/rollout.h>
#include <stdint.h>

#define DL_HANDLE_MAX 127 /* characters of a copy's name; a longer one is cut */

/* What the head of a caller's request says. Texts live as long as the head. */
struct dl_request {
	const char *id; /* of this attempt */
	const char *host, *target;
	const char *key;                    /* NULL: none */
	int64_t deadline_us;                /* how long the caller waits; 0: not told */
	uint32_t prompt_tokens, output_max; /* 0: not told */
	uint32_t output_hint;               /* the caller's guess; 0: none */
	const char *resume_after; /* the last event that the caller has; NULL: from the start */
};

/* 0, or -EINVAL for a number that is none, or no host. */
int dl_read_request(const struct hp_head *h, struct dl_request *r);

/* What this instance adds to a request on its way to a backend server. */
struct dl_send {
	const char *backend;   /* the incarnation meant: another one refuses */
	const char *group;     /* the workspace, NULL where the route is open */
	int64_t deadline_us;   /* what is left */
	int priority;          /* 0 (most urgent) to 9; -1: not told */
	const char *backup_at; /* address of the engine that gets a running copy; or NULL */
	const char *copy_at,
		*copy;            /* goes on from a copy: the source's address, and its name */
	const char *resume_after; /* instead of the caller's; NULL: the caller's */
};
void dl_write_request(GString *out, const struct hp_head *h, const GString *body,
		      const struct dl_send *s);

/* What the head of a backend server's answer says. */
struct dl_answer {
	const char *id; /* of the request it answers; NULL: not told */
	int not_run;    /* it has not run and never will */
	int sound;      /* carries the signature, and its body comes as it was made */
};
void dl_read_answer(const struct hp_head *h, struct dl_answer *a);

/* What a backend server says of itself in the head of any answer, whatever was asked. */
struct dl_notice {
	int names_limit;    /* be it one that can't be used */
	double limit_per_s; /* requests that it takes in a second; negative: not told */
	int leaving;        /* it ends soon */
	int64_t cold_us;    /* it is cold for so long; 0: not told */
	int64_t rest_us; /* wants nothing from this instance for so long; 0: says nothing of it
			  */
	const char *unread; /* the name of a field whose value can't be used; or NULL */
};
/* 0, or -ENOENT where another incarnation answers, which says nothing of this one. */
int dl_read_notice(const struct hp_head *h, struct dl_notice *n);

/* The answer's head for the caller. length -1: the body follows in chunks. */
void dl_write_head(GString *out, const struct hp_head *h, int64_t length, int keep);
/* Fields for a refusal that says when to come back; retry_us 0: does not say. */
char *dl_retry_fields(const char *request_id, int64_t retry_us);

/* Moving the memory of a run: copies it to target; with last the source stops first. */
void dl_write_move(GString *out, const struct be *source, const char *run, const char *target,
		   int last);
struct dl_moved {
	char handle[DL_HANDLE_MAX + 1];
};
/* 0 or -EBADMSG. A failed move may name its handle too. */
int dl_read_moved(const char *body, size_t n, struct dl_moved *m);
void dl_write_drop(GString *out, const struct be *at, const char *handle);

/* Asking an engine how it is, and whether its answer says that it leaves. */
void dl_write_report(GString *out, const struct be *at);
struct dl_report {
	int leaving;
	int64_t born_ms;  /* of the life that answers; 0: not told */
	GHashTable *made; /* id of a request that runs there -> events; NULL: none is told */
};
/* What is no report says nothing. It is some hundred milliseconds old. */
void dl_read_report(const char *body, size_t n, struct dl_report *r);
/* 1 where it names the run: events that it had made. */
int dl_report_made(const struct dl_report *r, const char *id, uint32_t *made);
void dl_free_report(struct dl_report *r);
/* Its health check says at once what its report says half a second later, but may be wrong. */
enum dl_health { DL_SOUND, DL_FAILING, DL_STRANGER, DL_UNKNOWN };
void dl_write_check(GString *out, const struct be *at, const char *path);
/* id: of the incarnation that was asked. */
enum dl_health dl_read_check(const struct hp_head *h, const char *id);

/* The platform's lists. */
enum dl_item {
	DL_OTHER,
	DL_CONF,
	DL_DRAIN,   /* of a data centre, while the key stands; whatever it holds */
	DL_ROLLOUT, /* of a service's new version */
	DL_BACKEND
};
struct dl_list {
	const char *prefix; /* of its keys */
	enum dl_item of;    /* what it is listed for */
};
extern const struct dl_list dl_lists[]; /* to be watched; the prefix NULL at the end */
extern const char *const dl_conf_key;
extern const char *const dl_drains;   /* the prefix of their keys */
extern const char *const dl_rollouts; /* the same */
enum dl_item dl_item_kind(const char *key);
/* The data centre that the key of a drain names. */
const char *dl_drained_dc(const char *key);
/* The service that the key of a rollout names. */
const char *dl_rollout_service(const char *key);
struct dl_rollout {
	char target[ENTRY_TEXT_MAX + 1]; /* the version to bring in */
	int64_t for_us;                  /* to be done within it */
};
/* 0 or -EBADMSG. */
int dl_read_rollout(const char *value, size_t n, const char *service, struct dl_rollout *d);
/* Where operators read how far it is, and what stands there. Free both with g_free. */
char *dl_rollout_status_key(const char *service);
char *dl_write_rollout_status(enum rollout_stage s, const char *target);
/* 0; -ENOENT: of another version; -EBADMSG. */
int dl_read_rollout_status(const char *value, size_t n, const char *target,
			   enum rollout_stage *s);
/* The id of the backend server whose entry the key is. */
const char *dl_backend_id(const char *key);
/* NULL and e set when it is none. */
struct conf *dl_read_conf(const char *value, size_t n, struct err *e);
/* Calls be_update. NULL, or the name of the field that is at fault: then the entry names no
 * server to use, and one that it named before gets no new work. */
const char *dl_read_backend(const char *key, const char *value, size_t n);

/* Questions to this instance itself. */
enum dl_question { DL_NONE, DL_READY, DL_WHERE };
enum dl_question dl_question(const struct hp_head *h);
/* Of DL_WHERE: for which host, and where the caller is; empty where it does not say. */
struct dl_where {
	char host[ENTRY_TEXT_MAX + 1], region[ENTRY_TEXT_MAX + 1];
};
void dl_read_where(const struct hp_head *h, struct dl_where *w);
void dl_write_where(GString *out, const char *const *address, int n, double ttl_s);

/* Settings as the platform lays them. 0, or negative with e set. */
int dl_read_settings(const char *path, struct entry_cfg *c, struct err *e);
/* Where the platform lays them. */
const char *dl_settings_path(void);
#endif
