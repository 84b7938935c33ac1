/* Unit tests of routes, events, HTTP heads and the data of the platform. */
#include "admit_step.h"
#include "be.h"
#include "cache.h"
#include "budget.h"
#include "check.h"
#include "clock.h"
#include "cn.h"
#include "conf.h"
#include "dialect.h"
#include "evs.h"
#include "hostport.h"
#include "hp.h"
#include <errno.h>
#include <netinet/tcp.h>
#include <saddlehead/forecast.h>
#include <saddlehead/length.h>
#include <saddlehead/place.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* ---- routes ---- */

static void add_route(struct conf *c, const char *host, const char *prefix)
{
	struct conf_route *r = g_new0(struct conf_route, 1);

	r->name = g_strdup(prefix);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	conf_add_route(c, r);
}

static const char *route_of(const struct conf *c, const char *host, const char *path)
{
	const struct conf_route *r = conf_route(c, host, path);

	return r ? r->name : "none";
}

static void route_and_workspace_both_bind_to_regions(void)
{
	char *of_route[] = {"a", "b", NULL}, *of_group[] = {"b", NULL};
	struct conf_route r = {.regions = of_route}, free_route = {0};
	struct conf_group g = {.regions = of_group};

	CU_ASSERT(conf_allows(&r, NULL, "a"));
	CU_ASSERT(!conf_allows(&r, &g, "a"));
	CU_ASSERT(conf_allows(&r, &g, "b"));
	CU_ASSERT(!conf_allows(&free_route, &g, "c"));
	CU_ASSERT(conf_allows(&free_route, NULL, "c"));
	CU_ASSERT(!conf_allows(&r, NULL, NULL)); /* the region is unknown */
}

static void the_longest_prefix_of_the_host_decides(void)
{
	struct conf *c = conf_new();

	add_route(c, "a.example", "/");
	add_route(c, "a.example", "/x/");
	add_route(c, "a.example", "/x/y/");
	add_route(c, "b.example", "/x/");
	CU_ASSERT_STRING_EQUAL(route_of(c, "a.example", "/x/y/z"), "/x/y/");
	CU_ASSERT_STRING_EQUAL(route_of(c, "a.example", "/x/y"), "/x/");
	CU_ASSERT_STRING_EQUAL(route_of(c, "a.example", "/q?to=/x/y/"), "/");
	CU_ASSERT_STRING_EQUAL(route_of(c, "A.EXAMPLE:8080", "/x/1"), "/x/");
	CU_ASSERT_STRING_EQUAL(route_of(c, "b.example", "/y/"), "none");
	CU_ASSERT_STRING_EQUAL(route_of(c, "c.example", "/x/"), "none");
	CU_ASSERT_STRING_EQUAL(route_of(c, "b.example", ""), "none");
	conf_unref(c);
}

static void a_split_is_drawn_by_weight(void)
{
	struct conf_route r = {.split = {{"a", 90}, {"b", 10}}, .nsplit = 2};

	CU_ASSERT_STRING_EQUAL(conf_pick(&r, 0.0), "a");
	CU_ASSERT_STRING_EQUAL(conf_pick(&r, 0.89), "a");
	CU_ASSERT_STRING_EQUAL(conf_pick(&r, 0.91), "b");
	CU_ASSERT_STRING_EQUAL(conf_pick(&r, 0.9999999), "b");
}

/* ---- events ---- */

