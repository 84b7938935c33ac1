/* What this instance believes of the platform's lists: the newest word on each entry. */
#include "board.h"
#include "be.h"
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "met.h"
#include <saddlehead/spread.h>
#include <string.h>

/* After its return entries that had lapsed come back within some two seconds. */
#define BACK_US 2000000
#define DIGEST_MULTIPLIER 2654435761u /* odd, with bits all over: revisions are close */

struct note {
	char *key;
	GBytes *value; /* NULL: gone */
	uint64_t revision;
};

const char board_platform[] = "platform";
void (*board_on_conf)(struct conf *c);
void (*board_on_order)(const char *from);
int (*board_on_rollout)(const struct st_item *i);

static GTree *notes;       /* of the configuration and of backend servers, by key: thousands */
static GTree *by_age;      /* of the latter, by revision: what is new is at its end */
static GHashTable *orders; /* of the operators: few, and looked at with each heartbeat */
static struct board_revs revs;
static struct conf *conf;
static int64_t confirmed_us = BOARD_NEVER;
static int64_t back_us = -BACK_US; /* when the platform returned from being away */

static void free_note(gpointer p)
{
	struct note *n = p;

	g_free(n->key);
	if (n->value) g_bytes_unref(n->value);
	g_free(n);
}

static gint by_key(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static gint compare_age(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct note *x = a, *y = b;

	(void)arg;
	if (x->revision != y->revision) return x->revision < y->revision ? -1 : 1;
	return strcmp(x->key, y->key);
}

void board_init(void)
{
	by_age = g_tree_new_full(compare_age, NULL, NULL, NULL);
	notes = g_tree_new_full(by_key, NULL, NULL, free_note);
	orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_note);
}

struct conf *board_conf(void)
{
	return conf;
}

int64_t board_confirmed_us(void)
{
	return confirmed_us;
}

struct board_revs board_revs(void)
{
	return revs;
}

void board_complete(uint64_t revision)
{
	revs.backends = MAX(revs.backends, revision);
}

int board_take_news(uint64_t after, uint64_t upto)
{
	return spread_apply(&revs.backends, after, upto);
}

void board_confirm(uint64_t revision, int64_t at_us)
{
	if (!conf || revision != conf->revision || at_us <= confirmed_us) return;
	if (confirmed_us != BOARD_NEVER && at_us - confirmed_us > BOARD_OLD_US)
		back_us = clock_us();
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

static void log_unread(const char *key, uint64_t revision, const char *field, const char *why)
{
	GString *g = jlog_begin("fleet", "entry_unreadable");

	jlog_str(g, "key", key);
	jlog_int(g, "revision", revision);
	jlog_str(g, "field", field);
	jlog_str(g, "why", why);
	jlog_end(g);
}

/* A configuration that can't be read leaves the one before in force, but unconfirmed. */
static void take_conf(const struct st_item *i, const char *from)
{
	struct err e;
	struct conf *c = i->value ? dl_read_conf(i->value, i->len, &e) : NULL;

	if (!c) {
		log_unread(i->key, i->revision, NULL, i->value ? e.text : "it is gone");
		return;
	}
	c->revision = i->revision;
	if (conf && c->version < conf->version) {
		log_unread(i->key, i->revision, NULL,
			   "an older version under a newer revision");
		conf_unref(c);
		return;
	}
	conf_unref(conf);
	conf = c;
	met_add(MET_TABLE_CHANGES, 1);
	met_set(MET_G_TABLE_VERSION, c->version);
	log_conf(c, from);
	if (board_on_conf) board_on_conf(c);
}

/* Entries run out while those that hold them can't reach the platform. Streams of all engines
 * at once would move for nothing, and the first entry to come back would get all new work. */
static int entries_may_have_lapsed(void)
{
	int64_t now = clock_us();

	if (confirmed_us == BOARD_NEVER) return 0;
	return now - confirmed_us > BOARD_OLD_US || now - back_us < BACK_US;
}

static void take_backend(const struct st_item *i)
{
	const char *field;

	if (!i->value) {
		if (entries_may_have_lapsed())
			be_lapsed(dl_backend_id(i->key));
		else
			be_gone(dl_backend_id(i->key));
		return;
	}
	field = dl_read_backend(i->key, i->value, i->len);
	if (!field) return;
	be_unreadable(dl_backend_id(i->key));
	met_add(MET_ENTRIES_UNREADABLE, 1);
	log_unread(i->key, i->revision, field, "missing, or not as it should be");
}

/* Whatever the key holds: it names the data centre, and stands for the drain. */
static void take_drain(const struct st_item *i, const char *from)
{
	be_drain_dc(dl_drained_dc(i->key), i->value != NULL);
	if (board_on_order) board_on_order(from);
}

static void take_rollout(const struct st_item *i, const char *from)
{
	if (board_on_rollout && board_on_rollout(i))
		log_unread(i->key, i->revision, NULL, "no order to bring in a version");
	if (board_on_order) board_on_order(from);
}

static int is_order(const char *key)
{
	enum dl_item kind = dl_item_kind(key);

	return kind == DL_DRAIN || kind == DL_ROLLOUT;
}

static const struct note *find_note(const char *key)
{
	return is_order(key) ? g_hash_table_lookup(orders, key) : g_tree_lookup(notes, key);
}

/* known: the one before, or NULL. */
static void keep_note(const struct st_item *i, const struct note *known)
{
	struct note *n = g_new0(struct note, 1);

	n->key = g_strdup(i->key);
	n->value = i->value ? g_bytes_new(i->value, i->len) : NULL;
	n->revision = i->revision;
	if (is_order(n->key)) {
		g_hash_table_replace(orders, n->key, n);
		return;
	}
	if (known) g_tree_remove(by_age, known);
	if (dl_item_kind(n->key) == DL_BACKEND) g_tree_insert(by_age, n, n);
	g_tree_replace(notes, n->key, n);
}

int board_apply(const struct st_item *i, const char *from)
{
	const struct note *known = find_note(i->key);
	enum dl_item kind = dl_item_kind(i->key);

	if (strlen(i->key) > BOARD_KEY_MAX) return 0;
	if (kind == DL_OTHER || (known && known->revision >= i->revision)) return 0;
	keep_note(i, known);
	switch (kind) {
	case DL_CONF:
		revs.conf = MAX(revs.conf, i->revision);
		take_conf(i, from);
		break;
	case DL_DRAIN: take_drain(i, from); break;
	case DL_ROLLOUT: take_rollout(i, from); break;
	case DL_BACKEND: take_backend(i); break;
	case DL_OTHER: break;
	}
	return 1;
}

static int is_on(const struct board_page *p, const char *key)
{
	if (!g_str_has_prefix(key, p->prefix) || strcmp(key, p->after) <= 0) return 0;
	return !p->upto || strcmp(key, p->upto) <= 0;
}

/* What is looked for among those that stand, and should have been listed. */
struct search {
	const struct board_page *page;
	GHashTable *listed;
	uint64_t at;
	GPtrArray *missing;
};

static void look_at(const struct search *s, const struct note *n)
{
	if (!n->value || n->revision > s->at || !is_on(s->page, n->key)) return;
	if (!g_hash_table_contains(s->listed, n->key))
		g_ptr_array_add(s->missing, g_strdup(n->key));
}

/* From the page's first key on alone: what a page costs does not grow with the list. */
static void look_at_notes(const struct search *s)
{
	const char *from = s->page->after[0] ? s->page->after : s->page->prefix;
	GTreeNode *at = g_tree_lower_bound(notes, from);

	for (; at; at = g_tree_node_next(at)) {
		const struct note *n = g_tree_node_value(at);

		if (s->page->upto && strcmp(n->key, s->page->upto) > 0) return;
		if (!g_str_has_prefix(n->key, s->page->prefix)) return;
		look_at(s, n);
	}
}

static void look_at_orders(const struct search *s)
{
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) look_at(s, n);
}

