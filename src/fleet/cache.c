/* Local cache of the platform's lists: the newest revision of each item. */
#include "cache.h"
#include "be.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "met.h"
#include <saddlehead/spread.h>
#include <string.h>

/* Lapsed entries are listed again within about two seconds of the store's return. */
#define RELIST_US 2000000
/* Odd, with bits set throughout the word, as revisions are close together. */
#define DIGEST_MULTIPLIER 2654435761u

struct cached_item {
	char *key;
	GBytes *value; /* NULL: removed */
	uint64_t revision;
};

const char cache_platform[] = "platform";
void (*cache_on_conf)(struct conf *c);
void (*cache_on_order)(const char *from);
int (*cache_on_rollout)(const struct st_item *i);

static GTree *items; /* the configuration and entries of backend servers, by key: thousands */
static GTree *by_revision; /* entries of backend servers by revision, the newest last */
static GHashTable *orders; /* of the operators, by key: few, and scanned with each heartbeat */
static struct cache_revs revs;
static struct conf *conf;
static int64_t confirmed_us = CACHE_NEVER;
static int64_t store_back_us = -RELIST_US; /* when the store last returned from an outage */

static void free_item(gpointer p)
{
	struct cached_item *n = p;

	g_free(n->key);
	if (n->value) g_bytes_unref(n->value);
	g_free(n);
}

static gint by_key(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static gint compare_revision(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct cached_item *x = a, *y = b;

	(void)arg;
	if (x->revision != y->revision) return x->revision < y->revision ? -1 : 1;
	return strcmp(x->key, y->key);
}

void cache_init(void)
{
	by_revision = g_tree_new_full(compare_revision, NULL, NULL, NULL);
	items = g_tree_new_full(by_key, NULL, NULL, free_item);
	orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
}

struct conf *cache_conf(void)
{
	return conf;
}

int64_t cache_confirmed_us(void)
{
	return confirmed_us;
}

struct cache_revs cache_revs(void)
{
	return revs;
}

void cache_set_complete(uint64_t revision)
{
	revs.backends = MAX(revs.backends, revision);
}

int cache_take_updates(uint64_t after, uint64_t upto)
{
	return spread_apply(&revs.backends, after, upto);
}

void cache_confirm(uint64_t revision, int64_t at_us)
{
	if (!conf || revision != conf->revision || at_us <= confirmed_us) return;
	if (confirmed_us != CACHE_NEVER && at_us - confirmed_us > CACHE_STALE_US)
		store_back_us = clock_us();
	confirmed_us = at_us;
}

static void log_conf(const struct conf *c, const char *from)
{
	GString *g = jlog_begin("fleet", "configuration");

	jlog_int(g, "version", c->version);
	jlog_int(g, "revision", c->revision);
	jlog_int(g, "routes", c->routes->len);
	jlog_int(g, "workspaces", c->groups->len);
	jlog_str(g, "from", from);
	jlog_end(g);
}

static void log_unreadable(const char *key, uint64_t revision, const char *field,
			   const char *why)
{
	GString *g = jlog_begin("fleet", "entry_unreadable");

	jlog_str(g, "key", key);
	jlog_int(g, "revision", revision);
	jlog_str(g, "field", field);
	jlog_str(g, "why", why);
	jlog_end(g);
}

/* A configuration that can't be parsed leaves the one before in force, but unconfirmed. */
static void apply_conf(const struct st_item *i, const char *from)
{
	struct err e;
	struct conf *c = i->value ? dl_read_conf(i->value, i->len, &e) : NULL;

	if (!c) {
		log_unreadable(i->key, i->revision, NULL, i->value ? e.text : "it is gone");
		return;
	}
	c->revision = i->revision;
	if (conf && c->version < conf->version) {
		log_unreadable(i->key, i->revision, NULL,
			       "an older version under a newer revision");
		conf_unref(c);
		return;
	}
	conf_unref(conf);
	conf = c;
	met_add(MET_TABLE_CHANGES, 1);
	met_set(MET_G_TABLE_VERSION, c->version);
	log_conf(c, from);
	if (cache_on_conf) cache_on_conf(c);
}

/* Entries expire while their servers can't reach the store. If they counted as gone, streams of
 * all engines would be moved at once without need, and the first server to be listed again
 * would get all new work. */
static int entries_may_have_lapsed(void)
{
	int64_t now = clock_us();

	if (confirmed_us == CACHE_NEVER) return 0;
	return now - confirmed_us > CACHE_STALE_US || now - store_back_us < RELIST_US;
}

static void apply_backend(const struct st_item *i)
{
	const char *field;

	if (!i->value) {
		if (entries_may_have_lapsed())
			be_set_lapsed(dl_backend_id(i->key));
		else
			be_set_gone(dl_backend_id(i->key));
		return;
	}
	field = dl_read_backend(i->key, i->value, i->len);
	if (!field) return;
	be_set_unreadable(dl_backend_id(i->key));
	met_add(MET_ENTRIES_UNREADABLE, 1);
	log_unreadable(i->key, i->revision, field, "missing, or not as it should be");
}

/* The existence of the key is the drain, whatever its value. */
static void apply_drain(const struct st_item *i, const char *from)
{
	be_drain_dc(dl_drained_dc(i->key), i->value != NULL);
	if (cache_on_order) cache_on_order(from);
}

static void apply_rollout(const struct st_item *i, const char *from)
{
	if (cache_on_rollout && cache_on_rollout(i))
		log_unreadable(i->key, i->revision, NULL, "no order to bring in a version");
	if (cache_on_order) cache_on_order(from);
}

static int is_order(const char *key)
{
	enum dl_item kind = dl_item_kind(key);

	return kind == DL_DRAIN || kind == DL_ROLLOUT;
}

static const struct cached_item *find_item(const char *key)
{
	return is_order(key) ? g_hash_table_lookup(orders, key) : g_tree_lookup(items, key);
}

/* old: the item that it replaces, or NULL. */
static void store_item(const struct st_item *i, const struct cached_item *old)
{
	struct cached_item *n = g_new0(struct cached_item, 1);

	n->key = g_strdup(i->key);
	n->value = i->value ? g_bytes_new(i->value, i->len) : NULL;
	n->revision = i->revision;
	if (is_order(n->key)) {
		g_hash_table_replace(orders, n->key, n);
		return;
	}
	if (old) g_tree_remove(by_revision, old);
	if (dl_item_kind(n->key) == DL_BACKEND) g_tree_insert(by_revision, n, n);
	g_tree_replace(items, n->key, n);
}

int cache_apply(const struct st_item *i, const char *from)
{
	const struct cached_item *old = find_item(i->key);
	enum dl_item kind = dl_item_kind(i->key);

	if (strlen(i->key) > CACHE_KEY_MAX) return 0;
	if (kind == DL_OTHER || (old && old->revision >= i->revision)) return 0;
	store_item(i, old);
	switch (kind) {
	case DL_CONF:
		revs.conf = MAX(revs.conf, i->revision);
		apply_conf(i, from);
		break;
	case DL_DRAIN: apply_drain(i, from); break;
	case DL_ROLLOUT: apply_rollout(i, from); break;
	case DL_BACKEND: apply_backend(i); break;
	case DL_OTHER: break;
	}
	return 1;
}

static int is_on_page(const struct cache_page *p, const char *key)
{
	if (!g_str_has_prefix(key, p->prefix) || strcmp(key, p->after) <= 0) return 0;
	return !p->upto || strcmp(key, p->upto) <= 0;
}

/* A search for cached items that a listing should contain and does not. */
struct search {
	const struct cache_page *page;
	GHashTable *listed;
	uint64_t at;
	GPtrArray *missing;
};

static void check_listed(const struct search *s, const struct cached_item *n)
{
	if (!n->value || n->revision > s->at || !is_on_page(s->page, n->key)) return;
	if (!g_hash_table_contains(s->listed, n->key))
		g_ptr_array_add(s->missing, g_strdup(n->key));
}

/* Starts at the page's first key, so that the cost of a page does not grow with the list. */
static void check_items(const struct search *s)
{
	const char *from = s->page->after[0] ? s->page->after : s->page->prefix;
	GTreeNode *at = g_tree_lower_bound(items, from);

	for (; at; at = g_tree_node_next(at)) {
		const struct cached_item *n = g_tree_node_value(at);

		if (s->page->upto && strcmp(n->key, s->page->upto) > 0) return;
		if (!g_str_has_prefix(n->key, s->page->prefix)) return;
		check_listed(s, n);
	}
}

static void check_orders(const struct search *s)
{
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) check_listed(s, n);
}

