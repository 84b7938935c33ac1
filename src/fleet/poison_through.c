/* Requests that came through here lately: word against blame that others may look for. */
#include "poison_impl.h"

/* Twice as long as it counts. */
#define THROUGH_US (2 * QUAR_SOUND_US)
#define THROUGH_MOST 4096 /* requests: a thousand a second */

static GHashTable *through; /* struct fp -> int64_t, when a run came through last */

static int is_old(gpointer fp, gpointer at_us, gpointer now)
{
	(void)fp;
	return *(int64_t *)now - *(int64_t *)at_us > THROUGH_US;
}

void through_note(const struct fp *fp, int64_t now)
{
	int64_t *at;

	if (!through) through = g_hash_table_new_full(fp_hash, fp_key_equal, g_free, g_free);
	at = g_hash_table_lookup(through, fp);

	if (!at && g_hash_table_size(through) >= THROUGH_MOST) {
		g_hash_table_foreach_remove(through, is_old, &now);
		if (g_hash_table_size(through) >= THROUGH_MOST) return;
	}
	if (!at) {
		at = g_new(int64_t, 1);
		g_hash_table_insert(through, g_memdup2(fp, sizeof *fp), at);
	}
	*at = now;
}

int64_t through_last_us(const struct fp *fp)
{
	const int64_t *at = through ? g_hash_table_lookup(through, fp) : NULL;

	return at ? *at : 0;
}
