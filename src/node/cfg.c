#include "cfg.h"
#include "claim.h"
#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

enum kind { TEXT, NUMBER, LIST };

/* One setting: its path in the file, kind, offset in struct cfg, range and default. min and max
 * bound the value of a NUMBER, the bytes of a TEXT and the entries of a LIST. */
struct spec {
	const char *path;
	enum kind kind;
	size_t offset;
	int64_t min, max, default_value;
	const char *default_text; /* of a TEXT or LIST; NULL: required */
};

#define FIELD(field) offsetof(struct cfg, field)

static const struct spec specs[] = {
	{"instance", TEXT, FIELD(instance), 1, MBR_NAME_MAX, 0, NULL},
	{"data_centre", TEXT, FIELD(data_centre), 1, MBR_NAME_MAX, 0, NULL},
	{"admin_key_sha256", TEXT, FIELD(admin_key_sha256), 64, 64, 0, NULL},
	{"listen.ip", TEXT, FIELD(ip), 1, MBR_IP_MAX, 0, "0.0.0.0"},
	{"listen.advertise_ip", TEXT, FIELD(advertise_ip), 1, MBR_IP_MAX, 0, "127.0.0.1"},
	{"listen.front_port", NUMBER, FIELD(front_port), 0, 65535, 0, NULL},
	{"listen.admin_port", NUMBER, FIELD(admin_port), 0, 65535, 0, NULL},
	{"listen.peer_port", NUMBER, FIELD(peer_port), 0, 65535, 0, NULL},
	{"peer.key", TEXT, FIELD(peer_key), 1, 64, 0, NULL},
	{"peer.seeds", LIST, FIELD(seeds), 0, CFG_LIST_MAX, 0, ""},
	{"peer.heartbeat_ms", NUMBER, FIELD(heartbeat_ms), 10, 60000, 300, NULL},
	{"peer.ack_ms", NUMBER, FIELD(ack_ms), 10, 60000, 600, NULL},
	{"peer.suspect_ms", NUMBER, FIELD(suspect_ms), 10, 600000, 1200, NULL},
	{"platform.address", TEXT, FIELD(platform), 3, CFG_TEXT_MAX, 0, NULL},
	{"platform.data_centres", LIST, FIELD(data_centres), 1, 30, 0, NULL},
	{"platform.timeout_ms", NUMBER, FIELD(platform_timeout_ms), 10, 60000, 2000, NULL},
	{"platform.watch_ms", NUMBER, FIELD(watch_ms), 100, 600000, 20000, NULL},
	{"platform.calls_per_s", NUMBER, FIELD(platform_calls_per_s), 1, 2000, 50, NULL},
	{"engine.connect_ms", NUMBER, FIELD(connect_ms), 10, 60000, 500, NULL},
	{"engine.first_byte_ms", NUMBER, FIELD(first_byte_ms), 10, 600000, 5000, NULL},
	{"engine.stall_ms", NUMBER, FIELD(stall_ms), 10, 600000, 5000, NULL},
	{"engine.silent_ms", NUMBER, FIELD(silent_ms), 10, 600000, 2000, NULL},
	{"engine.grace_ms", NUMBER, FIELD(grace_ms), 0, 60000, 300, NULL},
	{"engine.reserve_tokens", NUMBER, FIELD(reserve_tokens), 0, 1000000, 64, NULL},
	{"engine.prompt_weight_percent", NUMBER, FIELD(prompt_weight_pc), 0, 1000, 20, NULL},
	{"engine.retries", NUMBER, FIELD(retries), 0, 20, 3, NULL},
	{"service.timeout_ms", NUMBER, FIELD(call_timeout_ms), 10, 600000, 5000, NULL},
	{"service.claim_writes_per_s", NUMBER, FIELD(claim_writes_per_s), CLAIM_SHARDS, 2000,
	 64, NULL},
	{"service.concurrency", NUMBER, FIELD(call_concurrency), 1, 100000, 64, NULL},
	{"limits.body_bytes", NUMBER, FIELD(body_bytes), 1024, 64 << 20, 1 << 20, NULL},
	{"limits.requests", NUMBER, FIELD(requests), 1, 4096, 640, NULL},
	{"limits.waiting", NUMBER, FIELD(waiting), 1, 1000000, 10000, NULL},
	{"where.ttl_ms", NUMBER, FIELD(where_ttl_ms), 0, 600000, 3000, NULL},
	{"log.level", TEXT, FIELD(log_level), 1, 16, 0, "info"},
	{"log.format", TEXT, FIELD(log_format), 1, 16, 0, "text"},
};

#define NSPECS (sizeof specs / sizeof *specs)

struct reader {
	const char *file, *text;
	struct err *e;
};

static int setting_error(const struct reader *r, const char *path, const char *reason)
{
	return err_set(r->e, -EINVAL, STEP_SETTINGS, r->file, "%s:%d: \"%s\" %s", r->file,
		       cfg_line(r->text, path), path, reason);
}

static int range_error(const struct reader *r, const struct spec *s)
{
	char reason[96];

	snprintf(reason, sizeof reason, "is out of range: from %lld to %lld%s",
		 (long long)s->min, (long long)s->max,
		 s->kind == NUMBER ? ""
		 : s->kind == TEXT ? " bytes"
				   : " entries");
	return setting_error(r, s->path, reason);
}