GPtrArray *cache_apply_missing(const char *prefix, GHashTable *listed, uint64_t at)
{
	struct cache_page whole = {.prefix = prefix, .after = ""};

	return cache_apply_missing_page(&whole, listed, at);
}

GPtrArray *cache_apply_missing_page(const struct cache_page *p, GHashTable *listed, uint64_t at)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	struct search s = {p, listed, at, missing};
	uint32_t i;

	check_items(&s);
	check_orders(&s);
	for (i = 0; i < missing->len; i++) {
		struct st_item gone = {.key = g_ptr_array_index(missing, i), .revision = at};

		cache_apply(&gone, cache_platform);
	}
	return missing;
}

static struct st_item to_st_item(const struct cached_item *n)
{
	struct st_item i = {.key = n->key, .revision = n->revision};
	gsize len = 0;

	if (n->value) i.value = g_bytes_get_data(n->value, &len);
	i.len = len;
	return i;
}

void cache_each_order(void (*f)(const struct st_item *i, void *arg), void *arg)
{
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) {
		struct st_item i = to_st_item(n);

		f(&i, arg);
	}
}

static void add_to_digest(const struct st_item *i, void *sum)
{
	*(uint64_t *)sum ^= (g_str_hash(i->key) | 1) * (i->revision * DIGEST_MULTIPLIER + 1);
}

uint64_t cache_orders_digest(void)
{
	uint64_t sum = 0;

	cache_each_order(add_to_digest, &sum);
	return sum;
}

uint64_t cache_revision_of(const char *key)
{
	const struct cached_item *n = find_item(key);

	return n && n->value ? n->revision : 0;
}

void cache_each_newer(struct cache_revs after, void (*f)(const struct st_item *i, void *arg),
		      void *arg)
{
	const struct cached_item *c = g_tree_lookup(items, dl_conf_key);
	struct cached_item first = {.key = "", .revision = after.backends + 1};
	GTreeNode *at = g_tree_lower_bound(by_revision, &first);
	struct st_item i;

	if (c && c->revision > after.conf) {
		i = to_st_item(c);
		f(&i, arg);
	}
	for (; at; at = g_tree_node_next(at)) {
		const struct cached_item *n = g_tree_node_value(at);

		if (n->revision > revs.backends) return;
		i = to_st_item(n);
		f(&i, arg);
	}
}
