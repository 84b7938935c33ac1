/* Edits of the operators' table: read, modify, validate, compare-and-swap on the version. */
#ifndef SH_TABLE_EDIT_H
#define SH_TABLE_EDIT_H
#include "err.h"
#include <json-c/json.h>
#include <stdint.h>

enum edit_type { EDIT_TABLE, EDIT_GROUP_PUT, EDIT_GROUP_PATCH, EDIT_GROUP_DELETE };

struct edit {
	enum edit_type type;
	const char *group;  /* not for EDIT_TABLE */
	json_object *value; /* not for EDIT_GROUP_DELETE */
	uint64_t if_match;  /* required version; 0: any */
};

/*
 * Returns 0 and the new version if the edit was accepted: it is written to the platform's store
 * and in force at this instance.
 * -EINVAL: validation failed, e names the row and field.
 * -ENOENT: no such group.
 * -ECANCELED: the table is at another version than if_match, namely *version, or it changed
 * during every try.
 * -EBUSY: not written, since the platform did not answer or its call budget is used up.
 * -EIO: the platform did not answer the write; the edit may have been accepted.
 */
int table_edit(const struct edit *ed, uint64_t *version, struct err *e);
#endif