static void events_are_whole_and_come_once(void)
{
	static const char in[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: "
				 "2\ndata: b\n\nid: 3\nda";
	struct evs_seen seen = {0};
	struct evs e;
	GString *out;
	size_t cut;

	for (cut = 0; cut < sizeof in; cut++) {
		memset(&seen, 0, sizeof seen);
		out = g_string_new(NULL);
		evs_init(&e);
		CU_ASSERT_EQUAL(evs_feed(&e, &seen, in, cut, out), 0);
		CU_ASSERT_EQUAL(evs_feed(&e, &seen, in + cut,
					 sizeof in - 1 - MIN(cut, sizeof in - 1), out),
				0);
		CU_ASSERT_STRING_EQUAL(out->str,
				       "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\n");
		CU_ASSERT_STRING_EQUAL(seen.id, "2");
		CU_ASSERT_EQUAL(seen.duplicates, 1);
		CU_ASSERT_EQUAL(e.count, 4);
		evs_free(&e);
		g_string_free(out, TRUE);
	}
}

static void an_endless_event_is_an_error(void)
{
	struct evs_seen seen = {0};
	GString *out = g_string_new(NULL);
	char block[4096];
	struct evs e;
	int i, rc = 0;

	memset(block, 'x', sizeof block);
	evs_init(&e);
	for (i = 0; i < 100 && !rc; i++) rc = evs_feed(&e, &seen, block, sizeof block, out);
	CU_ASSERT_EQUAL(rc, -EMSGSIZE);
	evs_free(&e);
	g_string_free(out, TRUE);
}

/* ---- heads ---- */

static ssize_t feed(int request, const char *text, struct hp *p)
{
	hp_init(p, request);
	return hp_feed(p, text, strlen(text));
}

static void messages_with_two_framings_are_refused(void)
{
	struct hp p;

	CU_ASSERT(feed(1,
		       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
		       "chunked\r\n\r\n",
		       &p) < 0);
	hp_free(&p);
	CU_ASSERT(feed(1, "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		       &p) < 0);
	hp_free(&p);
	CU_ASSERT(feed(1, "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", &p) < 0);
	hp_free(&p);
	CU_ASSERT(feed(0,
		       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: "
		       "chunked\r\n\r\n",
		       &p) < 0);
	hp_free(&p);
}

static void an_answer_that_is_cut_is_not_whole(void)
{
	struct hp p;

	feed(0, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", &p);
	CU_ASSERT_EQUAL(hp_end(&p), -EPIPE);
	hp_free(&p);
	feed(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", &p);
	CU_ASSERT_EQUAL(hp_end(&p), -EPIPE);
	hp_free(&p);
	feed(0, "HTTP/1.1 200 OK\r\n\r\nabc", &p);
	CU_ASSERT_EQUAL(hp_end(&p), 0); /* delimited by the end of the connection */
	hp_free(&p);
	feed(0, "HTTP/1.1 200 OK\r\nX: y", &p);
	CU_ASSERT_EQUAL(hp_end(&p), -EPIPE);
	hp_free(&p);
}

static void fields_of_one_connection_are_known(void)
{
	struct hp p;

	feed(1,
	     "GET / HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\n\r\n",
	     &p);
	CU_ASSERT(hp_hop_by_hop(&p.head, "x-mine"));
	CU_ASSERT(hp_hop_by_hop(&p.head, "Transfer-Encoding"));
	CU_ASSERT(!hp_hop_by_hop(&p.head, "X-Other"));
	CU_ASSERT_STRING_EQUAL(hp_get(&p.head, "x-OTHER"), "2");
	CU_ASSERT_PTR_NULL(hp_get(&p.head, "X-None"));
	hp_free(&p);
}

/* ---- data of the platform ---- */

static void a_handle_is_one_word(void)
{
	static const char *const bad[] = {"{\"handle\":\"a\\r\\nX: y\"}",
					  "{\"handle\":\"a b\"}",
					  "{\"handle\":\"\"}",
					  "{\"handle\":null}",
					  "{\"handle\":7}",
					  "{\"handle\":\"a/b\"}",
					  "{}"};
	struct dl_move_reply m;
	size_t i;

	for (i = 0; i < sizeof bad / sizeof *bad; i++) {
		CU_ASSERT_EQUAL(dl_read_move_reply(bad[i], strlen(bad[i]), &m), -EBADMSG);
		CU_ASSERT_EQUAL(m.handle[0], '\0');
	}
	CU_ASSERT_EQUAL(dl_read_move_reply("{\"handle\":\"4f-A_9.x\"}", 21, &m), 0);
}

static struct conf *read_one(const char *timeout, const char *tenants)
{
	char *text = g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"host\":\"a\",\"pathPrefix\":\"/\","
		"\"kind\":\"safe\",\"timeoutMs\":%s,\"service\":\"s\"}]%s}",
		timeout, tenants);
	struct err e;
	struct conf *c = dl_read_conf(text, strlen(text), &e);

	g_free(text);
	return c;
}

static void numbers_of_the_platform_are_bounded(void)
{
	static const char *const odd[] = {"1e300", "-1e300", "NaN", "Infinity", "1e18"};
	size_t i;

	for (i = 0; i < sizeof odd / sizeof *odd; i++) {
		struct conf *c = read_one(odd[i], "");
		const struct conf_route *r = c ? conf_route(c, "a", "/") : NULL;

		CU_ASSERT_PTR_NOT_NULL_FATAL(r);
		CU_ASSERT(r->timeout_us >= 0);
		CU_ASSERT(r->timeout_us <= INT64_C(1000000) * 86400 * 366);
		conf_unref(c);
	}
}

static void an_empty_list_of_workspaces_lets_nobody_in(void)
{
	struct conf *none = read_one("100", ""), *empty = read_one("100", ",\"tenants\":[]");

	CU_ASSERT_PTR_NOT_NULL_FATAL(none);
	CU_ASSERT_PTR_NOT_NULL_FATAL(empty);
	CU_ASSERT(!none->keyed);
	CU_ASSERT(empty->keyed);
	conf_unref(none);
	conf_unref(empty);
}

static enum admit_step step_of(struct admit_view v)
{
	return admit_step(&v);
}

/* Where the scope is the instance no keeper may have a say, whatever else is known. */
static void admission_of_an_instance_asks_no_keeper(void)
{
	int i;

	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(step_of((struct admit_view){.has_server = i & 1,
							    .fits = i >> 1 & 1,
							    .is_first = i >> 2}),
				ADMIT_LOCALLY);
}

/* A request that is sent past a queue takes room that was granted to another. */
static void a_generation_is_sent_unasked_only_when_nothing_waits_and_it_fits(void)
{
	struct admit_view v = {.fleet_wide = 1, .has_server = 1, .fits = 1, .is_first = 1};

	CU_ASSERT_EQUAL(step_of(v), ADMIT_SEND);
	v.is_first = 0;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_ASK);
	v.is_first = 1;
	v.fits = 0;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_ASK);
	v.has_server = 0;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_LOCALLY);
	v.state = RQ_ADM_ASKED;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_STAY);
	v.state = RQ_ADM_LOCAL;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_LOCALLY);
}

