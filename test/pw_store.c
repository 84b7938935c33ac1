/* The test platform's key-value store, with faults set by the test. */
#include "pf_json.h"
#include "pw.h"
#include <stdlib.h>
#include <string.h>

struct entry {
	char *value; /* base64; NULL: removed */
	uint64_t revision, made, lease;
};

struct watcher {
	struct hs *h;
	char prefix[256];
	uint64_t after;
	struct ev_timer timer;
};

struct pw_store pw_store;
static struct hs_listener listener, second;
static GHashTable *entries;
static GPtrArray *watchers;
static uint64_t compacted, leases;
static GHashTable *copy; /* of entries; NULL: none */
static uint64_t copy_revision;

static void json_item(GString *out, const char *key, const struct entry *e)
{
	g_string_append(out, "{\"privateKey\":");
	jsonw_str(out, key);
	g_string_append_printf(out, ",\"revision\":%" G_GUINT64_FORMAT, e->revision);
	if (e->value)
		g_string_append_printf(
			out, ",\"value\":\"%s\",\"made\":1,\"lease\":%" G_GUINT64_FORMAT "}",
			e->value, e->lease);
	else
		g_string_append(out, ",\"gone\":true}");
}

static int json_items(GString *out, const char *prefix, uint64_t after, int with_removed)
{
	GHashTableIter it;
	gpointer key, e;
	int n = 0;

	g_hash_table_iter_init(&it, entries);
	while (g_hash_table_iter_next(&it, &key, &e)) {
		const struct entry *x = e;

		if (!g_str_has_prefix(key, prefix) || x->revision <= after) continue;
		if (!x->value && !with_removed) continue;
		if (n++) g_string_append_c(out, ',');
		json_item(out, key, x);
	}
	return n;
}

/* An answer that is sent in parts, slow_bytes per 100 ms. */
struct slow_answer {
	struct ev_timer timer;
	struct hs *h; /* NULL: the client disconnected */
	GString *out;
	size_t sent;
};
static GPtrArray *slow_answers;

static void on_slow(struct ev_timer *t)
{
	struct slow_answer *s = (struct slow_answer *)t;
	size_t n = MIN(s->out->len - s->sent, (size_t)MAX(pw_store.slow_bytes, 1));

	if (s->h) hs_write(s->h, s->out->str + s->sent, n);
	s->sent += n;
	if (s->h && s->sent < s->out->len) {
		ev_in(t, 100000);
		return;
	}
	if (s->h) hs_finish(s->h);
	g_ptr_array_remove(slow_answers, s);
	g_string_free(s->out, TRUE);
	ev_free_later(s);
}

static void answer_slowly(struct hs *h, int status, const char *json)
{
	struct slow_answer *s = g_new0(struct slow_answer, 1);

	if (!slow_answers) slow_answers = g_ptr_array_new();
	g_ptr_array_add(slow_answers, s);
	pw_store.slow_answers++;
	s->h = h;
	s->out = g_string_new(NULL);
	g_string_printf(s->out,
			"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			"Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
			status, strlen(json), json);
	s->timer.fire = on_slow;
	ev_in(&s->timer, 0);
}

static void era_field(char *out, size_t max)
{
	char number[24];

	g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, pw_store.era_number);
	g_snprintf(out, max, "Content-Type: application/json\r\nStore-Era: %s\r\n",
		   pw_store.era ? pw_store.era : number);
}

static void answer_in_part(struct hs *h, int status, const char *json)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n\r\n", status);
	g_string_append_len(out, json, MIN((gssize)strlen(json), pw_store.cut_bytes));
	hs_write(h, out->str, out->len);
	g_string_free(out, TRUE);
	h->keep = 0;
	hs_finish(h);
}

static void answer(struct hs *h, int status, const char *json)
{
	char fields[128];

	if (pw_store.slow_bytes && strlen(json) > 65536) {
		answer_slowly(h, status, json);
		return;
	}
	if (pw_store.mode == PW_STORE_LOST) {
		hs_abort(h);
		return;
	}
	if (pw_store.mode == PW_STORE_CUT) {
		answer_in_part(h, status, json);
		return;
	}
	era_field(fields, sizeof fields);
	hs_answer(h, status, fields, json, strlen(json));
}

