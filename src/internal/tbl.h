/* The operators' table: one row per group and per service, validated and immutable. */
#ifndef SH_TBL_H
#define SH_TBL_H
#include "err.h"
#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define TBL_NAME_MAX 63
#define TBL_SERVICES_MAX 64 /* services that one group may use */
#define TBL_KEY_HEX 64      /* length of a SHA-256 in hex */

enum tbl_class { TBL_INTERACTIVE, TBL_BATCH };
enum tbl_kind { TBL_MODEL, TBL_CALL };

/* 0 in a ceiling or floor means none. */
struct tbl_limits {
	uint32_t running;      /* requests at once */
	uint32_t waiting;      /* requests at once */
	uint32_t tokens_per_s; /* generated tokens per second */
};

struct tbl_group {
	uint64_t id; /* hash_name(name) */
	char name[TBL_NAME_MAX + 1];
	char key_sha256[TBL_KEY_HEX + 1];
	double weight;
	struct tbl_limits ceiling, floor;
	enum tbl_class class;
	uint32_t deadline_ms; /* longest wait for a grant */
	uint64_t service[TBL_SERVICES_MAX];
	uint32_t nservices;
};

struct tbl_service {
	uint64_t id;
	char name[TBL_NAME_MAX + 1];
	enum tbl_kind kind;
	int repeatable; /* 0: a call that must run at most once */
};

struct tbl {
	atomic_int refs;
	uint64_t version;
	char *text; /* the JSON text that it was parsed from */
	struct tbl_group *group;
	uint32_t ngroups;
	struct tbl_service *service;
	uint32_t nservices;
	GHashTable *by_id;  /* &group.id -> group */
	GHashTable *by_key; /* key hash -> group */
	GHashTable *service_by_id;
};

/* Parses and validates the table. On failure stores an error that names the row and field, and
 * returns NULL. */
struct tbl *tbl_parse(const char *text, uint64_t version, struct err *e);
struct tbl *tbl_ref(struct tbl *t);
void tbl_unref(struct tbl *t);

const struct tbl_group *tbl_group(const struct tbl *t, uint64_t id);
const struct tbl_service *tbl_service(const struct tbl *t, uint64_t id);
/* Returns the group with this key, or NULL. The hashes are compared in constant time. */
const struct tbl_group *tbl_group_by_key(const struct tbl *t, const char *key);
int tbl_may_reach(const struct tbl_group *g, uint64_t service);
#endif
