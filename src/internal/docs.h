/* Documents from the platform's store that every instance holds: the operators' table, the
 * lists of backend servers and the event key. A document's version never decreases. Instances
 * announce their versions to each other and serve copies of newer ones. */
#ifndef SH_DOCS_H
#define SH_DOCS_H
#include "wire.h"
#include <glib.h>

#define DOC_KEY_MAX 95
#define DOC_TABLE "saddlehead/table"
#define DOC_EVENT_KEY "saddlehead/event-key"
#define DOC_LIST_PREFIX "platform/instances/"

/* Declares a document and returns its index, or -1 if the key is too long or there are too
 * many. To be called before any thread starts. */
int docs_declare(const char *key);
int docs_count(void);
const char *docs_key(int i);
uint64_t docs_id(int i);
/* The index of the document with this id, or -1. */
int docs_find(uint64_t id);

/* Stores data if version is newer than the stored one and calls the callbacks: returns 1, else
 * 0. Callbacks see the versions of a document in order. */
int docs_update(int i, uint64_t version, const char *data, size_t len);
void docs_on_update(void (*f)(int doc, const char *data, size_t len, uint64_t version));

uint64_t docs_version(int i);
/* A new reference to the data, or NULL if there is none yet. */
GBytes *docs_data(int i, uint64_t *version);
/* Writes the id and version of at most max documents; returns how many. */
uint32_t docs_versions(struct wire_version *out, uint32_t max);
#endif
