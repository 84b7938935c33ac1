/* A caller: sends requests, retries, resumes cut streams, and records the outcomes. */
#include "chaos.h"
#include "clock.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TRIES_MAX 40
#define PAUSE_US 100000

void chaos_entry(struct chaos *c, GRand *r, char out[64])
{
	pthread_mutex_lock(&c->lock);
	strcpy(out, c->entry[g_rand_int_range(r, 0, c->f->entries)]);
	pthread_mutex_unlock(&c->lock);
}

static void record_error(struct chaos_record *x, json_object *o, int *maybe)
{
	const char *ran = json_text_at(o, "error.ran"), *code = json_text_at(o, "error.code");

	if (code) g_strlcpy(x->last_code, code, sizeof x->last_code);
	if (!ran || strcmp(ran, "no")) *maybe = 1;
}

static json_object *json_of(const char *text)
{
	return json_tokener_parse(text);
}

/* Reads a stream; after a cut, resumes it from the last event's id at a random entry. */
static void stream(struct chaos *c, GRand *r, struct chaos_record *x)
{
	char last[256] = "", at[64], generation[16] = "";
	int tries, maybe = 0, n = g_rand_int_range(r, 5, 120);
	long next = 0;
	char *body = g_strdup_printf("{\"model\":\"brew\",\"prompt\":\"%s\",\"stream\":true,"
				     "\"x_output_tokens\":%d,\"x_tag\":\"%s\"}",
				     x->tag, n, x->tag);

	for (tries = 0; tries < TRIES_MAX; tries++) {
		struct stream *s;
		json_object *o;

		chaos_entry(c, r, at);
		s = stream_open(at, KEY_MEMBERS, body, last[0] ? last : NULL, next);
		stream_join(s);
		x->bad |= s->mixed || s->out_of_order ||
			  (generation[0] && s->tag[0] && strcmp(generation, s->tag));
		if (s->tag[0]) strcpy(generation, s->tag);
		if (s->events) {
			next = s->next;
			strcpy(last, s->id);
			maybe = 1;
		}
		x->whole = s->done && next == n;
		x->bad |= s->done && next != n;
		if (s->error) x->lost = 1;
		o = s->status != 200 ? json_of(s->raw->str) : NULL;
		if (s->status != 200) record_error(x, o, &maybe);
		/* The generation was lost: engine crash, or not read for too long. */
		if (o && last[0] && json_text_at(o, "error.code") &&
		    !strcmp(json_text_at(o, "error.code"), "stream_lost"))
			x->lost = 1;
		json_object_put(o);
		stream_free(s);
		if (x->whole || x->lost) break;
		usleep(PAUSE_US);
	}
	x->not_run = !x->whole && !maybe;
	g_free(body);
}

static void whole(struct chaos *c, GRand *r, struct chaos_record *x)
{
	int tries, maybe = 0, n = g_rand_int_range(r, 5, 120);
	char at[64], last[24];
	char *body = g_strdup_printf("{\"model\":\"brew\",\"prompt\":\"%s\",\"x_output_"
				     "tokens\":%d,\"x_tag\":\"%s\"}",
				     x->tag, n, x->tag);

	snprintf(last, sizeof last, ".%d ", n - 1);
	for (tries = 0; tries < TRIES_MAX && !x->whole; tries++) {
		json_object *o;
		long status;

		chaos_entry(c, r, at);
		o = fleet_call("POST", at, "/v1/completions", KEY_MEMBERS, body, &status);
		if (status == 200) {
			x->whole = 1;
			x->bad |= json_int_at(o, "usage.completion_tokens") != n ||
				  !strstr(json_object_to_json_string(o), last);
		} else {
			record_error(x, o, &maybe);
		}
		json_object_put(o);
		if (!x->whole) usleep(PAUSE_US);
	}
	x->not_run = !x->whole && !maybe;
	g_free(body);
}

/* All attempts use the same idempotency key, so the request must run at most once. */
static void booking(struct chaos *c, GRand *r, struct chaos_record *x)
{
	char *idem = g_strdup_printf("Idempotency-Key: %s", x->tag), at[64];
	const char *headers[] = {"Authorization: Bearer " KEY_MEMBERS, idem, NULL};
	int tries, maybe = 0;

	for (tries = 0; tries < TRIES_MAX && !x->whole && !x->lost; tries++) {
		json_object *o;
		long status;

		chaos_entry(c, r, at);
		o = fleet_call_with("POST", at, "/v1/call/slots/book", headers, "{}", &status);
		if (status == 200)
			x->whole = 1;
		else
			record_error(x, o, &maybe);
		if (status != 200 && o && json_text_at(o, "error.code") &&
		    !strcmp(json_text_at(o, "error.code"), "may_have_run"))
			x->lost = 1;
		json_object_put(o);
		if (!x->whole) usleep(PAUSE_US);
	}
	x->not_run = !x->whole && !maybe;
	g_free(idem);
}

void *chaos_caller(void *arg)
{
	struct chaos_caller_arg *a = arg;
	struct chaos *c = a->c;
	GRand *r = g_rand_new_with_seed(c->seed * 1000 + (uint32_t)a->number);
	int i;

	for (i = 0; !c->over; i++) {
		struct chaos_record x = {.from_us = clock_us()};

		snprintf(x.tag, sizeof x.tag, "c%d-%d", a->number, i);
		x.kind = (enum chaos_kind)g_rand_int_range(r, 0, CHAOS_KINDS);
		switch (x.kind) {
		case CHAOS_STREAM: stream(c, r, &x); break;
		case CHAOS_WHOLE: whole(c, r, &x); break;
		default: booking(c, r, &x);
		}
		x.to_us = clock_us();
		pthread_mutex_lock(&c->lock);
		g_array_append_val(c->records, x);
		pthread_mutex_unlock(&c->lock);
		usleep((useconds_t)g_rand_int_range(r, 0, 100000));
	}
	g_rand_free(r);
	return NULL;
}
