/* Daemons that are killed or suspended, and limits over all keepers, with real processes. */
#include "fleet_check.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

static void a_reader_resumes_at_another_daemon(void)
{
	struct fleet *f = fleet(3, 2, 1, NULL);
	struct stream *s = stream_open(f->entry[2], KEY_MEMBERS, STREAM(300), NULL, 0),
		      *resumed;
	char tag[16];
	int got;

	CU_ASSERT(stream_wait(s, 40) >= 40);
	fleet_signal(f, "entry3", SIGKILL);
	stream_join(s);
	CU_ASSERT_FALSE(s->done);
	got = s->events;
	strcpy(tag, s->tag);
	resumed = stream_open(f->entry[0], KEY_MEMBERS, STREAM(300), s->id, s->next);
	check_complete(resumed, 300 - got);
	CU_ASSERT_STRING_EQUAL(resumed->tag, tag);
	stream_free(resumed);
	stream_free(s);
	stop(f);
}

static void a_forged_or_foreign_event_id_is_refused(void)
{
	struct fleet *f = fleet(1, 1, 1, NULL);
	struct stream *s = stream_open(f->entry[0], KEY_MEMBERS, STREAM(20), NULL, 0), *t;
	char forged[256];
	char *slash;

	check_complete(s, 20);
	CU_ASSERT_FATAL(s->id[0]);
	t = stream_open(f->entry[0], KEY_PACKING, STREAM(20), s->id, 0);
	stream_join(t);
	CU_ASSERT_EQUAL(t->status, 400);
	CU_ASSERT_EQUAL(t->events, 0);
	stream_free(t);
	strcpy(forged, s->id);
	slash = strchr(forged, '/');
	slash[1] = slash[1] == 'a' ? 'b' : 'a';
	t = stream_open(f->entry[0], KEY_MEMBERS, STREAM(20), forged, 0);
	stream_join(t);
	CU_ASSERT_EQUAL(t->status, 400);
	stream_free(t);
	stream_free(s);
	stop(f);
}

static int get_keeper(struct fleet *f, int admin, const char *engine, char *name, size_t max)
{
	json_object *o, *list, *e;
	size_t i;
	long s;

	name[0] = 0;
	o = fleet_call("GET", f->admin[admin], "/admin/v1/engines", ADMIN_KEY, NULL, &s);
	if (o && json_object_object_get_ex(o, "engines", &list))
		for (i = 0; i < json_object_array_length(list); i++) {
			e = json_object_array_get_idx(list, i);
			if (!strcmp(json_text_at(e, "address"), engine))
				g_strlcpy(name, json_text_at(e, "keeper"), max);
		}
	json_object_put(o);
	return name[0] != 0;
}

/* Kills or stops the keeper of an engine: waiting requests are granted by its successor,
 * running ones continue. */
static void signal_keeper(int sig)
{
	struct fleet *f = fleet(3, 1, 1, "--max-running 2");
	struct stream *s[6];
	char keeper[32];
	int i, at;

	CU_ASSERT_FATAL(get_keeper(f, 0, f->engine[0], keeper, sizeof keeper));
	at = strcmp(keeper, "entry1") ? 0 : 1;
	for (i = 0; i < 6; i++)
		s[i] = stream_open(f->entry[at], KEY_MEMBERS, STREAM(400), NULL, 0);
	for (i = 0; i < 6 && stream_wait(s[i], 1) < 1; i++)
		;
	fleet_signal(f, keeper, sig);
	for (i = 0; i < 6; i++) {
		check_complete(s[i], 400);
		stream_free(s[i]);
	}
	if (sig == SIGSTOP) fleet_signal(f, keeper, SIGCONT);
	stop(f);
}

static void waiting_requests_survive_their_keepers_death(void)
{
	signal_keeper(SIGKILL);
}

static void waiting_requests_survive_a_frozen_keeper(void)
{
	signal_keeper(SIGSTOP);
}

struct change {
	int64_t at;
	int step;
};

static int by_time(const void *a, const void *b)
{
	const struct change *x = a, *y = b;

	if (x->at != y->at) return x->at < y->at ? -1 : 1;
	return x->step - y->step;
}

/* The largest number of concurrent generations over all engines, from the engines' journals;
 * the engines share one machine's clock. *n is the number of generations. */
static int max_concurrent(struct fleet *f, int *n)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct change));
	json_object *o, *list, *g;
	int i, running = 0, max = 0;
	struct change s;
	size_t k;
	long st;

	for (i = 0; i < f->engines; i++) {
		o = fleet_call("GET", f->engine[i], "/journal", NULL, NULL, &st);
		json_object_object_get_ex(o, "generations", &list);
		for (k = 0; k < json_object_array_length(list); k++) {
			g = json_object_array_get_idx(list, k);
			s = (struct change){json_int_at(g, "from_us"), 1};
			g_array_append_val(a, s);
			s = (struct change){json_int_at(g, "to_us"), -1};
			g_array_append_val(a, s);
		}
		json_object_put(o);
	}
	g_array_sort(a, by_time);
	*n = (int)a->len / 2;
	for (k = 0; k < a->len; k++) {
		running += g_array_index(a, struct change, k).step;
		if (running > max) max = running;
	}
	g_array_free(a, TRUE);
	return max;
}

static void a_ceiling_holds_over_all_keepers(void)
{
	struct fleet *f = fleet(4, 4, 0, NULL);
	struct stream *s[40];
	int i, n, max;
	long st;

	json_object_put(fleet_call("PATCH", f->admin[0], "/admin/v1/groups/packing", ADMIN_KEY,
				   "{\"ceilings\":{\"running\":5,\"waiting\":400}}", &st));
	CU_ASSERT_EQUAL(st, 200);
	for (i = 0; i < f->entries; i++) {
		struct version v = {f, fleet_table_version(f->admin[0])};

		CU_ASSERT_EQUAL(await(all_have_version, &v), 0);
	}
	for (i = 0; i < 40; i++)
		s[i] = stream_open(f->entry[i % 4], KEY_PACKING, STREAM(40), NULL, 0);
	for (i = 0; i < 40; i++) {
		check_complete(s[i], 40);
		stream_free(s[i]);
	}
	max = max_concurrent(f, &n);
	CU_ASSERT_EQUAL(n, 40);
	CU_ASSERT(max >= 1 && max <= 5);
	if (max < 1 || max > 5) printf("  %d at once\n", max);
	stop(f);
}

static const struct check list[] = {
	{"a_reader_resumes_at_another_daemon", a_reader_resumes_at_another_daemon},
	{"a_forged_or_foreign_event_id_is_refused", a_forged_or_foreign_event_id_is_refused},
	{"waiting_requests_survive_their_keepers_death",
	 waiting_requests_survive_their_keepers_death},
	{"waiting_requests_survive_a_frozen_keeper", waiting_requests_survive_a_frozen_keeper},
	{"a_ceiling_holds_over_all_keepers", a_ceiling_holds_over_all_keepers},
};
CHECK_MAIN(list)