/* Where the views of keeper and instance differ for long, a request would be granted useless
 * servers until its deadline. */
static void grants_of_unusable_servers_end_in_a_local_decision(void)
{
	struct admit_view v = {.state = RQ_ADM_GRANTED, .fleet_wide = 1, .has_server = 1};

	v.fits = 1;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_SEND);
	v.fits = 0;
	for (v.regrants = 0; v.regrants < 3; v.regrants++)
		CU_ASSERT_EQUAL(step_of(v), ADMIT_ASK_AGAIN);
	CU_ASSERT_EQUAL(step_of(v), ADMIT_GIVE_UP);
	v.regrants = 0;
	v.has_server = 0;
	CU_ASSERT_EQUAL(step_of(v), ADMIT_ASK_AGAIN);
}

/* A keeper with an older configuration or list would have requests refused that fit. */
static void what_a_keeper_lacks_is_no_refusal(void)
{
	CU_ASSERT(admit_keeper_lacks(CORE_REF_NO_ENGINE));
	CU_ASSERT(admit_keeper_lacks(CORE_REF_TOO_LONG));
	CU_ASSERT(admit_keeper_lacks(CORE_REF_NOT_ALLOWED));
	CU_ASSERT(!admit_keeper_lacks(CORE_REF_NO_TIME));
	CU_ASSERT(!admit_keeper_lacks(CORE_REF_APPOINTMENT));
	CU_ASSERT(!admit_keeper_lacks(CORE_REF_EARLY));
	CU_ASSERT(!admit_keeper_lacks(CORE_REF_LATE));
	CU_ASSERT(!admit_keeper_lacks(CORE_REF_FULL));
}

