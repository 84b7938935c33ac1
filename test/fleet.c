#include "fleet.h"
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLLS_MAX 3000
#define POLL_US 10000

static void read_strings(json_object *o, const char *key, const char **out, int *n)
{
	json_object *list;
	size_t i;

	json_object_object_get_ex(o, key, &list);
	*n = (int)json_object_array_length(list);
	for (i = 0; i < (size_t)*n && i < FLEET_MAX; i++)
		out[i] = json_object_get_string(json_object_array_get_idx(list, i));
}

struct fleet *fleet_start(const struct fleet_options *o)
{
	struct fleet *f = g_new0(struct fleet, 1);
	const char *build = getenv("B") ? getenv("B") : "build";
	char *cmd, *path;
	int n;

	curl_global_init(CURL_GLOBAL_ALL);
	strcpy(f->dir, "/tmp/saddlehead-test-XXXXXX");
	if (!mkdtemp(f->dir)) exit(99);
	cmd = g_strdup_printf(
		"scripts/fleet start --dir %s --daemons %d --engines %d --services %d "
		"--build %s --engine-options '%s' --settings '%s'",
		f->dir, o->daemons, o->engines, o->services, build,
		o->engine_options ? o->engine_options : "",
		o->settings ? o->settings : "\"where\": {\"ttl_ms\": 300}");
	if (system(cmd)) exit(99);
	path = g_strdup_printf("%s/fleet.json", f->dir);
	f->json = json_object_from_file(path);
	read_strings(f->json, "entries", f->entry, &f->entries);
	read_strings(f->json, "admin", f->admin, &n);
	read_strings(f->json, "engines", f->engine, &f->engines);
	read_strings(f->json, "services", f->service, &f->services);
	f->kv = json_text_at(f->json, "kv");
	g_free(path);
	g_free(cmd);
	return f;
}

/* Searches the logs of all processes for sanitizer reports; 0 if there are none. */
static int find_sanitizer_reports(struct fleet *f)
{
	char *cmd = g_strdup_printf(
		"! grep -E 'AddressSanitizer|LeakSanitizer|ThreadSanitizer|runtime error' "
		"%s/*.log",
		f->dir);
	int rc = system(cmd);

	g_free(cmd);
	if (!getenv("SHOW_LOGS")) return rc;
	cmd = g_strdup_printf("tail -n 60 %s/*.log", f->dir);
	if (system(cmd)) fprintf(stderr, "no logs\n");
	g_free(cmd);
	return rc;
}

/* Whether every daemon that began to drain also stopped: one that crashes meanwhile leaves no
 * other trace. */
static int find_unclean_stops(struct fleet *f)
{
	char *cmd = g_strdup_printf("[ -z \"$(grep -l ' drain: Draining' %s/entry*.log | "
				    "xargs -r grep -L ' has stopped')\" ]",
				    f->dir);
	int rc = system(cmd);

	g_free(cmd);
	return rc;
}

int fleet_stop(struct fleet *f)
{
	char *cmd = g_strdup_printf("scripts/fleet stop --dir %s", f->dir);
	char *rm = g_strdup_printf("rm -rf %s", f->dir);
	int rc = system(cmd);

	if (!rc) rc = find_sanitizer_reports(f);
	if (!rc) rc = find_unclean_stops(f);
	if (!getenv("KEEP") && system(rm)) fprintf(stderr, "can't remove %s\n", f->dir);
	json_object_put(f->json);
	g_free(rm);
	g_free(cmd);
	g_free(f);
	return rc;
}

static pid_t pid_of(struct fleet *f, const char *process)
{
	char *path = g_strdup_printf("pids.%s", process);
	pid_t pid = (pid_t)json_int_at(f->json, path);

	g_free(path);
	if (pid <= 1) exit(99);
	return pid;
}

void fleet_signal(struct fleet *f, const char *process, int sig)
{
	kill(pid_of(f, process), sig);
}

int fleet_exited(struct fleet *f, const char *process)
{
	return kill(pid_of(f, process), 0) != 0;
}

json_object *fleet_call_with(const char *method, const char *address, const char *path,
			     const char *const *headers, const char *body, long *status)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	GString *text = g_string_new(NULL);
	struct curl_slist *h = curl_slist_append(NULL, "Expect:");
	CURL *c = curl_easy_init();
	json_object *o;

	for (; headers && *headers; headers++) h = curl_slist_append(h, *headers);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, httpc_append);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 30000L);
	if (body) curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	*status = 0;
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(c);
	curl_slist_free_all(h);
	o = json_tokener_parse(text->str);
	g_string_free(text, TRUE);
	g_free(url);
	return o;
}

json_object *fleet_call(const char *method, const char *address, const char *path,
			const char *key, const char *body, long *status)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key ? key : "");
	const char *headers[] = {auth, NULL};
	json_object *o = fleet_call_with(method, address, path, headers, body, status);

	g_free(auth);
	return o;
}

void fleet_fault(const char *address, const char *fault)
{
	long status;

	json_object_put(fleet_call("POST", address, "/fault", NULL, fault, &status));
}

static json_object *value_at(json_object *o, const char *path)
{
	char **part = g_strsplit(path, ".", -1);
	int i;

	for (i = 0; o && part[i]; i++)
		if (!json_object_object_get_ex(o, part[i], &o)) o = NULL;
	g_strfreev(part);
	return o;
}

int64_t json_int_at(json_object *o, const char *path)
{
	json_object *v = value_at(o, path);

	return v ? json_object_get_int64(v) : -1;
}

const char *json_text_at(json_object *o, const char *path)
{
	json_object *v = value_at(o, path);

	return v ? json_object_get_string(v) : NULL;
}

