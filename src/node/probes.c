/* Handlers common to both ports: health, readiness and unknown paths. */
#include "docs.h"
#include "http.h"
#include "node.h"
#include <string.h>

int probe_health(struct mg_connection *c, void *arg)
{
	(void)arg;
	return http_send(c, 200, "text/plain", "ok\n", 3, NULL);
}

int probe_ready(struct mg_connection *c, void *arg)
{
	const char *reason = NULL;

	(void)arg;
	if (node.drain_us)
		reason = "draining\n";
	else if (!docs_version(node.doc_table))
		reason = "no table yet\n";
	if (reason) return http_send(c, 503, "text/plain", reason, strlen(reason), NULL);
	return http_send(c, 200, "text/plain", "ready\n", 6, NULL);
}

int probe_not_found(struct mg_connection *c, void *arg)
{
	(void)arg;
	return http_refuse(c, REF_NOT_FOUND, STEP_PARSE, 0, "no such path");
}