/* Reads a configuration with these members besides its version. */
static struct conf *read_members(const char *members, struct err *e)
{
	char *text = g_strdup_printf("{\"version\":1,%s}", members);
	struct conf *c = dl_read_conf(text, strlen(text), e);

	g_free(text);
	return c;
}

static void check_refused(const char *members, const char *named)
{
	struct err e = {0};
	struct conf *c = read_members(members, &e);

	CU_ASSERT_PTR_NULL(c);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, named));
	if (c || !strstr(e.text, named)) printf("  %s: got: %s\n", members, e.text);
	conf_unref(c);
}

/* A field that is read as its default would leave the operator's intent out without a word. */
static void an_invalid_admission_field_makes_the_version_invalid(void)
{
	static const char *const bad[][2] = {
		{"null", "admission is"},
		{"[]", "admission is"},
		{"\"fleet\"", "admission is"},
		{"{\"scope\":\"Fleet\"}", "admission.scope"},
		{"{\"scope\":\"\"}", "admission.scope"},
		{"{\"scope\":null}", "admission.scope"},
		{"{\"scope\":1}", "admission.scope"},
		{"{\"floor\":-0.01}", "admission.floor"},
		{"{\"floor\":0.51}", "admission.floor"},
		{"{\"floor\":\"0.2\"}", "admission.floor"},
		{"{\"floor\":null}", "admission.floor"},
		{"{\"floor\":NaN}", "admission.floor"},
		{"{\"promised\":-1}", "admission.promised"},
		{"{\"promised\":0.91}", "admission.promised"},
		{"{\"promised\":true}", "admission.promised"},
		{"{\"promised\":Infinity}", "admission.promised"},
		{"{\"appointments\":1}", "admission.appointments"},
		{"{\"appointments\":\"true\"}", "admission.appointments"},
		{"{\"appointments\":null}", "admission.appointments"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *members = g_strdup_printf("\"admission\":%s", bad[i][0]);

		check_refused(members, bad[i][1]);
		g_free(members);
	}
}

static void admission_fields_are_optional(void)
{
	struct err e;
	struct conf *c = read_members("\"routes\":[]", &e);

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->admission.scope, CONF_SCOPE_DEFAULT);
	CU_ASSERT_EQUAL(c->admission.floor, CONF_FLOOR);
	CU_ASSERT_EQUAL(c->admission.promised, CONF_PROMISED);
	CU_ASSERT_EQUAL(c->admission.appointments, 1);
	conf_unref(c);
	c = read_members("\"admission\":{\"scope\":\"fleet\",\"floor\":0,\"promised\":0.9,"
			 "\"appointments\":false}",
			 &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->admission.scope, CONF_SCOPE_FLEET);
	CU_ASSERT_EQUAL(c->admission.floor, 0);
	CU_ASSERT_EQUAL(c->admission.promised, 0.9);
	CU_ASSERT_EQUAL(c->admission.appointments, 0);
	conf_unref(c);
	c = read_members("\"admission\":{\"scope\":\"instance\",\"floor\":0.5}", &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->admission.scope, CONF_SCOPE_INSTANCE);
	CU_ASSERT_EQUAL(c->admission.floor, 0.5);
	conf_unref(c);
}

static void a_weight_is_a_number_within_its_range(void)
{
	static const char *const bad[] = {"0",     "0.009", "-1",    "1000.5", "1e300",
					  "\"2\"", "null",  "false", "[]",     "NaN"};
	struct conf *c;
	struct err e;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *members = g_strdup_printf(
			"\"tenants\":[{\"name\":\"w1\"},{\"name\":\"w2\",\"weight\":%s}]",
			bad[i]);

		check_refused(members, "tenants[].weight");
		check_refused(members, "workspace w2");
		g_free(members);
	}
	c = read_members("\"tenants\":[{\"name\":\"w1\"},{\"name\":\"w2\",\"weight\":0.01},"
			 "{\"name\":\"w3\",\"weight\":1000}]",
			 &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(((struct conf_group *)c->groups->pdata[0])->weight, 1);
	CU_ASSERT_EQUAL(((struct conf_group *)c->groups->pdata[1])->weight, 0.01);
	CU_ASSERT_EQUAL(((struct conf_group *)c->groups->pdata[2])->weight, 1000);
	conf_unref(c);
}

