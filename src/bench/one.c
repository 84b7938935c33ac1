/* Sends one request of the load and records its times. */
#include "clock.h"
#include "eng.h"
#include "load.h"
#include <math.h>
#include <string.h>

#define STALL_GAP_US 250000 /* the daemons use the same limit */
#define TIMEOUT_MS 120000L
#define BODY_KEEP_BYTES 4096 /* of an answer that is not a stream, to find its error code */

struct load_request {
	struct load *load;
	enum load_side side;
	int group, call, stream;
	struct sse sse;
	GString *body;
	int64_t sent_us, last_us, stall_us;
	uint32_t tokens;
	int done;
};

static void load_count_code(struct load_stats *s, const char *code)
{
	int i;

	for (i = 0; i < s->ncodes; i++)
		if (!strcmp(s->code[i].code, code)) break;
	if (i == LOAD_CODES_MAX) return;
	if (i == s->ncodes) g_strlcpy(s->code[s->ncodes++].code, code, sizeof s->code[0].code);
	s->code[i].n++;
}

static void add_sample(GArray *a, int64_t us)
{
	double v = (double)us;

	g_array_append_val(a, v);
}

static struct load_stats *stats_of(const struct load_request *o)
{
	return &o->load->stats[o->side][o->group];
}

static void on_token(struct load_request *o, int64_t now)
{
	int64_t gap = now - o->last_us;

	if (!o->tokens++) {
		add_sample(stats_of(o)->first_token, now - o->sent_us);
		o->stall_us = now - o->sent_us;
	} else {
		add_sample(stats_of(o)->between_tokens, gap);
		if (gap > STALL_GAP_US) o->stall_us += gap - STALL_GAP_US;
	}
	o->last_us = now;
	stats_of(o)->tokens++;
}

static void count_error(struct load_request *o, const char *json)
{
	json_object *root = json_tokener_parse(json), *e, *c;

	if (root && json_object_object_get_ex(root, "error", &e) &&
	    json_object_object_get_ex(e, "code", &c))
		load_count_code(stats_of(o), json_object_get_string(c));
	else
		load_count_code(stats_of(o), "broken_off");
	json_object_put(root);
}

static int on_event(struct sse *s, void *arg)
{
	struct load_request *o = arg;

	if (!strcmp(s->data->str, "[DONE]"))
		o->done = 1;
	else if (!strcmp(s->event, "error"))
		count_error(o, s->data->str);
	else
		on_token(o, clock_us());
	return 0;
}

static int on_data(struct mux_xfer *x, const char *p, size_t n)
{
	struct load_request *o = x->user;
	long status;
	int rc = 0;

	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	pthread_mutex_lock(&o->load->lock);
	if (o->stream && status == 200)
		rc = sse_feed(&o->sse, p, n, on_event, o);
	else if (o->body->len < BODY_KEEP_BYTES)
		g_string_append_len(o->body, p, (gssize)n);
	pthread_mutex_unlock(&o->load->lock);
	return rc;
}

static void record_outcome(struct load_request *o, CURLcode rc, long status)
{
	struct load_stats *s = stats_of(o);
	int64_t now = clock_us();

	if (rc == CURLE_OK && status == 200 && (!o->stream || o->done)) {
		s->completed++;
		if (o->call)
			add_sample(s->call, now - o->sent_us);
		else
			add_sample(s->stall, o->stream ? o->stall_us : now - o->sent_us);
		return;
	}
	if (rc == CURLE_OK && status >= 400) {
		s->refused++;
		count_error(o, o->body->str);
		return;
	}
	s->failed++;
	if (rc != CURLE_OK) load_count_code(s, "no_answer");
}

static void on_done(struct mux_xfer *x, CURLcode rc, long status)
{
	struct load_request *o = x->user;

	pthread_mutex_lock(&o->load->lock);
	record_outcome(o, rc, status);
	o->load->in_flight--;
	pthread_mutex_unlock(&o->load->lock);
}

static void on_free(struct mux_xfer *x)
{
	struct load_request *o = x->user;

	sse_free(&o->sse);
	g_string_free(o->body, TRUE);
	g_free(o);
}

/* Draws from the standard normal distribution (Box-Muller). */
static double standard_normal(GRand *r)
{
	double u = 1 - g_rand_double(r), v = g_rand_double(r);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

static char *random_prompt(GRand *r, int tokens)
{
	char *s = g_malloc((gsize)tokens * 4 + 1);
	int i;

	for (i = 0; i < tokens * 4; i++) s[i] = (char)('a' + g_rand_int_range(r, 0, 26));
	s[tokens * 4] = 0;
	return s;
}

static char *request_body(struct load *l, const struct load_group *g, int stream)
{
	double out = g->out_median * exp(g->out_sigma * standard_normal(l->rand));
	char *p = random_prompt(l->rand,
				g_rand_int_range(l->rand, g->prompt_min, g->prompt_max + 1)),
	     *s;

	if (l->out_tokens) out = l->out_tokens;
	if (out < 2) out = 2;
	s = g_strdup_printf(
		"{\"model\":\"%s\",\"prompt\":\"%s\",\"stream\":%s,\"x_output_tokens\":%d}",
		g->model, p, stream ? "true" : "false", (int)out);
	g_free(p);
	return s;
}

static struct mux_xfer *open_xfer(const struct load_group *g, const char *address, int call)
{
	char *url, *auth = g_strdup_printf("Authorization: Bearer %s", g->key);
	struct mux_xfer *x;

	if (call)
		url = g_strdup_printf("http://%s/v1/call/%s/ask", address, g->service);
	else
		url = g_strdup_printf("http://%s/v1/completions", address);
	x = mux_xfer_new(url);
	mux_xfer_header(x, auth);
	mux_xfer_header(x, "Content-Type: application/json");
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	g_free(auth);
	g_free(url);
	return x;
}

/* Called only by the thread that draws the load: l->rand has no lock. */
void load_send(struct load *l, enum load_side side, int group, int call, const char *address)
{
	const struct load_group *g = &l->group[group];
	struct load_request *o = g_new0(struct load_request, 1);
	struct mux_xfer *x = open_xfer(g, address, call);
	char *text;

	o->load = l;
	o->side = side;
	o->group = group;
	o->call = call;
	o->stream = !call && g_rand_double(l->rand) < g->stream_share;
	o->body = g_string_new(NULL);
	sse_init(&o->sse);
	text = call ? g_strdup("{\"ask\":1}") : request_body(l, g, o->stream);
	mux_xfer_post(x, text, strlen(text));
	x->user = o;
	x->on_data = on_data;
	x->on_done = on_done;
	x->on_free = on_free;
	o->sent_us = clock_us();
	pthread_mutex_lock(&l->lock);
	stats_of(o)->sent++;
	l->in_flight++;
	pthread_mutex_unlock(&l->lock);
	if (mux_submit(l->mux, x)) {
		pthread_mutex_lock(&l->lock);
		stats_of(o)->failed++;
		l->in_flight--;
		pthread_mutex_unlock(&l->lock);
	}
	mux_xfer_unref(x);
}