static int read_text(const struct reader *r, const struct spec *s, json_object *v, char *out)
{
	const char *t = json_object_get_string(v);
	int64_t n = t ? (int64_t)strlen(t) : 0;

	if (!json_object_is_type(v, json_type_string))
		return setting_error(r, s->path, "must be a string");
	if (n < s->min || n > s->max) return range_error(r, s);
	memcpy(out, t, (size_t)n + 1);
	return 0;
}

static int read_number(const struct reader *r, const struct spec *s, json_object *v,
		       int64_t *out)
{
	if (!json_object_is_type(v, json_type_int))
		return setting_error(r, s->path, "must be a whole number");
	*out = json_object_get_int64(v);
	return *out < s->min || *out > s->max ? range_error(r, s) : 0;
}

static int read_list(const struct reader *r, const struct spec *s, json_object *v,
		     struct cfg_list *out)
{
	const char *t;
	int64_t i, n;

	if (!json_object_is_type(v, json_type_array))
		return setting_error(r, s->path, "must be a list");
	n = (int64_t)json_object_array_length(v);
	if (n < s->min || n > s->max) return range_error(r, s);
	for (i = 0; i < n; i++) {
		json_object *o = json_object_array_get_idx(v, (size_t)i);

		t = json_object_get_string(o);
		if (!json_object_is_type(o, json_type_string) || strlen(t) > CFG_TEXT_MAX)
			return setting_error(r, s->path,
					     "must hold strings of at most 127 bytes");
		strcpy(out->item[out->n++], t);
	}
	return 0;
}

static int read_setting(const struct reader *r, const struct spec *s, json_object *v,
			struct cfg *c)
{
	void *dest = (char *)c + s->offset;

	switch (s->kind) {
	case TEXT: return read_text(r, s, v, dest);
	case NUMBER: return read_number(r, s, v, dest);
	case LIST: return read_list(r, s, v, dest);
	}
	return -EINVAL;
}

static const struct spec *find_spec(const char *path)
{
	size_t i;

	for (i = 0; i < NSPECS; i++)
		if (!strcmp(specs[i].path, path)) return &specs[i];
	return NULL;
}

static int is_section(const char *path)
{
	size_t i, n = strlen(path);

	for (i = 0; i < NSPECS; i++)
		if (!strncmp(specs[i].path, path, n) && specs[i].path[n] == '.') return 1;
	return 0;
}

static int read_section(const struct reader *r, const char *section, json_object *o,
			struct cfg *c, unsigned char *given)
{
	char path[128];
	const struct spec *s;
	int rc;

	json_object_object_foreach(o, key, v)
	{
		snprintf(path, sizeof path, "%s%s%s", section, *section ? "." : "", key);
		s = find_spec(path);
		if (s) {
			rc = read_setting(r, s, v, c);
			given[s - specs] = 1;
		} else if (!*section && is_section(path) &&
			   json_object_is_type(v, json_type_object)) {
			rc = read_section(r, path, v, c, given);
		} else {
			rc = setting_error(r, path,
					   is_section(path) ? "must be an object"
							    : "is not a setting");
		}
		if (rc) return rc;
	}
	return 0;
}

static int apply_defaults(const struct reader *r, struct cfg *c, const unsigned char *given)
{
	const struct spec *s;
	size_t i;

	for (i = 0; i < NSPECS; i++) {
		s = &specs[i];
		if (given[i]) continue;
		if (s->kind == NUMBER)
			*(int64_t *)((char *)c + s->offset) = s->default_value;
		else if (!s->default_text)
			return setting_error(r, s->path, "is missing");
		else if (s->kind == TEXT)
			strcpy((char *)c + s->offset, s->default_text);
	}
	return 0;
}

static int json_error(const struct reader *r, enum json_tokener_error reason, size_t at)
{
	int line = 1;
	size_t i;

	for (i = 0; i < at && r->text[i]; i++) line += r->text[i] == '\n';
	return err_set(r->e, -EINVAL, STEP_SETTINGS, r->file, "%s:%d: not JSON: %s", r->file,
		       line, json_tokener_error_desc(reason));
}

int cfg_parse(const char *name, const char *text, struct cfg *c, struct err *e)
{
	struct reader r = {name, text, e};
	json_tokener *tok = json_tokener_new();
	json_object *root = json_tokener_parse_ex(tok, text, (int)strlen(text) + 1);
	enum json_tokener_error reason = json_tokener_get_error(tok);
	size_t at = json_tokener_get_parse_end(tok);
	unsigned char given[NSPECS] = {0};
	int rc;

	json_tokener_free(tok);
	memset(c, 0, sizeof *c);
	if (reason != json_tokener_success) return json_error(&r, reason, at);
	if (!json_object_is_type(root, json_type_object))
		rc = err_set(e, -EINVAL, STEP_SETTINGS, name, "%s:1: must be an object", name);
	else
		rc = read_section(&r, "", root, c, given);
	if (!rc) rc = apply_defaults(&r, c, given);
	json_object_put(root);
	return rc;
}

int cfg_load(const char *path, struct cfg *c, struct err *e)
{
	GError *reason = NULL;
	char *text;
	int rc;

	if (!g_file_get_contents(path, &text, NULL, &reason)) {
		rc = err_set(e, -EIO, STEP_SETTINGS, path, "%s", reason->message);
		g_error_free(reason);
		return rc;
	}
	rc = cfg_parse(path, text, c, e);
	g_free(text);
	return rc;
}
