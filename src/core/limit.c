/* Decides which of two announcements of a server's rate limit is in force. */
#include <saddlehead/limit.h>

static int is_stricter(const struct limit_report *a, const struct limit_report *b)
{
	if (a->per_s < 0) return 0;
	return b->per_s < 0 || a->per_s < b->per_s;
}

int limit_update(struct limit_report *current, const struct limit_report *report)
{
	double before = current->to_us ? current->per_s : LIMIT_NONE;

	if (current->to_us) {
		if (report->to_us <= current->from_us) return 0;
		if (report->from_us < current->to_us && is_stricter(current, report)) return 0;
	}
	*current = *report;
	return current->per_s != before;
}
