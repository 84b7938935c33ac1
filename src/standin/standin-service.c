/* Stand-in for a plain service: it records each run of a call.
 * Faults are set by POST /fault and never random. */
#include "common.h"
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define THREADS 200

struct run {
	char key[256], path[128];
	uint64_t n;
};

static struct standin_options o;

static struct {
	pthread_mutex_t lock;
	GArray *runs;
	int lose_answers, refuse;
	int64_t delay_ms;
} sv = {.lock = PTHREAD_MUTEX_INITIALIZER};

static uint64_t record(const char *key, const char *path)
{
	struct run r = {0};

	g_strlcpy(r.key, key ? key : "", sizeof r.key);
	g_strlcpy(r.path, path, sizeof r.path);
	pthread_mutex_lock(&sv.lock);
	r.n = sv.runs->len + 1;
	g_array_append_val(sv.runs, r);
	pthread_mutex_unlock(&sv.lock);
	return r.n;
}

static int consume_fault(int *left)
{
	int taken;

	pthread_mutex_lock(&sv.lock);
	taken = *left > 0;
	if (taken) --*left;
	pthread_mutex_unlock(&sv.lock);
	return taken;
}

static int on_call(struct mg_connection *c, void *arg)
{
	const struct mg_request_info *i = mg_get_request_info(c);
	json_object *body = standin_body(c);
	const char *key = mg_get_header(c, "Idempotency-Key");
	uint64_t n;

	(void)arg;
	if (consume_fault(&sv.refuse)) {
		json_object_put(body);
		return standin_send(c, 503, "{\"error\":\"refused\"}");
	}
	standin_journal(&o, "run %s", key ? key : "-");
	n = record(key, i->local_uri);
	if (sv.delay_ms) usleep((useconds_t)sv.delay_ms * 1000);
	if (consume_fault(&sv.lose_answers))
		mg_disable_keep_alive(c);
	else
		standin_send(c, 200, "{\"run\":%llu,\"path\":\"%s\",\"echo\":%s}",
			     (unsigned long long)n, i->local_uri,
			     body ? json_object_to_json_string(body) : "null");
	json_object_put(body);
	return 200;
}

static int on_fault(struct mg_connection *c, void *arg)
{
	json_object *f = standin_body(c);

	(void)arg;
	if (standin_int(f, "die", 0)) _exit(1);
	pthread_mutex_lock(&sv.lock);
	sv.lose_answers = (int)standin_int(f, "lose_answers", sv.lose_answers);
	sv.refuse = (int)standin_int(f, "refuse", sv.refuse);
	sv.delay_ms = standin_int(f, "delay_ms", sv.delay_ms);
	if (standin_has(f, "say")) standin_set_header(standin_string(f, "say", NULL));
	pthread_mutex_unlock(&sv.lock);
	json_object_put(f);
	return standin_send(c, 200, "{}");
}

static int on_journal(struct mg_connection *c, void *arg)
{
	GString *s = g_string_new("{\"runs\":[");
	struct run *r;
	guint i;

	(void)arg;
	pthread_mutex_lock(&sv.lock);
	for (i = 0; i < sv.runs->len; i++) {
		r = &g_array_index(sv.runs, struct run, i);
		g_string_append_printf(s, "%s{\"n\":%llu,\"key\":\"%s\",\"path\":\"%s\"}",
				       i ? "," : "", (unsigned long long)r->n, r->key, r->path);
	}
	pthread_mutex_unlock(&sv.lock);
	g_string_append(s, "]}");
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	return 200;
}

int main(int argc, const char **argv)
{
	struct poptOption table[] = {STANDIN_OPTIONS(&o), POPT_AUTOHELP POPT_TABLEEND};
	struct mg_context *ctx;

	standin_parse("standin-service", argc, argv, table);
	standin_block_signals();
	sv.runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	ctx = standin_serve(&o, THREADS);
	mg_set_request_handler(ctx, "/fault$", on_fault, NULL);
	mg_set_request_handler(ctx, "/journal$", on_journal, NULL);
	mg_set_request_handler(ctx, "/", on_call, NULL);
	standin_ready(&o, ctx);
	standin_wait();
	_exit(0);
}
