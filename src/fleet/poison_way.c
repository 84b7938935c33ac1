/* Runs of suspects that are under way and have not answered: those of other instances as they
 * tell, and this one's as it told them. */
#include "clock.h"
#include "entry_cfg.h"
#include "mesh_poison.h"
#include "poison_impl.h"
#include <string.h>

struct elsewhere { /* runs at another instance */
	struct fp fp;
	char from[ENTRY_TEXT_MAX + 1];
	uint32_t n;
	int64_t heard_us;
};

static GArray *elsewhere; /* of struct elsewhere */
static GHashTable *told;  /* struct fp -> how many others were told of, if any */

static struct elsewhere *find_elsewhere(const struct fp *fp, const char *from)
{
	uint32_t i;

	for (i = 0; i < elsewhere->len; i++) {
		struct elsewhere *w = &g_array_index(elsewhere, struct elsewhere, i);

		if (fp_equal(&w->fp, fp) && !strcmp(w->from, from)) return w;
	}
	return NULL;
}

static void drop_old_elsewhere(int64_t now)
{
	uint32_t i;

	for (i = elsewhere->len; i-- > 0;) {
		const struct elsewhere *w = &g_array_index(elsewhere, struct elsewhere, i);

		if (!w->n || now - w->heard_us > WAY_KEEP_US)
			g_array_remove_index_fast(elsewhere, i);
	}
}

void way_hear(const char *from, const struct fp *fp, uint32_t n)
{
	struct elsewhere *w, new = {.fp = *fp};
	int64_t now = clock_us();

	if (!elsewhere) elsewhere = g_array_new(FALSE, FALSE, sizeof(struct elsewhere));
	drop_old_elsewhere(now);
	w = find_elsewhere(fp, from);
	if (!w) {
		if (elsewhere->len >= QUAR_SUSPECTS) return;
		g_strlcpy(new.from, from, sizeof new.from);
		g_array_append_val(elsewhere, new);
	}
	w = find_elsewhere(fp, from);
	if (!w) return;
	w->n = n;
	w->heard_us = now;
}

uint32_t way_count(const struct fp *fp, int64_t now)
{
	uint32_t i, n = 0;

	for (i = 0; elsewhere && i < elsewhere->len; i++) {
		const struct elsewhere *w = &g_array_index(elsewhere, struct elsewhere, i);

		if (now - w->heard_us <= WAY_KEEP_US && fp_equal(&w->fp, fp)) n += w->n;
	}
	return n;
}

void way_tell(const struct fp *fp, uint32_t n)
{
	uint32_t before;

	if (!told) told = g_hash_table_new_full(fp_hash, fp_key_equal, g_free, NULL);
	before = GPOINTER_TO_UINT(g_hash_table_lookup(told, fp));
	if (n == before) return;
	mesh_tell_under_way(fp, n);
	if (n)
		g_hash_table_insert(told, g_memdup2(fp, sizeof *fp), GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(told, fp);
}

void way_write(GString *out)
{
	GHashTableIter it;
	gpointer fp, n;

	if (!told) return;
	g_hash_table_iter_init(&it, told);
	while (g_hash_table_iter_next(&it, &fp, &n))
		mesh_write_under_way(out, fp, GPOINTER_TO_UINT(n));
}
