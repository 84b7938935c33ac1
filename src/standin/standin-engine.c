/* Stand-in for a model engine: it batches continuously, its memory fills as streams grow, it
 * preempts when memory is full, and it reports load with a lag. POST /fault sets faults. */
#include "engine_model.h"
#include "clock.h"
#include "common.h"
#include <string.h>
#include <unistd.h>

#define GEN_PATH "/v1/generations/"
#define THREADS 700
#define BATCH 64 /* maximum tokens per write */

static struct standin_options options;
static struct engine_model model;
static struct engine_faults faults;

static int consume_fault(int *left)
{
	int n = __atomic_load_n(left, __ATOMIC_RELAXED);

	while (n > 0)
		if (__atomic_compare_exchange_n(left, &n, n - 1, 0, __ATOMIC_RELAXED,
						__ATOMIC_RELAXED))
			return 1;
	return 0;
}

static void token_json(GString *s, const struct seq *q, uint32_t offset, int last)
{
	const char *finish = last ? q->limited ? "\"length\"" : "\"stop\"" : "null";

	if (q->chat)
		g_string_append_printf(
			s,
			"{\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{"
			"\"index\":0,"
			"\"delta\":{\"content\":\"%s.%u \"},\"finish_reason\":%s}]}",
			q->id, q->tag, offset, finish);
	else
		g_string_append_printf(s,
				       "{\"id\":\"%s\",\"object\":\"text_completion\","
				       "\"choices\":[{\"index\":0,"
				       "\"text\":\"%s.%u \",\"finish_reason\":%s}]}",
				       q->id, q->tag, offset, finish);
}

static void append_events(GString *s, const struct seq *q, const char *id, uint32_t from,
			  uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++) {
		g_string_append_printf(s, "id: %s:%u\ndata: ", id, i);
		token_json(s, q, i, i + 1 == q->length);
		g_string_append(s, "\n\n");
	}
}

/* Streams q from an offset on, until it ends or is cancelled, or the reader disconnects. */
static int stream(struct mg_connection *c, struct seq *q, uint32_t from)
{
	int cut = consume_fault(&faults.cut) ? (int)faults.cut_after : -1;
	const char *id = consume_fault(&faults.cross) ? "another-generation" : q->id;
	GString *s = g_string_new(NULL), *scratch = g_string_new(NULL);
	int rc = http_stream_start(c, NULL);
	uint32_t have;

	while (!rc && from < q->length) {
		have = model_wait(&model, q, from);
		if (have <= from) break;
		if (have > from + BATCH) have = from + BATCH;
		if (cut >= 0 && (int)have > cut) have = (uint32_t)cut;
		g_string_truncate(s, 0);
		append_events(s, q, id, from, have);
		if (s->len) rc = http_stream_write(c, scratch, s->str, s->len);
		from = have;
		if (cut >= 0 && (int)from >= cut) rc = -1;
	}
	if (!rc && from >= q->length) {
		http_stream_write(c, scratch, "data: [DONE]\n\n", 14);
		http_stream_end(c);
	} else {
		mg_disable_keep_alive(c);
	}
	g_string_free(scratch, TRUE);
	g_string_free(s, TRUE);
	model_reader_left(&model, q);
	return 200;
}

static int send_whole(struct mg_connection *c, struct seq *q)
{
	GString *s = g_string_new("{\"choices\":[{\"index\":0,\"text\":\"");
	uint32_t i, have = 0;

	while (have < q->length && model_wait(&model, q, have) > have) have = q->generated;
	for (i = 0; i < have; i++) g_string_append_printf(s, "%s.%u ", q->tag, i);
	g_string_append_printf(s, "\"}],\"usage\":{\"completion_tokens\":%u}}", have);
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	model_reader_left(&model, q);
	return 200;
}

static int generate(struct mg_connection *c, int chat)
{
	json_object *o = standin_body(c), *v;
	struct seq_start st = {.chat = chat};
	struct seq *q;
	int want_stream;

	if (!o) return standin_send(c, 400, "{\"error\":\"not JSON\"}");
	if (faults.refuse) {
		json_object_put(o);
		return standin_send(c, 503, "{\"error\":\"refused\"}");
	}
	st.id = standin_string(o, "request_id", NULL);
	json_object_object_get_ex(o, chat ? "messages" : "prompt", &v);
	st.prompt = json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN);
	st.priority = (int)standin_int(o, "priority", 0);
	st.max_tokens = (uint32_t)standin_int(o, "max_tokens", 0);
	st.length = (uint32_t)standin_int(o, "x_output_tokens", 0);
	want_stream = standin_int(o, "stream", 0) != 0;
	standin_journal(&options, "start %s %s", standin_string(o, "x_tag", "-"),
			st.id ? st.id : "-");
	q = model_add(&model, &st);
	json_object_put(o);
	if (!q)
		return standin_send(c, 409,
				    "{\"error\":\"this id runs already or is too long\"}");
	if (faults.delay_ms) usleep((useconds_t)faults.delay_ms * 1000);
	return want_stream ? stream(c, q, 0) : send_whole(c, q);
}

static int on_completions(struct mg_connection *c, void *arg)
{
	(void)arg;
	return generate(c, 0);
}

