/* Engines that fail, answer the wrong request or leave during streams, with real processes. */
#include "fleet_check.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define UNSTREAMED(n) "{\"model\":\"brew\",\"prompt\":\"p\",\"x_output_tokens\":" #n "}"

/* The index of the engine whose journal has a running generation, or -1. */
static int running_engine(struct fleet *f)
{
	json_object *o;
	int i, found = -1;
	long s;

	for (i = 0; i < f->engines; i++) {
		o = fleet_call("GET", f->engine[i], "/journal", NULL, NULL, &s);
		if (o && strstr(json_object_to_json_string(o), "\"running\"")) found = i;
		json_object_put(o);
	}
	return found;
}

static void a_cut_stream_goes_on_with_the_same_generation(void)
{
	struct fleet *f = fleet(2, 1, 1, NULL);
	struct stream *s;

	fleet_fault(f->engine[0], "{\"cut_after\":20,\"cut\":1}");
	s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(80), NULL, 0);
	check_complete(s, 80);
	CU_ASSERT(fleet_metric(f->admin[0], "saddlehead_retried_total{reason=\"resume\"}") >=
		  1);
	stream_free(s);
	stop(f);
}

/* The engine's 400 to a resumption was told to the reader as that of a request that did not
 * run. */
static void a_rejected_resumption_is_no_rejected_request(void)
{
	struct fleet *f = fleet(1, 1, 1, NULL);
	struct stream *s;

	fleet_fault(f->engine[0], "{\"cut_after\":20,\"cut\":1,\"reject_resume\":1}");
	s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(80), NULL, 0);
	check_complete(s, 80);
	stream_free(s);
	fleet_fault(f->engine[0], "{\"cut_after\":20,\"cut\":1,\"reject_resume\":100}");
	s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(80), NULL, 0);
	stream_join(s);
	CU_ASSERT(s->error && !s->done && !s->mixed && !s->out_of_order);
	CU_ASSERT_PTR_NOT_NULL(strstr(s->raw->str, "\"ran\":\"yes\""));
	stream_free(s);
	stop(f);
}

static void a_crossed_answer_reaches_nobody(void)
{
	struct fleet *f = fleet(1, 1, 1, NULL);
	struct stream *s;

	fleet_fault(f->engine[0], "{\"cross\":1}");
	s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(30), NULL, 0);
	check_complete(s, 30);
	CU_ASSERT(fleet_metric(f->admin[0], "saddlehead_answers_dropped_total") >= 1);
	CU_ASSERT(fleet_metric(f->admin[0],
			       "saddlehead_retried_total{reason=\"crossed_answer\"}") >= 1);
	stream_free(s);
	stop(f);
}

static void an_engine_that_dies_ends_the_stream_with_an_error(void)
{
	struct fleet *f = fleet(1, 2, 1, NULL);
	struct stream *s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(2000), NULL, 0);
	char name[32];

	CU_ASSERT(stream_wait(s, 10) >= 10);
	snprintf(name, sizeof name, "engine%d", running_engine(f) + 1);
	fleet_signal(f, name, SIGKILL);
	stream_join(s);
	CU_ASSERT(s->error && !s->done && !s->mixed && !s->out_of_order);
	stream_free(s);
	stop(f);
}

struct unstreamed_call {
	struct fleet *f;
	long status;
	json_object *o;
};

static void *call_unstreamed(void *arg)
{
	struct unstreamed_call *w = arg;

	w->o = fleet_call("POST", w->f->entry[0], "/v1/completions", KEY_MEMBERS,
			  UNSTREAMED(300), &w->status);
	return NULL;
}

static int is_running(void *f)
{
	return running_engine(f) >= 0;
}

/* The caller has received nothing of an unstreamed answer, so it restarts at another engine. */
static void a_whole_answer_survives_its_engine(void)
{
	struct fleet *f = fleet(1, 2, 1, NULL);
	struct unstreamed_call w = {.f = f};
	pthread_t t;
	char name[32];

	pthread_create(&t, NULL, call_unstreamed, &w);
	CU_ASSERT_EQUAL(await(is_running, f), 0);
	snprintf(name, sizeof name, "engine%d", running_engine(f) + 1);
	fleet_signal(f, name, SIGKILL);
	pthread_join(t, NULL);
	CU_ASSERT_EQUAL(w.status, 200);
	CU_ASSERT_EQUAL(json_int_at(w.o, "usage.completion_tokens"), 300);
	json_object_put(w.o);
	stop(f);
}

