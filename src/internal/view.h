/* This instance's view of the system: members, backend servers, their keepers, the table. */
#ifndef SH_VIEW_H
#define SH_VIEW_H
#include "err.h"
#include "tbl.h"
#include <glib.h>
#include <saddlehead/core.h>
#include <saddlehead/member.h>
#include <stdatomic.h>

#define VIEW_ADDRESS_MAX 63

enum backend_kind { BACKEND_ENGINE, BACKEND_SERVICE };

/* An engine or a plain service, as the platform lists it. */
struct backend {
	uint64_t id; /* hash of the address */
	char address[VIEW_ADDRESS_MAX + 1], dc[MBR_NAME_MAX + 1];
	enum backend_kind kind;
	uint64_t service[CORE_ENGINE_SERVICES_MAX];
	uint32_t nservices;
	int leaving, fenced;
	uint64_t keeper; /* member id; 0 if there is no usable member */
};

/* A snapshot of members and backend servers, immutable once published. */
struct view {
	atomic_int refs;
	struct mbr_info *member;
	uint32_t nmembers;
	struct backend *backend;
	uint32_t nbackends;
	GHashTable *backend_by_id;
	GHashTable *by_service; /* service id -> GPtrArray of struct backend */
};

void view_init(void);
void view_set_members(const struct mbr_info *list, uint32_t n);
/* Replaces the list of one data centre; on failure the previous list stays. */
int view_set_list(const char *dc, const char *json, struct err *e);
void view_set_table(struct tbl *t);

/* Calls f(arg) after each change of members, lists or table, in the thread that made it. */
void view_on_change(void (*f)(void *arg), void *arg);

/* Both return a new reference, or NULL if nothing was published yet. */
struct view *view_get(void);
struct tbl *view_table(void);
void view_unref(struct view *v);

const struct backend *view_backend(const struct view *v, uint64_t id);
const GPtrArray *view_service(const struct view *v, uint64_t service);
const struct mbr_info *view_member(const struct view *v, uint64_t id);
/* The member that owns key by rendezvous hashing, among members neither leaving nor dead: of
 * data centre dc if it has any (dc may be NULL), else of all. 0 if there are none. */
uint64_t view_owner(const struct mbr_info *m, uint32_t n, const char *dc, uint64_t key);

/* view_list.c: parses a platform list into a new array, skipping invalid entries; free it with
 * g_free. NULL if it is not a list. */
struct backend *view_read_list(const char *dc, const char *json, uint32_t *n, struct err *e);
#endif
