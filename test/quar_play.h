/* Helpers shared by the tests of the quarantine; requests are identified by numbers. */
#ifndef QUAR_PLAY_H
#define QUAR_PLAY_H
#include "quar.h"
#include <glib.h>
#include <string.h>

#define MS 1000LL
#define S 1000000LL

static inline struct fp fp_of(uint32_t n)
{
	struct fp f = {{0}};

	memcpy(f.byte, &n, sizeof n);
	f.byte[15] = 1;
	return f;
}

static inline uint32_t crash_at(struct quar *q, int64_t at_us)
{
	static int serial;
	char name[32];

	g_snprintf(name, sizeof name, "server-%d", ++serial);
	return quar_add_crash(q, name, 0, "here", at_us);
}

static inline void add_run(struct quar *q, uint32_t request, uint32_t crash, int64_t ran_us)
{
	struct fp f = fp_of(request);

	quar_add_run(q, &f, crash, ran_us);
}
#endif
