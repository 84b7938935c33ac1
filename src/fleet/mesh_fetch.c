/* What this instance lacks of the platform's lists is fetched from one that has it, on a
 * connection of its own: heartbeats don't wait behind it, and it can be given up. */
#include "clock.h"
#include "jlog.h"
#include "mesh_impl.h"
#include "met.h"
#include <arpa/inet.h>

#define MANY 16               /* instances: more must not all ask at once */
#define SPREAD_US 30000       /* news on another link may be a moment behind a heartbeat */
#define SPREAD_MANY_US 300000 /* within it many ask */
#define SILENT_US 700000      /* without a byte: another one is asked */
#define HOLD_SLACK_US 2000    /* timers fire a millisecond early */
#define NEXT_US 25000         /* after a refusal, before another one is asked */
#define REFUSED_US 400000     /* it is not asked again: half of a copy on a small link */
/* An instance without any list of servers waits so long for one of its own data centre to have
 * it: one copy crosses to each data centre, not one to each instance. */
#define NEAR_US 2000000
#define NEAR_HEARD_US 600000    /* from when on those that are there have been heard */
#define NARROWER_MOST 2         /* times: a narrower link costs more than a far one */
#define NOTHING_NEWER INT64_MAX /* as a revision: no item is wanted */

static struct mesh_in *fetch; /* the answer under way, or NULL */
static size_t received;       /* bytes of it */
static int64_t begun_us;      /* when it was asked for */
static int64_t hold_us;       /* none begins before */
static int64_t lacked_us;     /* since when there is a configuration, and no list */
/* While fetching: how long nothing may come. Else: when the next one is asked. */
static struct ev_timer timer;

static int is_more(struct board_revs revs)
{
	struct board_revs mine = board_revs();

	return revs.conf > mine.conf || revs.backends > mine.backends;
}

/* By its own word, or by that of one that turned this instance away. */
static int knows_more(const struct member *m)
{
	return is_more(m->said.revs) || is_more(m->held);
}

static int may_have_it(const struct member *m)
{
	return (m->alive && is_more(m->said.revs)) || is_more(m->held);
}

static int can_be_asked(const struct member *m)
{
	return may_have_it(m) && clock_us() >= m->fetch_after_us;
}

/* Whoever was named by others alone was named as near. */
static int is_near(const struct member *m)
{
	return !m->said.dc || m->said.dc == mesh_self_dc();
}

static int any_near(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && is_near(m)) return 1;
	}
	return 0;
}

/* The list of servers is all that is missing, and all of it. */
static int lacks_list_alone(void)
{
	const GPtrArray *all = mesh_members();
	struct board_revs mine = board_revs();
	uint32_t i;

	if (!board_conf() || mine.backends) return 0;
	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (m->alive && m->said.revs.conf > mine.conf) return 0;
	}
	return 1;
}

static int waits_for_near(void)
{
	int64_t now = clock_us();

	if (!lacks_list_alone()) {
		lacked_us = 0;
		return 0;
	}
	if (!lacked_us) lacked_us = now;
	return now - lacked_us < (any_near() ? NEAR_US : NEAR_HEARD_US);
}

/* The wider its link, the likelier an instance is asked; it may not have told how wide. */
static int weight(const struct member *m, int near)
{
	if (!can_be_asked(m) || (near && !is_near(m))) return 0;
	return MAX(1, m->said.link_mbps);
}

/* Somebody near can be asked whose link is about as wide as any. */
static int has_near(void)
{
	const GPtrArray *all = mesh_members();
	int widest = 0, near = 0;
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		widest = MAX(widest, weight(m, 0));
		if (m->said.dc == mesh_self_dc()) near = MAX(near, weight(m, 1));
	}
	return near && near * NARROWER_MOST >= widest;
}

/* One of those who know more, drawn by what their links carry; NULL: none can be asked now. */
static struct member *draw(int near)
{
	const GPtrArray *all = mesh_members();
	double sum = 0, at;
	uint32_t i;

	for (i = 0; i < all->len; i++) sum += weight(g_ptr_array_index(all, i), near);
	if (!sum) return NULL;
	at = g_random_double() * sum;
	for (i = 0; i < all->len; i++) {
		struct member *m = g_ptr_array_index(all, i);

		at -= weight(m, near);
		if (at < 0) return m;
	}
	return NULL;
}

