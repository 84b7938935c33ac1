/* The era of the platform's store, as its answers state it. */
#include "st_era.h"
#include "jlog.h"
#include "met.h"
#include "st_rev.h"
#include <errno.h>

void (*st_on_era)(void);

static uint64_t era; /* the newest known */
static int known;
static int unread_logged;

uint64_t st_era(void)
{
	return era;
}

int st_era_stated(uint64_t stated)
{
	int is_first = !known;
	GString *g;

	if (stated >> (64 - ST_REV_BITS)) return -EINVAL;
	known = 1;
	unread_logged = 0;
	if (stated <= era) return 0;
	era = stated;
	g = jlog_begin("fleet", "store_era");
	jlog_int(g, "era", (int64_t)era);
	jlog_end(g);
	if (st_on_era && !is_first) st_on_era();
	return 0;
}

uint64_t st_era_unread(const char *text)
{
	GString *g;

	met_add(MET_ERAS_INVALID, 1);
	if (unread_logged) return era;
	unread_logged = 1;
	g = jlog_begin("fleet", "store_era_unread");
	jlog_str(g, "era", text);
	jlog_end(g);
	return era;
}
