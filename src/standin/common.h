/* Shared by the stand-ins: options, HTTP server, ready file, JSON bodies and responses. */
#ifndef SH_STANDIN_COMMON_H
#define SH_STANDIN_COMMON_H
#include "http.h"
#include <json-c/json.h>
#include <popt.h>

struct standin_options {
	int port;
	char *ready_file;
	char *journal_file; /* a line per action, written at once so that it survives a kill */
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
		"journal", 0, POPT_ARG_STRING, &(o)->journal_file, 0,                           \
			"append a line for each action there", "FILE"                           \
	}

/* Parses the options; exits with 2 on an error. */
void standin_parse(const char *name, int argc, const char **argv, struct poptOption *table);
struct mg_context *standin_serve(const struct standin_options *o, int threads);
/* Writes the address to the ready file or stdout. Call it once the handlers are set. */
void standin_ready(const struct standin_options *o, struct mg_context *ctx);
/* Returns on SIGTERM or SIGINT, which standin_block_signals must have blocked before. */
void standin_wait(void);
void standin_block_signals(void);

/* Appends a line to the journal file, if there is one. Call it before the action itself. */
void standin_journal(const struct standin_options *o, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

json_object *standin_body(struct mg_connection *c);
int64_t standin_int(json_object *o, const char *key, int64_t def);
const char *standin_string(json_object *o, const char *key, const char *def);
int standin_has(json_object *o, const char *key);
int64_t standin_param(struct mg_connection *c, const char *name, int64_t def);
/* Sets an extra header, "Name: value" of up to 200 characters, for all later responses of
 * standin_send. NULL, an empty text, or one with a line break removes it. */
void standin_set_header(const char *line);
int standin_send(struct mg_connection *c, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
#endif
