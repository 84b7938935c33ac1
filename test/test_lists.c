/* What instances know of the platform's lists from the store and from each other. */
#include "check.h"
#include "pw.h"

#define NOBODY_HOST 199 /* no instance stands there */
/* All have heard each other, and whoever is to watch does; lists are not yet read once more. */
#define HEARD_MS 400
#define SLOW_MS 20    /* the one that goes is the quickest */
#define LISTED_MS 150 /* it has listed, and waits for others before it watches */

/* Instances that start from now on know of this one, on a link of so many Mbit/s. */
static void next_seed(const char *ip, int link_mbps)
{
	static char lines[128];

	g_snprintf(lines, sizeof lines,
		   "seedNodes=%s:1\nlimits.linkMbps=%d\nfirstStart=false\n", ip, link_mbps);
	pw_settings(lines);
}

static void no_call_goes_to(struct pw_entry *e, struct pw_server *gone)
{
	int i;

	gone->arrivals = 0;
	for (i = 0; i < 10; i++) CU_ASSERT_EQUAL(pw_status_of_key(e, "k1"), 200);
	CU_ASSERT_EQUAL(gone->arrivals, 0);
}

/* Two servers, an instance that has listed both, and the first is gone from the list then. */
static struct pw_entry *lists_before_one_goes(struct pw_server **gone, int link_mbps)
{
	struct pw_entry *e;

	pw_init();
	*gone = pw_server_add("app", 0);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	next_seed(pw_ip(NOBODY_HOST), link_mbps);
	e = pw_entry_start();
	pw_run(LISTED_MS);
	pw_server_unlist(*gone);
	pw_server_add("app", 0)->work_ms = SLOW_MS;
	return e;
}

/* It had listed before the change, and watched from the other's listing after it. */
static void the_listing_of_another_hides_no_change(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 1000);

	next_seed(e->ip, 1000);
	pw_entry_start();
	pw_run(HEARD_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

/* Those that watch for it had not known what went before they started. */
static void one_that_never_watches_hears_of_what_went_before_others_started(void)
{
	struct pw_server *gone;
	struct pw_entry *e = lists_before_one_goes(&gone, 10);
	int i;

	next_seed(e->ip, 1000);
	for (i = 0; i < 3; i++) pw_entry_start();
	pw_run(HEARD_MS);
	no_call_goes_to(e, gone);
	pw_end();
}

static const struct check list[] = {
	{"the_listing_of_another_hides_no_change", the_listing_of_another_hides_no_change},
	{"one_that_never_watches_hears_of_what_went_before_others_started",
	 one_that_never_watches_hears_of_what_went_before_others_started},
};

CHECK_MAIN(list)
