/* A TCP proxy on loopback that simulates link faults: delay, silence, loss in one direction,
 * reset. */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H
#include "cn.h"

enum proxy_mode {
	PROXY_OK,
	PROXY_DELAY,    /* data is delayed by 150 ms */
	PROXY_SILENT,   /* data is held until the link recovers */
	PROXY_CUT_TO,   /* data to the server is held */
	PROXY_CUT_FROM, /* data to the client is held */
	PROXY_RESET,    /* open and new connections are reset */
	PROXY_MODES
};

struct proxy {
	struct ev_fd ev;
	struct sockaddr_in to;
	enum proxy_mode mode;
	GPtrArray *pairs;
};

/* Listens at at and connects to to; aborts if it can't listen. */
struct proxy *proxy_new(const struct sockaddr_in *at, const struct sockaddr_in *to);
/* Sets the mode. Held data is delivered as soon as the mode allows. */
void proxy_set(struct proxy *p, enum proxy_mode mode);
/* Open connections carry no more data in either direction, and aren't reset by proxy_set or
 * proxy_close; new ones work. */
void proxy_silence(struct proxy *p);
/* Closes the port and resets all connections but silenced ones. */
void proxy_close(struct proxy *p);
void proxy_free(struct proxy *p);
#endif
