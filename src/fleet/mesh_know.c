/* What instances know of the platform's lists, and how it gets from one to the other. */
#include "clock.h"
#include "mesh_impl.h"
#include <string.h>

#define WATCH_INSTANCES 3 /* that watch the store for all: two may be lost at once */
#define MANY 16       /* instances: beyond, what is large is asked for one after the other */
#define NEWS_MAX 8192 /* bytes passed on unasked to many: a small link takes 10 Mbit/s */
#define ASK_SPREAD_US 300000 /* within it many ask for what is large */
#define ASK_AGAIN_US 500000  /* an answer is under way */

static struct ev_timer ask_timer;
static int64_t ask_not_before_us;

/*
 * The sender was sure of its configuration confirmed_ago before it sent this, and our stamp had
 * reached it echo_held before it did. So it was sure no earlier than our stamp plus the
 * difference, by our own clock, however long this message was under way or lay unread.
 */
static void take_confirmation(const struct mesh_beat *b)
{
	if (!b->echo_us || b->confirmed_ago_us < 0) return;
	board_confirm(b->revs.conf, b->echo_us + b->echo_held_us - b->confirmed_ago_us);
}

static int knows_more(const struct member *m)
{
	struct board_revs mine = board_revs();

	return m->said.revs.conf > mine.conf || m->said.revs.backends > mine.backends;
}

void mesh_ask(struct member *m)
{
	GString *out;

	if (clock_us() < ask_not_before_us) return;
	ask_not_before_us = clock_us() + ASK_AGAIN_US;
	out = g_string_new(NULL);
	mesh_write_want(out, board_revs());
	mesh_send(m, out);
	g_string_free(out, TRUE);
}

/* Any of those who know more: not all ask the same one. */
static void on_ask(struct ev_timer *t)
{
	uint32_t i, from = mesh_members()->len
				   ? (uint32_t)g_random_int_range(0, (int)mesh_members()->len)
				   : 0;

	(void)t;
	for (i = 0; i < mesh_members()->len; i++) {
		struct member *m =
			g_ptr_array_index(mesh_members(), (from + i) % mesh_members()->len);

		if (!m->alive || !knows_more(m)) continue;
		mesh_ask(m);
		return;
	}
}

static void ask_for_newer(struct member *m)
{
	if (!knows_more(m) || ask_timer.armed) return;
	if (mesh_members()->len <= MANY)
		mesh_ask(m);
	else
		ev_in(&ask_timer, g_random_int_range(0, ASK_SPREAD_US));
}

void mesh_pass_on(struct board_revs base)
{
	GString *out = g_string_new(NULL);

	mesh_write_news(out, base);
	if (mesh_members()->len > MANY && out->len > NEWS_MAX)
		mesh_beat_now();
	else if (out->len)
		mesh_send_all(out);
	g_string_free(out, TRUE);
}

/* All work out the same few, from names alone. */
int mesh_watches(void)
{
	guint mine = g_str_hash(mesh_cfg()->instance);
	uint32_t i, before = 0;

	for (i = 0; i < mesh_members()->len; i++) {
		const struct member *m = g_ptr_array_index(mesh_members(), i);

		if (!m->alive || !m->said.store_up || m->said.draining) continue;
		before += g_str_hash(m->said.name) < mine;
	}
	return before < WATCH_INSTANCES;
}

void mesh_learn_from(struct member *m)
{
	take_confirmation(&m->said);
	ask_for_newer(m);
}

void mesh_know_start(void)
{
	ask_timer.fire = on_ask;
}
