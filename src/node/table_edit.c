#include "table_edit.h"
#include "docs.h"
#include "kv.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "tbl.h"
#include <errno.h>
#include <glib.h>
#include <string.h>

#define CONFLICTS_MAX 8 /* tries of an edit without If-Match */
#define CONFIRM_TRIES 3

static json_object *groups_of(json_object *root)
{
	json_object *g;

	if (json_object_object_get_ex(root, "groups", &g)) return g;
	g = json_object_new_object();
	json_object_object_add(root, "groups", g);
	return g;
}

/* JSON merge patch (RFC 7396): null removes a field, objects merge, other values replace. */
static void merge_patch(json_object *row, json_object *changes)
{
	json_object *old;

	json_object_object_foreach(changes, key, v)
	{
		if (json_object_is_type(v, json_type_null)) {
			json_object_object_del(row, key);
		} else if (json_object_is_type(v, json_type_object) &&
			   json_object_object_get_ex(row, key, &old) &&
			   json_object_is_type(old, json_type_object)) {
			merge_patch(old, v);
		} else {
			json_object_object_add(row, key, json_object_get(v));
		}
	}
}

static int edit_group(const struct edit *ed, json_object *root, struct err *e)
{
	json_object *groups = groups_of(root), *row;

	if (ed->type == EDIT_GROUP_PUT) {
		json_object_object_add(groups, ed->group, json_object_get(ed->value));
		return 0;
	}
	if (!json_object_object_get_ex(groups, ed->group, &row))
		return err_set(e, -ENOENT, STEP_PARSE, "", "group \"%s\" is not in the table",
			       ed->group);
	if (ed->type == EDIT_GROUP_DELETE)
		json_object_object_del(groups, ed->group);
	else
		merge_patch(row, ed->value);
	return 0;
}

/* Returns the text of the edited table, or NULL with *rc and e set. */
static char *edited_text(const struct edit *ed, const char *old, int *rc, struct err *e)
{
	json_object *root;
	char *text = NULL;

	if (ed->type == EDIT_TABLE)
		root = json_object_get(ed->value);
	else
		root = old ? json_tokener_parse(old) : json_object_new_object();
	*rc = ed->type == EDIT_TABLE ? 0 : edit_group(ed, root, e);
	if (!*rc) text = g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

static int validate(const char *text, struct err *e)
{
	struct tbl *t = tbl_parse(text, 0, e);

	if (!t) return -EINVAL;
	tbl_unref(t);
	return 0;
}

/* Reads the table back after a write without an answer, to find out whether it was made. */
static int confirm_write(const char *text, uint64_t *version, struct err *e)
{
	char *stored;
	size_t len;
	int i, equal;

	for (i = 0; i < CONFIRM_TRIES; i++) {
		met_retried(RETRY_PLATFORM);
		if (kv_get(DOC_TABLE, &stored, &len, version, e)) continue;
		equal = !strcmp(stored, text);
		g_free(stored);
		if (equal) return 0;
	}
	return err_set(e, -EIO, STEP_PLATFORM, "",
		       "the change may be accepted yet: read the table");
}

/* One read-modify-write cycle. -EPERM: if_match failed; -ECANCELED: the table changed
 * meanwhile. */
static int try_edit(const struct edit *ed, uint64_t *version, struct err *e)
{
	char *old = NULL, *text;
	size_t len;
	int rc = kv_get(DOC_TABLE, &old, &len, version, e);

	if (rc == -ENOENT)
		*version = 0;
	else if (rc)
		return rc == -EIO ? -EBUSY : rc;
	if (ed->if_match && ed->if_match != *version) {
		g_free(old);
		return err_set(e, -EPERM, STEP_PLATFORM, "", "the table is at version %llu",
			       (unsigned long long)*version);
	}
	text = edited_text(ed, old, &rc, e);
	g_free(old);
	if (!rc) rc = validate(text, e);
	if (!rc) rc = kv_put(DOC_TABLE, text, strlen(text), *version, version, e);
	if (rc == -EIO) rc = confirm_write(text, version, e);
	if (!rc) docs_update(node.doc_table, *version, text, strlen(text));
	g_free(text);
	return rc;
}

int table_edit(const struct edit *ed, uint64_t *version, struct err *e)
{
	int i, rc;

	for (i = 0; i < CONFLICTS_MAX; i++) {
		rc = try_edit(ed, version, e);
		if (rc == -EPERM) return -ECANCELED;
		if (rc != -ECANCELED || ed->if_match) return rc;
	}
	return rc;
}
