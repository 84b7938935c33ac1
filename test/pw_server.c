/* Backend servers: list entries, requests, move orders and crashes. */
#include "clock.h"
#include "hostport.h"
#include "pf_json.h"
#include "pw.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

static GPtrArray *servers;
static int serial;

static void save_head(struct pw_server *s, struct hs *h)
{
	GString *g = g_string_new(NULL);
	uint32_t i;

	g_string_printf(g, "%s %s\n", http_method_str(h->hp.head.method),
			hp_target(&h->hp.head));
	for (i = 0; i < hp_count(&h->hp.head); i++)
		g_string_append_printf(g, "%s: %s\n", hp_name(&h->hp.head, i),
				       hp_value(&h->hp.head, i));
	g_strlcpy(s->last_raw, g->str, sizeof s->last_raw);
	g_string_free(g, TRUE);
}

void pw_server_answer(struct pw_server *s, struct hs *h, int status, const char *fields,
		      const char *body)
{
	char *all = g_strconcat(fields ? fields : "", s->extra_fields, NULL);

	hs_answer(h, status, all, body, strlen(body));
	g_free(all);
}

static int max_within(const GArray *times, int64_t from_us, int ms)
{
	const int64_t *at = (const int64_t *)(void *)times->data;
	uint32_t i, first = 0, most = 0;

	for (i = 0; i < times->len; i++) {
		if (at[i] < from_us) first = i + 1;
		while (first < i && at[i] - at[first] >= ms * 1000LL) first++;
		if (first <= i) most = MAX(most, i + 1 - first);
	}
	return (int)most;
}

int pw_server_max_arrivals(const struct pw_server *s, int64_t from_us, int ms)
{
	return max_within(s->arrived_us, from_us, ms);
}

int pw_server_max_rejections(const struct pw_server *s, int64_t from_us, int ms)
{
	return max_within(s->rejected_us, from_us, ms);
}

/* Ends the answer of a run that stopped, without the end of its framing if it has any. */
static void end_stopped(const struct pw_server *s, struct hs *stream)
{
	if (!s->stop_closes) {
		hs_abort(stream);
		return;
	}
	stream->keep = 0;
	hs_finish(stream);
}

static void move(struct pw_server *s, struct hs *h)
{
	struct json_object *o = pf_json(h->body->str, h->body->len);
	struct pw_run *r = o ? pw_run_at(s, pf_text(o, "id")) : NULL;
	int last = o && pf_bool(o, "last"), status = s->move_status ? s->move_status : 200;
	char body[160] = "{}";

	s->moves++;
	if (!r) status = 404;
	if (r)
		g_snprintf(body, sizeof body, "{\"handle\":\"handle-%s\",\"made\":%d}", r->id,
			   r->events);
	if (r && last && status != 409) {
		struct hs *stream = r->h;

		r->stopped = 1;
		pw_run_finish(r);
		end_stopped(s, stream);
	}
	json_object_put(o);
	if (last && s->stop_unanswered)
		hs_abort(h);
	else
		pw_server_answer(s, h, status, NULL, body);
}

struct delayed_move {
	struct ev_timer timer;
	struct pw_server *s;
	struct hs *h; /* may have closed by then */
};

static void on_delayed_move(struct ev_timer *t)
{
	struct delayed_move *m = (struct delayed_move *)t;

	m->s->moving--;
	if (g_ptr_array_find(m->s->listener.conns, m->h, NULL)) move(m->s, m->h);
	ev_free_later(m);
}

static void on_move_order(struct pw_server *s, struct hs *h)
{
	int ms = s->stop_ms && strstr(h->body->str, "\"last\":true") ? s->stop_ms : s->move_ms;
	struct delayed_move *m;

	if (!ms) {
		move(s, h);
		return;
	}
	m = g_new0(struct delayed_move, 1);
	m->timer.fire = on_delayed_move;
	m->s = s;
	m->h = h;
	s->moving++;
	s->max_moving = MAX(s->max_moving, s->moving);
	ev_in(&m->timer, ms * 1000);
}

#define REPORT_AGE_MS 200 /* a report describes the runs as they were this long ago */

/* Writes id, tokens, events and priority of each run, REPORT_AGE_MS ago. */
static void write_runs(const struct pw_server *s, GString *out)
{
	int late = REPORT_AGE_MS / s->event_ms;
	uint32_t i;

	for (i = 0; pw_runs && i < pw_runs->len; i++) {
		const struct pw_run *r = g_ptr_array_index(pw_runs, i);

		if (r->server != s || !r->h || r->events < late) continue;
		g_string_append_printf(out, "%s[\"%s\",1000,%d,5]",
				       out->str[out->len - 1] == '[' ? "" : ",", r->id,
				       r->events - late);
	}
}

#define TRICKLE_US 20000

struct trickle {
	struct ev_timer timer;
	struct pw_server *s;
	struct hs *h; /* may have closed by then */
};

