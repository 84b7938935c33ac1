/* Local cache of the platform's lists: the newest revision of each item. */
#include "cache_impl.h"
#include "be.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "met.h"
#include <saddlehead/spread.h>
#include <string.h>

/* Lapsed entries are listed again within about two seconds of the store's return. */
#define RELIST_US 2000000
/* Heartbeats of the other instances have arrived by then. */
#define START_US 2000000
/* Odd, with bits set throughout the word, as revisions are close together. */
#define DIGEST_MULTIPLIER 2654435761u

const char cache_platform[] = "platform";
struct cache_lists cache;
void (*cache_on_conf)(struct conf *c);
void (*cache_on_order)(const char *from);
int (*cache_on_rollout)(const struct st_item *i);

static GTree *by_revision; /* entries of backend servers by revision, the newest last */
static struct cache_revs revs;
static struct conf *conf;
static uint64_t reported_version; /* the newest that another instance reported */
static st_rev ignored_conf;       /* the last revision that held an older version or none */
static int64_t started_us;
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
	started_us = clock_us();
	by_revision = g_tree_new_full(compare_revision, NULL, NULL, NULL);
	cache.items = g_tree_new_full(by_key, NULL, NULL, free_item);
	cache.orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
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

void cache_set_complete(st_rev revision)
{
	revs.backends = MAX(revs.backends, revision);
}

int cache_take_updates(st_rev after, st_rev upto)
{
	return spread_apply(&revs.backends, after, upto);
}

/* Whether an item that is not newer by its revision may hold a newer version: another instance
 * has one. */
static int wants_version(void)
{
	return conf && reported_version > conf->version;
}

void cache_report_version(uint64_t version)
{
	reported_version = MAX(reported_version, version);
	/* The list that an instance reads at its start may be that of a store which lost the
	 * newest version. Later, a newer one elsewhere is just ahead of its copy here. */
	if (wants_version() && clock_us() - started_us < START_US) confirmed_us = CACHE_NEVER;
}

int cache_lacks_version(void)
{
	return wants_version();
}

void cache_confirm(st_rev revision, int64_t at_us)
{
	if (wants_version()) return;
	if (!conf || revision != conf->revision || at_us <= confirmed_us) return;
	if (confirmed_us != CACHE_NEVER && at_us - confirmed_us > CACHE_STALE_US)
		store_back_us = clock_us();
	confirmed_us = at_us;
}

static void log_conf(const struct conf *c, const char *from)
{
	GString *g = jlog_begin("fleet", "configuration");

	jlog_int(g, "version", c->version);
	jlog_int(g, "era", st_rev_era(c->revision));
	jlog_int(g, "revision", st_rev_number(c->revision));
	jlog_int(g, "routes", c->routes->len);
	jlog_int(g, "workspaces", c->groups->len);
	jlog_str(g, "from", from);
	jlog_end(g);
}

static void log_unreadable(const char *key, st_rev revision, const char *field, const char *why)
{
	GString *g = jlog_begin("fleet", "entry_unreadable");

	jlog_str(g, "key", key);
	jlog_int(g, "era", st_rev_era(revision));
	jlog_int(g, "revision", st_rev_number(revision));
	jlog_str(g, "field", field);
	jlog_str(g, "why", why);
	jlog_end(g);
}

/* A configuration that can't be parsed leaves the one before in force, but unconfirmed. */
static void apply_conf(const struct st_item *i, const char *from, struct conf *c)
{
	if (!c) return;
	c->revision = i->revision;
	conf_unref(conf);
	conf = c;
	met_add(MET_TABLE_CHANGES, 1);
	met_set(MET_G_TABLE_VERSION, c->version);
	log_conf(c, from);
	if (cache_on_conf) cache_on_conf(c);
}

/* Versions only increase, in whatever order the store's revisions show them: one that it lost
 * and shows an older one instead of stays in force, and is not confirmed meanwhile. */
