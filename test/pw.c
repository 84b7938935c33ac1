/* The test platform's event loop and addresses; set-up and clean-up of each test. */
#include "pw.h"
#include "hostport.h"
#include <signal.h>
#include <stddef.h>
#include <stdlib.h>
#include <unistd.h>

#define POLL_US 2000 /* interval between checks of a condition */

const struct hs_limits pw_limits = {
	.head_max = 65536, .body_max = 1 << 20, .head_us = 5000000, .idle_us = 60000000};

static char net[24];

/* One call of pw_until. */
struct wait {
	int (*condition)(void *);
	void *arg;
	int64_t until_us;
	volatile int stop;
	struct ev_timer timer;
};

static void on_poll(struct ev_timer *t)
{
	struct wait *w = (struct wait *)((char *)t - offsetof(struct wait, timer));

	if ((w->condition && w->condition(w->arg)) || ev_now() >= w->until_us)
		w->stop = 1;
	else
		ev_in(t, POLL_US);
}

int pw_until(int (*f)(void *), void *arg, int ms)
{
	struct wait w = {f, arg, ev_now() + (int64_t)ms * 1000, 0, {.fire = on_poll}};

	ev_in(&w.timer, 0);
	ev_run(&w.stop);
	return f ? f(arg) : 1;
}

void pw_run(int ms)
{
	pw_until(NULL, NULL, ms);
}

const char *pw_ip(int host)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.%d", net, host);
	return ip;
}

const char *pw_server_ip(void)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.%d", net, PW_SERVER_HOST);
	return ip;
}

const char *pw_second_ip(void)
{
	static char ip[32];

	g_snprintf(ip, sizeof ip, "%s.%d", net, PW_SECOND_HOST);
	return ip;
}

void pw_address_of(const char *ip, int port, struct sockaddr_in *at)
{
	char text[48];

	g_snprintf(text, sizeof text, "%s:%d", ip, port);
	hostport_parse(text, at);
}

/* Each test program uses its own loopback network, chosen by its process id. */
static void init_once(void)
{
	if (net[0]) return;
	signal(SIGPIPE, SIG_IGN);
	g_snprintf(net, sizeof net, "127.%d.%d", 1 + getpid() % 250, getpid() / 250 % 250);
	pw_entries_init();
	if (ev_init()) abort();
	pw_store_start(pw_ip(PW_STORE_HOST));
}

void pw_init(void)
{
	init_once();
	pw_entries_begin();
	pw_conf = (struct pw_conf){.version = 1,
				   .timeout_ms = 5000,
				   .tokens = 34000,
				   .link_mbps = 19000,
				   .attempts = 2,
				   .resume_attempts = 2,
				   .target_latency_ms = 500,
				   .keys = "[\"k1\"]",
				   .safe_service = "app"};
	pw_conf_write();
}

void pw_end(void)
{
	pw_entries_end();
	pw_calls_end();
	pw_crash_end();
	pw_run(20); /* ev_free_later frees between rounds of the loop */
	pw_servers_end();
	pw_store_clear();
}
