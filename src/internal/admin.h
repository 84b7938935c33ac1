/* Internals of the admin HTTP port; its handlers are CivetWeb request handlers. */
#ifndef SH_ADMIN_H
#define SH_ADMIN_H
#include <civetweb.h>

#define ADMIN_GROUP_PATH "/admin/v1/groups/"

/* Whether the request carries the operators' key; if not, a 401 response has been sent. */
int admin_allowed(struct mg_connection *c);

int admin_table(struct mg_connection *c, void *arg);
int admin_group(struct mg_connection *c, void *arg);
int admin_status(struct mg_connection *c, void *arg);
#endif
