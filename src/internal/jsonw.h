/* JSON output into a GString. */
#ifndef SH_JSONW_H
#define SH_JSONW_H
#include <glib.h>

/* Append s as a quoted and escaped JSON string. */
void jsonw_str(GString *out, const char *s);
void jsonw_strn(GString *out, const char *s, gsize n);
#endif