static void remove_watcher(struct watcher *w)
{
	ev_stop(&w->timer);
	w->h->user = NULL;
	g_ptr_array_remove_fast(watchers, w);
	ev_free_later(w);
}

/* Answers a watch if there are changes, or if allow_empty. Returns 1 if there were changes. */
static int send_events(struct watcher *w, int allow_empty)
{
	GString *out = g_string_new("{\"events\":[");
	int n = pw_store.watches_silent ? 0 : json_items(out, w->prefix, w->after, 1);
	struct hs *h = w->h;

	g_string_append_printf(out, "],\"at\":%" G_GUINT64_FORMAT "}",
			       pw_store.watches_silent ? w->after : pw_store.revision);
	if (n || allow_empty) {
		remove_watcher(w);
		answer(h, 200, out->str);
	}
	g_string_free(out, TRUE);
	return n > 0;
}

static void on_wait_over(struct ev_timer *t)
{
	send_events((struct watcher *)((char *)t - offsetof(struct watcher, timer)), 1);
}

static void watch(struct hs *h, const char *target)
{
	struct watcher *w;
	char after[32] = "0", wait[32] = "0";

	pw_store.watches++;
	pw_query(target, "afterRevision", after, sizeof after);
	pw_query(target, "waitMs", wait, sizeof wait);
	if (g_ascii_strtoull(after, NULL, 10) < compacted ||
	    g_ascii_strtoull(after, NULL, 10) > pw_store.revision) {
		answer(h, 410, "{}");
		return;
	}
	w = g_new0(struct watcher, 1);
	w->h = h;
	h->user = w;
	w->after = g_ascii_strtoull(after, NULL, 10);
	pw_query(target, "pathPrefix", w->prefix, sizeof w->prefix);
	w->timer.fire = on_wait_over;
	g_ptr_array_add(watchers, w);
	if (!send_events(w, 0)) ev_in(&w->timer, atoi(wait) * 1000);
}

static void notify_watchers(void)
{
	uint32_t i;

	for (i = watchers->len; i-- > 0;) send_events(g_ptr_array_index(watchers, i), 0);
}

static void set(const char *key, char *value, uint64_t lease)
{
	struct entry *e = g_hash_table_lookup(entries, key);

	if (!e) {
		e = g_new0(struct entry, 1);
		g_hash_table_insert(entries, g_strdup(key), e);
	}
	g_free(e->value);
	e->value = value;
	e->lease = lease;
	e->revision = ++pw_store.revision;
}

void pw_store_put(const char *key, const char *value)
{
	set(key, g_base64_encode((const guchar *)value, strlen(value)), 0);
	notify_watchers();
}

void pw_store_remove(const char *key)
{
	set(key, NULL, 0);
	notify_watchers();
}

static void reset_watches(void)
{
	while (watchers->len) {
		struct hs *h = ((struct watcher *)g_ptr_array_index(watchers, 0))->h;

		remove_watcher(g_ptr_array_index(watchers, 0));
		hs_abort(h);
	}
}

void pw_store_compact(void)
{
	GHashTableIter it;
	gpointer e;

	compacted = ++pw_store.revision;
	g_hash_table_iter_init(&it, entries);
	while (g_hash_table_iter_next(&it, NULL, &e))
		if (!((struct entry *)e)->value) g_hash_table_iter_remove(&it);
	reset_watches();
}

static void free_entry(gpointer p);

static GHashTable *copy_of(GHashTable *from)
{
	GHashTable *to = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
	GHashTableIter it;
	gpointer key, e;

	g_hash_table_iter_init(&it, from);
	while (g_hash_table_iter_next(&it, &key, &e)) {
		struct entry *n = g_new(struct entry, 1);

		*n = *(struct entry *)e;
		n->value = g_strdup(n->value);
		g_hash_table_insert(to, g_strdup(key), n);
	}
	return to;
}

void pw_store_copy(void)
{
	if (copy) g_hash_table_destroy(copy);
	copy = copy_of(entries);
	copy_revision = pw_store.revision;
}

