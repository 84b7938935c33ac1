/*
 * A few instances maintain leased keys in the platform's store, and all instances list them:
 * whoever finds one instance learns of all others from it.
 */
#include "roster.h"
#include "ev.h"
#include "mesh.h"
#include "st_era.h"
#include "store.h"
#include "watch.h"
#include <errno.h>
#include <string.h>

/* The rest of a key is the instance's name; its value is the address. */
#define PREFIX "saddlehead/members/"
#define LEASE_MS 30000    /* a dead instance stays listed for at most this long */
#define RENEW_US 10000000 /* a third of LEASE_MS */
#define RETRY_US 1000000  /* after a failed call */
#define LIST_US                                                                      \
	60000000 /* members name each other; this finds separated parts of the fleet \
		  */
#define LIST_ALONE_US 1500000 /* while no other instance is known */
#define KEY_CHECK_US 1000000  /* how often an instance without a key checks if it needs one */
#define SETTLE_US 1500000     /* after the start: the other instances are known by then */

static const struct entry_cfg *cfg;
static struct ev_timer lease_timer, list_timer;
static uint64_t lease;
static int key_written; /* the key is written under this lease */

static void on_written(const struct st_reply *r, void *user)
{
	(void)user;
	watch_note_reply(r);
	key_written = r->rc == 0;
	if (r->rc == -ENOENT) lease = 0;
	ev_in(&lease_timer, key_written ? RENEW_US : RETRY_US);
}

static void write_key(void)
{
	char *key = g_strconcat(PREFIX, cfg->instance, NULL);
	struct st_change c = {
		.put_key = key, .value = cfg->ip, .len = strlen(cfg->ip), .lease = lease};

	st_commit(&c, on_written, NULL);
	g_free(key);
}

static void on_leased(const struct st_reply *r, void *user)
{
	(void)user;
	watch_note_reply(r);
	if (r->rc || !r->lease) {
		ev_in(&lease_timer, RETRY_US);
		return;
	}
	lease = r->lease;
	key_written = 0;
	write_key();
}

static void on_renewed(const struct st_reply *r, void *user)
{
	(void)user;
	watch_note_reply(r);
	if (r->rc == -ENOENT) {
		lease = 0;
		key_written = 0;
	}
	ev_in(&lease_timer, r->rc ? RETRY_US : RENEW_US);
}

static void on_lease_timer(struct ev_timer *t)
{
	if (!mesh_watches_store()) {
		lease = 0; /* expires without a call */
		ev_in(t, KEY_CHECK_US);
		return;
	}
	if (!lease)
		st_lease(LEASE_MS, on_leased, NULL);
	else if (!key_written)
		write_key();
	else
		st_renew(lease, on_renewed, NULL);
}

static void on_listed(const struct st_reply *r, void *user)
{
	char ip[ENTRY_TEXT_MAX + 1];
	size_t i;

	(void)user;
	watch_note_reply(r);
	for (i = 0; !r->rc && i < r->n; i++) {
		if (!r->items[i].value || r->items[i].len >= sizeof ip) continue;
		memcpy(ip, r->items[i].value, r->items[i].len);
		ip[r->items[i].len] = '\0';
		mesh_add_ip(ip);
	}
	if (!r->rc) mesh_set_roster_listed();
	ev_in(&list_timer, mesh_count_live() > 1 ? LIST_US : LIST_ALONE_US);
}

/* Instances that maintain keys also list those of others, so that two parts of a fleet that
 * lost each other meet again. */
static void on_list_timer(struct ev_timer *t)
{
	if (mesh_count_live() > 1 && !mesh_watches_store()) {
		ev_in(t, LIST_US);
		return;
	}
	if (mesh_count_live() == 1) mesh_add_seeds();
	st_range(PREFIX, NULL, on_listed, NULL);
}

/* The store lost the lease, and may give its number to another one. Members write their keys
 * again at different times. */
static void on_era(void)
{
	lease = 0;
	key_written = 0;
	if (lease_timer.armed) ev_in(&lease_timer, g_random_int_range(0, RETRY_US));
}

void roster_start(const struct entry_cfg *c)
{
	cfg = c;
	lease_timer.fire = on_lease_timer;
	list_timer.fire = on_list_timer;
	st_on_era = on_era;
	ev_in(&lease_timer, SETTLE_US);
	/* One that starts again and was told of nobody learns here whether it is alone. */
	ev_in(&list_timer, c->first_start || mesh_most_members() > 1 ? LIST_ALONE_US : 0);
}

void roster_leave(void)
{
	ev_stop(&lease_timer);
	if (lease) st_release(lease);
	lease = 0;
}