static int on_chat(struct mg_connection *c, void *arg)
{
	(void)arg;
	return generate(c, 1);
}

static int on_generation(struct mg_connection *c, void *arg)
{
	const struct mg_request_info *i = mg_get_request_info(c);
	const char *id = i->local_uri + strlen(GEN_PATH);
	struct seq *q;
	int started;

	(void)arg;
	if (!strcmp(i->request_method, "DELETE")) {
		started = model_cancel(&model, id);
		if (started < 0) return standin_send(c, 404, "{}");
		return standin_send(c, 200, "{\"started\":%s}", started ? "true" : "false");
	}
	q = model_find(&model, id);
	if (!q) return standin_send(c, 404, "{}");
	if (consume_fault(&faults.reject_resume))
		return standin_send(c, 400, "{\"error\":\"rejected\"}");
	return stream(c, q, (uint32_t)standin_param(c, "from", 0));
}

/* Streams reports of load and of the prefix cache until the client disconnects. */
static int on_events(struct mg_connection *c, void *arg)
{
	GString *s = g_string_new(NULL), *scratch = g_string_new(NULL);
	uint64_t seen = 0;
	int rc = http_stream_start(c, NULL);

	(void)arg;
	while (!rc) {
		g_string_truncate(s, 0);
		model_report(&model, s, &seen);
		if (s->len) rc = http_stream_write(c, scratch, s->str, s->len);
		usleep((useconds_t)model.cfg.load_ms * 1000);
		while (faults.freeze) usleep(10000);
	}
	g_string_free(scratch, TRUE);
	g_string_free(s, TRUE);
	return 200;
}

static int on_fault(struct mg_connection *c, void *arg)
{
	json_object *o = standin_body(c);

	(void)arg;
	if (standin_int(o, "die", 0)) _exit(1);
	faults.cut_after = standin_int(o, "cut_after", faults.cut_after);
	if (standin_has(o, "cut_after")) faults.cut = (int)standin_int(o, "cut", 1);
	faults.cross = (int)standin_int(o, "cross", faults.cross);
	faults.refuse = (int)standin_int(o, "refuse", faults.refuse);
	faults.reject_resume = (int)standin_int(o, "reject_resume", faults.reject_resume);
	faults.delay_ms = standin_int(o, "delay_ms", faults.delay_ms);
	faults.freeze = (int)standin_int(o, "freeze", faults.freeze);
	model.slow = (int)standin_int(o, "slow", model.slow);
	model.frozen = faults.freeze;
	json_object_put(o);
	return standin_send(c, 200, "{}");
}

static int on_journal(struct mg_connection *c, void *arg)
{
	GString *s = g_string_new(NULL);

	(void)arg;
	model_journal(&model, s);
	http_send_json(c, 200, s->str);
	g_string_free(s, TRUE);
	return 200;
}

/* With --fenced, an order is refused when its fence is older than the last one's. */
static int on_order(struct mg_connection *c, void *arg)
{
	json_object *o = standin_body(c);
	int64_t fence = standin_int(o, "fence", 0);
	int ok;

	(void)arg;
	json_object_put(o);
	ok = model_fence(&model, fence);
	return standin_send(c, ok ? 200 : 409, "{\"fence\":%lld}", (long long)model.fence);
}

int main(int argc, const char **argv)
{
	struct engine_config *g = &model.cfg;
	struct poptOption table[] = {
		STANDIN_OPTIONS(&options),
		{"capacity", 0, POPT_ARG_INT, &g->capacity, 0, "tokens that its memory holds",
		 "N"},
		{"max-running", 0, POPT_ARG_INT, &g->max_running, 0, "streams at once", "N"},
		{"step-us", 0, POPT_ARG_INT, &g->step_us, 0, "time of a step", "N"},
		{"stream-us", 0, POPT_ARG_INT, &g->stream_us, 0,
		 "added to a step by each stream", "N"},
		{"prefill-us", 0, POPT_ARG_INT, &g->prefill_us, 0, "time of a prompt token",
		 "N"},
		{"load-ms", 0, POPT_ARG_INT, &g->load_ms, 0, "time between load reports", "N"},
		{"lag-ms", 0, POPT_ARG_INT, &g->lag_ms, 0, "age of a load report", "N"},
		{"fenced", 0, POPT_ARG_NONE, &g->fenced, 0, "check the fences of orders", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	struct mg_context *ctx;

	model_defaults(g);
	standin_parse("standin-engine", argc, argv, table);
	standin_block_signals();
	model_start(&model);
	ctx = standin_serve(&options, THREADS);
	mg_set_request_handler(ctx, "/v1/completions$", on_completions, NULL);
	mg_set_request_handler(ctx, "/v1/chat/completions$", on_chat, NULL);
	mg_set_request_handler(ctx, GEN_PATH, on_generation, NULL);
	mg_set_request_handler(ctx, "/v1/events$", on_events, NULL);
	mg_set_request_handler(ctx, "/v1/orders$", on_order, NULL);
	mg_set_request_handler(ctx, "/fault$", on_fault, NULL);
	mg_set_request_handler(ctx, "/journal$", on_journal, NULL);
	standin_ready(&options, ctx);
	standin_wait();
	_exit(0);
}