/* n workspaces w0, w1 and so on, the last with weight. */
static char *workspaces(int n, const char *weight)
{
	GString *s = g_string_new("\"tenants\":[");
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(s, "%s{\"name\":\"w%d\"%s}", i ? "," : "", i,
				       i == n - 1 ? weight : "");
	g_string_append_c(s, ']');
	return g_string_free(s, FALSE);
}

/* The surplus would share one share without a word. A version that says nothing of shares was
 * valid before there were any. */
static void more_workspaces_than_have_shares_are_refused_where_shares_are_used(void)
{
	static const char fleet[] = "\"admission\":{\"scope\":\"fleet\"},";
	char *most = workspaces(CONF_SHARES_MAX, ",\"weight\":2");
	char *more = workspaces(CONF_SHARES_MAX + 1, "");
	char *weighted = workspaces(CONF_SHARES_MAX + 1, ",\"weight\":2");
	char *in_fleet = g_strconcat(fleet, more, NULL), *most_in_fleet;
	struct conf *c;
	struct err e;

	most_in_fleet = g_strconcat(fleet, most, NULL);
	c = read_members(most_in_fleet, &e);
	CU_ASSERT_PTR_NOT_NULL(c);
	conf_unref(c);
	c = read_members(more, &e);
	CU_ASSERT_PTR_NOT_NULL(c);
	conf_unref(c);
	check_refused(weighted, "tenants has 4097 workspaces");
	check_refused(weighted, "w4096");
	check_refused(in_fleet, "tenants has 4097 workspaces");
	g_free(most);
	g_free(more);
	g_free(weighted);
	g_free(in_fleet);
	g_free(most_in_fleet);
}

static void count(const struct st_item *i, void *arg)
{
	(void)i;
	(*(int *)arg)++;
}

static int served_items(void)
{
	int n = 0;

	cache_each_newer((struct cache_revs){0}, count, &n);
	return n;
}

static void apply_server(const char *key, uint64_t revision)
{
	static const char value[] =
		"{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":"
		"\"v\","
		"\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}";
	struct st_item i = {
		.key = key, .value = value, .len = sizeof value - 1, .revision = revision};

	CU_ASSERT_EQUAL(cache_apply(&i, "platform"), 1);
}

/* A peer that gets an incomplete listing would take it as complete and never fetch the rest. */
static void a_listing_that_is_not_whole_is_not_handed_on(void)
{
	cache_init();
	apply_server("servers/i-1", 7);
	CU_ASSERT_PTR_NOT_NULL(be_find("i-1")); /* it may be used here */
	CU_ASSERT_EQUAL(cache_revs().backends, 0);
	CU_ASSERT_EQUAL(served_items(), 0);
	cache_set_complete(7);
	CU_ASSERT_EQUAL(cache_revs().backends, 7);
	CU_ASSERT_EQUAL(served_items(), 1);
}

/* A change may arrive before earlier ones. A peer that took its revision as covering those
 * would never receive them. */
static void a_later_change_is_not_handed_on_before_earlier_ones(void)
{
	cache_init();
	apply_server("servers/i-1", 7);
	cache_set_complete(7);
	apply_server("servers/i-2", 12);
	CU_ASSERT_EQUAL(cache_revs().backends, 7);
	CU_ASSERT_EQUAL(served_items(), 1);
	apply_server("servers/i-3", 9);
	cache_set_complete(12);
	CU_ASSERT_EQUAL(served_items(), 3);
}

