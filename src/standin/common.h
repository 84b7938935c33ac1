/* What the stand-ins share: a port, a ready file, JSON bodies. */
#ifndef SH_STANDIN_COMMON_H
#define SH_STANDIN_COMMON_H
#include "http.h"
#include <json-c/json.h>
#include <popt.h>

struct standin_options {
	int port;
	char *ready_file;
	char *journal; /* a line for each thing done, kept when the process is killed */
};

#define STANDIN_OPTIONS(o)                                                                      \
	{"port", 0, POPT_ARG_INT, &(o)->port, 0, "port on 127.0.0.1, 0 for any free one", "N"}, \
		{"ready-file",                                                                  \
		 0,                                                                             \
		 POPT_ARG_STRING,                                                               \
		 &(o)->ready_file,                                                              \
		 0,                                                                             \
		 "write the address there",                                                     \
		 "FILE"},                                                                       \
	{                                                                                       \
		"journal", 0, POPT_ARG_STRING, &(o)->journal, 0, "append what is done there",   \
			"FILE"                                                                  \
	}

/* Parses, or exits with 2. */
void standin_parse(const char *name, int argc, const char **argv, struct poptOption *table);
struct mg_context *standin_serve(const struct standin_options *o, int threads);
/* Tells the address, once the handlers are set. */
void standin_ready(const struct standin_options *o, struct mg_context *ctx);
/* Returns on SIGTERM or SIGINT. */
void standin_wait(void);
void standin_catch(void);

/* Appends a line to the journal's file, if there is one, before anything else is done. */
void standin_note(const struct standin_options *o, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

json_object *standin_body(struct mg_connection *c);
int64_t standin_int(json_object *o, const char *key, int64_t def);
const char *standin_text(json_object *o, const char *key, const char *def);
int standin_has(json_object *o, const char *key);
int64_t standin_param(struct mg_connection *c, const char *name, int64_t def);
/* What it says of itself in the head of each answer that standin_send sends from now on, as
 * "Name: value" of up to 200 characters; NULL, empty, or more than a line: nothing. */
void standin_say(const char *line);
int standin_send(struct mg_connection *c, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
#endif
