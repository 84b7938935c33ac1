#include "hostport.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

int hostport_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof ip) return -EINVAL;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 1 || port > 65535) return -EINVAL;
	memset(out, 0, sizeof *out);
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -EINVAL;
}