static void on_trickle(struct ev_timer *timer)
{
	struct trickle *t = (struct trickle *)timer;

	if (!g_ptr_array_find(t->s->listener.conns, t->h, NULL)) {
		ev_free_later(t);
		return;
	}
	hs_write(t->h, " ", 1);
	ev_in(timer, TRICKLE_US);
}

static void report_without_end(struct pw_server *s, struct hs *h)
{
	static const char head[] = "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n";
	struct trickle *t = g_new0(struct trickle, 1);

	hs_write(h, head, sizeof head - 1);
	t->timer.fire = on_trickle;
	t->s = s;
	t->h = h;
	ev_in(&t->timer, TRICKLE_US);
}

static void answer_report(struct pw_server *s, struct hs *h)
{
	GString *body = g_string_new(s->draining ? "{\"state\":\"draining\",\"leaves_ms\":1500,"
						 : "{\"state\":\"ready\",");

	s->reports++;
	if (s->report_endless) {
		g_string_free(body, TRUE);
		report_without_end(s, h);
		return;
	}
	if (s->incarnation_ms)
		g_string_append_printf(body, "\"born\":%" G_GINT64_FORMAT ",",
				       s->incarnation_ms);
	g_string_append(body, "\"runs\":[");
	write_runs(s, body);
	g_string_append(body, "]}");
	pw_server_answer(s, h, 200, NULL, body->str);
	g_string_free(body, TRUE);
}

static void answer_health_check(struct pw_server *s, struct hs *h)
{
	char fields[96];

	s->checks++;
	g_snprintf(fields, sizeof fields, "X-Instance-Id: %s\r\n", s->id);
	pw_server_answer(s, h, s->unhealthy ? 503 : 200, fields, "");
}

static void generate(struct pw_server *s, struct hs *h)
{
	char copy[96];
	int64_t now = clock_us();

	pw_field(h, "Kv-From", copy, sizeof copy);
	if (s->room && s->running >= s->room) {
		g_array_append_val(s->rejected_us, now);
		pw_server_answer(s, h, 503, "X-Not-Executed: 1\r\n", "");
		return;
	}
	if (*copy) {
		s->copies++;
		if (s->copy_status || s->copy_refusals-- > 0 || !pw_run_by_copy(copy)) {
			pw_server_answer(s, h, 503, "X-Not-Executed: 1\r\n", "");
			return;
		}
	}
	pw_run_begin(s, h, copy);
}

/* Whether the request is addressed to another server, which was at this address before. */
static int targets_other_instance(const struct pw_server *s, struct hs *h)
{
	char expect[64];

	pw_field(h, "X-Target-Instance", expect, sizeof expect);
	return *expect && strcmp(expect, s->id) != 0;
}

static GHashTable *arrived; /* ids of requests that have reached a server */
static int retries;

int pw_retries(void)
{
	return retries;
}

static void count_retry(struct hs *h)
{
	char id[64], copy[96];

	pw_field(h, "Kv-From", copy, sizeof copy);
	pw_field(h, "X-Request-Id", id, sizeof id);
	if (copy[0]) return;
	if (!arrived) arrived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	retries += !g_hash_table_add(arrived, g_strdup(id));
}

static void on_request(struct hs *h)
{
	struct pw_server *s = (struct pw_server *)((char *)h->listener -
						   offsetof(struct pw_server, listener));
	const char *t = hp_target(&h->hp.head);
	int64_t now = clock_us();

	g_array_append_val(s->arrived_us, now);
	if (!strcmp(t, "/-/kv-move")) {
		on_move_order(s, h);
		return;
	}
	if (!strcmp(t, "/health")) {
		answer_health_check(s, h);
		return;
	}
	if (!strcmp(t, "/-/report")) {
		answer_report(s, h);
		return;
	}
	if (g_str_has_prefix(t, "/-/kv-handle/")) {
		s->drops++;
		pw_server_answer(s, h, 200, NULL, "");
		return;
	}
	s->arrivals++;
	count_retry(h);
	save_head(s, h);
	if (targets_other_instance(s, h))
		pw_server_answer(s, h, 421, "X-Instance-Id: other\r\n", "");
	else if (s->mode == PW_FULL)
		pw_server_answer(s, h, 503, "X-Not-Executed: 1\r\n", "");
	else if (s->mode == PW_OTHER_INCARNATION)
		pw_server_answer(s, h, 421, "X-Instance-Id: other\r\n", "");
	else
		generate(s, h);
}

static void on_left(struct hs *h)
{
	struct pw_run *r = h->user;

	if (!r) return;
	r->cancelled = 1;
	pw_run_finish(r);
}

struct pw_server *pw_server_add(const char *service, int engine)
{
	struct pw_server *s = pw_server_new(service, engine);

	pw_server_list(s, "ready");
	return s;
}

