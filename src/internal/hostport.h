/* Addresses written as "IP:PORT". */
#ifndef SH_HOSTPORT_H
#define SH_HOSTPORT_H
#include <netinet/in.h>

/* Parses an IPv4 address and a port from 1 to 65535. Returns 0 or -EINVAL. */
int hostport_parse(const char *text, struct sockaddr_in *out);
#endif