GPtrArray *board_apply_missing(const char *prefix, GHashTable *listed, uint64_t at)
{
	struct board_page whole = {.prefix = prefix, .after = ""};

	return board_apply_missing_of(&whole, listed, at);
}

GPtrArray *board_apply_missing_of(const struct board_page *p, GHashTable *listed, uint64_t at)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	struct search s = {p, listed, at, missing};
	uint32_t i;

	look_at_notes(&s);
	look_at_orders(&s);
	for (i = 0; i < missing->len; i++) {
		struct st_item gone = {.key = g_ptr_array_index(missing, i), .revision = at};

		board_apply(&gone, board_platform);
	}
	return missing;
}

static struct st_item item_of(const struct note *n)
{
	struct st_item i = {.key = n->key, .revision = n->revision};
	gsize len = 0;

	if (n->value) i.value = g_bytes_get_data(n->value, &len);
	i.len = len;
	return i;
}

void board_each_order(void (*f)(const struct st_item *i, void *arg), void *arg)
{
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, orders);
	while (g_hash_table_iter_next(&it, NULL, &n)) {
		struct st_item i = item_of(n);

		f(&i, arg);
	}
}

static void add_to_digest(const struct st_item *i, void *sum)
{
	*(uint64_t *)sum ^= (g_str_hash(i->key) | 1) * (i->revision * DIGEST_MULTIPLIER + 1);
}

uint64_t board_orders_digest(void)
{
	uint64_t sum = 0;

	board_each_order(add_to_digest, &sum);
	return sum;
}

uint64_t board_revision_of(const char *key)
{
	const struct note *n = find_note(key);

	return n && n->value ? n->revision : 0;
}

void board_each_newer(struct board_revs after, void (*f)(const struct st_item *i, void *arg),
		      void *arg)
{
	const struct note *c = g_tree_lookup(notes, dl_conf_key);
	struct note first = {.key = "", .revision = after.backends + 1};
	GTreeNode *at = g_tree_lower_bound(by_age, &first);
	struct st_item i;

	if (c && c->revision > after.conf) {
		i = item_of(c);
		f(&i, arg);
	}
	for (; at; at = g_tree_node_next(at)) {
		const struct note *n = g_tree_node_value(at);

		if (n->revision > revs.backends) return;
		i = item_of(n);
		f(&i, arg);
	}
}
