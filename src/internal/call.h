/* Plain calls: POST /v1/call/SERVICE/...; and /v1/where, in where.c. */
#ifndef SH_CALL_H
#define SH_CALL_H
#include <civetweb.h>

#define CALL_PATH "/v1/call/"

int call_serve(struct mg_connection *c);
int where_serve(struct mg_connection *c);
#endif
