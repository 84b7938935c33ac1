/* Keeps the cached configuration confirmed: before it is stale, one instance asks the store for
 * all whether it is still the newest, and then checks the other lists. */
#include "be.h"
#include "cache.h"
#include "clock.h"
#include "dialect.h"
#include "ev.h"
#include "mesh.h"
#include "watch_impl.h"
#include <errno.h>
#include <saddlehead/roles.h>

#define CONFIRM_AGE_US 900000    /* age at which the configuration is confirmed again */
#define CONFIRM_SPREAD_US 900000 /* random addition, so that one instance asks for all */
#define TICK_US 100000           /* how often its age is checked */
/* Added at active instances of a large fleet: hubs without caller traffic should ask for all.
 */
#define ACTIVE_DELAY_US 500000
#define STANDBY_DELAY_US 1500000 /* added at standbys, which forward to nobody */
#define RETRY_US 800000          /* after a failure: the store's return is noticed within 1 s */
#define HOLD_MAX_US 1500000      /* a megabyte, in base64, takes 1.2 s on a link of 10 Mbit/s */
#define LATE_US 300000           /* without an answer; usually one takes some ms */

static struct st_call *confirming;
static struct ev_timer timer;
static int64_t age_us, not_before_us, sent_us;
static int64_t backoff_until_us;   /* see roles_may_call; 0: not set */
static int64_t receiving_since_us; /* a configuration is being received; 0: none is */
static st_rev confirming_revision;

/* Differs between instances, so that one asks for all. */
static int64_t random_age(void)
{
	return CONFIRM_AGE_US + g_random_int_range(0, CONFIRM_SPREAD_US);
}

static void on_confirmed(const struct st_reply *r, void *user)
{
	const struct conf *before = cache_conf();
	int was_up = watch_store_up();

	(void)user;
	confirming = NULL;
	mesh_delay_fetch(0);
	mesh_set_store_late(0);
	watch_note_reply(r);
	if (!r->rc) cache_confirm(confirming_revision, r->sent_us);
	if (r->rc == -ECANCELED) {
		watch_apply(r, r->sent_us);
		watch_check_orders(); /* the answer does not name removed keys */
	}
	if (r->rc && r->rc != -ECANCELED) {
		backoff_until_us = clock_us() + mesh_backoff_us();
		not_before_us = clock_us() + RETRY_US;
		return;
	}
	/* The store may have lost the version in force, and show an older one for a while. */
	if (cache_confirmed_us() < r->sent_us) not_before_us = clock_us() + RETRY_US;
	if (!was_up || cache_conf() != before) watch_restart();
	watch_leave_lost_era();
	mesh_heartbeat_now();
	watch_check_lists();
	age_us = random_age();
}

static void add_order_condition(struct st_change *change, struct st_condition *conditions,
				GPtrArray *keys, const char *prefix, const char *name)
{
	char *key = g_strconcat(prefix, name, NULL);

	g_ptr_array_add(keys, key);
	conditions[change->nconditions++] = (struct st_condition){key, cache_revision_of(key)};
}

/* Asks whether the cached configuration and orders are still the newest, by a transaction of
 * conditions without a write. */
static void confirm(void)
{
	struct st_condition conditions[ST_CONDITIONS_MAX];
	struct st_change change = {.conditions = conditions};
	GPtrArray *dcs = be_dcs(), *keys = g_ptr_array_new_with_free_func(g_free);
	const GPtrArray *services = cache_conf()->services;
	uint32_t i;

	confirming_revision = cache_conf()->revision;
	conditions[change.nconditions++] =
		(struct st_condition){dl_conf_key, confirming_revision};
	for (i = 0; i < dcs->len && change.nconditions < ST_CONDITIONS_MAX; i++)
		add_order_condition(&change, conditions, keys, dl_drains,
				    g_ptr_array_index(dcs, i));
	for (i = 0; i < services->len && change.nconditions < ST_CONDITIONS_MAX; i++) {
		const struct conf_service *s = g_ptr_array_index(services, i);

		add_order_condition(&change, conditions, keys, dl_rollouts, s->name);
	}
	sent_us = clock_us();
	confirming = st_commit(&change, on_confirmed, NULL);
	mesh_delay_fetch(sent_us + LATE_US);
	g_ptr_array_unref(keys);
	g_ptr_array_unref(dcs);
}

/* Hubs without caller traffic ask first, then the other hubs, then standby instances. */
static int64_t confirm_age(void)
{
	if (!mesh_self_hub()) return age_us + STANDBY_DELAY_US;
	return mesh_self_active() && mesh_count_live() > ROLES_ACTIVE ? age_us + ACTIVE_DELAY_US
								      : age_us;
}

static int may_confirm(int64_t now)
{
	struct roles_stale o = {.hub = mesh_self_hub(),
				.retries_store = mesh_retries_store(),
				.store_up = watch_store_up()};

	if (now < not_before_us) return 0;
	if (!backoff_until_us) backoff_until_us = now + mesh_backoff_us();
	o.backoff_until_us = backoff_until_us;
	return roles_may_call(&o, now);
}

/* An answer being received is not late: a configuration takes a second on a slow link. */
static int is_late(int64_t now)
{
	return now - sent_us > LATE_US && !st_received(confirming);
}

/* Holds back fetches from peers while a configuration is being received, for a limited time: a
 * slow store may take longer than a peer. */
static void hold_fetch(int64_t now)
{
	if (!watch_receives_conf() && !(confirming && st_received(confirming))) {
		receiving_since_us = 0;
		return;
	}
	if (!receiving_since_us) receiving_since_us = now;
	if (now - receiving_since_us < HOLD_MAX_US) mesh_delay_fetch(now + 2 * TICK_US);
}

static void on_tick(struct ev_timer *t)
{
	int64_t now = clock_us();

	ev_in(t, TICK_US);
	watch_check_down();
	watch_release();
	hold_fetch(now);
	if (confirming && is_late(now)) mesh_set_store_late(1);
	if (confirming || !cache_conf()) return;
	if (mesh_fetch_in_progress() && now - cache_confirmed_us() < CACHE_STALE_US) return;
	if (now - cache_confirmed_us() < confirm_age())
		backoff_until_us = 0;
	else if (may_confirm(now))
		confirm();
}

void watch_confirm_start(void)
{
	age_us = random_age();
	/* Every instance lists from the store at its start. */
	mesh_delay_fetch(clock_us() + LATE_US);
	timer.fire = on_tick;
	ev_in(&timer, TICK_US);
}