double fleet_metric(const char *admin, const char *name)
{
	struct httpc_call c = {.method = "GET", .address = admin, .path = "/metrics"};
	struct httpc_answer a;
	size_t n = strlen(name);
	char **line;
	double sum = 0;
	int i;

	httpc_perform(&c, &a);
	line = g_strsplit(a.text->str, "\n", -1);
	for (i = 0; line[i]; i++) {
		if (strncmp(line[i], name, n) || !strchr(line[i], ' ')) continue;
		if (line[i][n] == ' ' || line[i][n] == '{') sum += atof(strrchr(line[i], ' '));
	}
	g_strfreev(line);
	httpc_free(&a);
	return sum;
}

int64_t fleet_table_version(const char *admin)
{
	json_object *o;
	int64_t v;
	long s;

	o = fleet_call("GET", admin, "/admin/v1/table/status", ADMIN_KEY, NULL, &s);
	v = json_int_at(o, "version");
	json_object_put(o);
	return v;
}

int await(int (*f)(void *arg), void *arg)
{
	int i;

	for (i = 0; i < POLLS_MAX; i++) {
		if (f(arg)) return 0;
		usleep(POLL_US);
	}
	return -1;
}

/* The stand-in engine's tokens are "TAG.OFFSET ": checks that TAG, which identifies the
 * generation, stays the same and that offsets are consecutive. */
static void check_token_text(struct stream *s, const char *text)
{
	char tag[16] = "";
	long offset = -1;

	if (sscanf(text, "%15[^.].%ld", tag, &offset) != 2) return;
	if (s->tag[0] && strcmp(s->tag, tag)) s->mixed = 1;
	strcpy(s->tag, tag);
	if (offset != s->next) s->out_of_order = 1;
	s->next = offset + 1;
}

static void on_event_data(struct stream *s, const char *data)
{
	json_object *o, *list, *first;
	const char *text;

	if (!strcmp(data, "[DONE]")) {
		s->done = 1;
		return;
	}
	o = json_tokener_parse(data);
	if (o && json_object_object_get_ex(o, "choices", &list)) {
		first = json_object_array_get_idx(list, 0);
		text = json_text_at(first, "text");
		if (!text) text = json_text_at(first, "delta.content");
		if (text) check_token_text(s, text);
		s->events++;
	} else if (o && json_text_at(o, "error.code")) {
		s->error = 1;
	}
	json_object_put(o);
}

static void on_line(struct stream *s, const char *line)
{
	if (!strncmp(line, "id: ", 4))
		g_strlcpy(s->id, line + 4, sizeof s->id);
	else if (!strncmp(line, "data: ", 6))
		on_event_data(s, line + 6);
}

static size_t on_stream(char *p, size_t size, size_t n, void *user)
{
	struct stream *s = user;
	char *nl;
	int cut;

	pthread_mutex_lock(&s->lock);
	g_string_append_len(s->raw, p, (gssize)(size * n));
	while ((nl = strchr(s->raw->str + s->parsed, '\n'))) {
		*nl = 0;
		on_line(s, s->raw->str + s->parsed);
		*nl = '\n';
		s->parsed = (size_t)(nl - s->raw->str) + 1;
	}
	pthread_cond_broadcast(&s->more);
	cut = s->cut;
	pthread_mutex_unlock(&s->lock);
	return cut ? 0 : size * n;
}

static int on_progress(void *user, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
	struct stream *s = user;
	int cut;

	(void)a;
	(void)b;
	(void)c;
	(void)d;
	pthread_mutex_lock(&s->lock);
	cut = s->cut;
	pthread_mutex_unlock(&s->lock);
	return cut;
}

static void *read_stream(void *arg)
{
	struct stream *s = arg;
	char *url = g_strdup_printf("http://%s/v1/completions", s->address);
	char *auth = g_strdup_printf("Authorization: Bearer %s", s->key);
	char *last = g_strdup_printf("Last-Event-ID: %s", s->last_id ? s->last_id : "");
	struct curl_slist *h = curl_slist_append(NULL, auth);
	CURL *c = curl_easy_init();
	long status = 0;

	if (s->last_id) h = curl_slist_append(h, last);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, s->body);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_stream);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, s);
	curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(c, CURLOPT_XFERINFODATA, s);
	curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 60000L);
	curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	curl_slist_free_all(h);
	g_free(last);
	g_free(auth);
	g_free(url);
	pthread_mutex_lock(&s->lock);
	s->status = status;
	s->closed = 1;
	pthread_cond_broadcast(&s->more);
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

struct stream *stream_open(const char *address, const char *key, const char *body,
			   const char *last_id, long from)
{
	struct stream *s = g_new0(struct stream, 1);

	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->more, NULL);
	s->address = g_strdup(address);
	s->key = g_strdup(key);
	s->body = g_strdup(body);
	s->last_id = g_strdup(last_id);
	s->raw = g_string_new(NULL);
	s->next = from;
	pthread_create(&s->thread, NULL, read_stream, s);
	return s;
}

int stream_wait(struct stream *s, int n)
{
	int got;

	pthread_mutex_lock(&s->lock);
	while (s->events < n && !s->closed) pthread_cond_wait(&s->more, &s->lock);
	got = s->events;
	pthread_mutex_unlock(&s->lock);
	return got;
}

void stream_join(struct stream *s)
{
	if (s->thread) pthread_join(s->thread, NULL);
	s->thread = 0;
}

void stream_cut(struct stream *s)
{
	pthread_mutex_lock(&s->lock);
	s->cut = 1;
	pthread_mutex_unlock(&s->lock);
	stream_join(s);
}

void stream_free(struct stream *s)
{
	stream_join(s);
	g_string_free(s->raw, TRUE);
	g_free(s->address);
	g_free(s->key);
	g_free(s->body);
	g_free(s->last_id);
	g_free(s);
}
