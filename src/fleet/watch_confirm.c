/* The configuration's age: before it grows too old one instance asks for all whether it is
 * still the newest, and lists the rest anew. */
#include "be.h"
#include "board.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "mesh.h"
#include "watch_impl.h"
#include <errno.h>
#include <saddlehead/roles.h>

#define AGE_US 900000        /* the age at which the configuration is confirmed anew ... */
#define AGE_SPREAD_US 900000 /* ... and up to so much more: one asks for all */
#define TICK_US 100000       /* how often its age is looked at */
/* More, where others are hubs without callers: these ask for all. */
#define ACTIVE_AGE_US 500000
#define STANDBY_AGE_US 1500000 /* more, for those that few hear: the last to ask */
#define AGAIN_US 800000      /* after a call that failed: its return is seen within a second */
#define HOLD_MOST_US 1500000 /* a megabyte, in base64, takes 1.2 s on a link of 10 Mbit/s */
#define LATE_US 300000       /* without an answer: usually it takes some ms */

static struct st_call *confirming;
static struct ev_timer timer;
static int64_t age_us, not_before_us, asked_us;
static int64_t rest_until_us;      /* not asked before by one that is not to; 0: not drawn */
static int64_t receiving_since_us; /* an answer with a configuration comes; 0: none does */
static uint64_t confirming_revision;

/* Each instance waits another time, so that one asks for all. */
static int64_t draw_age(void)
{
	return AGE_US + g_random_int_range(0, AGE_SPREAD_US);
}

static void on_confirmed(const struct st_reply *r, void *user)
{
	int was_up = watch_store_up();

	(void)user;
	confirming = NULL;
	mesh_hold_fetch(0);
	mesh_set_store_late(0);
	watch_note_reply(r);
	if (!r->rc) board_confirm(confirming_revision, r->sent_us);
	if (r->rc == -ECANCELED) {
		watch_apply(r, r->sent_us);
		watch_check_orders(); /* what is gone is not named in the answer */
	}
	if (r->rc && r->rc != -ECANCELED) {
		rest_until_us = clock_us() + mesh_rest_us();
		not_before_us = clock_us() + AGAIN_US;
		return;
	}
	if (!was_up || r->rc == -ECANCELED) watch_anew();
	mesh_beat_now();
	watch_check_lists();
	age_us = draw_age();
}

static void add_order(struct st_change *ask, struct st_condition *held, GPtrArray *keys,
		      const char *prefix, const char *name)
{
	char *key = g_strconcat(prefix, name, NULL);

	g_ptr_array_add(keys, key);
	held[ask->nconditions++] = (struct st_condition){key, board_revision_of(key)};
}

/* Asks whether what is held here of the configuration, and of the operators' orders, is
 * still the newest: conditions without a change. */
static void confirm(void)
{
	struct st_condition held[ST_CONDITIONS_MAX];
	struct st_change ask = {.conditions = held};
	GPtrArray *dcs = be_dcs(), *keys = g_ptr_array_new_with_free_func(g_free);
	const GPtrArray *services = board_conf()->services;
	uint32_t i;

	confirming_revision = board_conf()->revision;
	held[ask.nconditions++] = (struct st_condition){dl_conf_key, confirming_revision};
	for (i = 0; i < dcs->len && ask.nconditions < ST_CONDITIONS_MAX; i++)
		add_order(&ask, held, keys, dl_drains, g_ptr_array_index(dcs, i));
	for (i = 0; i < services->len && ask.nconditions < ST_CONDITIONS_MAX; i++) {
		const struct conf_service *s = g_ptr_array_index(services, i);

		add_order(&ask, held, keys, dl_rollouts, s->name);
	}
	asked_us = clock_us();
	confirming = st_commit(&ask, on_confirmed, NULL);
	mesh_hold_fetch(asked_us + LATE_US);
	g_ptr_array_unref(keys);
	g_ptr_array_unref(dcs);
}

/* Those without callers ask first, then the other hubs. */
static int64_t own_age(void)
{
	if (!mesh_self_hub()) return age_us + STANDBY_AGE_US;
	return mesh_self_active() && mesh_live() > ROLES_ACTIVE ? age_us + ACTIVE_AGE_US
								: age_us;
}

static int may_ask(int64_t now)
{
	struct roles_stale o = {.hub = mesh_self_hub(),
				.retries_store = mesh_asks_store(),
				.store_up = watch_store_up()};

	if (now < not_before_us) return 0;
	if (!rest_until_us) rest_until_us = now + mesh_rest_us();
	o.backoff_until_us = rest_until_us;
	return roles_may_call(&o, now);
}

/* An answer that is coming is not late: a whole configuration takes a second on a small link.
 */
static int unanswered(int64_t now)
{
	return now - asked_us > LATE_US && !st_received(confirming);
}

/* While an answer with a configuration is coming, but not for ever: a slow store's may take
 * longer than a copy of another instance. */
static void hold_fetch(int64_t now)
{
	if (!watch_receives_conf() && !(confirming && st_received(confirming))) {
		receiving_since_us = 0;
		return;
	}
	if (!receiving_since_us) receiving_since_us = now;
	if (now - receiving_since_us < HOLD_MOST_US) mesh_hold_fetch(now + 2 * TICK_US);
}

static void on_tick(struct ev_timer *t)
{
	int64_t now = clock_us();

	ev_in(t, TICK_US);
	watch_check_down();
	watch_leave_to_others();
	hold_fetch(now);
	if (confirming && unanswered(now)) mesh_set_store_late(1);
	if (confirming || !board_conf()) return;
	if (mesh_fetching() && now - board_confirmed_us() < BOARD_OLD_US) return;
	if (now - board_confirmed_us() < own_age())
		rest_until_us = 0;
	else if (may_ask(now))
		confirm();
}

void watch_confirm_start(void)
{
	age_us = draw_age();
	mesh_hold_fetch(clock_us() + LATE_US); /* all list from the store at a start */
	timer.fire = on_tick;
	ev_in(&timer, TICK_US);
}
