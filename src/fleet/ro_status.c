/* Status of a rollout in the store. Each write is conditional on the known revision, so that a
 * writer that missed another's write continues from that one. */
#include "clock.h"
#include "dialect.h"
#include "jlog.h"
#include "mesh.h"
#include "ro_impl.h"
#include "watch.h"
#include <errno.h>
#include <string.h>

#define RETRY_US 300000 /* before the next write, unless this one finds another status */

static void on_written(const struct st_reply *r, void *user);

static void write_stage(struct ro *o, enum rollout_stage s, st_done *done)
{
	char *key = dl_rollout_status_key(o->service);
	char *value = dl_write_rollout_status(s, o->target);
	struct st_condition is = {key, o->status_rev};
	struct st_change c = {.conditions = &is,
			      .nconditions = 1,
			      .put_key = key,
			      .value = value,
			      .len = strlen(value)};

	o->next_us = clock_us() + RETRY_US;
	o->call = st_commit(&c, done, o);
	g_free(value);
	g_free(key);
}

static void log_found(const struct ro *o, st_rev revision)
{
	GString *g = jlog_begin("fleet", "rollout_status_found");

	jlog_str(g, "service", o->service);
	jlog_int(g, "revision", (int64_t)st_rev_number(revision));
	jlog_end(g);
}

/* The write failed as the status has another revision: of this order or an earlier one. */
static void on_conflict(struct ro *o, const struct st_reply *r)
{
	enum rollout_stage s;

	o->next_us = 0; /* retry at once */
	o->status_rev = r->n ? r->items[0].revision : 0;
	if (!r->n || !r->items[0].value || o->status_rev < o->order) return;
	if (dl_read_rollout_status(r->items[0].value, r->items[0].len, o->target, &s)) return;
	log_found(o, o->status_rev);
	o->written = MAX(o->written, s);
	if (ro_advance(o, s, "the store")) ro_send_stage(o);
}

/* The write succeeded. */
static void on_success(struct ro *o, enum rollout_stage s, st_rev revision)
{
	o->status_rev = revision;
	o->written = s;
	ro_advance(o, s, "this instance");
	ro_send_stage(o);
}

static void take_reply(struct ro *o, const struct st_reply *r, enum rollout_stage s)
{
	o->call = NULL;
	watch_note_reply(r);
	if (!r->rc)
		on_success(o, s, r->revision);
	else if (r->rc == -ECANCELED)
		on_conflict(o, r);
}

static void on_written(const struct st_reply *r, void *user)
{
	struct ro *o = user;

	take_reply(o, r, o->stage == ROLLOUT_UNKNOWN ? ROLLOUT_CANARY : o->stage);
}

static void on_completed(const struct st_reply *r, void *user)
{
	take_reply(user, r, ROLLOUT_COMPLETED);
}

static int may_write(const struct ro *o)
{
	return !o->call && mesh_watches_store() && clock_us() >= o->next_us;
}

/* The shift is sent to instances only: the store holds "running" for canary and shift. */
static int is_behind(const struct ro *o)
{
	if (o->stage == ROLLOUT_SHIFT) return o->written < ROLLOUT_CANARY;
	return o->written < MAX(o->stage, ROLLOUT_CANARY);
}

void ro_write_status(struct ro *o)
{
	if (!may_write(o) || !is_behind(o)) return;
	write_stage(o, MAX(o->stage, ROLLOUT_CANARY), on_written);
}

void ro_write_completed(struct ro *o)
{
	if (may_write(o)) write_stage(o, ROLLOUT_COMPLETED, on_completed);
}
