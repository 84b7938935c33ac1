/* Engines of several software versions, instances before them, and streams on them. */
#include "versions.h"
#include "check.h"
#include <stdlib.h>
#include <string.h>

struct pw_entry *vs_entry[VS_INSTANCES];
struct pw_call *vs_first[VS_STREAMS];

/* Engines have room for all streams, also beside those of an instance that was killed. */
void vs_begin(void)
{
	pw_init();
	pw_conf.tokens = 200000;
	pw_conf_write();
}

struct pw_server *vs_add_engine(const char *version)
{
	return vs_add_engine_of("llm", version);
}

struct pw_server *vs_add_engine_of(const char *service, const char *version)
{
	struct pw_server *s = pw_server_new(service, 1);

	g_strlcpy(s->version, version, sizeof s->version);
	s->events = VS_EVENTS;
	s->event_ms = VS_EVENT_MS;
	pw_server_list(s, "ready");
	return s;
}

void vs_start(int n)
{
	int i;

	for (i = 0; i < n; i++) vs_entry[i] = pw_entry_start();
	for (i = 0; i < n; i++) CU_ASSERT(pw_entry_until_ready(vs_entry[i]));
	pw_run(VS_CONNECT_MS);
}

void vs_begin_streams(const char *path, int instances)
{
	int i;

	for (i = 0; i < VS_STREAMS; i++)
		vs_first[i] = pw_request(vs_entry[i % instances], "POST", path, VS_DEADLINE_MS);
	pw_run(VS_BEGUN_MS);
}

const char *vs_version_of(const struct pw_call *c)
{
	const struct pw_run *r;
	int i;

	for (i = 0; (r = pw_run_of(c->id, i)); i++)
		if (r->events > atoi(r->after)) return r->server->version;
	return NULL;
}

int vs_runs_elsewhere(const struct pw_call *c, const char *version)
{
	const struct pw_run *r;
	int i, n = 0;

	for (i = 0; (r = pw_run_of(c->id, i)); i++)
		n += r->events > atoi(r->after) && strcmp(r->server->version, version) != 0;
	return n;
}

int vs_count_mixed(void)
{
	int i, n = 0;

	for (i = 0; i < VS_STREAMS; i++) {
		const char *v = vs_version_of(vs_first[i]);

		n += v && vs_runs_elsewhere(vs_first[i], v) != 0;
	}
	return n;
}

int vs_count_complete(void)
{
	int i, n = 0;

	for (i = 0; i < VS_STREAMS; i++) n += pw_stream_complete(vs_first[i], VS_EVENTS);
	return n;
}

struct pw_call *vs_take_up(struct pw_entry *at, const char *resumes, int last)
{
	static int serial;
	char id[32], fields[320];
	struct pw_call *c;

	g_snprintf(id, sizeof id, "again%d", ++serial);
	g_snprintf(fields, sizeof fields,
		   "X-Request-Id: %s\r\nX-Credential: k1\r\nX-Deadline-Ms: %d\r\n"
		   "X-Model: m\r\nX-Token-Usage: 1000,400\r\nLast-Event-Id: %d\r\n%s%s%s",
		   id, VS_DEADLINE_MS, last, resumes ? "Resumes: " : "", resumes ? resumes : "",
		   resumes ? "\r\n" : "");
	c = pw_call(at, "POST", VS_SUM, fields, "a prompt");
	g_strlcpy(c->id, id, sizeof c->id);
	return c;
}

void vs_await(void)
{
	int i;

	for (i = 0; i < VS_STREAMS; i++) CU_ASSERT(pw_call_wait(vs_first[i], 6000));
}

int vs_count_begun(void)
{
	int i, n = 0;

	for (i = 0; i < VS_STREAMS; i++) n += vs_version_of(vs_first[i]) != NULL;
	CU_ASSERT(n >= VS_STREAMS / 2);
	return n;
}

int vs_count_begun_at(const char *version)
{
	int i, n = 0;

	for (i = 0; i < VS_STREAMS; i++) {
		const char *v = vs_version_of(vs_first[i]);

		n += v && !strcmp(v, version);
	}
	return n;
}