static void addresses_are_checked(void)
{
	struct sockaddr_in a;

	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1:80", &a), 0);
	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1:0", &a), -EINVAL);
	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1:65536", &a), -EINVAL);
	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1", &a), -EINVAL);
	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1:8x", &a), -EINVAL);
	CU_ASSERT_EQUAL(hostport_parse("10.0.0.1000000000:80", &a), -EINVAL);
	CU_ASSERT_EQUAL(hostport_parse("host:80", &a), -EINVAL);
}

/* Reads settings with these lines added; returns the result of dl_read_settings. */
static int read_settings(const char *lines, struct entry_cfg *c, struct err *e)
{
	char *text = g_strconcat("nodeName=n\nzone=z0\nregion=r\nipAddress=10.0.0.1\n"
				 "listenAddresses.front=10.0.0.1:1\n"
				 "listenAddresses.ready=10.0.0.1:2\n"
				 "platform.address=10.0.0.2:3\ninternalPortRange=4,5\n",
				 lines, NULL);
	char path[] = "/tmp/settings-XXXXXX";
	int rc, fd = mkstemp(path);

	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	rc = dl_read_settings(path, c, e);
	unlink(path);
	g_free(text);
	return rc;
}

/* The same with so many data centres. */
static int settings_of(int data_centres, struct entry_cfg *c, struct err *e)
{
	GString *g = g_string_new(NULL);
	int i, rc;

	for (i = 0; i < data_centres; i++) g_string_append_printf(g, "zones.z%d=r\n", i);
	rc = read_settings(g->str, c, e);
	g_string_free(g, TRUE);
	return rc;
}

/* A data centre that is silently left out would have no region, and work bound to that region
 * no server. */
static void more_data_centres_than_are_supported_are_refused(void)
{
	struct entry_cfg c;
	struct err e;

	CU_ASSERT_EQUAL(settings_of(ENTRY_DCS_MAX, &c, &e), 0);
	CU_ASSERT_EQUAL(c.ndcs, ENTRY_DCS_MAX);
	CU_ASSERT_EQUAL(settings_of(ENTRY_DCS_MAX + 1, &c, &e), -EINVAL);
	CU_ASSERT(strstr(e.text, "zones.") != NULL);
}

#define RUNS_ONCE                                                                       \
	"{\"name\":\"a\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"streaming\"," \
	"\"service\":\"llm\",\"maxAttempts\":1}"
#define LLM "],\"services\":[{\"name\":\"llm\",\"engine\":{}},{\"name\":\"app\"}]}"

static int runs_once(const char *more_routes, const char *service)
{
	char *text =
		g_strconcat("{\"version\":1,\"routes\":[" RUNS_ONCE, more_routes, LLM, NULL);
	struct err e;
	struct conf *c = dl_read_conf(text, strlen(text), &e);
	int once = conf_service(c, service)->runs_once;

	conf_unref(c);
	g_free(text);
	return once;
}

/* Deployments that do not ask for it would be decided for by keepers. */
static void only_services_without_second_runs_have_the_fleet_as_default(void)
{
	CU_ASSERT(runs_once("", "llm"));
	CU_ASSERT(!runs_once("", "app"));
	CU_ASSERT(!runs_once(",{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"kind\":"
			     "\"streaming\",\"service\":\"llm\",\"maxAttempts\":2}",
			     "llm"));
	CU_ASSERT(
		!runs_once(",{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"kind\":"
			   "\"streaming\",\"trafficSplit\":[{\"service\":\"app\",\"weight\":1},"
			   "{\"service\":\"llm\",\"weight\":1}],\"streamResumption\":true}",
			   "llm"));
	/* Calls say nothing of generations. */
	CU_ASSERT(runs_once(
		",{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"kind\":\"safe\","
		"\"service\":\"llm\",\"maxAttempts\":2}",
		"llm"));
}