void pw_store_restore(void)
{
	g_hash_table_destroy(entries);
	entries = copy_of(copy);
	pw_store.revision = copy_revision;
	pw_store.era_number++;
	leases = 0;
	reset_watches();
}

void pw_store_cut_second(void)
{
	uint32_t i;

	for (i = watchers->len; i-- > 0;) {
		struct hs *h = ((struct watcher *)g_ptr_array_index(watchers, i))->h;

		if (h->listener != &second) continue;
		remove_watcher(g_ptr_array_index(watchers, i));
		hs_abort(h);
	}
}

void pw_store_clear(void)
{
	pw_store.mode = pw_store.second_mode = PW_STORE_OK;
	pw_store.watches_silent = 0;
	pw_store.slow_bytes = pw_store.slow_answers = pw_store.page = 0;
	pw_store.calls = pw_store.watches = pw_store.commits = pw_store.listings = 0;
	pw_store_compact();
	g_hash_table_remove_all(entries);
}

char *pw_store_value(const char *key)
{
	const struct entry *e = g_hash_table_lookup(entries, key);
	char *text;
	gsize n;

	if (!e || !e->value) return NULL;
	text = (char *)g_base64_decode(e->value, &n);
	text = g_realloc(text, n + 1);
	text[n] = '\0';
	return text;
}

int pw_store_keys(const char *prefix)
{
	GHashTableIter it;
	gpointer key, e;
	int n = 0;

	g_hash_table_iter_init(&it, entries);
	while (g_hash_table_iter_next(&it, &key, &e))
		n += ((struct entry *)e)->value && g_str_has_prefix(key, prefix);
	return n;
}

int pw_store_waiting(void)
{
	return (int)watchers->len;
}

static void get(struct hs *h, const char *target)
{
	char key[256] = "";
	struct entry *e;
	GString *out;

	pw_query(target, "privateKey", key, sizeof key);
	e = g_hash_table_lookup(entries, key);
	if (!e || !e->value) {
		answer(h, 404, "{}");
		return;
	}
	out = g_string_new(NULL);
	json_item(out, key, e);
	answer(h, 200, out->str);
	g_string_free(out, TRUE);
}

static int by_key(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The existing keys with this prefix, sorted. Free with g_ptr_array_unref. */
static GPtrArray *keys_of(const char *prefix)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter it;
	gpointer key, e;

	g_hash_table_iter_init(&it, entries);
	while (g_hash_table_iter_next(&it, &key, &e))
		if (((struct entry *)e)->value && g_str_has_prefix(key, prefix))
			g_ptr_array_add(keys, key);
	if (keys->len) qsort(keys->pdata, keys->len, sizeof *keys->pdata, by_key);
	return keys;
}

/* Returns 1 if more items follow. */
static int json_page(GString *out, const char *prefix, const char *after)
{
	GPtrArray *keys = keys_of(prefix);
	uint32_t i;
	int n = 0;

	for (i = 0; i < keys->len && (!pw_store.page || n < pw_store.page); i++) {
		const char *key = g_ptr_array_index(keys, i);

		if (strcmp(key, after) <= 0) continue;
		if (n++) g_string_append_c(out, ',');
		json_item(out, key, g_hash_table_lookup(entries, key));
	}
	n = i < keys->len;
	g_ptr_array_unref(keys);
	return n;
}

static void range(struct hs *h, const char *target)
{
	GString *out = g_string_new("{\"items\":[");
	char prefix[256] = "", after[256] = "";
	int more;

	pw_store.listings++;
	pw_query(target, "pathPrefix", prefix, sizeof prefix);
	pw_query(target, "afterRevision", after, sizeof after);
	more = json_page(out, prefix, after);
	g_string_append_printf(out, "],\"more\":%s,\"at\":%" G_GUINT64_FORMAT "}",
			       more ? "true" : "false", pw_store.revision);
	answer(h, 200, out->str);
	g_string_free(out, TRUE);
}

