/* Lives of backend servers under one id, told from each other by when they began: what is known
 * of lives that are over here, or not listed here yet. */
#include "be_life.h"
#include "clock.h"
#include <string.h>

#define NOTES_MAX 1024   /* ids: word that is late by seconds meets one of the newest */
#define KEEP_US 60000000 /* word of a life comes late by seconds at most */

struct note {
	int64_t over_ms;    /* the newest life that is over; 0: none */
	int64_t leaving_ms; /* the newest life that leaves; 0: none */
	int64_t at_us;
};

static GHashTable *notes; /* id -> struct note */

static int is_old(gpointer id, gpointer note, gpointer now)
{
	(void)id;
	return *(int64_t *)now - ((struct note *)note)->at_us > KEEP_US;
}

/* Of many the oldest goes: late word of it is the least likely. */
static void drop_oldest(void)
{
	GHashTableIter it;
	gpointer id, note, oldest = NULL;
	int64_t at_us = INT64_MAX;

	g_hash_table_iter_init(&it, notes);
	while (g_hash_table_iter_next(&it, &id, &note)) {
		if (((struct note *)note)->at_us >= at_us) continue;
		at_us = ((struct note *)note)->at_us;
		oldest = id;
	}
	if (oldest) g_hash_table_remove(notes, oldest);
}

static struct note *note_of(const char *id)
{
	int64_t now = clock_us();
	struct note *n;

	if (!notes) notes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n = g_hash_table_lookup(notes, id);
	if (!n && g_hash_table_size(notes) >= NOTES_MAX)
		g_hash_table_foreach_remove(notes, is_old, &now);
	if (!n && g_hash_table_size(notes) >= NOTES_MAX) drop_oldest();
	if (!n) {
		n = g_new0(struct note, 1);
		g_hash_table_insert(notes, g_strdup(id), n);
	}
	n->at_us = now;
	return n;
}

static const struct note *find(const char *id)
{
	return notes ? g_hash_table_lookup(notes, id) : NULL;
}

void be_life_over(const char *id, int64_t born_ms)
{
	struct note *n;

	if (!born_ms) return;
	n = note_of(id);
	n->over_ms = MAX(n->over_ms, born_ms);
}

int be_life_is_over(const char *id, int64_t born_ms)
{
	const struct note *n = born_ms ? find(id) : NULL;

	return n && born_ms <= n->over_ms;
}

void be_life_leaves(const char *id, int64_t born_ms)
{
	struct note *n;

	if (!born_ms) return;
	n = note_of(id);
	n->leaving_ms = MAX(n->leaving_ms, born_ms);
}

int be_life_is_leaving(const char *id, int64_t born_ms)
{
	const struct note *n = born_ms ? find(id) : NULL;

	return n && born_ms == n->leaving_ms;
}
