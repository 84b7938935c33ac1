/* Calls that run at most once, against real processes: retried, concurrent, and with lost
 * answers. */
#include "fleet_check.h"
#include <stdio.h>
#include <string.h>

static json_object *call(struct fleet *f, int entry, const char *key, const char *body, long *s)
{
	char *idem = g_strdup_printf("Idempotency-Key: %s", key);
	const char *headers[] = {"Authorization: Bearer " KEY_MEMBERS, idem, NULL};
	json_object *o = fleet_call_with("POST", f->entry[entry], "/v1/call/slots/book",
					 headers, body, s);

	g_free(idem);
	return o;
}

static int64_t runs(struct fleet *f)
{
	json_object *o, *list;
	int64_t n = 0;
	long s;
	int i;

	for (i = 0; i < f->services; i++) {
		o = fleet_call("GET", f->service[i], "/journal", NULL, NULL, &s);
		if (o && json_object_object_get_ex(o, "runs", &list))
			n += (int64_t)json_object_array_length(list);
		json_object_put(o);
	}
	return n;
}

static void expect_error(json_object *o, const char *code, const char *ran)
{
	const char *c = json_text_at(o, "error.code");

	CU_ASSERT(c && !strcmp(c, code));
	if (!c || strcmp(c, code)) printf("  got %s\n", json_object_to_json_string(o));
	if (c) CU_ASSERT_STRING_EQUAL(json_text_at(o, "error.ran"), ran);
	json_object_put(o);
}

static void a_booking_runs_once_at_any_daemon(void)
{
	struct fleet *f = fleet(3, 1, 2, NULL);
	json_object *o;
	long s;
	int i;

	for (i = 0; i < 6; i++) {
		o = call(f, i % 3, "same", "{\"slot\":1}", &s);
		CU_ASSERT_EQUAL(s, 200);
		CU_ASSERT_EQUAL(json_int_at(o, "run"), 1);
		json_object_put(o);
	}
	CU_ASSERT_EQUAL(runs(f), 1);
	expect_error(call(f, 0, "same", "{\"slot\":2}", &s), "conflict", "no");
	stop(f);
}

struct racer {
	struct fleet *f;
	int entry;
	long status;
};

static void *race(void *arg)
{
	struct racer *r = arg;

	json_object_put(call(r->f, r->entry, "race", "{}", &r->status));
	return NULL;
}

static void bookings_that_race_run_once(void)
{
	struct fleet *f = fleet(3, 1, 2, NULL);
	struct racer r[9];
	pthread_t t[9];
	int i, ok = 0;

	for (i = 0; i < f->services; i++) fleet_fault(f->service[i], "{\"delay_ms\":200}");
	for (i = 0; i < 9; i++) {
		r[i] = (struct racer){f, i % 3, 0};
		pthread_create(&t[i], NULL, race, &r[i]);
	}
	for (i = 0; i < 9; i++) {
		pthread_join(t[i], NULL);
		ok += r[i].status == 200;
		CU_ASSERT(r[i].status == 200 || r[i].status == 409);
	}
	CU_ASSERT(ok >= 1);
	CU_ASSERT_EQUAL(runs(f), 1);
	stop(f);
}

static void a_claim_whose_answer_is_lost_is_settled(void)
{
	struct fleet *f = fleet(1, 1, 1, NULL);
	json_object *o;
	long s;

	fleet_fault(f->kv, "{\"lose_answers\":1}");
	o = call(f, 0, "k", "{}", &s);
	CU_ASSERT_EQUAL(s, 200);
	json_object_put(o);
	o = call(f, 0, "k", "{}", &s);
	CU_ASSERT_EQUAL(s, 200);
	json_object_put(o);
	CU_ASSERT_EQUAL(runs(f), 1);
	stop(f);
}

static void an_answer_lost_by_the_service_is_never_run_again(void)
{
	struct fleet *f = fleet(2, 1, 1, NULL);
	long s;

	fleet_fault(f->service[0], "{\"lose_answers\":1}");
	expect_error(call(f, 0, "k", "{}", &s), "engine_failed", "maybe");
	/* Later retries, at any daemon, get may_have_run and reach no service. */
	expect_error(call(f, 1, "k", "{}", &s), "may_have_run", "maybe");
	CU_ASSERT_EQUAL(runs(f), 1);
	stop(f);
}

/* For a moment after the store is back, calls are still refused with 503: not run, retry later.
 */
static int booked(void *f)
{
	long s;

	json_object_put(call(f, 0, "k", "{}", &s));
	CU_ASSERT(s == 200 || s == 503);
	return s == 200;
}

static void without_the_platform_bookings_are_refused_and_the_rest_goes_on(void)
{
	struct fleet *f = fleet(2, 1, 1, NULL);
	struct stream *st;
	json_object *o;
	long s;

	fleet_fault(f->kv, "{\"down\":1}");
	expect_error(call(f, 0, "k", "{}", &s), "platform_down", "no");
	CU_ASSERT_EQUAL(s, 503);
	CU_ASSERT_EQUAL(runs(f), 0);
	st = stream_open(f->entry[1], KEY_MEMBERS, STREAM(30), NULL, 0);
	check_complete(st, 30);
	stream_free(st);
	o = fleet_call("PATCH", f->admin[0], "/admin/v1/groups/packing", ADMIN_KEY,
		       "{\"weight\":9}", &s);
	CU_ASSERT_EQUAL(s, 503);
	json_object_put(o);
	fleet_fault(f->kv, "{\"down\":0}");
	CU_ASSERT_EQUAL(await(booked, f), 0);
	CU_ASSERT_EQUAL(runs(f), 1);
	stop(f);
}

static const struct check list[] = {
	{"a_booking_runs_once_at_any_daemon", a_booking_runs_once_at_any_daemon},
	{"bookings_that_race_run_once", bookings_that_race_run_once},
	{"a_claim_whose_answer_is_lost_is_settled", a_claim_whose_answer_is_lost_is_settled},
	{"an_answer_lost_by_the_service_is_never_run_again",
	 an_answer_lost_by_the_service_is_never_run_again},
	{"without_the_platform_bookings_are_refused_and_the_rest_goes_on",
	 without_the_platform_bookings_are_refused_and_the_rest_goes_on},
};
CHECK_MAIN(list)