static int is_older_version(const struct st_item *i, const struct conf *c)
{
	if (!conf || c->version > conf->version) return 0;
	if (c->version == conf->version) return i->revision <= conf->revision;
	log_unreadable(i->key, i->revision, NULL, "an older version under a newer revision");
	return 1;
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

void cache_apply_backend(const struct st_item *i)
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

int cache_is_order(const char *key)
{
	enum dl_item kind = dl_item_kind(key);

	return kind == DL_DRAIN || kind == DL_ROLLOUT;
}

static struct cached_item *find_item(const char *key)
{
	return cache_is_order(key) ? g_hash_table_lookup(cache.orders, key)
				   : g_tree_lookup(cache.items, key);
}

/* old: the item that it replaces, or NULL. */
static void store_item(const struct st_item *i, const struct cached_item *old)
{
	struct cached_item *n = g_new0(struct cached_item, 1);

	n->key = g_strdup(i->key);
	n->value = i->value ? g_bytes_new(i->value, i->len) : NULL;
	n->revision = i->revision;
	n->applied_us = clock_us();
	if (cache_is_order(n->key)) {
		g_hash_table_replace(cache.orders, n->key, n);
		return;
	}
	if (old) g_tree_remove(by_revision, old);
	if (dl_item_kind(n->key) == DL_BACKEND) g_tree_insert(by_revision, n, n);
	g_tree_replace(cache.items, n->key, n);
}

/* Returns 1 if applied. */
static int apply_conf_item(const struct st_item *i, const struct cached_item *old,
			   const char *from)
{
	struct conf *c;
	struct err e;

	if (old && old->revision >= i->revision && !wants_version()) return 0;
	if (i->revision == ignored_conf) return 0;
	c = i->value ? dl_read_conf(i->value, i->len, &e) : NULL;
	if (!c) log_unreadable(i->key, i->revision, NULL, i->value ? e.text : "it is gone");
	/* One that is missing in a copy stays here for instances that start. */
	if (!i->value || (c && is_older_version(i, c))) {
		ignored_conf = i->revision;
		conf_unref(c);
		return 0;
	}
	store_item(i, old);
	revs.conf = i->revision;
	apply_conf(i, from, c);
	return 1;
}

int cache_apply(const struct st_item *i, const char *from)
{
	const struct cached_item *old = find_item(i->key);
	int held = old && cache_is_back_from_copy(old, i);
	enum dl_item kind = dl_item_kind(i->key);

	if (strlen(i->key) > CACHE_KEY_MAX || kind == DL_OTHER) return 0;
	if (kind == DL_CONF) return apply_conf_item(i, old, from);
	if (old && old->revision >= i->revision) return 0;
	store_item(i, old);
	if (held) {
		cache_hold(find_item(i->key), 0);
		return 1;
	}
	switch (kind) {
	case DL_DRAIN: apply_drain(i, from); break;
	case DL_ROLLOUT: apply_rollout(i, from); break;
	case DL_BACKEND: cache_apply_backend(i); break;
	case DL_CONF:
	case DL_OTHER: break;
	}
	return 1;
}

struct st_item cache_to_st_item(const struct cached_item *n)
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

	g_hash_table_iter_init(&it, cache.orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) {
		struct st_item i = cache_to_st_item(n);

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

st_rev cache_revision_of(const char *key)
{
	const struct cached_item *n = find_item(key);

	return n && n->value ? n->revision : 0;
}

void cache_each_newer(struct cache_revs after, void (*f)(const struct st_item *i, void *arg),
		      void *arg)
{
	const struct cached_item *c = g_tree_lookup(cache.items, dl_conf_key);
	struct cached_item first = {.key = "", .revision = after.backends + 1};
	GTreeNode *at = g_tree_lower_bound(by_revision, &first);
	struct st_item i;

	if (c && c->revision > after.conf) {
		i = cache_to_st_item(c);
		f(&i, arg);
	}
	for (; at; at = g_tree_node_next(at)) {
		const struct cached_item *n = g_tree_node_value(at);

		if (n->revision > revs.backends) return;
		i = cache_to_st_item(n);
		f(&i, arg);
	}
}
