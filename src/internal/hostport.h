/* Addresses written as "IP:PORT". */
#ifndef SH_HOSTPORT_H
#define SH_HOSTPORT_H
#include <netinet/in.h>

/* 0 or -EINVAL. */
int hostport_parse(const char *text, struct sockaddr_in *out);
#endif
