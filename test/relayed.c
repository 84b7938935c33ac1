#include "relayed.h"

#define RELAY_HOST 120 /* host number of the first relay */

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

	g_string_append_printf(more, "ipAddress=%s\n", pw_ip(RELAY_HOST + i));
	g_string_append_printf(more, "seedNodes=%s:1\n", pw_ip(RELAY_HOST));
	pw_settings(more->str);
	f->e[i] = pw_entry_start();
	f->relay[i] = relay_to(RELAY_HOST + i, f->e[i]->ip);
	g_string_free(more, TRUE);
}

void relayed_begin(struct relayed *f)
{
	int i;

	for (i = 0; i < RELAYED; i++) start(f, i);
	for (i = 0; i < RELAYED; i++) pw_entry_until_ready(f->e[i]);
	pw_run(RELAYED_CONNECT_MS);
}

void relayed_end(struct relayed *f)
{
	int i;

	for (i = 0; i < RELAYED; i++) proxy_free(f->relay[i]);
	pw_end();
}

int relayed_all_connected(struct relayed *f)
{
	int i, all = 1;

	for (i = 0; i < RELAYED; i++)
		all &= pw_metric(f->e[i], "saddlehead_members") == RELAYED;
	return all;
}
