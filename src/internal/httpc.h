/* A blocking HTTP client for the command line tool and the benchmark. */
#ifndef SH_HTTPC_H
#define SH_HTTPC_H
#include <glib.h>

struct httpc_answer {
	long status; /* 0 when there was no response; text then holds the error */
	char etag[32];
	GString *text;
};

struct httpc_call {
	const char *method, *address, *path, *key, *body, *if_match;
	long timeout_ms;
};

void httpc_perform(const struct httpc_call *c, struct httpc_answer *a);
void httpc_free(struct httpc_answer *a);
/* For CURLOPT_WRITEFUNCTION: appends to the GString set as CURLOPT_WRITEDATA. */
size_t httpc_append(char *p, size_t size, size_t n, void *string);
#endif