/* A misspelt word that is read as the default would leave admission off without a word. */
static void the_line_admission_has_one_of_two_words(void)
{
	static const char *const bad[] = {"admission=Fleet\n", "admission=\n",
					  "admission=true\n", "admission=fleet,instance\n"};
	struct entry_cfg c;
	struct err e;
	size_t i;

	CU_ASSERT_EQUAL(read_settings("", &c, &e), 0);
	CU_ASSERT_EQUAL(c.admission, CONF_SCOPE_DEFAULT);
	CU_ASSERT_EQUAL(read_settings("admission=instance\n", &c, &e), 0);
	CU_ASSERT_EQUAL(c.admission, CONF_SCOPE_INSTANCE);
	CU_ASSERT_EQUAL(read_settings("admission = fleet\n", &c, &e), 0);
	CU_ASSERT_EQUAL(c.admission, CONF_SCOPE_FLEET);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		CU_ASSERT_EQUAL(read_settings(bad[i], &c, &e), -EINVAL);
		CU_ASSERT_PTR_NOT_NULL(
			strstr(e.text, "admission is neither fleet nor instance"));
	}
}

/* ---- segments of prompts ---- */

static struct dl_request request_with_prompt(const char *prompt)
{
	struct dl_request r;
	struct hp p;
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n"
				     "X-Prompt-Prefix: %s\r\n\r\n",
				     prompt);

	hp_init(&p, 1);
	p.head_max = 4096;
	CU_ASSERT(hp_feed(&p, text, strlen(text)) >= 0);
	CU_ASSERT_EQUAL(dl_read_request(&p.head, &r), 0);
	hp_end(&p);
	hp_free(&p);
	g_free(text);
	return r;
}

static void segments_are_all_parts_of_a_prompt_but_the_last(void)
{
	struct dl_request r = request_with_prompt("5c1e07a2:800,0B:0,e4402b7d:250");
	char name[FP_SEGMENT];

	CU_ASSERT_EQUAL_FATAL(r.nsegments, 2);
	CU_ASSERT(fp_is_segment(&r.segment[0]));
	fp_format_segment(&r.segment[0], name);
	CU_ASSERT_STRING_EQUAL(name, "5c1e07a2");
	fp_format_segment(&r.segment[1], name);
	CU_ASSERT_STRING_EQUAL(name, "0b");
	r = request_with_prompt("e4402b7d:250");
	CU_ASSERT_EQUAL(r.nsegments, 0);
}

/* Names that differ in leading zeros or beyond 16 digits are different. */
static void segments_are_told_apart_by_their_whole_names(void)
{
	struct dl_request r = request_with_prompt(
		"a:1,0a:1,00000000000000000000000000000001:1,"
		"00000000000000000000000000000002:1,ffffffffffffffff:1,e:1");
	int i, k;

	CU_ASSERT_EQUAL_FATAL(r.nsegments, 5);
	for (i = 0; i < 5; i++)
		for (k = 0; k < i; k++) CU_ASSERT(!fp_equal(&r.segment[i], &r.segment[k]));
}

static void a_malformed_prompt_field_names_no_segments(void)
{
	static const char *const malformed[] = {
		"",         ",",      "a:1,",        "a,b:1",    "a:,b:1",
		"x:1,b:1",  ":1,b:1", "a:1,a:2,b:1", "a:1 ,b:1", "a:99999999999,b:1",
		"a:1,b:1,c"};
	GString *s = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < sizeof malformed / sizeof *malformed; i++)
		CU_ASSERT_EQUAL(request_with_prompt(malformed[i]).nsegments, 0);
	for (i = 0; i < DL_SEGMENTS_MAX; i++) g_string_append_printf(s, "%x:1,", i + 1);
	g_string_append(s, "ff:1");
	CU_ASSERT_EQUAL(request_with_prompt(s->str).nsegments, DL_SEGMENTS_MAX);
	g_string_append(s, ",fe:1");
	CU_ASSERT_EQUAL(request_with_prompt(s->str).nsegments, 0);
	g_string_free(s, TRUE);
}

/* With a shorter user time-out a single probe without an answer ended a connection whose peer
 * had been silent for a second. */
