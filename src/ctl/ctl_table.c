/* The commands "saddleheadctl table" and "saddleheadctl group". */
#include "ctl.h"
#include "tbl.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TABLE_PATH "/admin/v1/table"

static char *read_file(const char *path)
{
	GError *e = NULL;
	GString *s;
	char buf[4096], *text;
	size_t n;

	if (strcmp(path, "-")) {
		if (g_file_get_contents(path, &text, NULL, &e)) return text;
		fprintf(stderr, "saddleheadctl: %s\n", e->message);
		g_error_free(e);
		return NULL;
	}
	s = g_string_new(NULL);
	while ((n = fread(buf, 1, sizeof buf, stdin)) > 0)
		g_string_append_len(s, buf, (gssize)n);
	return g_string_free(s, FALSE);
}

static char *pretty_json(const char *text)
{
	json_object *o = json_tokener_parse(text);
	char *out = g_strdup(json_object_to_json_string_ext(
		o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_PRETTY_TAB |
			   JSON_C_TO_STRING_NOSLASHESCAPE));

	json_object_put(o);
	return out;
}

static int get_table(const struct ctl *c)
{
	struct httpc_answer a;
	int rc = ctl_call(c, "GET", TABLE_PATH, NULL, &a);
	char *text;

	if (!rc) {
		text = pretty_json(a.text->str);
		puts(text);
		fprintf(stderr, "version %s\n", a.etag);
		g_free(text);
	}
	httpc_free(&a);
	return rc;
}

static int put_table_text(const struct ctl *c, const char *text)
{
	struct httpc_answer a;
	int rc = ctl_call(c, "PUT", TABLE_PATH, text, &a);

	if (!rc) printf("accepted as version %s\n", a.etag);
	httpc_free(&a);
	return rc;
}

static int put_table(const struct ctl *c, const char *path)
{
	char *text = read_file(path);
	int rc;

	if (!text) return -1;
	rc = put_table_text(c, text);
	g_free(text);
	return rc;
}

static void diff_rows(const char *kind, json_object *from, json_object *to, int *n)
{
	json_object *other;

	json_object_object_foreach(from, name, row)
	{
		if (!json_object_object_get_ex(to, name, &other)) {
			printf("- %s %s %s\n", kind, name, json_object_to_json_string(row));
			++*n;
		} else if (!json_object_equal(row, other)) {
			printf("- %s %s %s\n", kind, name, json_object_to_json_string(row));
			printf("+ %s %s %s\n", kind, name, json_object_to_json_string(other));
			++*n;
		}
	}
	json_object_object_foreach(to, added, new_row)
	{
		if (json_object_object_get_ex(from, added, &other)) continue;
		printf("+ %s %s %s\n", kind, added, json_object_to_json_string(new_row));
		++*n;
	}
}

static json_object *member_or_empty(json_object *root, const char *key)
{
	json_object *v;

	if (json_object_object_get_ex(root, key, &v)) return json_object_get(v);
	return json_object_new_object();
}

static void diff_member(json_object *from, json_object *to, const char *key, int *n)
{
	json_object *a = member_or_empty(from, key), *b = member_or_empty(to, key);

	diff_rows(key, a, b, n);
	json_object_put(a);
	json_object_put(b);
}

/* Prints the changes that put_table would make. */
static int diff_table(const struct ctl *c, const char *path)
{
	struct httpc_answer a;
	char *text = read_file(path);
	json_object *from, *to;
	int n = 0;

	if (!text) return -1;
	if (ctl_call(c, "GET", TABLE_PATH, NULL, &a)) {
		httpc_free(&a);
		g_free(text);
		return -1;
	}
	from = json_tokener_parse(a.text->str);
	to = json_tokener_parse(text);
	if (!to) fprintf(stderr, "saddleheadctl: %s is not JSON\n", path);
	if (to) {
		diff_member(from, to, "services", &n);
		diff_member(from, to, "groups", &n);
		if (!n) puts("no difference");
	}
	json_object_put(from);
	json_object_put(to);
	httpc_free(&a);
	g_free(text);
	return to ? 0 : -1;
}

