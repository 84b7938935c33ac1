#include "docs.h"
#include "hash.h"
#include <pthread.h>
#include <string.h>

#define LISTENERS_MAX 4

struct doc {
	char key[DOC_KEY_MAX + 1];
	uint64_t id, version;
	GBytes *data;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Held while listeners run, so that they see versions in order. */
static pthread_mutex_t notify_lock = PTHREAD_MUTEX_INITIALIZER;
static struct doc doc[WIRE_DOCS_MAX];
static int ndocs;
static void (*listener[LISTENERS_MAX])(int, const char *, size_t, uint64_t);
static int nlisteners;

int docs_declare(const char *key)
{
	struct doc *d;

	if (ndocs == WIRE_DOCS_MAX || strlen(key) > DOC_KEY_MAX) return -1;
	d = &doc[ndocs];
	strcpy(d->key, key);
	d->id = hash_name(key);
	return ndocs++;
}

int docs_count(void)
{
	return ndocs;
}

const char *docs_key(int i)
{
	return doc[i].key;
}

uint64_t docs_id(int i)
{
	return doc[i].id;
}

int docs_find(uint64_t id)
{
	int i;

	for (i = 0; i < ndocs; i++)
		if (doc[i].id == id) return i;
	return -1;
}

void docs_on_update(void (*f)(int, const char *, size_t, uint64_t))
{
	listener[nlisteners++] = f;
}

static int store_newer(struct doc *d, uint64_t version, const char *data, size_t len)
{
	int newer;

	pthread_mutex_lock(&lock);
	newer = version > d->version;
	if (newer) {
		if (d->data) g_bytes_unref(d->data);
		d->data = g_bytes_new(data, len);
		d->version = version;
	}
	pthread_mutex_unlock(&lock);
	return newer;
}

int docs_update(int i, uint64_t version, const char *data, size_t len)
{
	int k, newer;

	pthread_mutex_lock(&notify_lock);
	newer = store_newer(&doc[i], version, data, len);
	for (k = 0; newer && k < nlisteners; k++) listener[k](i, data, len, version);
	pthread_mutex_unlock(&notify_lock);
	return newer;
}

uint64_t docs_version(int i)
{
	uint64_t v;

	pthread_mutex_lock(&lock);
	v = doc[i].version;
	pthread_mutex_unlock(&lock);
	return v;
}

GBytes *docs_data(int i, uint64_t *version)
{
	GBytes *b;

	pthread_mutex_lock(&lock);
	b = doc[i].data ? g_bytes_ref(doc[i].data) : NULL;
	*version = doc[i].version;
	pthread_mutex_unlock(&lock);
	return b;
}

uint32_t docs_versions(struct wire_version *out, uint32_t max)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	for (n = 0; n < (uint32_t)ndocs && n < max; n++)
		out[n] = (struct wire_version){doc[n].id, doc[n].version};
	pthread_mutex_unlock(&lock);
	return n;
}
