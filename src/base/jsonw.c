#include "jsonw.h"
#include <string.h>

static void escape(GString *out, unsigned char c)
{
	switch (c) {
	case '"': g_string_append(out, "\\\""); return;
	case '\\': g_string_append(out, "\\\\"); return;
	case '\n': g_string_append(out, "\\n"); return;
	case '\r': g_string_append(out, "\\r"); return;
	case '\t': g_string_append(out, "\\t"); return;
	}
	if (c < 0x20)
		g_string_append_printf(out, "\\u%04x", c);
	else
		g_string_append_c(out, (char)c);
}

void jsonw_strn(GString *out, const char *s, gsize n)
{
	gsize i;

	g_string_append_c(out, '"');
	for (i = 0; i < n; i++) escape(out, (unsigned char)s[i]);
	g_string_append_c(out, '"');
}

void jsonw_str(GString *out, const char *s)
{
	jsonw_strn(out, s, strlen(s));
}
