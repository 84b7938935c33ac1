/* Incarnations of backend servers under one id, distinguished by their start times: records of
 * those that have ended, or were reported before they were listed here. */
#include "be_incarnation.h"
#include "clock.h"
#include <string.h>

#define RECORDS_MAX 1024 /* ids: messages are late by seconds, and so concern recent ones */
#define KEEP_US 60000000 /* messages about an incarnation are late by seconds at most */

struct record {
	int64_t ended_ms;   /* the newest incarnation that has ended; 0: none */
	int64_t leaving_ms; /* the newest incarnation reported as leaving; 0: none */
	int64_t at_us;
};

static GHashTable *records; /* id -> struct record */

static int is_old(gpointer id, gpointer record, gpointer now)
{
	(void)id;
	return *(int64_t *)now - ((struct record *)record)->at_us > KEEP_US;
}

/* The oldest record is the least likely to be needed for a late message. */
static void drop_oldest(void)
{
	GHashTableIter it;
	gpointer id, record, oldest = NULL;
	int64_t at_us = INT64_MAX;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, &id, &record)) {
		if (((struct record *)record)->at_us >= at_us) continue;
		at_us = ((struct record *)record)->at_us;
		oldest = id;
	}
	if (oldest) g_hash_table_remove(records, oldest);
}

static struct record *record_for(const char *id)
{
	int64_t now = clock_us();
	struct record *r;

	if (!records) records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r = g_hash_table_lookup(records, id);
	if (!r && g_hash_table_size(records) >= RECORDS_MAX)
		g_hash_table_foreach_remove(records, is_old, &now);
	if (!r && g_hash_table_size(records) >= RECORDS_MAX) drop_oldest();
	if (!r) {
		r = g_new0(struct record, 1);
		g_hash_table_insert(records, g_strdup(id), r);
	}
	r->at_us = now;
	return r;
}

static const struct record *find(const char *id)
{
	return records ? g_hash_table_lookup(records, id) : NULL;
}

void be_incarnation_end(const char *id, int64_t incarnation_ms)
{
	struct record *r;

	if (!incarnation_ms) return;
	r = record_for(id);
	r->ended_ms = MAX(r->ended_ms, incarnation_ms);
}

int be_incarnation_ended(const char *id, int64_t incarnation_ms)
{
	const struct record *r = incarnation_ms ? find(id) : NULL;

	return r && incarnation_ms <= r->ended_ms;
}

void be_incarnation_set_leaving(const char *id, int64_t incarnation_ms)
{
	struct record *r;

	if (!incarnation_ms) return;
	r = record_for(id);
	r->leaving_ms = MAX(r->leaving_ms, incarnation_ms);
}

int be_incarnation_is_leaving(const char *id, int64_t incarnation_ms)
{
	const struct record *r = incarnation_ms ? find(id) : NULL;

	return r && incarnation_ms == r->leaving_ms;
}
