/* A ring in the order of the last statements, with an index by key. A stream that is stated
 * again moves to the newest place; its old place stays empty until the oldest one passes it. */
#include <glib.h>
#include <saddlehead/origin.h>

struct origins {
	GHashTable *index; /* key -> struct origin in at */
	struct origin *at; /* place n is at[n % ORIGIN_MAX]; key 0: empty */
	uint64_t first;    /* the oldest place in use */
	uint32_t used;     /* places from first on */
	uint64_t dropped;
};

struct origins *origins_new(void)
{
	struct origins *t = g_new0(struct origins, 1);

	t->index = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->at = g_new0(struct origin, ORIGIN_MAX);
	return t;
}

void origins_free(struct origins *t)
{
	g_hash_table_destroy(t->index);
	g_free(t->at);
	g_free(t);
}

static void clear(struct origins *t, struct origin *o)
{
	g_hash_table_remove(t->index, &o->key);
	o->key = 0;
}

static struct origin *at_place(const struct origins *t, uint64_t place)
{
	return &t->at[place % ORIGIN_MAX];
}

static void pop(struct origins *t)
{
	t->first++;
	t->used--;
}

static void drop_oldest(struct origins *t, int64_t now_us)
{
	struct origin *o = at_place(t, t->first);

	if (o->key) {
		t->dropped += o->expires_us > now_us;
		clear(t, o);
	}
	pop(t);
}

static void drop_expired(struct origins *t, int64_t now_us)
{
	while (t->used) {
		const struct origin *o = at_place(t, t->first);

		if (o->key && o->expires_us > now_us) return;
		drop_oldest(t, now_us);
	}
}

static struct origin *push(struct origins *t, const struct origin *o)
{
	struct origin *place = at_place(t, t->first + t->used);

	*place = *o;
	t->used++;
	g_hash_table_insert(t->index, &place->key, place);
	return place;
}

int origins_put(struct origins *t, uint64_t key, uint64_t version, int64_t now_us,
		int64_t expires_us)
{
	struct origin *old, o = {key, version, now_us, expires_us};
	int news = 1;

	drop_expired(t, now_us);
	old = g_hash_table_lookup(t->index, &key);
	if (old) {
		news = old->version && old->version != version;
		o.version = old->version == version ? version : 0;
		o.expires_us = MAX(old->expires_us, expires_us);
		clear(t, old);
	}
	if (t->used == ORIGIN_MAX) drop_oldest(t, now_us);
	push(t, &o);
	return news;
}

const struct origin *origins_get(const struct origins *t, uint64_t key, int64_t now_us)
{
	const struct origin *o = g_hash_table_lookup(t->index, &key);

	return o && o->expires_us > now_us ? o : NULL;
}

int origins_visit(const struct origins *t, uint64_t *place, uint32_t most, int64_t now_us,
		  void (*f)(const struct origin *o, void *arg), void *arg)
{
	uint64_t p = MIN(*place, t->first + t->used);

	for (; most && p > t->first; most--) {
		const struct origin *o = at_place(t, --p);

		if (o->key && o->expires_us > now_us) f(o, arg);
	}
	*place = p;
	return p > t->first;
}

uint32_t origins_count(const struct origins *t)
{
	return g_hash_table_size(t->index);
}

uint64_t origins_dropped(const struct origins *t)
{
	return t->dropped;
}