static int condition_holds(struct json_object *o)
{
	struct json_object *rows;
	size_t i, n = pf_array(o, "expectedRevision", &rows);

	for (i = 0; i < n; i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);
		const struct entry *e = g_hash_table_lookup(entries, pf_text(r, "privateKey"));
		uint64_t now = e && e->value ? e->revision : 0;

		if (now != (uint64_t)pf_int(r, "revision", 0)) return 0;
	}
	return 1;
}

static void refuse_commit(struct hs *h, struct json_object *o)
{
	GString *out = g_string_new("{\"items\":[");
	struct json_object *rows;
	size_t i, n = pf_array(o, "expectedRevision", &rows);
	int items = 0;

	for (i = 0; i < n; i++) {
		const char *key = pf_text(json_object_array_get_idx(rows, i), "privateKey");
		const struct entry *e = g_hash_table_lookup(entries, key);

		if (!e || !e->value) continue;
		if (items++) g_string_append_c(out, ',');
		json_item(out, key, e);
	}
	g_string_append(out, "]}");
	answer(h, 412, out->str);
	g_string_free(out, TRUE);
}

static void commit(struct hs *h)
{
	struct json_object *o = pf_json(h->body->str, h->body->len), *puts;
	size_t i, n = pf_array(o, "put", &puts);
	char text[64];

	pw_store.commits++;
	if (!condition_holds(o)) {
		refuse_commit(h, o);
		json_object_put(o);
		return;
	}
	for (i = 0; i < n; i++) {
		struct json_object *p = json_object_array_get_idx(puts, i);

		set(pf_text(p, "privateKey"), g_strdup(pf_text(p, "value")),
		    pf_int(p, "lease", 0));
	}
	json_object_put(o);
	g_snprintf(text, sizeof text, "{\"revision\":%" G_GUINT64_FORMAT "}",
		   pw_store.revision);
	answer(h, 200, text);
	if (n) notify_watchers();
}

static void lease(struct hs *h)
{
	char text[64];

	g_snprintf(text, sizeof text, "{\"lease\":%" G_GUINT64_FORMAT ",\"ttl_ms\":10000}",
		   ++leases);
	answer(h, 200, text);
}

static int apply_fault(struct hs *h)
{
	switch (h->listener == &second ? pw_store.second_mode : pw_store.mode) {
	case PW_STORE_OK:
	case PW_STORE_CUT:
	case PW_STORE_LOST: return 0;
	case PW_STORE_DOWN: hs_abort(h); return 1;
	case PW_STORE_BUSY: hs_answer(h, 503, NULL, "", 0); return 1;
	case PW_STORE_SILENT: return 1;
	}
	return 0;
}

static void on_request(struct hs *h)
{
	const char *t = hp_target(&h->hp.head);

	pw_store.calls++;
	if (apply_fault(h)) return;
	if (g_str_has_prefix(t, "/-/kv-key"))
		get(h, t);
	else if (g_str_has_prefix(t, "/-/kv-range"))
		range(h, t);
	else if (g_str_has_prefix(t, "/-/kv-watch"))
		watch(h, t);
	else if (g_str_has_prefix(t, "/-/kv-txn"))
		commit(h);
	else if (g_str_has_prefix(t, "/-/kv-lease"))
		lease(h);
	else
		answer(h, 200, "{}");
}

static void on_left(struct hs *h)
{
	uint32_t i;

	for (i = 0; slow_answers && i < slow_answers->len; i++) {
		struct slow_answer *s = g_ptr_array_index(slow_answers, i);

		if (s->h == h) s->h = NULL;
	}
	if (h->user) remove_watcher(h->user);
}

static void listen_at(struct hs_listener *l, const char *ip)
{
	struct sockaddr_in at;

	pw_address_of(ip, PW_STORE, &at);
	l->limits = pw_limits;
	l->on_request = on_request;
	l->on_disconnect = on_left;
	hs_listen(l, &at);
}

static void free_entry(gpointer p)
{
	g_free(((struct entry *)p)->value);
	g_free(p);
}

void pw_store_start(const char *ip)
{
	entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
	watchers = g_ptr_array_new();
	memset(&pw_store, 0, sizeof pw_store);
	pw_store.era_number = 1;
	listen_at(&listener, ip);
	listen_at(&second, pw_second_ip());
}
