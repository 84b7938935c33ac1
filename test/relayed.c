#include "relayed.h"

#define PEER_PROXY 120 /* hosts: the ways of the others to each entry */

static struct proxy *relay_to(int host, const char *ip)
{
	struct sockaddr_in at, to;

	pw_address_of(pw_ip(host), PW_PEER, &at);
	pw_address_of(ip, PW_PEER, &to);
	return proxy_new(&at, &to);
}

static void start(struct relayed *f, int i)
{
	GString *more = g_string_new(NULL);

	g_string_append_printf(more, "ipAddress=%s\n", pw_ip(PEER_PROXY + i));
	g_string_append_printf(more, "seedNodes=%s:1\n", pw_ip(PEER_PROXY));
	pw_settings(more->str);
	f->e[i] = pw_entry_start();
	f->way[i] = relay_to(PEER_PROXY + i, f->e[i]->ip);
	g_string_free(more, TRUE);
}

void relayed_begin(struct relayed *f)
{
	int i;

	for (i = 0; i < RELAYED; i++) start(f, i);
	for (i = 0; i < RELAYED; i++) pw_entry_until_ready(f->e[i]);
	pw_run(RELAYED_HEAR_MS);
}

void relayed_end(struct relayed *f)
{
	int i;

	for (i = 0; i < RELAYED; i++) proxy_free(f->way[i]);
	pw_end();
}

int relayed_hear_all(struct relayed *f)
{
	int i, all = 1;

	for (i = 0; i < RELAYED; i++)
		all &= pw_metric(f->e[i], "saddlehead_members") == RELAYED;
	return all;
}
