#include "equal.h"

int equal_secret(const char *a, const char *b, size_t n)
{
	unsigned char diff = 0;
	size_t i;

	for (i = 0; i < n; i++) diff |= (unsigned char)(a[i] ^ b[i]);
	return !diff;
}
