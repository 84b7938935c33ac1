/* saddleheadctl: the command line tool for operators. */
#include "ctl.h"
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ARGS_MAX 8

static void print_error(const char *peer, const struct httpc_answer *a)
{
	json_object *o = json_tokener_parse(a->text->str), *e, *m;

	if (a->status && o && json_object_object_get_ex(o, "error", &e) &&
	    json_object_object_get_ex(e, "message", &m))
		fprintf(stderr, "saddleheadctl: %s: %s\n", peer, json_object_get_string(m));
	else
		fprintf(stderr, "saddleheadctl: %s: %s\n", peer, a->text->str);
	json_object_put(o);
}

int ctl_call(const struct ctl *c, const char *method, const char *path, const char *body,
	     struct httpc_answer *a)
{
	struct httpc_call h = {.method = method,
			       .address = c->admin,
			       .path = path,
			       .key = c->key,
			       .body = body,
			       .if_match = c->if_match};

	httpc_perform(&h, a);
	if (a->status >= 200 && a->status < 300) return 0;
	print_error(c->admin, a);
	return -1;
}

struct listing {
	const char *kind, *path, *list_key;
	const char *column[8];
	int n;
};

static const struct listing listings[] = {
	{"engines",
	 "/admin/v1/engines",
	 "engines",
	 {"address", "data_centre", "kind", "state", "keeper", "fenced"},
	 6},
	{"instances",
	 "/admin/v1/instances",
	 "instances",
	 {"instance", "data_centre", "state", "front", "admin", "peer"},
	 6},
	{"status", "/admin/v1/table/status", "instances", {"instance", "version", "for_ms"}, 3},
};

int ctl_list(const struct ctl *c, const char *kind)
{
	const struct listing *l = listings;
	struct httpc_answer a;
	json_object *o, *list;
	int rc;

	while (strcmp(l->kind, kind)) l++;
	rc = ctl_call(c, "GET", l->path, NULL, &a);
	o = rc ? NULL : json_tokener_parse(a.text->str);
	if (!rc && c->json)
		puts(a.text->str);
	else if (o && json_object_object_get_ex(o, l->list_key, &list))
		ctl_print_table(list, l->column, l->n);
	json_object_put(o);
	httpc_free(&a);
	return rc;
}

int ctl_where(const struct ctl *c)
{
	char *path = g_strdup_printf("/v1/where?group=%s&service=%s", c->group ? c->group : "",
				     c->service ? c->service : "");
	struct httpc_answer a;
	json_object *o, *list;
	size_t i;
	int rc = ctl_call(c, "GET", path, NULL, &a);

	o = rc ? NULL : json_tokener_parse(a.text->str);
	if (!rc && c->json)
		puts(a.text->str);
	else if (o && json_object_object_get_ex(o, "addresses", &list))
		for (i = 0; i < json_object_array_length(list); i++)
			puts(json_object_get_string(json_object_array_get_idx(list, i)));
	json_object_put(o);
	httpc_free(&a);
	g_free(path);
	return rc;
}

int ctl_drain(const struct ctl *c)
{
	struct httpc_answer a;
	int rc = ctl_call(c, "POST", "/admin/v1/drain", "{}", &a);

	if (!rc) puts(c->json ? a.text->str : "draining");
	httpc_free(&a);
	return rc;
}

int ctl_metrics(const struct ctl *c)
{
	struct httpc_answer a;
	int rc = ctl_call(c, "GET", "/metrics", NULL, &a);

	if (!rc) fputs(a.text->str, stdout);
	httpc_free(&a);
	return rc;
}

static int run_command(const struct ctl *c, const char **arg)
{
	if (!arg[0]) {
		fprintf(stderr, "saddleheadctl: a command is missing; see --help\n");
		return -2;
	}
	if (!strcmp(arg[0], "table")) return ctl_table(c, arg + 1);
	if (!strcmp(arg[0], "group")) return ctl_group(c, arg + 1);
	if (!strcmp(arg[0], "engines") || !strcmp(arg[0], "instances") ||
	    !strcmp(arg[0], "status"))
		return ctl_list(c, arg[0]);
	if (!strcmp(arg[0], "where")) return ctl_where(c);
	if (!strcmp(arg[0], "drain")) return ctl_drain(c);
	if (!strcmp(arg[0], "metrics")) return ctl_metrics(c);
	fprintf(stderr, "saddleheadctl: %s: no such command; see --help\n", arg[0]);
	return -2;
}

int main(int argc, const char **argv)
{
	struct ctl c = {.admin = getenv("SADDLEHEAD_ADMIN"),
			.key = getenv("SADDLEHEAD_ADMIN_KEY")};
	struct poptOption table[] = {
		{"admin", 'a', POPT_ARG_STRING, &c.admin, 0,
		 "a daemon's admin address, else $SADDLEHEAD_ADMIN (for where: its front "
		 "address)",
		 "IP:PORT"},
		{"key", 'k', POPT_ARG_STRING, &c.key, 0,
		 "the operators' key, else $SADDLEHEAD_ADMIN_KEY", "KEY"},
		{"if-match", 0, POPT_ARG_STRING, &c.if_match, 0,
		 "change the table only if it is at this version", "VERSION"},
		{"group", 'g', POPT_ARG_STRING, &c.group, 0, "for the command \"where\"",
		 "NAME"},
		{"service", 's', POPT_ARG_STRING, &c.service, 0, "for the command \"where\"",
		 "NAME"},
		{"json", 'j', POPT_ARG_NONE, &c.json, 0, "print JSON", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext("saddleheadctl", argc, argv, table, 0);
	const char *arg[ARGS_MAX + 4] = {NULL};
	int n = 0, rc;

	poptSetOtherOptionHelp(ctx, "[OPTION...] table get|put FILE|diff FILE|edit|status | "
				    "group list|put|patch|delete | "
				    "where | engines | instances | status | drain | metrics");
	rc = poptGetNextOpt(ctx);
	if (rc < -1) {
		fprintf(stderr, "saddleheadctl: %s: %s\n", poptBadOption(ctx, 0),
			poptStrerror(rc));
		return 2;
	}
	while (n < ARGS_MAX && (arg[n] = poptGetArg(ctx))) n++;
	if (!c.admin) c.admin = g_strdup(getenv("SADDLEHEAD_ADMIN"));
	if (!c.key) c.key = g_strdup(getenv("SADDLEHEAD_ADMIN_KEY"));
	if (!c.admin) {
		fprintf(stderr, "saddleheadctl: --admin is missing\n");
		return 2;
	}
	rc = run_command(&c, arg);
	poptFreeContext(ctx);
	free(c.admin);
	free(c.key);
	free(c.if_match);
	free(c.group);
	free(c.service);
	return rc == -2 ? 2 : rc ? 1 : 0;
}
