/* Two regions: what is bound to one is served, copied and moved there alone, and callers are
 * sent to instances of their own. */
#include "check.h"
#include "pw.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Entries stand in data centre a; b lies in the other region. */
#define PLACES "zones.a=r\nzones.b=q\n"
#define EACH 3 /* instances of each region */

static void bind_to(const char *regions)
{
	pw_conf.regions = regions;
	pw_conf.version++;
	pw_conf_write();
	pw_run(200);
}

static void begin(const char *regions)
{
	pw_init();
	pw_settings(PLACES);
	pw_conf.regions = regions;
	pw_conf_write();
}

static int calls(struct pw_entry *e, const char *path, int n)
{
	int i, well = 0;

	for (i = 0; i < n; i++) {
		struct pw_call *c = pw_request(e, "GET", path, 3000);

		pw_call_wait(c, 3000);
		well += c->status == 200;
	}
	return well;
}

static void a_bound_route_is_served_in_its_region_alone(void)
{
	struct pw_server *near, *away;
	struct pw_entry *e;

	begin("[\"q\"]");
	near = pw_server_add("app", 0);
	away = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	CU_ASSERT_EQUAL(calls(e, "/safe/", 12), 12);
	CU_ASSERT_EQUAL(near->arrivals, 0);
	away->arrivals = 0;
	CU_ASSERT_EQUAL(calls(e, "/open/", 12), 12);
	CU_ASSERT_EQUAL(away->arrivals, 0); /* nothing crosses without need */
	bind_to("[\"r\",\"q\"]");
	near->arrivals = 0;
	CU_ASSERT_EQUAL(calls(e, "/safe/", 12), 12);
	CU_ASSERT(near->arrivals > 0);
	pw_end();
}

/* Also a repeat after a failure there. */
static void what_no_region_can_serve_is_refused_at_once(void)
{
	struct pw_server *near, *away;
	struct pw_entry *e;
	struct pw_call *c;

	begin("[\"q\"]");
	near = pw_server_add("app", 0);
	away = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	away->mode = PW_ERROR;
	c = pw_request(e, "GET", "/safe/", 3000);
	CU_ASSERT(pw_call_wait(c, 1000));
	CU_ASSERT_EQUAL(near->arrivals, 0);
	bind_to("[\"elsewhere\"]");
	c = pw_request(e, "GET", "/safe/", 3000);
	CU_ASSERT(pw_call_wait(c, 200));
	CU_ASSERT_EQUAL(c->status, 503);
	CU_ASSERT(atof(c->retry_after) > 0);
	pw_end();
}

/* Its engine leaves: there is room in the other region, and a little in its own. */
static void a_bound_stream_is_copied_and_moved_within_its_region(void)
{
	struct pw_server *engine, *other, *away[2];
	struct pw_call *c[3];
	struct pw_entry *e;
	int i;

	begin("[\"r\"]");
	engine = pw_server_add("llm", 1);
	for (i = 0; i < 2; i++) away[i] = pw_server_add_in("llm", 1, "b");
	engine->events = away[0]->events = away[1]->events = 300;
	e = pw_entry_ready();
	for (i = 0; i < 3; i++) c[i] = pw_request(e, "POST", "/chat/", 9000);
	pw_run(300);
	other = pw_server_add("llm", 1);
	other->events = 300;
	pw_run(200);
	pw_server_list(engine, "draining");
	for (i = 0; i < 3; i++) {
		CU_ASSERT(pw_call_wait(c[i], 6000));
		CU_ASSERT(pw_stream_complete(c[i], 300));
		CU_ASSERT_EQUAL(strlen(pw_run_of(c[i]->id, 0)->backup), 0);
	}
	CU_ASSERT_EQUAL(away[0]->arrivals + away[1]->arrivals, 0);
	pw_end();
}

/* How many addresses an instance names to callers of the region, and whether all are of it. */
static int named(struct pw_entry *asked, const char *region, struct pw_entry **of, int n)
{
	GString *out = g_string_new(NULL);
	char target[96];
	int i, count = 0;

	g_snprintf(target, sizeof target, "/-/resolution?name=test.example&region=%s", region);
	pw_get(asked->ip, PW_DIRECTORY, target, out);
	for (i = 0; i < n; i++) {
		char *at = g_strdup_printf("\"%s:", of[i]->ip);

		count += strstr(out->str, at) != NULL;
		g_free(at);
	}
	g_string_free(out, TRUE);
	return count;
}

static void callers_are_sent_to_their_own_region(void)
{
	struct pw_entry *e[2 * EACH];
	static char lines[256];
	int i;

	begin(NULL);
	pw_server_add("app", 0);
	for (i = 0; i < 2 * EACH; i++) {
		const char *place = i < EACH ? "" : "zone=b\nregion=q\n";

		if (i)
			g_snprintf(lines, sizeof lines, PLACES "%sseedNodes=%s:1\n", place,
				   e[0]->ip);
		else
			g_snprintf(lines, sizeof lines, PLACES "%s", place);
		pw_settings(lines);
		e[i] = pw_entry_ready();
	}
	pw_run(1500);
	CU_ASSERT_EQUAL(named(e[0], "r", e, EACH), EACH);
	CU_ASSERT_EQUAL(named(e[0], "r", e + EACH, EACH), 0);
	CU_ASSERT_EQUAL(named(e[0], "q", e + EACH, EACH), EACH);
	CU_ASSERT_EQUAL(named(e[0], "q", e, EACH), 0);
	CU_ASSERT_EQUAL(named(e[0], "nowhere", e, 2 * EACH), 2 * EACH);
	/* Too few of it are left to carry its callers. */
	pw_entry_kill(e[EACH], SIGKILL);
	pw_run(2500);
	CU_ASSERT(named(e[0], "q", e, EACH) > 0);
	pw_end();
}

static const struct check list[] = {
	{"a_bound_route_is_served_in_its_region_alone",
	 a_bound_route_is_served_in_its_region_alone},
	{"what_no_region_can_serve_is_refused_at_once",
	 what_no_region_can_serve_is_refused_at_once},
	{"a_bound_stream_is_copied_and_moved_within_its_region",
	 a_bound_stream_is_copied_and_moved_within_its_region},
	{"callers_are_sent_to_their_own_region", callers_are_sent_to_their_own_region},
};

CHECK_MAIN(list)