/* Runs $EDITOR through the shell, as other command line tools do: it may contain arguments. */
static int edit_table(const struct ctl *c)
{
	const char *editor = getenv("EDITOR") ? getenv("EDITOR") : "vi";
	struct ctl conditional = *c;
	struct httpc_answer a;
	char path[] = "/tmp/saddlehead-table-XXXXXX", *text, *quoted, *cmd;
	int fd, rc = ctl_call(c, "GET", TABLE_PATH, NULL, &a);

	if (rc) {
		httpc_free(&a);
		return rc;
	}
	fd = mkstemp(path);
	text = pretty_json(a.text->str);
	if (fd < 0 || write(fd, text, strlen(text)) < 0) rc = -1;
	if (fd >= 0) close(fd);
	quoted = g_shell_quote(path);
	cmd = g_strdup_printf("%s %s", editor, quoted);
	conditional.if_match = a.etag;
	if (!rc && !system(cmd)) rc = put_table(&conditional, path);
	unlink(path);
	g_free(cmd);
	g_free(quoted);
	g_free(text);
	httpc_free(&a);
	return rc;
}

int ctl_table(const struct ctl *c, const char **arg)
{
	const char *command = arg[0] ? arg[0] : "get";

	if (!strcmp(command, "get")) return get_table(c);
	if (!strcmp(command, "edit")) return edit_table(c);
	if (!strcmp(command, "status")) return ctl_list(c, "status");
	if (!strcmp(command, "put") && arg[1]) return put_table(c, arg[1]);
	if (!strcmp(command, "diff") && arg[1]) return diff_table(c, arg[1]);
	fprintf(stderr, "saddleheadctl: table get | put FILE | diff FILE | edit | status\n");
	return -2;
}

static int group_send(const struct ctl *c, const char *method, const char *name,
		      const char *body)
{
	char *path = g_strdup_printf("/admin/v1/groups/%s", name);
	struct httpc_answer a;
	int rc = ctl_call(c, method, path, body, &a);

	if (!rc) printf("accepted as version %s\n", a.etag);
	httpc_free(&a);
	g_free(path);
	return rc;
}

static int group_put(const struct ctl *c, const char *method, const char *name,
		     const char *value)
{
	char *text = *value == '{' ? g_strdup(value) : read_file(value);
	int rc;

	if (!text) return -1;
	rc = group_send(c, method, name, text);
	g_free(text);
	return rc;
}

static json_object *group_row(const char *name, const struct tbl_group *g)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, "group", json_object_new_string(name));
	json_object_object_add(row, "weight", json_object_new_double(g->weight));
	json_object_object_add(
		row, "class",
		json_object_new_string(g->class == TBL_BATCH ? "batch" : "interactive"));
	json_object_object_add(row, "running", json_object_new_int64(g->ceiling.running));
	json_object_object_add(row, "waiting", json_object_new_int64(g->ceiling.waiting));
	json_object_object_add(row, "tokens/s", json_object_new_int64(g->ceiling.tokens_per_s));
	json_object_object_add(row, "floor", json_object_new_int64(g->floor.running));
	json_object_object_add(row, "services", json_object_new_int64(g->nservices));
	return row;
}

static int group_list(const struct ctl *c)
{
	static const char *const columns[] = {"group",   "weight",   "class", "running",
					      "waiting", "tokens/s", "floor", "services"};
	struct httpc_answer a;
	json_object *list;
	struct tbl *t;
	struct err e;
	uint32_t i;

	if (ctl_call(c, "GET", TABLE_PATH, NULL, &a)) {
		httpc_free(&a);
		return -1;
	}
	t = tbl_parse(a.text->str, 0, &e);
	list = json_object_new_array();
	for (i = 0; t && i < t->ngroups; i++)
		json_object_array_add(list, group_row(t->group[i].name, &t->group[i]));
	if (c->json)
		puts(json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
	else
		ctl_print_table(list, columns, 8);
	json_object_put(list);
	tbl_unref(t);
	httpc_free(&a);
	return t ? 0 : -1;
}

int ctl_group(const struct ctl *c, const char **arg)
{
	if (!arg[0] || !strcmp(arg[0], "list")) return group_list(c);
	if (!strcmp(arg[0], "put") && arg[1] && arg[2])
		return group_put(c, "PUT", arg[1], arg[2]);
	if (!strcmp(arg[0], "patch") && arg[1] && arg[2])
		return group_put(c, "PATCH", arg[1], arg[2]);
	if (!strcmp(arg[0], "delete") && arg[1]) return group_send(c, "DELETE", arg[1], NULL);
	fprintf(stderr,
		"saddleheadctl: group list | put NAME JSON | patch NAME JSON | delete NAME\n");
	return -2;
}
