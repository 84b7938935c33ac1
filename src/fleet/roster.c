/*
 * Leased keys of a few instances in the platform's store, kept and looked for: whoever finds
 * one of them hears of all others from it.
 */
#include "roster.h"
#include "ev.h"
#include "mesh.h"
#include "store.h"
#include "watch.h"
#include <errno.h>
#include <string.h>

/* Where the keys stand; the rest of a key is the instance's name, its value the address. */
#define PREFIX "saddlehead/members/"
#define LEASE_MS 30000        /* an instance that died is listed no longer than this */
#define RENEW_US 10000000     /* a third of it */
#define RETRY_US 1000000      /* after a call that failed */
#define LIST_US 60000000      /* members tell each other of members; this is for those apart */
#define LIST_ALONE_US 1500000 /* while no other instance is heard of */
#define LOOK_US 1000000       /* how often one without a key looks whether it must have one */
#define SETTLE_US 1500000     /* after the start: by then it is known who is there */

static const struct entry_cfg *cfg;
static struct ev_timer keep_timer, list_timer;
static uint64_t lease;
static int written; /* the key stands, under this lease */

static void on_written(const struct st_reply *r, void *user)
{
	(void)user;
	watch_note_reply(r);
	written = r->rc == 0;
	if (r->rc == -ENOENT) lease = 0;
	ev_in(&keep_timer, written ? RENEW_US : RETRY_US);
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
		ev_in(&keep_timer, RETRY_US);
		return;
	}
	lease = r->lease;
	written = 0;
	write_key();
}

static void on_renewed(const struct st_reply *r, void *user)
{
	(void)user;
	watch_note_reply(r);
	if (r->rc == -ENOENT) {
		lease = 0;
		written = 0;
	}
	ev_in(&keep_timer, r->rc ? RETRY_US : RENEW_US);
}

static void on_keep(struct ev_timer *t)
{
	if (!mesh_watches_store()) {
		lease = 0; /* runs out by itself, at no price */
		ev_in(t, LOOK_US);
		return;
	}
	if (!lease)
		st_lease(LEASE_MS, on_leased, NULL);
	else if (!written)
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
	ev_in(&list_timer, mesh_count_live() > 1 ? LIST_US : LIST_ALONE_US);
}

/* Those who leave their keys also look for keys of others: two parts of a fleet that lost each
 * other meet again this way. */
static void on_list(struct ev_timer *t)
{
	if (mesh_count_live() > 1 && !mesh_watches_store()) {
		ev_in(t, LIST_US);
		return;
	}
	if (mesh_count_live() == 1) mesh_add_seeds();
	st_range(PREFIX, NULL, on_listed, NULL);
}

void roster_start(const struct entry_cfg *c)
{
	cfg = c;
	keep_timer.fire = on_keep;
	list_timer.fire = on_list;
	ev_in(&keep_timer, SETTLE_US);
	ev_in(&list_timer, LIST_ALONE_US);
}

void roster_leave(void)
{
	ev_stop(&keep_timer);
	if (lease) st_release(lease);
	lease = 0;
}
