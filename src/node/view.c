#include "view.h"
#include "hash.h"
#include <pthread.h>
#include <string.h>
#include <urcu.h>

#define LISTENERS_MAX 4

struct list {
	struct backend *b;
	uint32_t n;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct mbr_info *members;
static uint32_t nmembers;
static GHashTable *lists; /* data centre -> struct list */
/* RCU keeps a view or table that a reader just loaded alive until the reader holds a reference.
 * The pointers are C11 atomics because ThreadSanitizer can follow those. */
static _Atomic(struct view *) current;
static _Atomic(struct tbl *) table;
static struct {
	void (*f)(void *);
	void *arg;
} listener[LISTENERS_MAX];
static int nlisteners;

static void list_free(void *p)
{
	struct list *l = p;

	g_free(l->b);
	g_free(l);
}

void view_init(void)
{
	lists = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, list_free);
}

void view_on_change(void (*f)(void *arg), void *arg)
{
	pthread_mutex_lock(&lock);
	listener[nlisteners].f = f;
	listener[nlisteners++].arg = arg;
	pthread_mutex_unlock(&lock);
}

static uint64_t owner_among(const struct mbr_info *m, uint32_t n, const char *dc, uint64_t key)
{
	uint64_t best = 0, id = 0, score;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (m[i].state == MBR_LEAVING || m[i].state == MBR_DEAD) continue;
		if (dc && strcmp(m[i].dc, dc)) continue;
		score = hash_score(key, m[i].id);
		if (id && score <= best) continue;
		best = score;
		id = m[i].id;
	}
	return id;
}

uint64_t view_owner(const struct mbr_info *m, uint32_t n, const char *dc, uint64_t key)
{
	uint64_t id = owner_among(m, n, dc, key);

	return id ? id : owner_among(m, n, NULL, key);
}

static void index_backend(struct view *v, struct backend *b)
{
	GPtrArray *a;
	uint32_t i;

	g_hash_table_insert(v->backend_by_id, &b->id, b);
	for (i = 0; i < b->nservices; i++) {
		a = g_hash_table_lookup(v->by_service, &b->service[i]);
		if (!a) {
			a = g_ptr_array_new();
			g_hash_table_insert(v->by_service, &b->service[i], a);
		}
		g_ptr_array_add(a, b);
	}
}

static void add_list(struct view *v, const struct list *l)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		struct backend *b = &v->backend[v->nbackends++];

		*b = l->b[i];
		b->keeper = view_owner(v->member, v->nmembers, b->dc, b->id);
	}
}

static struct view *build(void)
{
	struct view *v = g_new0(struct view, 1);
	GHashTableIter it;
	uint32_t i, n = 0;
	gpointer p;

	v->refs = 1;
	v->nmembers = nmembers;
	v->member = g_memdup2(members, nmembers * sizeof *members);
	v->backend_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	v->by_service = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      (GDestroyNotify)g_ptr_array_unref);
	g_hash_table_iter_init(&it, lists);
	while (g_hash_table_iter_next(&it, NULL, &p)) n += ((struct list *)p)->n;
	v->backend = g_new0(struct backend, n + 1);
	g_hash_table_iter_init(&it, lists);
	while (g_hash_table_iter_next(&it, NULL, &p)) add_list(v, p);
	for (i = 0; i < v->nbackends; i++) index_backend(v, &v->backend[i]);
	return v;
}

void view_unref(struct view *v)
{
	if (!v || --v->refs) return;
	g_hash_table_unref(v->by_service);
	g_hash_table_unref(v->backend_by_id);
	g_free(v->backend);
	g_free(v->member);
	g_free(v);
}

/* Builds and publishes a new view. Called with the lock held; releases it. */
static void publish(void)
{
	struct view *old = current;
	int i;

	current = build();
	synchronize_rcu();
	view_unref(old);
	pthread_mutex_unlock(&lock);
	for (i = 0; i < nlisteners; i++) listener[i].f(listener[i].arg);
}

void view_set_members(const struct mbr_info *list, uint32_t n)
{
	pthread_mutex_lock(&lock);
	g_free(members);
	members = g_memdup2(list, n * sizeof *list);
	nmembers = n;
	publish();
}

int view_set_list(const char *dc, const char *json, struct err *e)
{
	struct list *l = g_new0(struct list, 1);

	l->b = view_read_list(dc, json, &l->n, e);
	if (!l->b) {
		g_free(l);
		return e->code;
	}
	pthread_mutex_lock(&lock);
	g_hash_table_replace(lists, g_strdup(dc), l);
	publish();
	return 0;
}

void view_set_table(struct tbl *t)
{
	struct tbl *old;
	int i;

	pthread_mutex_lock(&lock);
	old = table;
	table = t;
	synchronize_rcu();
	tbl_unref(old);
	pthread_mutex_unlock(&lock);
	for (i = 0; i < nlisteners; i++) listener[i].f(listener[i].arg);
}

struct view *view_get(void)
{
	struct view *v;

	rcu_read_lock();
	v = current;
	if (v) v->refs++;
	rcu_read_unlock();
	return v;
}

struct tbl *view_table(void)
{
	struct tbl *t;

	rcu_read_lock();
	t = tbl_ref(table);
	rcu_read_unlock();
	return t;
}

const struct backend *view_backend(const struct view *v, uint64_t id)
{
	return g_hash_table_lookup(v->backend_by_id, &id);
}

const GPtrArray *view_service(const struct view *v, uint64_t service)
{
	return g_hash_table_lookup(v->by_service, &service);
}

const struct mbr_info *view_member(const struct view *v, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < v->nmembers; i++)
		if (v->member[i].id == id) return &v->member[i];
	return NULL;
}
