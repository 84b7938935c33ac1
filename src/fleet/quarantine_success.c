/* Requests and prompt segments that succeeded at this instance lately. They clear a request
 * that is suspected or quarantined later. */
#include "quarantine_impl.h"

/* Twice as long as a success counts as evidence. */
#define SUCCESS_US (2 * QUAR_SUCCESS_US)
#define SUCCESS_MAX 4096 /* allows a thousand successes a second */

static GHashTable *successes; /* struct fp -> int64_t, time of the last success */

static int is_old(gpointer fp, gpointer at_us, gpointer now)
{
	(void)fp;
	return *(int64_t *)now - *(int64_t *)at_us > SUCCESS_US;
}

void success_note(const struct fp *fp, int64_t at_us)
{
	int64_t *at;

	if (!successes)
		successes = g_hash_table_new_full(fp_hash, fp_key_equal, g_free, g_free);
	at = g_hash_table_lookup(successes, fp);

	if (!at && g_hash_table_size(successes) >= SUCCESS_MAX) {
		g_hash_table_foreach_remove(successes, is_old, &at_us);
		if (g_hash_table_size(successes) >= SUCCESS_MAX) return;
	}
	if (!at) {
		at = g_new0(int64_t, 1);
		g_hash_table_insert(successes, g_memdup2(fp, sizeof *fp), at);
	}
	*at = MAX(*at, at_us);
}

int64_t success_last_us(const struct fp *fp)
{
	const int64_t *at = successes ? g_hash_table_lookup(successes, fp) : NULL;

	return at ? *at : 0;
}