static int anybody_knows_more(void)
{
	const GPtrArray *all = mesh_members();
	uint32_t i;

	for (i = 0; i < all->len; i++) {
		const struct member *m = g_ptr_array_index(all, i);

		if (may_have_it(m)) return 1;
	}
	return 0;
}

static void drop(void)
{
	if (!fetch) return;
	ev_stop(&timer);
	cn_reset(&fetch->cn);
	g_string_free(fetch->buf, TRUE);
	ev_free_later(fetch);
	fetch = NULL;
}

static void look_again(void)
{
	ev_in(&timer, NEXT_US / 2 + g_random_int_range(0, NEXT_US));
}

/* It refused, or nothing comes: another one is asked, and it again when it may have a place. */
static void try_another(void)
{
	fetch->from->fetch_after_us = clock_us() + REFUSED_US;
	/* What others said of it was wrong, or is no more use than its own word. */
	fetch->from->held = (struct board_revs){0};
	drop();
	look_again();
}

static void on_fetch_end(struct cn *c, int err)
{
	(void)c;
	(void)err;
	try_another();
}

/* The configuration first, alone: it is small mostly, and anybody's will do. */
static struct board_revs wanted_after(void)
{
	struct board_revs after = board_revs();

	if (!board_conf()) after.backends = NOTHING_NEWER;
	return after;
}

static void on_fetch_up(struct cn *c)
{
	GString *out = g_string_new(NULL);

	mesh_write_fetch(out, wanted_after(), mesh_self_dc());
	cn_write(c, out->str, out->len);
	g_string_free(out, TRUE);
}

static void log_fetched(void)
{
	GString *g = jlog_begin("fleet", "lists_fetched");

	jlog_str(g, "from", fetch->from->said.name);
	jlog_int(g, "bytes", received);
	jlog_int(g, "took_ms", (clock_us() - begun_us) / 1000);
	jlog_end(g);
}

static void on_fetch_data(struct cn *c, const char *p, size_t n)
{
	(void)c;
	received += n;
	ev_in(&timer, SILENT_US);
	if (mesh_cut_frames(fetch, p, n) || fetch->turned_away) {
		try_another();
		return;
	}
	/* It came whole, or from the store meanwhile. */
	if (knows_more(fetch->from) && fetch->buf->len) return;
	log_fetched();
	drop();
	mesh_beat_now(); /* it can be had here, too */
	if (anybody_knows_more()) look_again();
}

static void begin(struct member *m)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(mesh_cfg()->peer_port)};

	if (inet_pton(AF_INET, m->ip, &to.sin_addr) != 1) return;
	fetch = g_new0(struct mesh_in, 1);
	fetch->buf = g_string_new(NULL);
	fetch->from = m;
	fetch->ours = 1;
	fetch->cn.on_connected = on_fetch_up;
	fetch->cn.on_data = on_fetch_data;
	fetch->cn.on_end = on_fetch_end;
	received = 0;
	begun_us = clock_us();
	met_add(MET_PEER_FETCHES, 1);
	if (cn_connect(&fetch->cn, &to))
		try_another();
	else
		ev_in(&timer, SILENT_US);
}

static void on_timer(struct ev_timer *t)
{
	struct member *m;

	(void)t;
	if (fetch) {
		try_another();
		return;
	}
	if (clock_us() < hold_us) {
		ev_at(&timer, hold_us + HOLD_SLACK_US);
		return;
	}
	m = draw(waits_for_near() || has_near());
	if (m)
		begin(m);
	else if (anybody_knows_more())
		look_again();
}

void mesh_fetch_soon(const struct member *m)
{
	int spread = mesh_members()->len > MANY ? SPREAD_MANY_US : SPREAD_US;

	if (fetch || timer.armed || !knows_more(m)) return;
	ev_in(&timer, g_random_int_range(0, spread));
}

void mesh_fetch_holder(struct member *m, struct board_revs held)
{
	m->held = held;
}

int mesh_fetching(void)
{
	return fetch && received;
}

void mesh_hold_fetch(int64_t until_us)
{
	hold_us = until_us;
}

void mesh_fetch_forget(const struct member *m)
{
	if (fetch && fetch->from == m) try_another();
}

void mesh_fetch_start(void)
{
	timer.fire = on_timer;
}
