/* Edits of the operators' table with real processes, while the platform's store fails. */
#include "fleet_check.h"

/* The store goes down right after an edit is accepted: peers distribute the new table. */
static void an_accepted_edit_spreads_without_the_platform(void)
{
	struct fleet *f = fleet(3, 1, 1, NULL);
	struct version v = {.f = f};
	json_object *o;
	long s;

	o = fleet_call("PATCH", f->admin[1], "/admin/v1/groups/packing", ADMIN_KEY,
		       "{\"weight\":9}", &s);
	fleet_fault(f->kv, "{\"down\":1}");
	CU_ASSERT_EQUAL(s, 200);
	v.want = json_int_at(o, "version");
	json_object_put(o);
	CU_ASSERT_EQUAL(await(all_have_version, &v), 0);
	stop(f);
}

static void an_edit_whose_answer_is_lost_is_settled(void)
{
	struct fleet *f = fleet(2, 1, 1, NULL);
	struct version v = {.f = f};
	json_object *o;
	long s;

	fleet_fault(f->kv, "{\"lose_answers\":1}");
	o = fleet_call("PATCH", f->admin[0], "/admin/v1/groups/packing", ADMIN_KEY,
		       "{\"weight\":9}", &s);
	CU_ASSERT_EQUAL(s, 200);
	v.want = json_int_at(o, "version");
	json_object_put(o);
	CU_ASSERT_EQUAL(await(all_have_version, &v), 0);
	stop(f);
}

static double weight_of(struct fleet *f, int i)
{
	json_object *o;
	double w;
	long s;

	o = fleet_call("GET", f->admin[i], "/admin/v1/table", ADMIN_KEY, NULL, &s);
	w = (double)json_int_at(o, "groups.packing.weight");
	json_object_put(o);
	return w;
}

struct platform_calls {
	const char *admin;
	double until;
};

static int calls_reached(void *arg)
{
	struct platform_calls *c = arg;

	return fleet_metric(c->admin, "saddlehead_platform_calls_total") >= c->until;
}

/* Waits until the daemon has made n more calls to the platform. */
static void wait_for_calls(const char *admin, int n)
{
	struct platform_calls c = {admin,
				   fleet_metric(admin, "saddlehead_platform_calls_total") + n};

	CU_ASSERT_EQUAL(await(calls_reached, &c), 0);
}

static void the_table_never_goes_back(void)
{
	struct fleet_options opt = {.daemons = 2,
				    .engines = 1,
				    .services = 1,
				    .settings = "\"where\": {\"ttl_ms\": 300}"};
	struct fleet *f;
	double changes;
	struct version v;
	json_object *o;
	long s;

	f = fleet_start(&opt);
	v.f = f;
	o = fleet_call("PATCH", f->admin[0], "/admin/v1/groups/packing", ADMIN_KEY,
		       "{\"weight\":9}", &s);
	v.want = json_int_at(o, "version");
	json_object_put(o);
	CU_ASSERT_EQUAL(await(all_have_version, &v), 0);
	/* The store returns old values from now on; the outage makes every watch reconnect. */
	changes = fleet_metric(f->admin[0], "saddlehead_table_changes_total");
	fleet_fault(f->kv, "{\"stale_reads\":1,\"down\":1}");
	wait_for_calls(f->admin[0], 6);
	fleet_fault(f->kv, "{\"down\":0}");
	wait_for_calls(f->admin[0], 18);
	wait_for_calls(f->admin[1], 6);
	/* No daemon applied an old table, not even until a peer corrected it. */
	CU_ASSERT_EQUAL(fleet_metric(f->admin[0], "saddlehead_table_changes_total"), changes);
	CU_ASSERT_EQUAL(weight_of(f, 0), 9);
	CU_ASSERT_EQUAL(weight_of(f, 1), 9);
	CU_ASSERT_EQUAL(await(all_have_version, &v), 0);
	stop(f);
}

static const struct check list[] = {
	{"an_accepted_edit_spreads_without_the_platform",
	 an_accepted_edit_spreads_without_the_platform},
	{"an_edit_whose_answer_is_lost_is_settled", an_edit_whose_answer_is_lost_is_settled},
	{"the_table_never_goes_back", the_table_never_goes_back},
};
CHECK_MAIN(list)
