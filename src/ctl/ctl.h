/* Commands of saddleheadctl and what they share. */
#ifndef SH_CTL_H
#define SH_CTL_H
#include "httpc.h"
#include <json-c/json.h>

struct ctl {
	char *admin, *key, *if_match, *group, *service;
	int json;
};

/* Sends one request to the admin interface. Prints an error and returns -1 unless the status is
 * 2xx. */
int ctl_call(const struct ctl *c, const char *method, const char *path, const char *body,
	     struct httpc_answer *a);

/* Prints an array of objects as a table with these columns. */
void ctl_print_table(json_object *list, const char *const *column, int n);

int ctl_table(const struct ctl *c, const char **arg);
int ctl_group(const struct ctl *c, const char **arg);
int ctl_list(const struct ctl *c, const char *what);
int ctl_where(const struct ctl *c);
int ctl_drain(const struct ctl *c);
int ctl_metrics(const struct ctl *c);
#endif