static void put_list(struct fleet *f, const char *dc, const char *engine, const char *state)
{
	char *path = g_strdup_printf("/v1/kv/platform/instances/%s", dc);
	char *body = g_strdup_printf(
		"{\"instances\":[{\"address\":\"%s\",\"kind\":\"engine\",\"services\":"
		"[\"brew\",\"lorry\"],\"state\":\"%s\"}]}",
		engine, state);
	long s;

	json_object_put(fleet_call("PUT", f->kv, path, NULL, body, &s));
	g_free(body);
	g_free(path);
}

static int seen_leaving(void *arg)
{
	struct fleet *f = arg;
	int i, n = 0;
	long s;

	for (i = 0; i < f->entries; i++) {
		json_object *o = fleet_call("GET", f->admin[i], "/admin/v1/engines", ADMIN_KEY,
					    NULL, &s);

		n += strstr(json_object_to_json_string(o), "leaving") != NULL;
		json_object_put(o);
	}
	return n == f->entries;
}

static int64_t generations(struct fleet *f, int engine)
{
	json_object *o, *list;
	int64_t n = 0;
	long s;

	o = fleet_call("GET", f->engine[engine], "/journal", NULL, NULL, &s);
	if (json_object_object_get_ex(o, "generations", &list))
		n = (int64_t)json_object_array_length(list);
	json_object_put(o);
	return n;
}

static void a_leaving_engine_gets_no_new_work(void)
{
	struct fleet *f = fleet(2, 2, 0, NULL);
	struct stream *running, *s;
	int64_t before;
	int i;

	running = stream_open(f->entry[0], KEY_MEMBERS, STREAM(200), NULL, 0);
	CU_ASSERT(stream_wait(running, 1) >= 1);
	put_list(f, "dc1", f->engine[0], "leaving");
	CU_ASSERT_EQUAL(await(seen_leaving, f), 0);
	before = generations(f, 0);
	for (i = 0; i < 10; i++) {
		s = stream_open(f->entry[i % 2], KEY_MEMBERS, STREAM(5), NULL, 0);
		check_complete(s, 5);
		stream_free(s);
	}
	CU_ASSERT_EQUAL(generations(f, 0), before);
	check_complete(running, 200);
	stream_free(running);
	stop(f);
}

static int has_retried(void *arg)
{
	struct fleet *f = arg;

	return fleet_metric(f->admin[0], "saddlehead_platform_errors_total") >= 2;
}

/* The close of a connection ended the store's answer: half of a document counted as its new
 * version, and the whole one was never read. */
static void a_document_that_comes_in_part_is_read_again(void)
{
	struct fleet *f = fleet(1, 2, 0, NULL);

	fleet_fault(f->kv, "{\"cut\":1}");
	put_list(f, "dc1", f->engine[0], "leaving");
	CU_ASSERT_EQUAL(await(has_retried, f), 0);
	fleet_fault(f->kv, "{\"cut\":0}");
	CU_ASSERT_EQUAL(await(seen_leaving, f), 0);
	stop(f);
}

static const struct check list[] = {
	{"a_cut_stream_goes_on_with_the_same_generation",
	 a_cut_stream_goes_on_with_the_same_generation},
	{"a_rejected_resumption_is_no_rejected_request",
	 a_rejected_resumption_is_no_rejected_request},
	{"a_crossed_answer_reaches_nobody", a_crossed_answer_reaches_nobody},
	{"an_engine_that_dies_ends_the_stream_with_an_error",
	 an_engine_that_dies_ends_the_stream_with_an_error},
	{"a_whole_answer_survives_its_engine", a_whole_answer_survives_its_engine},
	{"a_document_that_comes_in_part_is_read_again",
	 a_document_that_comes_in_part_is_read_again},
	{"a_leaving_engine_gets_no_new_work", a_leaving_engine_gets_no_new_work},
};
CHECK_MAIN(list)
