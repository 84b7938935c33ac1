#include "err.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const step_names[STEP_MAX] = {
	"none", "parse",      "auth",   "admit",    "keeper", "connect",
	"send", "first_byte", "stream", "platform", "peer",   "settings",
};

const char *err_step_name(enum step step)
{
	if ((unsigned)step >= STEP_MAX) return "none";
	return step_names[step];
}

int err_set(struct err *e, int code, enum step step, const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!e) return code;
	e->code = code;
	e->step = step;
	snprintf(e->peer, sizeof e->peer, "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof e->text, fmt, ap);
	va_end(ap);
	return code;
}
