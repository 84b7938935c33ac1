/* Two regions: requests bound to one are served, copied and moved only there, and callers are
 * sent to instances of their own region. */
#include "check.h"
#include "pw.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Instances are in data centre a; b is in the other region. */
#define ZONES "zones.a=r\nzones.b=q\n"
#define INSTANCES 3 /* in each region */

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
	pw_settings(ZONES);
	pw_conf.regions = regions;
	pw_conf_write();
}

static int calls(struct pw_entry *e, const char *path, int n)
{
	int i, served = 0;

	for (i = 0; i < n; i++) {
		struct pw_call *c = pw_request(e, "GET", path, 3000);

		pw_call_wait(c, 3000);
		served += c->status == 200;
	}
	return served;
}

static void a_bound_route_is_served_in_its_region_alone(void)
{
	struct pw_server *near, *remote;
	struct pw_entry *e;

	begin("[\"q\"]");
	near = pw_server_add("app", 0);
	remote = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	CU_ASSERT_EQUAL(calls(e, "/safe/", 12), 12);
	CU_ASSERT_EQUAL(near->arrivals, 0);
	remote->arrivals = 0;
	CU_ASSERT_EQUAL(calls(e, "/open/", 12), 12);
	CU_ASSERT_EQUAL(remote->arrivals, 0); /* no request crosses regions without need */
	bind_to("[\"r\",\"q\"]");
	near->arrivals = 0;
	CU_ASSERT_EQUAL(calls(e, "/safe/", 12), 12);
	CU_ASSERT(near->arrivals > 0);
	pw_end();
}

/* The same holds for a retry after a failure there. */
static void what_no_region_can_serve_is_refused_at_once(void)
{
	struct pw_server *near, *remote;
	struct pw_entry *e;
	struct pw_call *c;

	begin("[\"q\"]");
	near = pw_server_add("app", 0);
	remote = pw_server_add_in("app", 0, "b");
	e = pw_entry_ready();
	remote->mode = PW_ERROR;
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

/* Its engine leaves, and both regions have free memory, its own less of it. */
static void a_bound_stream_is_copied_and_moved_within_its_region(void)
{
	struct pw_server *engine, *other, *remote[2];
	struct pw_call *c[3];
	struct pw_entry *e;
	int i;

	begin("[\"r\"]");
	engine = pw_server_add("llm", 1);
	for (i = 0; i < 2; i++) remote[i] = pw_server_add_in("llm", 1, "b");
	engine->events = remote[0]->events = remote[1]->events = 300;
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
	CU_ASSERT_EQUAL(remote[0]->arrivals + remote[1]->arrivals, 0);
	pw_end();
}

/* How many of n instances the asked one names to callers of the region. */
static int count_named(struct pw_entry *asked, const char *region, struct pw_entry **of, int n)
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
	struct pw_entry *e[2 * INSTANCES];
	static char lines[256];
	int i;

	begin(NULL);
	pw_server_add("app", 0);
	for (i = 0; i < 2 * INSTANCES; i++) {
		const char *place = i < INSTANCES ? "" : "zone=b\nregion=q\n";

		if (i)
			g_snprintf(lines, sizeof lines, ZONES "%sseedNodes=%s:1\n", place,
				   e[0]->ip);
		else
			g_snprintf(lines, sizeof lines, ZONES "%s", place);
		pw_settings(lines);
		e[i] = pw_entry_ready();
	}
	pw_run(1500);
	CU_ASSERT_EQUAL(count_named(e[0], "r", e, INSTANCES), INSTANCES);
	CU_ASSERT_EQUAL(count_named(e[0], "r", e + INSTANCES, INSTANCES), 0);
	CU_ASSERT_EQUAL(count_named(e[0], "q", e + INSTANCES, INSTANCES), INSTANCES);
	CU_ASSERT_EQUAL(count_named(e[0], "q", e, INSTANCES), 0);
	CU_ASSERT_EQUAL(count_named(e[0], "nowhere", e, 2 * INSTANCES), 2 * INSTANCES);
	/* Too few instances of region q are left for its callers. */
	pw_entry_kill(e[INSTANCES], SIGKILL);
	pw_run(2500);
	CU_ASSERT(count_named(e[0], "q", e, INSTANCES) > 0);
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
