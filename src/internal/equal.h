/* Comparison of secrets. */
#ifndef SH_EQUAL_H
#define SH_EQUAL_H
#include <stddef.h>

/* Compares n bytes in constant time; returns 1 if they are equal. */
int equal_secret(const char *a, const char *b, size_t n);
#endif
