/* Detects callers that close their connection. CivetWeb does not report this while nothing is
 * written, and does not expose the descriptor; so it is searched for by remote address and the
 * two ports, once a request and only when needed. */
#include "http.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define FDS_MAX 16384

static int port_of(const struct sockaddr_storage *s)
{
	if (s->ss_family == AF_INET) return ntohs(((const struct sockaddr_in *)s)->sin_port);
	if (s->ss_family == AF_INET6) return ntohs(((const struct sockaddr_in6 *)s)->sin6_port);
	return -1;
}

static int matches_connection(int fd, const struct mg_request_info *i)
{
	struct sockaddr_storage s;
	socklen_t n = sizeof s;
	char ip[INET6_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&s, &n) || port_of(&s) != i->remote_port)
		return 0;
	if (s.ss_family == AF_INET) {
		inet_ntop(AF_INET, &((struct sockaddr_in *)&s)->sin_addr, ip, sizeof ip);
		if (strcmp(ip, i->remote_addr)) return 0;
	}
	n = sizeof s;
	if (getsockname(fd, (struct sockaddr *)&s, &n)) return 0;
	return port_of(&s) == i->server_port;
}

static int find_fd(const struct mg_request_info *i)
{
	int fd;

	for (fd = 3; fd < FDS_MAX; fd++)
		if (matches_connection(fd, i)) return fd;
	return -2; /* not found: caller_fd does not search again */
}

int caller_fd(struct caller *c, struct mg_connection *conn)
{
	if (c->fd == -1) c->fd = find_fd(mg_get_request_info(conn));
	return c->fd < 0 ? -1 : c->fd;
}

int caller_left(struct caller *c, struct mg_connection *conn)
{
	char byte;
	ssize_t n;

	if (caller_fd(c, conn) < 0) return 0;
	n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n == 0) return 1;
	return n < 0 && errno != EAGAIN && errno != EINTR;
}
