/* Parses the operators' table from JSON. Every field is validated; errors name the row and the
 * field. */
#include "tbl.h"
#include "hash.h"
#include <errno.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

#define WEIGHT_MAX 1e6
#define LIMIT_MAX 1000000000
#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_MAX_MS 3600000

struct reader {
	struct err *e;
	const char *kind, *row;
};

static int bad(struct reader *r, const char *field, const char *why)
{
	return err_set(r->e, -EINVAL, STEP_PARSE, "", "%s \"%s\": field \"%s\" %s", r->kind,
		       r->row, field, why);
}

static int name_ok(const char *s)
{
	size_t n = strlen(s);

	if (n == 0 || n > TBL_NAME_MAX) return 0;
	return strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
	       n;
}

static int read_u32(struct reader *r, const char *field, json_object *v, int64_t max,
		    uint32_t *out)
{
	int64_t n;

	if (!json_object_is_type(v, json_type_int))
		return bad(r, field, "must be a whole number");
	n = json_object_get_int64(v);
	if (n < 0 || n > max) return bad(r, field, "is out of range");
	*out = (uint32_t)n;
	return 0;
}

static int read_limits(struct reader *r, const char *field, json_object *v,
		       struct tbl_limits *out)
{
	if (!json_object_is_type(v, json_type_object))
		return bad(r, field, "must be an object");
	json_object_object_foreach(v, key, val)
	{
		uint32_t *to = NULL;

		if (!strcmp(key, "running")) to = &out->running;
		if (!strcmp(key, "waiting") && !strcmp(field, "ceilings")) to = &out->waiting;
		if (!strcmp(key, "tokens_per_s")) to = &out->tokens_per_s;
		if (!to) return bad(r, key, "is not known in limits");
		if (read_u32(r, key, val, LIMIT_MAX, to)) return -EINVAL;
	}
	return 0;
}

static int read_services(struct reader *r, const char *field, json_object *v,
			 struct tbl_group *g)
{
	size_t i, n;

	if (!json_object_is_type(v, json_type_array)) return bad(r, field, "must be a list");
	n = json_object_array_length(v);
	if (n > TBL_SERVICES_MAX) return bad(r, field, "has more than 64 services");
	for (i = 0; i < n; i++) {
		json_object *s = json_object_array_get_idx(v, i);

		if (!json_object_is_type(s, json_type_string))
			return bad(r, field, "must hold names");
		g->service[g->nservices++] = hash_name(json_object_get_string(s));
	}
	return 0;
}

static int read_key(struct reader *r, const char *field, json_object *v, struct tbl_group *g)
{
	const char *s = json_object_get_string(v);

	if (!json_object_is_type(v, json_type_string)) return bad(r, field, "must be a string");
	if (strlen(s) != TBL_KEY_HEX || strspn(s, "0123456789abcdef") != TBL_KEY_HEX)
		return bad(r, field, "must be a SHA-256 as 64 lower-case hex digits");
	memcpy(g->key_sha256, s, TBL_KEY_HEX + 1);
	return 0;
}

static int read_weight(struct reader *r, const char *field, json_object *v, struct tbl_group *g)
{
	if (!json_object_is_type(v, json_type_int) && !json_object_is_type(v, json_type_double))
		return bad(r, field, "must be a number");
	g->weight = json_object_get_double(v);
	if (!(g->weight > 0) || g->weight > WEIGHT_MAX)
		return bad(r, field, "must be above 0 and at most 1000000");
	return 0;
}

static int read_class(struct reader *r, const char *field, json_object *v, struct tbl_group *g)
{
	const char *s = json_object_get_string(v);

	if (json_object_is_type(v, json_type_string) && !strcmp(s, "interactive")) {
		g->class = TBL_INTERACTIVE;
		return 0;
	}
	if (json_object_is_type(v, json_type_string) && !strcmp(s, "batch")) {
		g->class = TBL_BATCH;
		return 0;
	}
	return bad(r, field, "must be \"interactive\" or \"batch\"");
}

static int read_group_field(struct reader *r, const char *key, json_object *v,
			    struct tbl_group *g)
{
	if (!strcmp(key, "weight")) return read_weight(r, key, v, g);
	if (!strcmp(key, "key_sha256")) return read_key(r, key, v, g);
	if (!strcmp(key, "class")) return read_class(r, key, v, g);
	if (!strcmp(key, "ceilings")) return read_limits(r, key, v, &g->ceiling);
	if (!strcmp(key, "floors")) return read_limits(r, key, v, &g->floor);
	if (!strcmp(key, "services")) return read_services(r, key, v, g);
	if (!strcmp(key, "deadline_ms"))
		return read_u32(r, key, v, DEADLINE_MAX_MS, &g->deadline_ms);
	return bad(r, key, "is not known");
}

static int check_group(struct reader *r, const struct tbl_group *g)
{
	if (!g->key_sha256[0]) return bad(r, "key_sha256", "is missing");
	if (g->ceiling.running && g->floor.running > g->ceiling.running)
		return bad(r, "floors", "has running above its ceiling");
	if (g->ceiling.tokens_per_s && g->floor.tokens_per_s > g->ceiling.tokens_per_s)
		return bad(r, "floors", "has tokens_per_s above its ceiling");
	return 0;
}

