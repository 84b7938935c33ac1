/* Parser of the platform's lists of backend servers. */
#include "hash.h"
#include "view.h"
#include <errno.h>
#include <json-c/json.h>
#include <string.h>

static const char *get_string(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v)) return NULL;
	return json_object_is_type(v, json_type_string) ? json_object_get_string(v) : NULL;
}

static int get_flag(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) && json_object_get_boolean(v);
}

static void read_services(json_object *o, struct backend *b)
{
	json_object *list;
	size_t i, n;

	if (!json_object_object_get_ex(o, "services", &list)) return;
	if (!json_object_is_type(list, json_type_array)) return;
	n = json_object_array_length(list);
	for (i = 0; i < n && b->nservices < CORE_ENGINE_SERVICES_MAX; i++) {
		const char *s = json_object_get_string(json_object_array_get_idx(list, i));

		if (s) b->service[b->nservices++] = hash_name(s);
	}
}

static int read_backend(json_object *o, const char *dc, struct backend *b)
{
	const char *address = get_string(o, "address"), *kind = get_string(o, "kind");
	const char *state = get_string(o, "state");

	if (!address || !kind || strlen(address) > VIEW_ADDRESS_MAX) return -EINVAL;
	if (strcmp(kind, "engine") && strcmp(kind, "service")) return -EINVAL;
	strcpy(b->address, address);
	g_strlcpy(b->dc, dc, sizeof b->dc);
	b->id = hash_name(address);
	b->kind = strcmp(kind, "engine") ? BACKEND_SERVICE : BACKEND_ENGINE;
	b->leaving = state && strcmp(state, "live") != 0;
	b->fenced = get_flag(o, "fenced");
	read_services(o, b);
	return 0;
}

struct backend *view_read_list(const char *dc, const char *json, uint32_t *n, struct err *e)
{
	json_object *root = json_tokener_parse(json), *list;
	struct backend *b = NULL;
	size_t i, len;

	*n = 0;
	if (!root || !json_object_object_get_ex(root, "instances", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		err_set(e, -EINVAL, STEP_PARSE, dc, "the list has no \"instances\"");
		json_object_put(root);
		return NULL;
	}
	len = json_object_array_length(list);
	b = g_new0(struct backend, len + 1);
	for (i = 0; i < len; i++)
		if (!read_backend(json_object_array_get_idx(list, i), dc, &b[*n])) ++*n;
	json_object_put(root);
	return b;
}
