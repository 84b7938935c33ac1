/* Backend servers of the soak: added, listed, removed, crashed and made faulty. */
#include "clock.h"
#include "soak.h"
#include <stdlib.h>
#include <string.h>

#define SERVER_PROXY 150    /* host of the links to servers, each at its own port */
#define EVENT_MS 15         /* between events of a stream */
#define BREAK_AFTER 30      /* events of a stream that breaks */
#define SERVE_ON_US 2200000 /* a leaving server is listed for so long */

struct soak_server *soak_add_server(struct soak *s, const char *service, int engine)
{
	return soak_add_server_of(s, service, engine, "v1");
}

struct soak_server *soak_add_server_of(struct soak *s, const char *service, int engine,
				       const char *version)
{
	struct soak_server *v = &s->server[s->nservers];
	struct sockaddr_in at, to;
	int port = PW_SERVER + s->nservers;

	memset(v, 0, sizeof *v);
	v->pw = pw_server_new(service, engine);
	g_strlcpy(v->pw->version, version, sizeof v->pw->version);
	v->pw->events = SOAK_EVENTS;
	v->pw->event_ms = EVENT_MS;
	pw_address_of(pw_server_ip(), atoi(strchr(v->pw->address, ':') + 1), &to);
	pw_address_of(pw_ip(SERVER_PROXY), port, &at);
	v->link = proxy_new(&at, &to);
	g_snprintf(v->pw->address, sizeof v->pw->address, "%s:%d", pw_ip(SERVER_PROXY), port);
	pw_server_list(v->pw, "ready");
	s->nservers++;
	return v;
}

struct soak_server *soak_pick_server(struct soak *s, int victim, int engine)
{
	struct soak_server *found = NULL;
	int i, n = 0;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[(i + victim) % s->nservers];

		if (v->crashed || v->leaving || (engine >= 0 && v->pw->engine != engine))
			continue;
		if (!strcmp(v->pw->service, "app2")) continue;
		if (!found) found = v;
		n += !strcmp(v->pw->service, found->pw->service);
	}
	return n > 1 ? found : NULL;
}

void soak_replace(struct soak *s, const struct soak_server *v)
{
	if (s->nservers < SOAK_SERVERS)
		soak_add_server_of(s, v->pw->service, v->pw->engine, v->pw->version);
}

static void crash(struct soak_server *v)
{
	v->crashed = 1;
	pw_server_crash(v->pw);
	proxy_close(v->link);
}

void soak_retire_server(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_pick_server(s, f->victim, 1);

	if (!v) return;
	v->leaving = 1;
	v->pw->leaving_us = clock_us();
	pw_server_list(v->pw, "draining");
	v->unlist_us = clock_us() + SERVE_ON_US;
	v->exit_us = v->unlist_us + SERVE_ON_US / 4;
	soak_replace(s, v);
}

void soak_crash_server(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_pick_server(s, f->victim, -1);

	if (!v) return;
	crash(v);
	v->unlist_us = f->to_us;
	soak_replace(s, v);
}

void soak_crash_now(struct soak *s, struct soak_server *v)
{
	if (v->crashed) return;
	crash(v);
	v->unlist_us = clock_us() + SERVE_ON_US;
	soak_replace(s, v);
}

void soak_begin_restart(struct soak *s, const struct soak_fault *f)
{
	struct soak_server *v = soak_pick_server(s, f->victim, -1);

	if (!v) return;
	crash(v);
	v->restarting = 1;
}

static void restart(struct soak *s, struct soak_server *v, int elsewhere)
{
	struct sockaddr_in at, to;
	char address[48];

	g_strlcpy(address, v->pw->address, sizeof address);
	if (elsewhere)
		g_snprintf(address, sizeof address, "%s:%d", pw_ip(SERVER_PROXY),
			   s->next_port++);
	g_snprintf(v->pw->address, sizeof v->pw->address, "%s:%d", pw_server_ip(),
		   s->next_port++);
	pw_server_listen(v->pw);
	pw_address_of(pw_server_ip(), atoi(strchr(v->pw->address, ':') + 1), &to);
	pw_address_of(pw_ip(SERVER_PROXY), atoi(strchr(address, ':') + 1), &at);
	proxy_free(v->link);
	v->link = proxy_new(&at, &to);
	g_strlcpy(v->pw->address, address, sizeof v->pw->address);
	v->pw->incarnation_ms = clock_wall_ms();
	v->pw->mode = PW_OK;
	v->crashed = v->restarting = 0;
	pw_server_list(v->pw, "ready");
}

void soak_end_restart(struct soak *s, const struct soak_fault *f)
{
	int i;

	for (i = 0; i < s->nservers; i++)
		if (s->server[i].restarting) restart(s, &s->server[i], f->variant % 2);
}

static void put_foreign(const char *id, int variant)
{
	static const char *const value[] = {
		"{\"service\":\"app\",\"slots\":\"a few\"}", "\xff\xfe no json", "[]",
		"{\"service\":\"app\",\"address\":\"127.0.0.9:9\",\"zone\":\"a\","
		"\"slots\":6,\"state\":\"resting\"}"};
	char key[96];

	g_snprintf(key, sizeof key, "servers/%s", id);
	pw_store_put(key, value[variant % G_N_ELEMENTS(value)]);
}

void soak_write_foreign(struct soak *s, const struct soak_fault *f)
{
	const struct soak_server *v = soak_pick_server(s, f->victim, -1);

	put_foreign("foreign", f->variant / 2);
	if (v && f->variant % 2) put_foreign(v->pw->id, f->variant / 2);
}

void soak_list_all(struct soak *s, int listed)
{
	int i;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];

		if (v->crashed || v->leaving) continue;
		if (listed)
			pw_server_list(v->pw, "ready");
		else
			pw_server_unlist(v->pw);
	}
}

void soak_set_server_mode(struct soak *s, const struct soak_fault *f)
{
	static const enum pw_mode calls[] = {
		PW_FULL,  PW_HANG,  PW_RESET,   PW_WRONG_ID,    PW_UNSIGNED, PW_FALSE_503,
		PW_ERROR, PW_EXTRA, PW_GARBAGE, PW_UNTIL_CLOSE, PW_CUT_CLOSE};
	static const enum pw_mode streams[] = {PW_FULL, PW_HANG, PW_BREAK, PW_SILENT};
	struct soak_server *v = soak_pick_server(s, f->victim, -1);

	if (!v) return;
	v->pw->break_after = BREAK_AFTER;
	v->pw->mode = v->pw->engine ? streams[f->variant % G_N_ELEMENTS(streams)]
				    : calls[f->variant % G_N_ELEMENTS(calls)];
}

void soak_step_servers(struct soak *s)
{
	int64_t now = clock_us();
	int i;

	if (s->relist_us && now >= s->relist_us) {
		s->relist_us = 0;
		soak_list_all(s, 1);
	}
	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];

		if (v->unlist_us && now >= v->unlist_us) {
			v->unlist_us = 0;
			pw_server_unlist(v->pw);
		}
		if (v->exit_us && now >= v->exit_us) {
			v->exit_us = 0;
			crash(v);
		}
	}
}
