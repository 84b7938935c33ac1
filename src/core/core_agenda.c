/* Appointments: times at which refused callers find room. Work promised in a slot of time is
 * bounded, so that first attempts are served as well and promises can be kept. */
#include "core_impl.h"
#include <string.h>

#define EARLY_US 100000 /* clocks of callers and the way here differ by less */
#define LATE_US 1000000 /* callers return within about a second of their time */
/* Slots before and behind a time over which the promised work is added up: requests are larger
 * than the room of one slot. */
#define AROUND 4
/* Part of what may be promised that can be given whatever arrives: how long a rush lasts is a
 * guess. */
#define LEAST_PART 0.25
/* Part of what may be promised that is left to urgent requests and groups below their share. */
#define RESERVED_PART 0.2
#define LEAST_AHEAD_US 200000 /* a caller that returns sooner finds the same queue */

static int due_before(const void *a, const void *b)
{
	return ((const struct cappointment *)a)->due_us <
	       ((const struct cappointment *)b)->due_us;
}

void cagenda_init(struct cagenda *a)
{
	heap_init(&a->by_due, due_before, offsetof(struct cappointment, pos));
	a->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void cagenda_free(struct cagenda *a)
{
	while (a->by_due.n) {
		struct cappointment *m = heap_top(&a->by_due);

		heap_remove(&a->by_due, m);
		g_free(m);
	}
	heap_free(&a->by_due);
	g_hash_table_unref(a->by_caller);
}

static double *slot(struct cagenda *a, int64_t number)
{
	return &a->promised[number % CAGENDA_SLOTS];
}

static int is_ahead(const struct cagenda *a, int64_t number)
{
	return number >= a->first && number < a->first + CAGENDA_SLOTS;
}

/* Clears the slots that are over. */
static void advance(struct cagenda *a, int64_t now)
{
	int64_t first = now / CAGENDA_SLOT_US;

	if (first - a->first >= CAGENDA_SLOTS) {
		memset(a->promised, 0, sizeof a->promised);
		a->first = first;
	}
	while (a->first < first) *slot(a, a->first++) = 0;
}

static void add_work(struct cagenda *a, const struct cappointment *m, double work)
{
	int64_t number = m->due_us / CAGENDA_SLOT_US;

	if (!is_ahead(a, number)) return;
	*slot(a, number) += work;
	if (*slot(a, number) < 0) *slot(a, number) = 0;
}

static void link_caller(struct cagenda *a, struct cappointment *m)
{
	m->next = g_hash_table_lookup(a->by_caller, &m->caller);
	g_hash_table_replace(a->by_caller, &m->caller, m);
}

static void unlink_caller(struct cagenda *a, struct cappointment *m)
{
	struct cappointment *p = g_hash_table_lookup(a->by_caller, &m->caller);

	if (p == m) {
		if (m->next)
			g_hash_table_replace(a->by_caller, &m->next->caller, m->next);
		else
			g_hash_table_remove(a->by_caller, &m->caller);
		return;
	}
	while (p->next != m) p = p->next;
	p->next = m->next;
}

static void drop(struct cagenda *a, struct cappointment *m)
{
	add_work(a, m, -m->work);
	unlink_caller(a, m);
	heap_remove(&a->by_due, m);
	g_free(m);
}

/* Walks the slots from now on: what is promised in a slot goes first, and what a slot has no
 * room for delays what follows. */
int64_t cagenda_wait_us(const struct cagenda *a, int64_t now, double work, double rate)
{
	int64_t i = now / CAGENDA_SLOT_US, left_us = CAGENDA_SLOT_US - now % CAGENDA_SLOT_US;
	int64_t wait_us = 0, n = is_ahead(a, i) ? a->first + CAGENDA_SLOTS - i : 0;
	uint32_t k = (uint32_t)(i % CAGENDA_SLOTS);

	for (; n-- > 0; k = k + 1 < CAGENDA_SLOTS ? k + 1 : 0) {
		work += a->promised[k];
		if (work <= rate * (double)left_us) return wait_us + (int64_t)(work / rate);
		work -= rate * (double)left_us;
		wait_us += left_us;
		left_us = CAGENDA_SLOT_US;
	}
	return INT64_MAX;
}

static double promised_in(const struct cagenda *a, int64_t number)
{
	return is_ahead(a, number) ? a->promised[number % CAGENDA_SLOTS] : 0;
}

static double promised_around(const struct cagenda *a, int64_t number)
{
	double sum = 0;
	int64_t i;

	for (i = number - AROUND; i <= number + AROUND; i++) sum += promised_in(a, i);
	return sum;
}

/* The next turn of a group that was served less than others is now. */
static int is_preferred(const struct core *c, const struct cticket *t)
{
	return t->info.rank == 0 || t->tag <= c->vnow_of[MIN(t->info.rank, CORE_RANKS)];
}

/* Room foreseen at a time is what the supply exceeds the expected arrivals by. */
static int64_t find_slot(const struct core *c, struct cservice *s, const struct cticket *t,
			 int64_t after_us)
{
	const struct cagenda *a = &s->agenda;
	double work = cforecast_work(&t->info), supply = cforecast_supply(c, s);
	double most = supply * c->cfg.promised, around, slot;
	double part = (is_preferred(c, t) ? 1 : 1 - RESERVED_PART) * CAGENDA_SLOT_US;
	struct cforecast_arrivals f = cforecast_arrivals(c, s);
	int64_t from = (c->now + after_us) / CAGENDA_SLOT_US + 1;
	int64_t to = (c->now + t->info.horizon_us) / CAGENDA_SLOT_US, i;

	around = promised_around(a, from);
	for (i = from; i <= to && is_ahead(a, i); i++) {
		double room = supply - cforecast_arrivals_at(&f, i * CAGENDA_SLOT_US - c->now);

		slot = promised_in(a, i);
		room = CLAMP(room, most * LEAST_PART, most) * part;
		/* Many callers at one time would delay all others at that time. */
		if (around + work <= room * (2 * AROUND + 1) &&
		    (slot <= 0 || slot + work <= room))
			return i;
		around += promised_in(a, i + AROUND + 1) - promised_in(a, i - AROUND);
	}
	return -1;
}

int64_t cagenda_give(struct core *c, struct cservice *s, const struct cticket *t,
		     int64_t after_us)
{
	struct cagenda *a = &s->agenda;
	struct cappointment *m;
	int64_t number;

	if (after_us == INT64_MAX || c->cfg.promised <= 0) return 0;
	if (!t->info.caller || !t->info.horizon_us) return 0;
	if (a->by_due.n >= CAPPOINTMENTS_MAX) return 0;
	advance(a, c->now);
	number = find_slot(c, s, t, MAX(after_us, LEAST_AHEAD_US));
	if (number < 0) return 0;
	m = g_new0(struct cappointment, 1);
	m->caller = t->info.caller;
	m->due_us = number * CAGENDA_SLOT_US;
	m->work = cforecast_work(&t->info);
	add_work(a, m, m->work);
	link_caller(a, m);
	heap_push(&a->by_due, m);
	c->stats.given++;
	return m->due_us - c->now;
}

int cagenda_take(struct core *c, struct cservice *s, uint64_t caller)
{
	struct cappointment *m, *due = NULL;

	for (m = g_hash_table_lookup(s->agenda.by_caller, &caller); m; m = m->next) {
		if (m->due_us - EARLY_US > c->now || m->due_us + LATE_US < c->now) continue;
		if (!due || m->due_us < due->due_us) due = m;
	}
	if (!due) return 0;
	drop(&s->agenda, due);
	return 1;
}

int64_t cagenda_only(const struct core *c, const struct cservice *s, uint64_t caller)
{
	const struct cappointment *m = g_hash_table_lookup(s->agenda.by_caller, &caller);

	if (!m || m->next || m->due_us - EARLY_US <= c->now) return 0;
	return m->due_us - c->now;
}

void cagenda_expire(struct core *c, struct cservice *s)
{
	struct cappointment *m = heap_top(&s->agenda.by_due);

	advance(&s->agenda, c->now);
	while (m && m->due_us + LATE_US < c->now) {
		drop(&s->agenda, m);
		c->stats.lapsed++;
		m = heap_top(&s->agenda.by_due);
	}
}
