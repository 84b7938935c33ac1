/* Query arguments of a request's target. */
#include "pw.h"
#include <errno.h>
#include <string.h>

static size_t decode(const char *at, size_t n, char *out, size_t max)
{
	size_t i, k = 0;

	for (i = 0; i < n && k + 1 < max; i++) {
		if (at[i] == '%' && i + 2 < n && g_ascii_isxdigit(at[i + 1]) &&
		    g_ascii_isxdigit(at[i + 2])) {
			out[k++] = (char)(g_ascii_xdigit_value(at[i + 1]) * 16 +
					  g_ascii_xdigit_value(at[i + 2]));
			i += 2;
		} else {
			out[k++] = at[i] == '+' ? ' ' : at[i];
		}
	}
	out[k] = '\0';
	return k;
}

int pw_query(const char *target, const char *name, char *out, size_t max)
{
	const char *at = strchr(target, '?');
	size_t want = strlen(name);

	while (at) {
		size_t n;

		at++;
		n = strcspn(at, "&#");
		if (n > want && at[want] == '=' && !strncmp(at, name, want)) {
			decode(at + want + 1, n - want - 1, out, max);
			return 0;
		}
		at = strchr(at, '&');
	}
	return -ENOENT;
}