static int read_group(struct reader *r, const char *name, json_object *v, struct tbl_group *g)
{
	r->kind = "group";
	r->row = name;
	if (!name_ok(name)) return bad(r, "name", "must be 1 to 63 of letters, digits, - _ .");
	if (!json_object_is_type(v, json_type_object))
		return bad(r, "(row)", "must be an object");
	g->id = hash_name(name);
	strcpy(g->name, name);
	g->weight = 1;
	g->deadline_ms = DEADLINE_DEFAULT_MS;
	json_object_object_foreach(v, key, val)
	{
		if (read_group_field(r, key, val, g)) return -EINVAL;
	}
	return check_group(r, g);
}

static int read_service(struct reader *r, const char *name, json_object *v,
			struct tbl_service *s)
{
	const char *kind;

	r->kind = "service";
	r->row = name;
	if (!name_ok(name)) return bad(r, "name", "must be 1 to 63 of letters, digits, - _ .");
	if (!json_object_is_type(v, json_type_object))
		return bad(r, "(row)", "must be an object");
	s->id = hash_name(name);
	strcpy(s->name, name);
	s->repeatable = 1;
	json_object_object_foreach(v, key, val)
	{
		if (!strcmp(key, "kind")) {
			kind = json_object_get_string(val);
			if (!kind || (strcmp(kind, "model") && strcmp(kind, "call")))
				return bad(r, key, "must be \"model\" or \"call\"");
			s->kind = strcmp(kind, "call") ? TBL_MODEL : TBL_CALL;
		} else if (!strcmp(key, "repeatable")) {
			if (!json_object_is_type(val, json_type_boolean))
				return bad(r, key, "must be true or false");
			s->repeatable = json_object_get_boolean(val);
		} else {
			return bad(r, key, "is not known");
		}
	}
	return 0;
}

static int index_group(struct reader *r, struct tbl *t, struct tbl_group *g)
{
	if (!g_hash_table_insert(t->by_id, &g->id, g))
		return bad(r, "name", "clashes in its hash");
	if (!g_hash_table_insert(t->by_key, g->key_sha256, g))
		return bad(r, "key_sha256", "is that of another group");
	return 0;
}

static int read_groups(struct reader *r, struct tbl *t, json_object *v)
{
	if (!json_object_is_type(v, json_type_object))
		return err_set(r->e, -EINVAL, STEP_PARSE, "", "\"groups\" must be an object");
	t->group = g_new0(struct tbl_group, json_object_object_length(v) + 1);
	json_object_object_foreach(v, name, val)
	{
		struct tbl_group *g = &t->group[t->ngroups++];

		if (read_group(r, name, val, g) || index_group(r, t, g)) return -EINVAL;
	}
	return 0;
}

static int read_all_services(struct reader *r, struct tbl *t, json_object *v)
{
	if (!json_object_is_type(v, json_type_object))
		return err_set(r->e, -EINVAL, STEP_PARSE, "", "\"services\" must be an object");
	t->service = g_new0(struct tbl_service, json_object_object_length(v) + 1);
	json_object_object_foreach(v, name, val)
	{
		struct tbl_service *s = &t->service[t->nservices++];

		if (read_service(r, name, val, s)) return -EINVAL;
		g_hash_table_insert(t->service_by_id, &s->id, s);
	}
	return 0;
}

static int check_reach(struct reader *r, const struct tbl *t)
{
	uint32_t i, k;

	r->kind = "group";
	for (i = 0; i < t->ngroups; i++) {
		r->row = t->group[i].name;
		for (k = 0; k < t->group[i].nservices; k++)
			if (!tbl_service(t, t->group[i].service[k]))
				return bad(r, "services", "names a service without a row");
	}
	return 0;
}

static int read_root(struct reader *r, struct tbl *t, json_object *root)
{
	if (!json_object_is_type(root, json_type_object))
		return err_set(r->e, -EINVAL, STEP_PARSE, "", "the table must be an object");
	json_object_object_foreach(root, key, val)
	{
		int rc = -EINVAL;

		if (!strcmp(key, "groups"))
			rc = read_groups(r, t, val);
		else if (!strcmp(key, "services"))
			rc = read_all_services(r, t, val);
		else
			err_set(r->e, rc, STEP_PARSE, "", "\"%s\" is not known in the table",
				key);
		if (rc) return rc;
	}
	return check_reach(r, t);
}

struct tbl *tbl_parse(const char *text, uint64_t version, struct err *e)
{
	enum json_tokener_error why;
	json_object *root = json_tokener_parse_verbose(text, &why);
	struct reader r = {.e = e, .kind = "table", .row = ""};
	struct tbl *t;

	if (!root) {
		err_set(e, -EINVAL, STEP_PARSE, "", "the table is not JSON: %s",
			json_tokener_error_desc(why));
		return NULL;
	}
	t = g_new0(struct tbl, 1);
	t->refs = 1;
	t->version = version;
	t->text = g_strdup(text);
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	t->service_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (read_root(&r, t, root)) {
		tbl_unref(t);
		t = NULL;
	}
	json_object_put(root);
	return t;
}