struct pw_server *pw_server_add_in(const char *service, int engine, const char *zone)
{
	struct pw_server *s = pw_server_new(service, engine);

	g_strlcpy(s->zone, zone, sizeof s->zone);
	pw_server_list(s, "ready");
	return s;
}

struct pw_entry *pw_init_with(struct pw_server **s, int n)
{
	int i;

	pw_init();
	for (i = 0; i < n; i++) s[i] = pw_server_add("app", 0);
	return pw_entry_ready();
}

struct pw_server *pw_server_new(const char *service, int engine)
{
	struct pw_server *s = g_new0(struct pw_server, 1);

	if (!servers) servers = g_ptr_array_new();
	if (!pw_runs) pw_runs = g_ptr_array_new();
	pw_server_rename(s);
	g_strlcpy(s->service, service, sizeof s->service);
	g_snprintf(s->address, sizeof s->address, "%s:%d", pw_server_ip(), PW_SERVER + serial);
	g_strlcpy(s->zone, "a", sizeof s->zone);
	g_strlcpy(s->version, "v1", sizeof s->version);
	s->engine = engine;
	s->arrived_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s->rejected_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s->work_ms = 5;
	s->copy_ms = 5;
	s->event_ms = 10;
	s->events = 30;
	s->listener.limits = pw_limits;
	s->listener.on_request = on_request;
	s->listener.on_disconnect = on_left;
	pw_server_listen(s);
	g_ptr_array_add(servers, s);
	return s;
}

void pw_server_list(struct pw_server *s, const char *state)
{
	char key[96], value[512], born[48] = "";

	g_snprintf(key, sizeof key, "servers/%s", s->id);
	if (s->incarnation_ms)
		g_snprintf(born, sizeof born, ",\"born\":%" G_GINT64_FORMAT, s->incarnation_ms);
	g_snprintf(value, sizeof value,
		   "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
		   "\"slots\":%d,\"state\":\"%s\",\"coldRemainingMs\":%d,\"sequence\":1%s}",
		   s->service, s->address, s->zone, s->version, s->engine ? 48 : 6, state,
		   s->cold_ms, born);
	pw_store_put(key, value);
}

void pw_servers_list_idle(int n)
{
	char key[32], value[320];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(key, sizeof key, "servers/a-%04d", i);
		g_snprintf(value, sizeof value,
			   "{\"service\":\"idle\",\"address\":\"%s:%d\",\"zone\":\"a\","
			   "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}",
			   pw_server_ip(), 20000 + i);
		pw_store_put(key, value);
	}
}

void pw_server_unlist(struct pw_server *s)
{
	char key[96];

	g_snprintf(key, sizeof key, "servers/%s", s->id);
	pw_store_remove(key);
}

void pw_server_rename(struct pw_server *s)
{
	g_snprintf(s->id, sizeof s->id, "i-%d", ++serial);
}

void pw_server_listen(struct pw_server *s)
{
	struct sockaddr_in at;

	hostport_parse(s->address, &at);
	if (s->listener.conns) g_ptr_array_free(s->listener.conns, TRUE);
	if (hs_listen(&s->listener, &at)) abort();
}

void pw_server_crash(struct pw_server *s)
{
	hs_stop(&s->listener);
	while (s->listener.conns->len) {
		struct hs *h = g_ptr_array_index(s->listener.conns, 0);

		if (h->user) pw_run_finish(h->user);
		hs_abort(h);
	}
}

int pw_server_unreachable(struct pw_server *s)
{
	struct sockaddr_in at;
	int i, on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	pw_server_crash(s);
	hostport_parse(s->address, &at);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (struct sockaddr *)&at, sizeof at) || listen(fd, 0)) abort();
	/* Fills the accept queue. The connections close when the test process ends. */
	for (i = 0; i < 4; i++) {
		int c = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		if (connect(c, (struct sockaddr *)&at, sizeof at) && errno != EINPROGRESS)
			abort();
	}
	return fd;
}

static void free_server(struct pw_server *s)
{
	g_ptr_array_free(s->listener.conns, TRUE);
	g_array_free(s->arrived_us, TRUE);
	g_array_free(s->rejected_us, TRUE);
	g_free(s);
}

void pw_servers_end(void)
{
	uint32_t i;

	for (i = 0; servers && i < servers->len; i++)
		pw_server_crash(g_ptr_array_index(servers, i));
	pw_run(20); /* ev_free_later frees connections between rounds of the loop */
	for (i = 0; servers && i < servers->len; i++)
		free_server(g_ptr_array_index(servers, i));
	if (servers) g_ptr_array_set_size(servers, 0);
	for (i = 0; pw_runs && i < pw_runs->len; i++) g_free(g_ptr_array_index(pw_runs, i));
	if (pw_runs) g_ptr_array_set_size(pw_runs, 0);
	if (arrived) g_hash_table_remove_all(arrived);
	retries = 0;
}