static void a_silent_peer_is_given_up_after_all_its_probes(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd, idle, every, probes, ms;
	socklen_t n = sizeof(int);
	struct cn c = {.on_end = NULL};

	CU_ASSERT_FATAL(!ev_init());
	fd = cn_listen(&at);
	n = sizeof at;
	getsockname(fd, (struct sockaddr *)&at, &n);
	CU_ASSERT_FATAL(!cn_connect(&c, &at));
	n = sizeof(int);
	getsockopt(c.ev.fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, &n);
	getsockopt(c.ev.fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, &n);
	getsockopt(c.ev.fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, &n);
	getsockopt(c.ev.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &n);
	CU_ASSERT(probes > 1);
	CU_ASSERT(ms >= (idle + every * probes) * 1000);
	cn_close(&c);
	close(fd);
}

static const struct check list[] = {
	{"segments_are_all_parts_of_a_prompt_but_the_last",
	 segments_are_all_parts_of_a_prompt_but_the_last},
	{"segments_are_told_apart_by_their_whole_names",
	 segments_are_told_apart_by_their_whole_names},
	{"a_malformed_prompt_field_names_no_segments",
	 a_malformed_prompt_field_names_no_segments},
	{"a_silent_peer_is_given_up_after_all_its_probes",
	 a_silent_peer_is_given_up_after_all_its_probes},
	{"more_data_centres_than_are_supported_are_refused",
	 more_data_centres_than_are_supported_are_refused},
	{"route_and_workspace_both_bind_to_regions", route_and_workspace_both_bind_to_regions},
	{"the_longest_prefix_of_the_host_decides", the_longest_prefix_of_the_host_decides},
	{"a_split_is_drawn_by_weight", a_split_is_drawn_by_weight},
	{"events_are_whole_and_come_once", events_are_whole_and_come_once},
	{"an_endless_event_is_an_error", an_endless_event_is_an_error},
	{"messages_with_two_framings_are_refused", messages_with_two_framings_are_refused},
	{"an_answer_that_is_cut_is_not_whole", an_answer_that_is_cut_is_not_whole},
	{"fields_of_one_connection_are_known", fields_of_one_connection_are_known},
	{"a_handle_is_one_word", a_handle_is_one_word},
	{"numbers_of_the_platform_are_bounded", numbers_of_the_platform_are_bounded},
	{"an_empty_list_of_workspaces_lets_nobody_in",
	 an_empty_list_of_workspaces_lets_nobody_in},
	{"admission_of_an_instance_asks_no_keeper", admission_of_an_instance_asks_no_keeper},
	{"a_generation_is_sent_unasked_only_when_nothing_waits_and_it_fits",
	 a_generation_is_sent_unasked_only_when_nothing_waits_and_it_fits},
	{"grants_of_unusable_servers_end_in_a_local_decision",
	 grants_of_unusable_servers_end_in_a_local_decision},
	{"what_a_keeper_lacks_is_no_refusal", what_a_keeper_lacks_is_no_refusal},
	{"an_invalid_admission_field_makes_the_version_invalid",
	 an_invalid_admission_field_makes_the_version_invalid},
	{"admission_fields_are_optional", admission_fields_are_optional},
	{"a_weight_is_a_number_within_its_range", a_weight_is_a_number_within_its_range},
	{"more_workspaces_than_have_shares_are_refused_where_shares_are_used",
	 more_workspaces_than_have_shares_are_refused_where_shares_are_used},
	{"only_services_without_second_runs_have_the_fleet_as_default",
	 only_services_without_second_runs_have_the_fleet_as_default},
	{"the_line_admission_has_one_of_two_words", the_line_admission_has_one_of_two_words},
	{"a_listing_that_is_not_whole_is_not_handed_on",
	 a_listing_that_is_not_whole_is_not_handed_on},
	{"a_later_change_is_not_handed_on_before_earlier_ones",
	 a_later_change_is_not_handed_on_before_earlier_ones},
	{"addresses_are_checked", addresses_are_checked},
};

CHECK_MAIN(list)
