/* Which of two words of a server counts. */
#include <saddlehead/limit.h>

static int is_stricter(const struct limit_word *a, const struct limit_word *b)
{
	if (a->per_s < 0) return 0;
	return b->per_s < 0 || a->per_s < b->per_s;
}

int limit_take(struct limit_word *known, const struct limit_word *w)
{
	double before = known->to_us ? known->per_s : LIMIT_NONE;

	if (known->to_us) {
		if (w->to_us <= known->from_us) return 0;
		if (w->from_us < known->to_us && is_stricter(known, w)) return 0;
	}
	*known = *w;
	return known->per_s != before;
}
